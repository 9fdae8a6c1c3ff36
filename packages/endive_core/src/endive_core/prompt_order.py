"""Which prompts may overtake others at an engine.

An engine prefills one prompt at a time, the most urgent first. Where a route has a
shorter target than a route with a more urgent priority, the order of priorities alone
makes its short prompts wait behind long ones that have more time. The shortest prompts,
which together make up at most a given share of all prefill work, are therefore sent
before all others, in classes of length; the others keep the order of their priorities.
What overtakes delays the others by no more than that share.

The lengths are expected prefill times of the uncached part of a prompt, and the borders
between the classes are quantiles of the work that all nodes have sent lately, see
:mod:`.prompt_work`. Admission control by demand has an order of its own, which takes
precedence; see :mod:`.contention`.
"""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from endive_core.calls import Call, Ticket
from endive_core.contention import Contention
from endive_core.policy import Policy
from endive_core.prompt_work import (
    BINS,
    FleetWork,
    WorkMeter,
    WorkReport,
    bin_end,
    bin_of,
    class_limits,
)

UPDATE_INTERVAL_S = 0.1
"""Time between two computations of the classes, seconds."""

LOWEST_PRIORITY = 9
"""Number of the lowest priority that engines accept. Prompts that are late anyway have
it alone."""

MAX_CLASSES = 5
"""Classes of overtaking prompts, if the priorities leave as many numbers."""

MIN_PROMPTS = 5
"""Prompts that a node must have sent, or nodes that it must have heard of, before any
prompt overtakes."""


@dataclass(frozen=True, slots=True)
class OrderRoutes:
    """What the routes of a service ask of the order of its prompts.

    Attributes
    ----------
    priorities : tuple of int
        The different priorities of its routes and of organisations, the most urgent
        first.
    target_s : float
        Shortest target of its routes, seconds.
    """

    priorities: tuple[int, ...]
    target_s: float

    @property
    def classes(self) -> int:
        """Classes of overtaking prompts for which the priorities leave numbers."""
        return min(MAX_CLASSES, LOWEST_PRIORITY - len(self.priorities))


def order_routes(
    targets: Iterable[tuple[int, float]], others: Iterable[int] = ()
) -> OrderRoutes | None:
    """Return what the routes ask for, or ``None`` if the usual order serves them.

    The usual order is kept unless a route has a shorter target than a route with a more
    urgent priority.

    Parameters
    ----------
    targets : iterable of (int, float)
        Priority and target in seconds of each route.
    others : iterable of int
        Priorities of organisations, which override those of the routes.
    """
    routes = sorted(targets)
    if not any(
        target_s < other_s and priority > other
        for priority, target_s in routes
        for other, other_s in routes
    ):
        return None
    priorities = {priority for priority, _ in routes} | set(others)
    found = OrderRoutes(
        tuple(sorted(priorities)), min(target_s for _, target_s in routes)
    )
    return found if found.classes > 0 else None


class PromptOrder:
    """Decides on the order of a service's prompts at one node.

    Attributes
    ----------
    contention : Contention
        Admission control by demand, whose order takes precedence where it is active.
    routes : OrderRoutes or None
        What the service's routes ask for; ``None`` if the usual order serves them.
    limits : list of int
        By class of overtaking prompts, the number of bins of lengths up to it.
    ahead_share : list of float
        By number of priority, the part of all work with that number or a lower one.
    pending : dict of str to list of float
        By server, this node's prompt tokens that await their first token, by number.
    overtakers : int
        Prompts sent in a class of overtaking ones since the start.
    """

    def __init__(self, policy: Policy, contention: Contention) -> None:
        self.policy = policy
        self.contention = contention
        self.routes: OrderRoutes | None = None
        self.fleet = FleetWork()
        self.meter = WorkMeter()
        self.sent = 0
        self.limits: list[int] = []
        self.ahead_share = [1.0] * LOWEST_PRIORITY
        self.pending: dict[str, list[float]] = {}
        self.tickets: dict[Ticket, tuple[str, int, float]] = {}
        self.next_update_at = -math.inf
        self.overtakers = 0

    @property
    def active(self) -> bool:
        """Whether prompts may overtake others."""
        if self.contention.active or self.policy.overtaking_share <= 0:
            return False
        return self.routes is not None

    def set_routes(self, routes: OrderRoutes | None) -> None:
        """Apply the priorities and targets of the service's routes."""
        if routes == self.routes:
            return
        self.routes = routes
        self.fleet.clear()
        self.meter = WorkMeter()
        self.sent = 0
        self.limits = [0] * (routes.classes if routes else 0)
        self.ahead_share = [1.0] * LOWEST_PRIORITY
        self.pending.clear()
        self.tickets.clear()

    # Decisions

    def number(self, call: Call, prefill_s: float) -> int:
        """Return the priority at a server of a prompt that is not late."""
        index = bin_of(prefill_s / self.routes.target_s)
        for number, limit in enumerate(self.limits):
            if index < limit:
                return number
        return self._usual_number(-call.level)

    def _usual_number(self, priority: int) -> int:
        """Return the number of a prompt that overtakes none."""
        priorities = self.routes.priorities
        rank = sum(known < priority for known in priorities)
        return self.routes.classes + min(len(priorities) - 1, rank)

    def server_priority(self, ticket: Ticket) -> int:
        """Return the priority of a dispatched ticket at its server."""
        return LOWEST_PRIORITY if ticket.yields else ticket.order

    # Predictions

    def tokens_ahead(
        self, call: Call, server_id: str, prefill_s: float, own: float, others: float
    ) -> float:
        """Return the prompt tokens at a server that precede a call.

        Parameters
        ----------
        prefill_s : float
            Expected prefill time of the call there, seconds.
        own, others : float
            Tokens of this node and of the others there, of all prompts.
        """
        if not self.active:
            return self.contention.tokens_ahead(call, server_id, own, others)
        number = self.number(call, prefill_s)
        pending = self.pending.get(server_id, ())
        return sum(pending[: number + 1]) + others * self.ahead_share[number]

    # Events

    def dispatched(self, ticket: Ticket, prefill_s: float, now: float) -> None:
        """Decide on the order of a prompt that is sent to a server, and count it."""
        if not self.active:
            return
        self.ended(ticket)
        self._update(now)
        self.meter.add(bin_of(prefill_s / self.routes.target_s), prefill_s, now)
        self.sent += 1
        ticket.order = self.number(ticket.call, prefill_s)
        if not ticket.yields:
            self.overtakers += ticket.order < self.routes.classes
            tokens = ticket.uncached_tokens
            self.tickets[ticket] = (ticket.server, ticket.order, tokens)
            pending = self.pending.setdefault(ticket.server, [0.0] * LOWEST_PRIORITY)
            pending[ticket.order] += tokens

    def ended(self, ticket: Ticket) -> None:
        """Count a prompt as no longer pending, when its answer begins or it ends."""
        server, number, tokens = self.tickets.pop(ticket, ("", 0, 0.0))
        pending = self.pending.get(server)
        if pending is not None:
            pending[number] -= tokens
            if max(pending) < 1.0:
                del self.pending[server]

    # What operators see

    def class_ends_s(self) -> list[float]:
        """Return the longest prefill time in each class of overtaking prompts, seconds.

        Zero if the class is empty.
        """
        return [bin_end(limit - 1) * self.routes.target_s for limit in self.limits]

    def longest_s(self) -> float:
        """Return the longest prefill time of a prompt that may overtake, seconds."""
        return max(self.class_ends_s(), default=0.0)

    def class_shares(self) -> list[float]:
        """Return the part of all work that is in each class or a shorter one."""
        return self.ahead_share[: len(self.limits)]

    # The mix

    def report(self, now: float) -> WorkReport:
        """Return this node's recent work for its state message."""
        self.fleet.sweep(now)
        return self.meter.report(now)

    def _update(self, now: float) -> None:
        """Compute the classes anew from the recent work, once per interval."""
        if now < self.next_update_at:
            return
        self.next_update_at = now + UPDATE_INTERVAL_S
        self.fleet.sweep(now)
        classes = self.routes.classes
        if self.sent < MIN_PROMPTS and len(self.fleet.reports) < MIN_PROMPTS:
            self.limits = [0] * classes
            self.ahead_share = [1.0] * LOWEST_PRIORITY
            return
        own = self.meter.report(now)
        own += [0] * (BINS - len(own))
        work = [a + b for a, b in zip(own, self.fleet.others, strict=True)]
        self.limits = class_limits(work, self.policy.overtaking_share, classes)
        self.ahead_share = _ahead_shares(work, self.limits)


def _ahead_shares(work: Sequence[float], limits: Sequence[int]) -> list[float]:
    """Return by number of priority the part of the work that precedes it or has it.

    The work that overtakes none is not known by priority and counts as a whole.
    """
    total = max(1e-9, sum(work))
    shares = [sum(work[:limit]) / total for limit in limits]
    return shares + [1.0] * (LOWEST_PRIORITY - len(shares))
