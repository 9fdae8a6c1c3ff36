"""Admission control by priority and organisation when demand exceeds capacity.

Applies to engine services where a kind of request may wait: its target is at least
twice that of the most urgent kind. The nodes tell each other their demand, see
:mod:`.demand`; each decides by itself on its own part, from the sum:

- How much work of each priority can start in time: the capacity, less the work of more
  urgent priorities, less what the backlog exceeds its target by.
- Within a priority, which organisations get it: each gets what it asks for up to a
  common level, so that one that sends several times its rate slows itself first.
- While less waits than can begin in time, everything can: capacity is an estimate.
- What exceeds this and may wait is refused before it is queued. What may not wait is
  sent as late: behind all requests that can still be in time.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from endive_core.calls import Call, Refusal, Ticket
from endive_core.demand import (
    Demand,
    DemandMeter,
    DemandReport,
    FleetDemand,
    LateReport,
    most_tokens,
)
from endive_core.demand_shares import Shares, divide
from endive_core.exceptions import ErrorKind
from endive_core.hashing import shard_of
from endive_core.policy import Policy
from endive_core.servers import ServerSet

UPDATE_INTERVAL_S = 0.05
"""Time between two computations of the shares, seconds: a tenth of the shortest target
for which they were designed."""

OBSERVED_S = 5.0
"""Time constant with which an observed rate of the servers decays, seconds: servers are
observed at their capacity only while requests wait."""

DRAWS = 1 << 16
"""Number of different draws of a request's fingerprint."""

MIN_LATE_SHARE = 0.1
"""Least part of the capacity that late prompts are taken to get, so that the predicted
wait stays finite while they get none."""

LATE_PRIORITY = 6
"""Priority at the server of the late requests of the most urgent level. Levels below it
take two numbers each: within the organisation's share, and above."""

LOWEST_PRIORITY = 9
MAX_LEVELS = 3
"""Levels of urgency that have numbers of their own; further ones share the last."""


@dataclass(frozen=True, slots=True)
class Level:
    """One priority of a service.

    Attributes
    ----------
    target_s : float
        Shortest target of its routes, seconds.
    may_wait : bool
        Whether its target is so long that its requests leave room for others.
    """

    priority: int
    target_s: float
    may_wait: bool


def levels_of(
    targets: Iterable[tuple[int, float]], min_ratio: float
) -> tuple[Level, ...]:
    """Return the levels of a service, the most urgent first; empty if none may wait.

    Parameters
    ----------
    targets : iterable of (int, float)
        Priority and target in seconds of each route of the service.
    min_ratio : float
        Ratio of a level's target to that of the most urgent one from which its requests
        may wait; 0 if none ever may.
    """
    shortest: dict[int, float] = {}
    for priority, target_s in targets:
        shortest[priority] = min(target_s, shortest.get(priority, math.inf))
    if not shortest or min_ratio <= 0:
        return ()
    urgent_s = shortest[min(shortest)]
    levels = tuple(
        Level(
            priority,
            shortest[priority],
            priority > min(shortest) and shortest[priority] >= min_ratio * urgent_s,
        )
        for priority in sorted(shortest)
    )
    return levels if any(level.may_wait for level in levels) else ()


class Contention:
    """Decides on a service's requests at one node; inactive without levels.

    Attributes
    ----------
    levels : tuple of Level
        The service's priorities, the most urgent first.
    fleet : FleetDemand
        What the other nodes have told.
    meter : DemandMeter
        This node's own demand.
    weights : mapping of str to float
        Declared shares of organisations; 1 by default.
    clock_offset_s : float
        Difference between the clock that all nodes share and that of the `now`
        arguments.
    capacity : float
        Prompt tokens a second of the servers, the known nodes' part.
    shed, late : int
        Requests refused and sent as late for lack of capacity.
    counts_offers : bool
        Whether calls count as demand; not while an operator asks what would become of
        one.
    """

    def __init__(self, policy: Policy, servers: ServerSet) -> None:
        self.policy = policy
        self.servers = servers
        self.levels: tuple[Level, ...] = ()
        self.fleet = FleetDemand()
        self.meter = DemandMeter()
        self.weights: Mapping[str, float] = {}
        self.clock_offset_s = 0.0
        self.shares: list[Shares] = []
        self.next_update_at = -math.inf
        self.capacity = 0.0
        self.observed = 0.0
        self.observed_at = -math.inf
        self.shed = 0
        self.late = 0
        self.counts_offers = True

    @property
    def active(self) -> bool:
        """Whether the service's configuration calls for these decisions."""
        return bool(self.levels)

    def set_levels(self, levels: Sequence[Level]) -> None:
        """Apply the priorities and targets of the service's routes."""
        if tuple(levels) != self.levels:
            self.levels = tuple(levels)
            self.shares = [Shares() for _ in self.levels]
            self.meter.set_levels(len(self.levels))
            self.fleet.set_levels(len(self.levels))
            self.servers.expects_bursts = not self.active

    def rank(self, priority: int) -> int:
        """Return the index of the level of `priority`, or of the next more urgent."""
        found = 0
        for index, level in enumerate(self.levels):
            if level.priority <= priority:
                found = index
        return found

    # Decisions

    def refusal(self, call: Call, now: float) -> Refusal | None:
        """Count an offered call; return why it is refused, or ``None``.

        A stream that goes on is not refused: its caller has a part of the response.
        """
        if not self.active:
            return None
        rank = self.rank(-call.level)
        if self.counts_offers:
            most = most_tokens(call, self.servers, self.levels[rank].target_s, now)
            self.meter.offered(rank, call, now, most=most)
        self._update(now)
        is_resumed = call.software_version is not None
        if is_resumed or not self.levels[rank].may_wait or not self.exceeds(call, now):
            return None
        self.shed += self.counts_offers
        return Refusal.from_kind(
            ErrorKind.OVERLOADED,
            "capacity is kept for more urgent requests and other organisations",
            self._retry_after_s(call, rank, now),
        )

    def exceeds(self, call: Call, now: float) -> bool:
        """Return whether a call is beyond what can be served in time."""
        if not self.active:
            return False
        rank = self.rank(-call.level)
        return self._draw(call, rank, now) >= self._part(call, rank)

    def _part(self, call: Call, rank: int) -> float:
        """Return the part of calls like this one that can be served in time.

        Where not all can, prompts longer than the mean get the part that they must
        have, and the shorter ones what is left of the tokens: the same tokens then
        serve more requests in time.
        """
        part = self.shares[rank].of(call.organisation)
        if part >= 1.0:
            return 1.0
        least = self.policy.contention_long_share
        if call.prompt_tokens > self.meter.mean_tokens[rank]:
            return least * part
        small = self.meter.small_share[rank]
        return part * (1 - least * (1 - small)) / max(0.1, small)

    def _draw(self, call: Call, rank: int, now: float) -> float:
        """Return a number from 0 up to 1 that falls with time.

        It follows from the fingerprint, the same on every node, so that a caller who
        returns at the time it was told gets a low number wherever it goes.
        """
        phase = shard_of(call.fingerprint, DRAWS) / DRAWS
        return (phase - (now + self.clock_offset_s) / self._period_s(rank)) % 1.0

    def _period_s(self, rank: int) -> float:
        return self.levels[rank].target_s

    def _retry_after_s(self, call: Call, rank: int, now: float) -> float:
        """Return when the call's draw is in the lower half of what is admitted."""
        shares = self.shares[rank]
        least, most = self.policy.min_retry_after_s, self.policy.max_retry_after_s
        earliest = max(least, shares.recovery_s)
        fraction = min(1.0, self._part(call, rank))
        later = now + earliest
        draw = self._draw(call, rank, later)
        wait_s = max(0.0, draw - fraction / 2) * self._period_s(rank)
        return min(most, earliest + wait_s)

    def server_priority(self, ticket: Ticket) -> int:
        """Return the priority of a ticket at its server."""
        rank = min(MAX_LEVELS - 1, self.rank(-ticket.call.level))
        within = self.shares[rank].within.get(ticket.call.organisation, True)
        if ticket.yields:
            return LATE_PRIORITY + rank if within else LOWEST_PRIORITY
        return 2 * rank + (not within)

    # Events

    def dispatched(self, ticket: Ticket) -> None:
        """Count a prompt that is sent to a server."""
        if self.active:
            self.late += ticket.yields
            self.meter.dispatched(self.rank(-ticket.call.level), ticket)

    def started(self, ticket: Ticket, now: float) -> None:
        """Count a prompt whose attempt has produced a first token."""
        if self.active:
            self.meter.started(self.rank(-ticket.call.level), ticket, now)

    def ended(self, ticket: Ticket) -> None:
        """Count a prompt whose attempt has ended."""
        if self.active:
            self.meter.ended(ticket)

    # Predictions

    def tokens_ahead(
        self, call: Call, server_id: str, own: float, others: float
    ) -> float:
        """Return the prompt tokens at a server that precede a call.

        Parameters
        ----------
        own, others : float
            Tokens of this node and of the others there, of all priorities.
        """
        if not self.active:
            return own + others
        rank = self.rank(-call.level)
        pending = self.meter.pending_at(server_id)
        return sum(pending[: rank + 1]) + others * self.fleet.pending_share(rank)

    def late_start_s(self, ticket: Ticket) -> float:
        """Return the time until a prompt that is sent as late has begun to be answered.

        It waits for all prompts in time, and for the late ones before it at the rate at
        which these are begun: far below the capacity while new prompts come.
        """
        if not self.active or not self.capacity:
            return 0.0
        rank = self.rank(-ticket.call.level)
        within = self.shares[rank].within.get(ticket.call.organisation, True)
        levels = self.fleet.known.levels
        ahead = sum(n.late_pending for n in levels[: rank + 1 if within else None])
        answered = sum(level.late_answered for level in levels)
        late_rate = max(answered, MIN_LATE_SHARE * self.capacity)
        in_time_s = sum(level.pending for level in levels) / self.capacity
        return in_time_s + (ahead + ticket.uncached_tokens) / late_rate

    # Shares

    def report(self, now: float) -> DemandReport:
        """Return this node's demand for its state message."""
        return self.meter.report(now)

    def late_report(self, now: float) -> LateReport:
        """Return this node's late prompts for its state message."""
        return self.meter.late_report(now)

    def _update(self, now: float) -> None:
        """Compute the levels' shares anew, once per interval."""
        if now < self.next_update_at:
            return
        self.next_update_at = now + UPDATE_INTERVAL_S
        own = self.meter.report(now)
        known = self.fleet.total(own, now, self.meter.late_report(now))
        nodes = max(1, self.servers.nodes)
        covered = min(1.0, known.nodes / nodes)
        capacity = self.capacity = self._capacity(known, now) * covered
        if capacity <= 0:
            self.shares = [Shares() for _ in self.levels]
            return
        demand = sum(level.offered for level in known.levels)
        overall = min(1.0, capacity / max(1.0, demand))
        least = self.policy.contention_min_share * overall
        backlog = 0.0
        urgent = 0.0
        is_short = False  # whether more urgent requests are already late or refused
        waiting = self._waiting(known, covered)
        reserved = [least * level.offered for level in known.levels]
        for rank, level in enumerate(self.levels):
            found = known.levels[rank]
            backlog += waiting[rank]
            target = capacity * level.target_s * self.policy.contention_backlog_part
            settle_s = max(self.fleet.interval_s, level.target_s)
            budget = max(0.0, capacity - urgent - sum(reserved[rank + 1 :]))
            correction = (target - backlog) / settle_s
            budget += min(0.0, correction) if is_short else correction
            budget = max(budget, reserved[rank])
            if backlog < target:
                budget = max(budget, found.offered)
            spare = max(1e-9, capacity - urgent - found.offered)
            named = {
                name: offered
                for (level, name), offered in known.organisations.items()
                if level == rank
            }
            self.shares[rank] = divide(
                budget,
                found.offered,
                named,
                self.weights,
                min_share=self.policy.contention_min_share,
            )
            self.shares[rank].recovery_s = max(0.0, backlog - target) / max(
                spare, capacity * least
            )
            urgent += found.offered
            if budget < found.offered:
                is_short = True  # its late requests and its backlog take the rest
                urgent = capacity

    def _waiting(self, known: Demand, covered: float) -> list[float]:
        """Return the tokens that wait at the servers behind others, by priority.

        Each server computes one prompt at a time, the most urgent first. Its tokens
        count as pending until the first token of the response, but no longer wait.

        Parameters
        ----------
        covered : float
            Part of the nodes whose demand is known.
        """
        idle = len(self.servers.accepting.items) * covered
        waiting = []
        for rank, level in enumerate(known.levels):
            tokens = max(1.0, self.meter.prompt_tokens(rank))
            begun = min(idle, level.pending / tokens)
            idle -= begun
            waiting.append(level.pending - begun * tokens)
        return waiting

    def _capacity(self, known: Demand, now: float) -> float:
        """Return the prompt tokens per second that the servers begin to answer.

        That is at least what they are observed to do: parts of prompts that they have
        cached, which this node may not know of, cost them nothing.
        """
        items = self.servers.accepting.items
        if not items:
            return 0.0
        nodes = max(1, self.servers.nodes)
        answered = sum(level.answered for level in known.levels)
        observed = answered / len(items) * nodes / max(1, known.nodes)
        decay = math.exp(min(0.0, (self.observed_at - now) / OBSERVED_S))
        self.observed = max(observed, self.observed * decay)
        self.observed_at = now
        rates = sum(server.view.prefill_tokens_per_s for server in items)
        return max(rates, self.observed * len(items))
