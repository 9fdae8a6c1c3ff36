"""Bodies without end that are no answers, and the memory that nodes take for them."""

import zlib
from pathlib import Path

import gevent

from soak.invariants import CONTACT_S

PIECE = b"x" * 16_384
PIECE_GAP_S = 0.001
MAX_SENT_S = 2.0
"""Time between two pieces of a body without end, and time after which it ends all the
same, seconds."""

HEADS = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: none\r\nContent-Length: 99999999999\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nRequest-Id: none\r\n\r\n",
    b"HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 500 No\r\nRequest-Id: none\r\n"
    b"Content-Length: 99999999999\r\n\r\n",
)
"""Heads of responses to no request."""

MAX_GROWTH = 16 * 2**20
"""Memory that a process may take for up to a hundred faulty connections, bytes."""

MAX_LONG_PROMPTS = 48 * 2**20
"""Memory that a process may take for long prompts of callers, bytes."""

MEMORY_POLL_S = 0.05


def send_without_end(sock, request_id):
    """Send a body without end that is no answer, until the node closes."""
    head = HEADS[zlib.crc32(request_id.encode()) % len(HEADS)]
    try:
        with gevent.Timeout(MAX_SENT_S, False):
            sock.sendall(head)
            while True:
                sock.sendall(PIECE)
                gevent.sleep(PIECE_GAP_S)
        sock.close()
    except OSError:
        pass  # the node has closed the connection
    return []


class MemoryWatch:
    """The memory of the nodes' processes that run for a while already.

    Attributes
    ----------
    before : dict of NodeProcess to tuple of int
        Number of its start, and memory in bytes, of each process when the watch began.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        due_at = fleet.clock() - CONTACT_S
        self.before = {
            node: (node.starts, resident_bytes(node.process.pid))
            for node in fleet.nodes
            if node.started_at < due_at and not node.busy
        }

    def run(self):
        """Check the memory until killed; the body of a greenlet."""
        while True:
            gevent.sleep(MEMORY_POLL_S)
            for node, (start, before) in list(self.before.items()):
                grown = resident_bytes(node.process.pid) - before
                has_long_prompts = node.long_prompts_start == start
                allowed = MAX_GROWTH + MAX_LONG_PROMPTS * has_long_prompts
                if node.starts == start and grown > allowed:
                    del self.before[node]
                    self.fleet.checker.record_violation(
                        "memory", f"{node.name} took {grown / 2**20:.0f} MiB more"
                    )


def resident_bytes(pid):
    """Return the memory of a process; 0 if it has ended."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0
    sizes = [line.split()[1] for line in lines if line.startswith("VmRSS:")]
    return int(sizes[0]) * 1024 if sizes else 0


def server_sends_without_end(fleet, fault):
    """Let a server send bodies without end in place of many of its answers."""
    server = fleet.backends[fault.target % len(fleet.backends)].server
    if server is None or server.endless_share:
        return
    watch = gevent.spawn(MemoryWatch(fleet).run)
    server.endless_share = 0.3 + 0.7 * fault.strength
    gevent.sleep(fault.for_s + 1.0)
    server.endless_share = 0.0
    gevent.sleep(MAX_SENT_S)
    watch.kill()
