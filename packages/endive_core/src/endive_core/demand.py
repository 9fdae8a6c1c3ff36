"""The nodes' demand for prefill of one service, by priority and organisation.

A node sees a small part of the requests. Each therefore tells the others, in every
state message, how many prompt tokens a second its callers ask for and how many are
pending at servers, by priority, and which organisations ask for most.
"""

import math
from dataclasses import dataclass, field, replace

from endive_core.calls import Call, Ticket
from endive_core.servers import ServerSet

WINDOW_S = 1.0
"""Time constant of the rates, seconds. It averages over the requests of a node that
gets a few a second, and follows a burst of three seconds."""

MAX_ORGANISATIONS = 6
"""Pairs of priority and organisation in one report, those with most demand."""

MIN_SHARE_REPORTED = 0.1
"""Part of a node's demand of a priority from which an organisation is reported."""

MISSED_REPORTS = 3
"""Intervals between reports after which a node's last one no longer counts."""

LevelReport = tuple[int, int, int]
"""Prompt tokens offered a second, pending at servers, and begun to be answered a
second."""

OrganisationReport = tuple[int, str, int]
"""Index of the priority, organisation, prompt tokens offered a second."""

LateReport = list[tuple[int, int]]
"""By priority, the prompt tokens sent as late: pending at servers, and begun to be
answered a second; empty without any."""

DemandReport = tuple[list[LevelReport], list[OrganisationReport]]
"""A node's demand of one service: its priorities, the most urgent first, and the
organisations that ask for most."""


@dataclass(slots=True)
class Rate:
    """Exponentially smoothed rate of tokens."""

    value: float = 0.0
    updated_at: float = -math.inf

    def add(self, tokens: float, now: float) -> None:
        """Count `tokens` at `now`."""
        self.value = self.at(now) + tokens / WINDOW_S
        self.updated_at = now

    def at(self, now: float) -> float:
        """Return the rate at `now`, tokens a second."""
        return self.value * math.exp(min(0.0, (self.updated_at - now) / WINDOW_S))


@dataclass(slots=True)
class LevelDemand:
    """Prompt tokens of one priority.

    Attributes
    ----------
    offered : float
        Tokens a second that callers ask for.
    pending : float
        Tokens sent to servers that have not begun to answer.
    answered : float
        Tokens a second whose answers begin.
    late_pending, late_answered : float
        The same of prompts that were sent as late, which `pending` leaves out.
    """

    offered: float = 0.0
    pending: float = 0.0
    answered: float = 0.0
    late_pending: float = 0.0
    late_answered: float = 0.0


@dataclass
class Demand:
    """Demand of several nodes.

    Attributes
    ----------
    nodes : int
        Number of nodes whose demand is included.
    organisations : dict of (int, str) to float
        Tokens offered a second, by index of the priority and organisation.
    """

    levels: list[LevelDemand]
    organisations: dict[tuple[int, str], float] = field(default_factory=dict)
    nodes: int = 0

    def add(self, report: DemandReport, late: LateReport, sign: int = 1) -> None:
        """Add one node's reports, or subtract them if `sign` is -1.

        Further priorities than expected are left out.
        """
        for level, found in zip(self.levels, report[0], strict=False):
            offered, pending, answered = found
            level.offered += sign * offered
            level.pending += sign * pending
            level.answered += sign * answered
        for level, (pending, answered) in zip(self.levels, late, strict=False):
            level.late_pending += sign * pending
            level.late_answered += sign * answered
        for rank, name, offered in report[1]:
            key = (rank, name)
            tokens = self.organisations.get(key, 0.0) + sign * offered
            if tokens > 0:
                self.organisations[key] = tokens
            else:
                self.organisations.pop(key, None)
        self.nodes += sign


def most_tokens(call: Call, servers: ServerSet, least_s: float, now: float) -> float:
    """Return the prompt tokens that a server can compute before a call's deadline.

    A caller may state any number. What no server can do is no demand that others must
    leave room for.

    Parameters
    ----------
    least_s : float
        Time for which it counts at least, seconds.
    """
    items = servers.accepting.items
    if not items or call.deadline is None:
        return math.inf
    left_s = max(least_s, call.deadline - now)
    return items[0].view.prefill_tokens_per_s * left_s


class DemandMeter:
    """Demand of one node, as it sees it itself.

    Attributes
    ----------
    mean_tokens, small_share : list of float
        By priority, the mean length of a prompt, and the part of the tokens that is in
        prompts up to that length.
    """

    def __init__(self) -> None:
        self.rates: list[Rate] = []
        self.answers: list[Rate] = []
        self.mean_tokens: list[float] = []
        self.small_share: list[float] = []
        self.organisations: dict[tuple[int, str], Rate] = {}
        self.uncached: list[float] = []
        self.sent: dict[Ticket, tuple[int, str, float]] = {}
        self.sent_late: dict[Ticket, tuple[int, float]] = {}
        self.late_answers: list[Rate] = []
        self.by_server: dict[str, list[float]] = {}

    def set_levels(self, count: int) -> None:
        """Start anew with `count` priorities."""
        self.rates = [Rate() for _ in range(count)]
        self.answers = [Rate() for _ in range(count)]
        self.late_answers = [Rate() for _ in range(count)]
        self.mean_tokens = [0.0] * count
        self.small_share = [1.0] * count
        self.uncached = [1.0] * count
        self.organisations.clear()
        self.sent.clear()
        self.sent_late.clear()
        self.by_server.clear()

    def offered(
        self, rank: int, call: Call, now: float, *, most: float = math.inf
    ) -> None:
        """Count a call that a caller asks for.

        Parameters
        ----------
        most : float
            Prompt tokens that it may count for.
        """
        length = min(call.prompt_tokens, most)
        tokens = max(1.0, length * self.uncached[rank])
        mean = self.mean_tokens[rank] or length
        # Beyond a weight of 1, one very long prompt would take the part below 0.
        weight = min(1.0, LENGTH_SMOOTHING * length / max(1.0, mean))
        is_small = length <= mean
        self.small_share[rank] += weight * (is_small - self.small_share[rank])
        self.mean_tokens[rank] = mean + LENGTH_SMOOTHING * (length - mean)
        self.rates[rank].add(tokens, now)
        key = (rank, call.organisation)
        self.organisations.setdefault(key, Rate()).add(tokens, now)

    def dispatched(self, rank: int, ticket: Ticket) -> None:
        """Count a prompt as pending at its server, in time or late."""
        self.ended(ticket)
        if ticket.call.prompt_tokens:
            part = ticket.uncached_tokens / ticket.call.prompt_tokens
            self.uncached[rank] += UNCACHED_SMOOTHING * (part - self.uncached[rank])
        if ticket.yields:
            self.sent_late[ticket] = (rank, ticket.uncached_tokens)
        else:
            self.sent[ticket] = (rank, ticket.server, ticket.uncached_tokens)
            pending = self.by_server.setdefault(ticket.server, [0.0] * len(self.rates))
            pending[rank] += ticket.uncached_tokens

    def started(self, rank: int, ticket: Ticket, now: float) -> None:
        """Count a prompt whose answer has begun."""
        self.answers[rank].add(ticket.uncached_tokens, now)
        if ticket in self.sent_late:
            self.late_answers[rank].add(ticket.uncached_tokens, now)
        self.ended(ticket)

    def ended(self, ticket: Ticket) -> None:
        """Count a prompt as no longer pending."""
        self.sent_late.pop(ticket, None)
        rank, server, tokens = self.sent.pop(ticket, (0, "", 0.0))
        pending = self.by_server.get(server)
        if pending is None:
            return
        pending[rank] -= tokens
        if max(pending) < 1.0:
            del self.by_server[server]

    def pending_at(self, server: str) -> list[float]:
        """Return the tokens pending at a server, by priority."""
        return self.by_server.get(server, [0.0] * len(self.rates))

    def prompt_tokens(self, rank: int) -> float:
        """Return the mean tokens of a prompt that a server has to compute."""
        return self.mean_tokens[rank] * self.uncached[rank]

    def report(self, now: float) -> DemandReport:
        """Return the demand as it is sent to other nodes."""
        offered = [rate.at(now) for rate in self.rates]
        pending = [0.0] * len(offered)
        for rank, _, tokens in self.sent.values():
            pending[rank] += tokens
        largest = []
        for (rank, name), rate in list(self.organisations.items()):
            tokens = rate.at(now)
            if tokens < 1.0:
                del self.organisations[rank, name]
            elif tokens >= MIN_SHARE_REPORTED * offered[rank]:
                largest.append((rank, name, round(tokens)))
        largest.sort(key=lambda entry: -entry[2])
        answers = [rate.at(now) for rate in self.answers]
        figures = zip(offered, pending, answers, strict=True)
        levels = [(round(a), round(b), round(c)) for a, b, c in figures]
        return levels, largest[:MAX_ORGANISATIONS]

    def late_report(self, now: float) -> LateReport:
        """Return the prompts sent as late, as they are told to other nodes."""
        answered = [round(rate.at(now)) for rate in self.late_answers]
        if not self.sent_late and not any(answered):
            return []
        pending = [0.0] * len(answered)
        for rank, tokens in self.sent_late.values():
            pending[rank] += tokens
        return [(round(a), b) for a, b in zip(pending, answered, strict=True)]


LENGTH_SMOOTHING = 0.01
"""Weight of the newest prompt in the lengths: the last hundred count."""

UNCACHED_SMOOTHING = 0.02
"""Weight of the newest prompt in the part that a server has to compute."""


class FleetDemand:
    """The newest reports of the other nodes, and their sum.

    Attributes
    ----------
    interval_s : float
        Time between two reports of one node, seconds. A report counts for
        `MISSED_REPORTS` times as long; what a silent node has is then left out, both
        its demand and its part of the capacity.
    others : Demand
        Sum of the reports; kept up to date with each, so that its cost does not grow
        with the number of nodes.
    known : Demand
        That sum with this node's own demand, as of the last :meth:`total`.
    """

    def __init__(self) -> None:
        self.reports: dict[str, tuple[DemandReport, LateReport, float]] = {}
        self.interval_s = 0.2
        self.next_sweep_at = -math.inf
        self.others = Demand([])
        self.known = Demand([])

    def set_levels(self, count: int) -> None:
        """Start anew with `count` priorities."""
        self.reports.clear()
        self.others = Demand([LevelDemand() for _ in range(count)])
        self.known = Demand([LevelDemand() for _ in range(count)])

    def receive(
        self,
        node: str,
        report: DemandReport,
        now: float,
        late: LateReport | None = None,
    ) -> None:
        """Replace a node's reports."""
        self.remove(node)
        late = late or []
        self.reports[node] = (report, late, now)
        self.others.add(report, late)

    def remove(self, node: str) -> None:
        """Remove what a node has reported."""
        found = self.reports.pop(node, None)
        if found is not None:
            self.others.add(found[0], found[1], -1)

    def total(
        self, own: DemandReport, now: float, late: LateReport | None = None
    ) -> Demand:
        """Return the demand of all nodes that are heard of, with this node's own."""
        self._sweep(now)
        others = self.others
        levels = [replace(level) for level in others.levels]
        self.known = Demand(levels, dict(others.organisations), others.nodes)
        self.known.add(own, late or [])
        return self.known

    def _sweep(self, now: float) -> None:
        """Remove reports that no longer count, once per interval."""
        if now < self.next_sweep_at:
            return
        self.next_sweep_at = now + self.interval_s
        oldest = now - MISSED_REPORTS * self.interval_s
        for node in [n for n, (_, _, at) in self.reports.items() if at < oldest]:
            self.remove(node)

    def pending_share(self, rank: int) -> float:
        """Return the part of all pending tokens that is at least as urgent."""
        pending = [level.pending for level in self.known.levels]
        total = sum(pending)
        return sum(pending[: rank + 1]) / total if total else 1.0
