"""Loss report: counts the requests in gateways' logs by outcome or cause of lateness.

Each request has exactly one cause, so the counts add up to the number of requests.
A gateway logs a request from its first byte to the end of its response. Requests that
arrived while a node accepted no connections are in no log; they show only as downtime
of the node (``dark_s``).
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
"""Outcomes of requests without a valid key or route. They are left out of the report,
since no configuration would have served them."""

MIN_DARK_S = 0.5
"""Shortest gap in a node's log before a start that counts as downtime, seconds. A busy
node logs every few milliseconds."""


def loss_cause(line: LogLine) -> str:
    """Return why a request was not completed in time, or ``IN_TIME``.

    A late first byte is attributed to the queue only if the request would have been in
    time without the time in the queue.
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
    """Requests by cause, downtime of nodes, and the cost of serving.

    Attributes
    ----------
    every_s : float
        Length of the time intervals of `by_time`, seconds.
    by_route, by_time : dict
        Number of requests by cause, for each route and for each time interval.
    dark_s : dict of str to float
        Downtime of each node, seconds: the gaps in its log before each start.
    servers_s : dict
        Server seconds ordered, by service and kind.
    prompt_tokens, uncached_tokens : float
        Tokens of the prompts, and those of them that were expected to be computed.
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
        """Return the report on `lines`, which are sorted by time."""
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
        """Count one request, unless its outcome is left out of the report."""
        cause = loss_cause(line)
        if cause in UNCOUNTED_OUTCOMES:
            return
        started_at = max(0.0, line.at - line.number("ms") / 1000)
        self.by_route[line.fields.get("route", "")][cause] += 1
        self.by_time[started_at // self.every_s * self.every_s][cause] += 1
        self.prompt_tokens += line.number("prompt")
        self.uncached_tokens += line.number("uncached")

    def causes(self) -> list[str]:
        """Return all causes found, the most frequent first."""
        totals = Counter()
        for counts in self.by_route.values():
            totals.update(counts)
        return [cause for cause, _ in totals.most_common()]

    def to_body(self) -> dict:
        """Return the report as a JSON-serialisable dict."""
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
    """Adds up server seconds: the number of servers ordered, times the duration."""

    def __init__(self, totals: dict[tuple[str, str], float]) -> None:
        self.totals = totals
        self.ordered: dict[tuple[str, str, str], tuple[float, float]] = {}

    def add_order(self, line: LogLine) -> None:
        """Add an order; it replaces the last one of its service, kind and zone."""
        kind = "reclaimable" if line.fields.get("reclaimable") == "True" else "kept"
        key = (line.fields.get("service", ""), kind, line.fields.get("zone", ""))
        self._count(key, line.at)
        self.ordered[key] = (line.number("servers"), line.at)

    def count_until(self, at: float) -> None:
        """Add up the servers on order until `at`, seconds."""
        for key in self.ordered:
            self._count(key, at)

    def _count(self, key: tuple[str, str, str], at: float) -> None:
        servers, since = self.ordered.get(key, (0.0, at))
        self.totals[key[:2]] += servers * (at - since)
