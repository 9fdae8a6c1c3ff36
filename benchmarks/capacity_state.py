"""Measure memory and processor time of the control plane's state, in this process."""

import gc
import os
import subprocess
import sys
import time
import tracemalloc
from collections.abc import Callable

import builders
from endive_core.catalogue import Catalogue
from endive_core.claims import ClaimTable
from endive_core.facts import FactTable
from endive_core.fold import MAX_OUTCOMES, ConfigurationFold
from endive_core.membership import Digest
from endive_core.records import Change, Claim, decode, encode
from simulated_network import SimulatedNetwork, member

MEMBER_COUNTS = (90, 180, 370)
SERVER_COUNTS = (260, 1300, 2600)
SERVERS_IN_SERVICE = 100
CHANGES = 50
LIBRARIES = {
    "gevent, bottle, urllib3": "import gevent, bottle, urllib3",
    "all libraries of a node": "import endive_node.node",
}


def service_body(first: int) -> dict:
    """Return a service of `SERVERS_IN_SERVICE` servers, numbered from `first`."""
    servers = [
        {
            "id": f"engine-{number:04d}",
            "address": f"10.20.{number // 250}.{number % 250}:8000",
            "zone": "brest",
        }
        for number in range(first, first + SERVERS_IN_SERVICE)
    ]
    name = f"service-{first}"
    return builders.resource("backend-server-service", name, servers=servers)


def change(offset: int, body: dict) -> Change:
    """Return the change that puts `body` in force."""
    return Change(f"{offset:032x}", body["kind"], body["name"], "ann", body=body)


def build_configuration(count: int) -> tuple[ConfigurationFold, Catalogue]:
    """Return a configuration with `count` servers."""
    fold, catalogue = ConfigurationFold(), Catalogue()
    for first in range(0, count, SERVERS_IN_SERVICE):
        fold.apply(fold.offset + 1, change(fold.offset + 1, service_body(first)))
    catalogue.refresh(fold)
    return fold, catalogue


def retained_kb(make: Callable[[], object]) -> float:
    """Return the memory that the result of `make` occupies, in kB."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / 1e3


def measure_configuration() -> None:
    """Print the cost of servers and changes in memory, bytes and time."""
    for count in SERVER_COUNTS:
        memory = retained_kb(lambda count=count: build_configuration(count))
        fold, catalogue = build_configuration(count)
        body = builders.resource("priority", "vip", level=1)
        change_us = timed_us(lambda b=body, f=fold, c=catalogue: apply_change(f, c, b))
        service = service_body(0)
        service_us = timed_us(
            lambda b=service, f=fold, c=catalogue: apply_change(f, c, b)
        )
        for _ in range(MAX_OUTCOMES):
            fold.apply(fold.offset + 1, change(fold.offset + 1, body))
        started = time.process_time()
        size = len(encode(fold.snapshot()))
        snapshot_ms = (time.process_time() - started) * 1e3
        print(
            f"{count:5} servers: {memory:.0f} kB; a change {change_us:.0f} us, of a "
            f"service with {SERVERS_IN_SERVICE} servers {service_us:.0f} us; snapshot "
            f"{size} bytes, {snapshot_ms:.0f} ms",
            flush=True,
        )


def claim(number: int) -> Claim:
    """Return a claim with a unique key; its fields have realistic lengths."""
    return Claim(
        claim_id=f"{number:032x}",
        key=f"kerloch/{number:032x}",
        node="node-001",
        request_id=f"node-001.{number:020x}",
        fingerprint=f"{number:032x}",
    )


def claim_table(count: int) -> ClaimTable:
    """Return a claim table with `count` claims."""
    table = ClaimTable()
    for number in range(count):
        table.apply(number, 0.0, decode(encode(claim(number))))
    return table


def measure_memory() -> None:
    """Print the resident memory of the libraries, and the memory of a membership."""
    for name, line in LIBRARIES.items():
        code = f"{line}; print(open('/proc/self/statm').read().split()[1])"
        pages = subprocess.run(
            [sys.executable, "-W", "ignore", "-c", code],
            capture_output=True,
            text=True,
            check=True,
        )
        size = int(pages.stdout) * os.sysconf("SC_PAGE_SIZE") / 1e6
        print(f"{name}: {size:.1f} MB resident")
    for count in MEMBER_COUNTS:
        print(
            f"{count:5} members: "
            f"{retained_kb(lambda c=count: membership_with(c)):.0f} kB"
        )


def membership_with(count: int):
    """Return a membership with `count` members."""
    (node,) = SimulatedNetwork(1).nodes.values()
    node.receive(Digest(member(0), members=[member(n) for n in range(count)]))
    return node


def apply_change(fold: ConfigurationFold, catalogue: Catalogue, body: dict) -> None:
    """Fold one change and refresh the catalogue."""
    fold.apply(fold.offset + 1, change(fold.offset + 1, body))
    catalogue.refresh(fold)


def timed_us(call: Callable[[], None]) -> float:
    """Return the mean processor time of `call` in microseconds."""
    started = time.process_time()
    for _ in range(CHANGES):
        call()
    return (time.process_time() - started) / CHANGES * 1e6


def measure_facts() -> None:
    """Print the processor time of one fact."""
    for count in (100, 1000, 4000):
        table = FactTable(lambda: 0.0)
        started = time.process_time()
        for number in range(count):
            table.crash(f"{number:032x}", "engine-1@1", 1)
        used = time.process_time() - started
        print(f"{count:5} facts: {used / count * 1e6:.1f} us each")
