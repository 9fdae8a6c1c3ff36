"""Measure the traffic, the processor time and the propagation time of gossip.

Nodes are gossip loops over UDP sockets in one process; the results are extrapolated
linearly to `TARGET_NODE_COUNT` nodes. The cost of one node with that many synthetic
members is also measured directly.
"""

from gevent import monkey

monkey.patch_all()

import sys  # noqa: E402
import time  # noqa: E402
from dataclasses import dataclass  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))

from endive_core.members import Digest, MemberState  # noqa: E402
from endive_core.membership import Timings  # noqa: E402
from endive_node.gossip import (  # noqa: E402
    HEADER_BYTES,
    Gossip,
    decode_digest,
    encode_digest,
    listen_udp,
)
from endive_node.telemetry import MonotonicClock  # noqa: E402
from simulated_network import SimulatedNetwork, member  # noqa: E402

NODE_COUNTS = (8, 32, 64)
TARGET_NODE_COUNT = 370
DATAGRAMS_PER_S = 3.0
STEADY_S = 10.0
SPREAD_TIMEOUT_S = 60.0
MAX_CORE_SHARE, MAX_BYTES_PER_S = 0.034, 10_000
OFFSET_UPDATES = 3


@dataclass
class Figures:
    """Cost of one node, and propagation times in seconds."""

    nodes: int
    bytes_per_s: float
    core_share: float
    offset_s: float
    leaving_s: float
    suspected: int


def start(count: int) -> list[Gossip]:
    """Return running gossip loops with three seeds each."""
    clock = MonotonicClock()
    sockets = [listen_udp("127.0.0.1", 0) for _ in range(count)]
    addresses = [f"127.0.0.1:{udp.getsockname()[1]}" for udp in sockets]
    loops = []
    for number, udp in enumerate(sockets):
        seeds = {addresses[(number + step) % count] for step in (1, 2, 3)}
        loops.append(
            Gossip(
                member(number, gossip_address=addresses[number]),
                udp,
                clock,
                datagrams_per_s=DATAGRAMS_PER_S,
                timings=Timings(),
                seeds=seeds - {addresses[number]},
                seed=number,
            )
        )
    for loop in loops:
        loop.start()
    return loops


def seconds_until(condition, loops: list[Gossip]) -> float:
    """Return the seconds until `condition` holds for all loops."""
    started = time.monotonic()
    while not all(condition(loop) for loop in loops):
        if time.monotonic() - started > SPREAD_TIMEOUT_S:
            return float("inf")
        gevent.sleep(0.02)
    return time.monotonic() - started


def measure(count: int) -> Figures:
    """Measure `count` nodes."""
    loops = start(count)
    seconds_until(lambda loop: len(loop.members.live()) == count, loops)
    gevent.sleep(5.0)
    bytes_before, cpu_before = traffic(loops), time.process_time()
    gevent.sleep(STEADY_S)
    bytes_used = traffic(loops) - bytes_before
    cpu_used = time.process_time() - cpu_before
    suspected = sum(len(loop.members.suspected()) for loop in loops)
    offset_s = max(spread_offset(loops, offset) for offset in range(OFFSET_UPDATES))
    first = loops[0]
    first.members.set_state(MemberState.LEAVING)
    leaving_s = seconds_until(lambda loop: len(loop.members.live()) == count - 1, loops)
    for loop in loops:
        loop.stop()
    return Figures(
        count,
        bytes_used / count / STEADY_S,
        cpu_used / count / STEADY_S,
        offset_s,
        leaving_s,
        suspected,
    )


def traffic(loops: list[Gossip]) -> int:
    """Return all bytes sent and received so far, headers included."""
    return sum(loop.sent_bytes + loop.received_bytes for loop in loops)


def spread_offset(loops: list[Gossip], offset: int) -> float:
    """Return the seconds until all nodes received one node's new offset."""
    loops[offset].members.set_offset(offset)
    return seconds_until(lambda loop: loop.members.highest_offset >= offset, loops)


def measure_alone(count: int) -> tuple[float, float]:
    """Return the bytes a second and core share of a node with synthetic members.

    The node sends and receives as many datagrams as in a cluster of `count` nodes.
    """
    network = SimulatedNetwork(2)
    node, other = network.nodes.values()
    for membership in (node, other):
        membership.receive(Digest(member(0), members=[member(n) for n in range(count)]))
    for _ in range(20):
        membership.digest(), other.digest()
    sent = received = 0
    rounds = 60
    used = 0.0
    for number in range(rounds):
        updated = [member(n, heartbeat=number + 1) for n in range(count)]
        other.receive(Digest(member(0), members=updated))
        incoming = encode_digest(other.digest(), 0.0)
        started = time.process_time()
        node.tick()
        sent += len(encode_digest(node.digest(), 0.0)) + HEADER_BYTES
        node.receive(decode_digest(incoming, 0.0))
        node.live()
        used += time.process_time() - started
        received += len(incoming) + HEADER_BYTES
        network.time += 1 / DATAGRAMS_PER_S
    scale = DATAGRAMS_PER_S / rounds
    return (sent + received) * scale, used * scale


def main() -> None:
    """Print the table and the extrapolation to `TARGET_NODE_COUNT` nodes."""
    heading = "nodes  bytes/s a node  % of a core  offset s  leaving s  suspected"
    print(heading)
    rows = [measure(count) for count in NODE_COUNTS]
    for row in rows:
        print(
            f"{row.nodes:5}{row.bytes_per_s:16.0f}{row.core_share * 100:13.2f}"
            f"{row.offset_s:10.2f}{row.leaving_s:11.2f}{row.suspected:11}"
        )
    for name, values, limit in (
        ("bytes/s", [row.bytes_per_s for row in rows], MAX_BYTES_PER_S),
        ("core", [row.core_share for row in rows], MAX_CORE_SHARE),
    ):
        slope = (values[-1] - values[0]) / (NODE_COUNTS[-1] - NODE_COUNTS[0])
        extrapolated = values[-1] + slope * (TARGET_NODE_COUNT - NODE_COUNTS[-1])
        print(
            f"{name}: slope {slope:.6g} a member; by slope at {TARGET_NODE_COUNT}: "
            f"{extrapolated:.5g} (limit {limit}); datagrams are full before that"
        )
    bytes_per_s, core_share = measure_alone(TARGET_NODE_COUNT)
    print(
        f"{TARGET_NODE_COUNT} synthetic members, one node: "
        f"{bytes_per_s:.0f} bytes/s, {core_share * 100:.2f} % of a core"
    )


if __name__ == "__main__":
    main()
