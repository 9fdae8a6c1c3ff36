"""Measure what admission control by demand costs a node, by the number of nodes.

Prints the processor time of a request's decision, of taking another node's report and
of one's own report, and the bytes that it adds to a state message.
"""

import time
from collections.abc import Callable
from random import Random
from statistics import median

import msgspec
from endive_core.calls import Call, Ticket
from endive_core.contention import Contention, levels_of
from endive_core.messages import ServerView
from endive_core.policy import Policy
from endive_core.servers import ServerSet
from endive_gateway.peers import BROADCAST_INTERVAL_PER_NODE_S, BROADCAST_INTERVAL_S

NODE_COUNTS = (6, 30, 200, 375)
ENGINES = 45
ORGANISATIONS = 16
TARGETS = ((0, 0.535), (1, 1.219), (2, 3.015))
PROMPT_TOKENS = (9_190, 2_368, 715)
REQUESTS_PER_S = (128.0, 137.0, 68.0)
"""Engines and requests of all nodes, as in ``deployments/messages-86.toml``."""

OVERLOAD = 2.0
BEGUN_SHARE = 0.98
"""Part of the prompts that begin; the others stay pending, so that some are late."""

SECONDS = 20.0
ROUNDS = 5


class FleetLoad:
    """One node's decisions while all nodes get `OVERLOAD` times the usual requests."""

    def __init__(self, nodes: int) -> None:
        self.nodes = nodes
        self.random = Random(nodes)
        self.interval_s = max(
            BROADCAST_INTERVAL_S, BROADCAST_INTERVAL_PER_NODE_S * nodes
        )
        servers = ServerSet(Random(1), reserved_share=0.0, divided_share=0.0)
        servers.set_servers(
            ServerView(f"s{n}", "", "", "s", 64, 40_000.0, 50.0) for n in range(ENGINES)
        )
        for server in servers.servers.values():
            servers.refresh(server)
        servers.nodes = nodes
        self.contention = Contention(Policy(), servers)
        self.contention.set_levels(levels_of(TARGETS, 2.0))
        self.contention.fleet.interval_s = self.interval_s
        self.decisions_s = self.reports_s = self.own_s = 0.0
        self.decisions = self.reports = self.own = 0
        self.bytes: list[int] = []

    def run(self) -> None:
        """Send the requests of one node and the reports of all others."""
        steps = 100
        for step in range(int(SECONDS * steps)):
            now = step / steps
            for rank, per_s in enumerate(REQUESTS_PER_S):
                rate = OVERLOAD * per_s / self.nodes / steps
                while self.random.random() < rate:
                    rate -= 1.0
                    self._request(rank, now)
            expected = (self.nodes - 1) / self.interval_s / steps
            while self.random.random() < expected:
                expected -= 1.0
                self._report(self.random.randrange(1, self.nodes), now)
            if step % round(self.interval_s * steps) == 0:
                self._own_report(now)

    def _request(self, rank: int, now: float) -> None:
        organisation = f"organisation-{int(self.random.paretovariate(1.0)) % 16}"
        tokens = int(self.random.expovariate(1 / PROMPT_TOKENS[rank])) + 1
        name = f"r{self.random.getrandbits(64):x}"
        call = Call(
            name, organisation, level=-rank, prompt_tokens=tokens, fingerprint=name
        )
        ticket = Ticket(call, now, tokens)
        ticket.server = f"s{self.random.randrange(ENGINES)}"
        ticket.uncached_tokens = float(tokens)

        def decide() -> None:
            if self.contention.refusal(call, now) is None:
                ticket.excess = ticket.yields = self.contention.exceeds(call, now)
                if ticket.yields:
                    self.contention.late_start_s(ticket)
                self.contention.dispatched(ticket)
                if self.random.random() < BEGUN_SHARE:
                    self.contention.started(ticket, now)

        self.decisions_s += _timed(decide)
        self.decisions += 1

    def _report(self, number: int, now: float) -> None:
        levels = [
            (round(OVERLOAD * rate * tokens / self.nodes), tokens, tokens)
            for rate, tokens in zip(REQUESTS_PER_S, PROMPT_TOKENS, strict=True)
        ]
        named = [
            (self.random.randrange(3), f"organisation-{self.random.randrange(16)}", 500)
            for _ in range(6)
        ]
        late = [(tokens, tokens) for tokens in PROMPT_TOKENS]
        fleet, address = self.contention.fleet, f"10.0.0.{number}:7000"
        self.reports_s += _timed(
            lambda: fleet.receive(address, (levels, named), now, late)
        )
        self.reports += 1

    def _own_report(self, now: float) -> None:
        found = []

        def report() -> None:
            found.append({"engine": self.contention.report(now)})
            found.append({"engine": self.contention.late_report(now)})

        self.own_s += _timed(report)
        self.own += 1
        self.bytes.append(sum(len(msgspec.msgpack.encode(part)) for part in found))


def _timed(action: Callable[[], object]) -> float:
    began = time.process_time_ns()
    action()
    return (time.process_time_ns() - began) / 1e9


def row(nodes: int) -> str:
    """Return the medians of several runs as a row of a table."""
    runs = [FleetLoad(nodes) for _ in range(ROUNDS)]
    for run in runs:
        run.run()
    request_us = median(1e6 * r.decisions_s / r.decisions for r in runs)
    report_us = median(1e6 * r.reports_s / r.reports for r in runs)
    own_us = median(1e6 * r.own_s / r.own for r in runs)
    ms_per_s = median(
        1e3 * (r.decisions_s + r.reports_s + r.own_s) / SECONDS for r in runs
    )
    sizes = sorted(size for r in runs for size in r.bytes)
    return (
        f"| {nodes} | {request_us:.0f} | {report_us:.1f} | {own_us:.0f} "
        f"| {ms_per_s:.1f} | {median(sizes):.0f}, {sizes[-1]} |"
    )


def main() -> None:
    """Print the table."""
    print(
        "| nodes | request, us | other's report, us | own report, us | ms/s | bytes |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for nodes in NODE_COUNTS:
        print(row(nodes), flush=True)


if __name__ == "__main__":
    main()
