"""Where callers lost: each request of a log by cause, so that all of them add up.

A gateway sees a request from its first byte to the end of its answer. What was lost
before, while no node took connections, shows as dark time of the nodes.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from endive_ctl.loglines import LogLine

IN_TIME = "in time"
QUEUED = "late: queued"
RETRIED = "late: sent again"
AT_SERVER = "late: first byte"
YIELDED = "late: behind others"
PAUSED = "late: pause"
UNCOUNTED_OUTCOMES = frozenset({"not_found", "unauthenticated"})
"""Outcomes of requests that no configuration allows: nothing is owed to them."""

MIN_DARK_S = 0.5
"""Silence before a start that counts as dark, seconds: a busy node logs every few
milliseconds."""


def loss_cause(line: LogLine) -> str:
    """Return why a request's caller got less than a whole answer in time.

    A late answer is put down to the queue only if it would have been in time without.
    """
    outcome = line.fields.get("outcome", "")
    if outcome != "ok":
        return outcome
    over_ms = line.number("first_ms") - line.number("target_ms")
    pause_ms = line.number("pause_ms")
    if line.number("target_ms") and over_ms > 0:
        if "," in line.fields.get("servers", ""):
            return RETRIED
        if line.number("queued_ms") >= over_ms:
            return QUEUED
        return YIELDED if line.number("yielded") else AT_SERVER
    if pause_ms and line.number("gap_ms") > pause_ms:
        return PAUSED
    return IN_TIME


@dataclass
class LossReport:
    """What a log says of the callers' losses and of what serving cost.

    Attributes
    ----------
    by_route, by_time : dict
        Requests by cause, for each route and each step of time.
    dark_s : dict of str to float
        Seconds by node in which it said nothing before it started.
    servers_s : dict
        Seconds of servers ordered, by service and kind.
    """

    every_s: float
    by_route: dict[str, Counter] = field(default_factory=lambda: defaultdict(Counter))
    by_time: dict[float, Counter] = field(default_factory=lambda: defaultdict(Counter))
    dark_s: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    servers_s: dict[tuple[str, str], float] = field(
        default_factory=lambda: defaultdict(float)
    )
    prompt_tokens: float = 0.0
    uncached_tokens: float = 0.0

    @classmethod
    def from_lines(cls, lines: Iterable[LogLine], every_s: float = 2.0) -> "LossReport":
        """Return the losses in `lines`, which are in order of time."""
        report = cls(every_s)
        last_line_at: dict[str, float] = {}
        orders = OrderedServers(report.servers_s)
        at = 0.0
        for line in lines:
            at = line.at
            if line.event == "request":
                report.add_request(line)
            elif line.event == "start":
                silent_s = at - last_line_at.get(line.node, at)
                if silent_s >= MIN_DARK_S:
                    report.dark_s[line.node] += silent_s
            elif line.event == "ordered":
                orders.add_order(line)
            last_line_at[line.node] = at
        orders.count_until(at)
        return report

    def add_request(self, line: LogLine) -> None:
        """Count one request."""
        cause = loss_cause(line)
        if cause in UNCOUNTED_OUTCOMES:
            return
        started_at = max(0.0, line.at - line.number("ms") / 1000)
        self.by_route[line.fields.get("route", "")][cause] += 1
        self.by_time[started_at // self.every_s * self.every_s][cause] += 1
        self.prompt_tokens += line.number("prompt")
        self.uncached_tokens += line.number("uncached")

    def causes(self) -> list[str]:
        """Return all causes found, those that hit most requests first."""
        totals = Counter()
        for counts in self.by_route.values():
            totals.update(counts)
        return [cause for cause, _ in totals.most_common()]

    def to_body(self) -> dict:
        """Return the same for programs."""
        return {
            "routes": {route: dict(counts) for route, counts in self.by_route.items()},
            "steps": [
                {"from_s": at, "causes": dict(counts)}
                for at, counts in sorted(self.by_time.items())
            ],
            "servers": [
                {"service": service, "kind": kind, "seconds": seconds}
                for (service, kind), seconds in sorted(self.servers_s.items())
            ],
            "dark_s": dict(self.dark_s),
            "prompt_tokens": self.prompt_tokens,
            "uncached_tokens": self.uncached_tokens,
        }


class OrderedServers:
    """Adds up for how long servers were on order."""

    def __init__(self, totals: dict[tuple[str, str], float]) -> None:
        self.totals = totals
        self.ordered: dict[tuple[str, str, str], tuple[float, float]] = {}

    def add_order(self, line: LogLine) -> None:
        """Take in an order, which replaces the one before of its zone and kind."""
        kind = "reclaimable" if line.fields.get("reclaimable") == "True" else "kept"
        key = (line.fields.get("service", ""), kind, line.fields.get("zone", ""))
        self._count(key, line.at)
        self.ordered[key] = (line.number("servers"), line.at)

    def count_until(self, at: float) -> None:
        """Count what is on order up to `at`."""
        for key in self.ordered:
            self._count(key, at)

    def _count(self, key: tuple[str, str, str], at: float) -> None:
        servers, since = self.ordered.get(key, (0.0, at))
        self.totals[key[:2]] += servers * (at - since)
