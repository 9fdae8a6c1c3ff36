"""Callers that hold many connections with odd requests, and what they take."""

import os
from contextlib import suppress

import gevent
from crowds import KINDS, crowd

from soak.endless_bodies import resident_bytes
from soak.fleet import DESCRIPTORS, PORT, RESERVED_FOR_FILES
from soak.floods import MAX_MEMORY

CONNECTIONS = 700
MAX_SERIES = 3
MAX_SOCKETS = DESCRIPTORS - RESERVED_FOR_FILES
WATCH_INTERVAL_S = 0.1


def odd_callers(fleet, fault):
    """Let crowds of several kinds hold connections to a node, one after the other."""
    node = fleet.nodes[fault.target % len(fleet.nodes)]
    kinds = sorted(KINDS)
    for number in range(1 + int(MAX_SERIES * fault.strength)):
        if node.busy or node.process.poll() is not None:
            return
        kind = kinds[(fault.target + number) % len(kinds)]
        start, end = node.starts, fleet.clock() + 0.5 + fault.for_s / 2
        with crowd(kind, f"{node.ip}:{PORT}", CONNECTIONS):
            while node.starts == start and fleet.clock() < end:
                _check(fleet, node, kind)
                gevent.sleep(WATCH_INTERVAL_S)


def _check(fleet, node, kind):
    held = resident_bytes(node.process.pid)
    if held > MAX_MEMORY:
        text = f"{node.name} has {held / 1e6:.0f} MB beside {kind}"
        fleet.checker.record_violation("memory", text)
    count = open_sockets(node.process.pid)
    if count > MAX_SOCKETS:
        text = f"{node.name} has {count} sockets beside {kind}"
        fleet.checker.record_violation("descriptors", text)


def open_sockets(pid):
    """Return how many sockets a process has open; 0 if it has ended."""
    directory, count = f"/proc/{pid}/fd", 0
    with suppress(FileNotFoundError):
        for name in os.listdir(directory):
            with suppress(FileNotFoundError):  # closed meanwhile
                count += os.readlink(f"{directory}/{name}").startswith("socket:")
    return count
