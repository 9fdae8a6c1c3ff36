"""Gateway processes on machines with little memory and few descriptors."""

import json
import os
import resource
import subprocess
import sys
import time
from contextlib import suppress
from pathlib import Path

import gevent
from endive_platform.settings import METRICS_PORT
from gevent import socket as gsocket
from gevent.server import StreamServer
from soak.standins import CONFIGURATION, SERVERS, FakeStore

PORT = 7100
READ_BYTES = 65_536
RESERVED_FOR_FILES = 200
"""Descriptors of a machine that are kept for files; sockets share the others."""

HEARTBEAT_S = 0.8
WATCH_INTERVAL_S = 0.02
REFUSED_PAUSE_S = 0.2
MAX_REFUSALS = 20
"""How often a caller that is refused comes back."""

GIVE_UP_S = 30.0
"""Time after which a process counts as hanging, seconds."""

SERVICE = "plain"
SLOTS = 400
IDLE_TIMEOUT_S = 60.0
REQUEST = (
    b"POST /safe/x HTTP/1.1\r\nHost: made.example\r\nRequest-Id: ordinary\r\n"
    b"Deadline-Ms: 3000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


def peak_memory_bytes(pid):
    """Return the most memory that a process had at any time."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    (peak,) = (line.split()[1] for line in lines if line.startswith("VmHWM:"))
    return int(peak) * 1024


class PlainServer:
    """A backend server that answers each request, whatever its head holds.

    Attributes
    ----------
    work_s : float
        Time in which it answers a request, seconds.
    first_bytes : bytes
        What it sends before that.
    heads : list of bytes
        The last heads that it received.
    """

    def __init__(self, host):
        self.heads = []
        self.work_s = 0.0
        self.first_bytes = b""
        self.server = StreamServer((host, PORT), self._serve)
        self.server.start()
        self.address = f"{host}:{PORT}"
        self.sequence = 0

    def entry(self):
        """Return the next entry that it writes to the store."""
        self.sequence += 1
        entry = {
            "service": SERVICE,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": SLOTS,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": self.sequence,
            "born": 1,
        }
        return json.dumps(entry).encode()

    def _serve(self, sock, _address):
        received = b""
        try:
            while data := sock.recv(READ_BYTES):
                received += data
                while b"\r\n\r\n" in received:
                    head, _, received = received.partition(b"\r\n\r\n")
                    self.heads = [*self.heads[-3:], head]
                    sock.sendall(self.first_bytes)
                    gevent.sleep(self.work_s)
                    sock.sendall(self._response(head))
        except OSError:
            pass  # the gateway has closed the connection

    def _response(self, head):
        lines = head.split(b"\r\n")[1:]
        values = {
            n.lower(): v.strip() for n, _, v in (x.partition(b":") for x in lines)
        }
        return (
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nResponse-Seal: made\r\n"
            b"Request-Id: " + values[b"request-id"] + b"\r\n\r\nok"
        )


class SmallMachine:
    """A gateway process on a machine of its own; a context manager.

    Parameters
    ----------
    memory_mb : int
        Memory of the machine, millions of bytes.
    descriptors : int
        Descriptors that the process may open.

    Attributes
    ----------
    most_sockets : int
        Most sockets that the process had open at once.
    """

    def __init__(self, directory, slot, *, memory_mb, descriptors, number=0):
        self.ip = f"127.{slot}.0.{number + 1}"
        self.memory_bytes = memory_mb * 10**6
        self.descriptors = descriptors
        self.output = directory / f"gateway-{number}.log"
        self.settings = directory / f"gateway-{number}.json"
        self.server = PlainServer(f"127.{slot}.1.{number + 1}")
        self.store = FakeStore(f"127.{slot}.2.{number + 1}", PORT)
        self.store.put(CONFIGURATION, "config", json.dumps(CONFIGURED).encode())
        self.settings.write_text(json.dumps(self._settings(memory_mb)))
        self.most_sockets = 0

    def _settings(self, memory_mb):
        return {
            "node_name": "node",
            "ip": self.ip,
            "zone": "a",
            "zones": {"a": "here"},
            "bootstrap": True,
            "listen": {
                "front": self.address,
                "ready_addr": f"{self.ip}:{PORT + 1}",
            },
            "port_range": [PORT + 10, PORT + 20],
            "platform": {"address": self.store.address},
            "cloud": {"address": f"{self.ip}:{PORT + 2}"},
            "limits": {"memory_mb": memory_mb, "max_fds": self.descriptors},
        }

    @property
    def address(self):
        return f"{self.ip}:{PORT}"

    @property
    def ports(self):
        """Addresses of its TCP ports, by name."""
        ports = {
            "callers": PORT,
            "readiness": PORT + 1,
            "bootstrap": PORT + 10,
            "configuration": PORT + 11,
            "transit": PORT + 12,
            "metrics": METRICS_PORT,
        }
        return {name: f"{self.ip}:{port}" for name, port in ports.items()}

    @property
    def sockets_limit(self):
        """Sockets that the process may have open at once."""
        return self.descriptors - RESERVED_FOR_FILES

    def __enter__(self):
        environment = os.environ | {"ENDIVESTACK_BOOT": str(self.settings)}
        with self.output.open("wb") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "endive_platform", "gateway"],
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        limit = (self.descriptors, self.descriptors)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, limit)
        self.loops = [gevent.spawn(self._send_heartbeats), gevent.spawn(self._watch)]
        end = time.monotonic() + GIVE_UP_S
        while self.ordinary_status() != 200 and time.monotonic() < end:
            gevent.sleep(0.1)
        return self

    def __exit__(self, *_exc_info):
        gevent.killall(self.loops)
        self.process.kill()
        self.process.wait()
        self.server.server.stop(0)
        self.store.stop()

    def _send_heartbeats(self):
        while True:
            self.store.put(SERVERS, "i-0", self.server.entry())
            gevent.sleep(HEARTBEAT_S)

    def _watch(self):
        while self.lives:
            self.most_sockets = max(self.most_sockets, self._open_sockets())
            gevent.sleep(WATCH_INTERVAL_S)

    def _open_sockets(self):
        directory, count = f"/proc/{self.process.pid}/fd", 0
        try:
            for name in os.listdir(directory):
                with suppress(FileNotFoundError):  # closed meanwhile
                    count += os.readlink(f"{directory}/{name}").startswith("socket:")
        except OSError:
            return 0  # the process has ended
        return count

    @property
    def lives(self):
        """Whether the process runs."""
        return self.process.poll() is None

    def peak_memory_bytes(self):
        """Return the most memory that the process had at any time."""
        return peak_memory_bytes(self.process.pid)

    def ordinary_status(self):
        """Return the status of the answer to an ordinary request; 0 without one.

        Its caller comes back when it is refused.
        """
        for _ in range(MAX_REFUSALS):
            if (status := self.status(REQUEST)) != 503:
                break
            gevent.sleep(REFUSED_PAUSE_S)
        return status

    def status(self, request):
        """Return the status of the answer to a request; 0 without one."""
        received = b""
        try:
            address = (self.ip, PORT)
            with gsocket.create_connection(address, GIVE_UP_S) as sock:
                sock.sendall(request)
                while b"\r\n\r\n" not in received and (data := sock.recv(READ_BYTES)):
                    received += data
        except OSError:
            return 0
        return int(received.split(b" ", 2)[1]) if received else 0


CONFIGURED = {
    "version": 1,
    "routes": [
        {
            "name": "safe",
            "host": "made.example",
            "path_prefix": "/safe/",
            "kind": "safe",
            "service": SERVICE,
            "timeout_ms": 3000,
            "target_latency_ms": 300,
            "max_attempts": 3,
            "public": True,
        }
    ],
    "services": [{"name": SERVICE, "health_path": "/health", "max_conns": 200}],
    "limits": {"idle_timeout_ms": IDLE_TIMEOUT_S * 1000},
}
