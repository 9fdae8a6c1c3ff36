"""Load of each server as a node sees it: the last report and its own sends since.

Several nodes send to the same servers, and each sees the others only through load
reports that lag. This causes two problems. If seven nodes read that 4 slots are free
and each fills all of them, 28 requests are sent to 4 slots. If a node waits for the
next report before it reuses a slot that it has just freed, the slot stays idle for the
whole lag. Therefore the last free slots of a report are divided among the nodes, while
a slot that a node's own request has freed is that node's to reuse at once. Where many
slots are free, a node may take any of them, less those that the other nodes have
presumably taken since the report: as many each as this node, since they see the same
load.
"""

import math
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from endive_core.calls import Tier
from endive_core.messages import ServerView
from endive_core.server_speed import ServerSpeeds


class Random(Protocol):
    """Source of randomness, passed in so that runs are reproducible."""

    def random(self) -> float:
        """Return a number from 0 up to 1."""

    def randrange(self, stop: int) -> int:
        """Return an integer from 0 up to `stop`."""


MIN_REPORT_EXPIRY_S = 0.5
MAX_REPORT_EXPIRY_S = 5.0
"""Bounds of the age at which a report that shows a server as full expires, seconds.
Between them it is the time in which the server works off the reported load."""

REPORT_CHECK_INTERVAL_S = 0.1
"""Time between two checks for expired reports, seconds."""


@dataclass(slots=True, eq=False)
class ServerLoad:
    """Load of one server as this node sees it.

    Attributes
    ----------
    reserved : tuple of int
        Slots that a call of each tier must leave free.
    divided_slots : int
        Last free slots, which the nodes divide among them.
    grants : list of int
        Slots of the last report that this node may take, for each tier.
    recent_changes : deque
        Times and signs of the requests that this node sent (+1) or that ended (-1)
        since the last report.
    net_change : int
        Sum of these signs.
    starting_tokens : float
        Uncached tokens of prompts that this node has sent and that have not produced
        a first token, except those that yield.
    yielding_tokens : float
        The same for prompts that yield to all others at the server.
    starting_suspects : int
        Requests of this node that have not produced a first token and that ran on a
        server when it crashed.
    prefill_paced_until : float
        Clock time at which this node's share of the prefill rate has processed all
        that this node has sent.
    slowness : float
        Latency ratio over the median of the peers, 1 or more, or less where the server
        states a slowdown that its latencies don't show.
    slowdown : float
        How long work takes there now, as a multiple of the usual time, as expected from
        what it has stated; 1 where nothing is stated.
    paused : bool
        Whether it gets no work for a while because it failed.
    throttled : bool
        Whether this node's share of the limit that it names is used up.
    resting : bool
        Whether it wants no requests from this node for a while.
    ramp : float or None
        Requests that may be in flight at it after a rest or a refusal, until it has
        answered more.
    ramp_threshold : float
        Value from which on `ramp` grows slowly.
    shedding_until : float
        Clock time until which several other nodes send it nothing at its request.
    failures : int
        Consecutive failures.
    refusals : int
        Consecutive refusals for lack of room.
    latency_ratio : float
        Smoothed ratio of observed to expected latency.
    samples : int
        Number of observed latencies.
    reported_at : float
        Clock time of the state that the last report describes.
    """

    view: ServerView
    reserved: tuple[int, int, int] = (0, 0, 0)
    divided_slots: int = 1
    grants: list[int] = field(default_factory=lambda: [0, 0, 0])
    recent_changes: deque = field(default_factory=deque)
    net_change: int = 0
    starting_tokens: float = 0.0
    yielding_tokens: float = 0.0
    starting_suspects: int = 0
    prefill_paced_until: float = 0.0
    slowness: float = 1.0
    slowdown: float = 1.0
    slow: bool = False
    paused: bool = False
    throttled: bool = False
    resting: bool = False
    ramp: float | None = None
    ramp_threshold: float = math.inf
    refusals: int = 0
    shedding_until: float = float("-inf")
    failures: int = 0
    next_probe_at: float = 0.0
    latency_ratio: float = 1.0
    samples: int = 0
    reported_at: float = float("-inf")

    @property
    def id(self) -> str:
        """Id of the server."""
        return self.view.id

    @property
    def load(self) -> int:
        """Requests running and waiting: the last report plus own changes since."""
        view = self.view
        return max(
            view.in_flight,
            view.reported_running + view.reported_waiting + self.net_change,
        )

    @property
    def utilisation(self) -> float:
        """Load over slots."""
        return self.load / self.view.max_concurrent

    @property
    def free(self) -> int:
        """Slots free in the last report; negative if requests were waiting."""
        view = self.view
        return view.max_concurrent - view.reported_running - view.reported_waiting

    def remaining_grant(self, tier: Tier) -> int:
        """Return how many more requests this node's grant allows."""
        return self.grants[tier] - self.net_change

    def uncontended_slots(self, tier: Tier) -> int:
        """Return the free slots beyond those that the nodes divide among them."""
        return self.free - self.net_change - self.divided_slots - self.reserved[tier]

    def has_free_slots(self, tier: Tier) -> bool:
        """Return whether any slots are free for this node, as far as it knows."""
        return self.remaining_grant(tier) > 0 or self.uncontended_slots(tier) > 0

    @property
    def is_closed(self) -> bool:
        """Whether it gets no further request now, however many slots are free."""
        if self.throttled or self.resting:
            return True
        return self.ramp is not None and self.view.in_flight >= int(self.ramp)

    def adjust_in_flight(self, sign: int, now: float) -> None:
        """Count a request of this node that was sent (+1) or ended (-1) at `now`."""
        self.recent_changes.append((now, sign))
        self.net_change += sign
        self.view.in_flight += sign
        self.view.sent_since_report += sign > 0


class ServerSet:
    """The servers of one service, indexed by whether they have room.

    The time of a decision must not grow with the number of servers. The servers with
    room are therefore kept in indexes that each send, end and report updates in
    constant time.

    Parameters
    ----------
    random : Random
        Source of randomness, seeded by the node.
    reserved_share : float
        Part of a server's slots kept from bulk calls, and two thirds of it also from
        organisations over their share.
    divided_share : float
        Part of a server's slots that the nodes divide when no more are free.
    giving_way : float
        Slots that bulk calls and organisations over their share must free for each
        reserved slot that is taken.

    Attributes
    ----------
    available : dict of Tier to ServerIndex
        Servers with room, for each tier.
    accepting : ServerIndex
        Servers that accept work: neither leaving nor paused.
    versions : dict of str to list of ServerLoad
        All servers by the version of their software.
    own_in_flight : int
        Requests of this node in flight.
    speeds : ServerSpeeds
        What the servers state of their current speed.
    expects_bursts : bool
        Whether a burst at this node is taken for one at all nodes. Not so where the
        nodes tell each other their demand.
    """

    def __init__(
        self,
        random: Random,
        *,
        reserved_share: float,
        divided_share: float,
        giving_way: float = 1.0,
    ) -> None:
        self.random = random
        self.reserved_share = reserved_share
        self.divided_share = divided_share
        self.giving_way = giving_way
        self.servers: dict[str, ServerLoad] = {}
        self.available = {tier: ServerIndex() for tier in Tier}
        self.accepting = ServerIndex()
        self.versions: dict[str, list[ServerLoad]] = {}
        self.nodes = 1
        self.own_in_flight = 0
        self.speeds = ServerSpeeds()
        self.expects_bursts = True
        self.net_change_total = 0
        self.reported_total = 0
        self.slots_total = 0
        self.yielding_total = 0.0
        self.next_report_check_at = float("-inf")

    def set_servers(self, views: Iterable[ServerView]) -> bool:
        """Apply the declared servers; return whether the set changed."""
        declared = {view.id: view for view in views}
        gone = self.servers.keys() - declared.keys()
        new = declared.keys() - self.servers.keys()
        for server_id in sorted(gone):
            self._remove(self.servers[server_id])
        for server_id in sorted(new):
            self.servers[server_id] = ServerLoad(declared[server_id])
        self.slots_total = sum(view.max_concurrent for view in declared.values())
        self.versions = {}
        for server in self.servers.values():
            self._set_reservations(server)
            self.versions.setdefault(server.view.software_version, []).append(server)
        return bool(gone or new)

    def _set_reservations(self, server: ServerLoad) -> None:
        slots = server.view.max_concurrent
        reserved = round(slots * self.reserved_share)
        if self.reserved_share and slots > 1:
            reserved = max(1, reserved)
        server.reserved = (0, 2 * reserved // 3, reserved)
        server.divided_slots = max(1, round(slots * self.divided_share))
        self._grant(server)

    def remove(self, server_id: str) -> None:
        """Remove a server with all that is known of it."""
        server = self.servers.get(server_id)
        if server is not None:
            self._remove(server)

    def _remove(self, server: ServerLoad) -> None:
        view = server.view
        self.servers.pop(view.id)
        self.reported_total -= view.reported_running + view.reported_waiting
        self.own_in_flight -= view.in_flight
        self.net_change_total -= server.net_change
        self.yielding_total -= server.yielding_tokens
        for members in (*self.available.values(), self.accepting):
            members.discard(server)

    @property
    def share(self) -> float:
        """Part of the reported free slots that this node may take.

        With even traffic it is one over the number of nodes. With that share alone, a
        batch that arrives at a single node would fill an idle service only slowly, so
        the share follows this node's part of the reported load. Requests sent since
        the reports are left out on both sides, since those of other nodes are unknown.
        """
        own = max(0, self.own_in_flight - self.net_change_total)
        total = max(own, self.reported_total)
        return min(1.0, (own + 1) / (total + self.nodes))

    @property
    def mean_utilisation(self) -> float:
        """Load over slots, of all servers together."""
        total = max(self.own_in_flight, self.reported_total)
        return total / self.slots_total if self.slots_total else 0.0

    def report(
        self, server_id: str, running: int, waiting: int, *, as_of: float
    ) -> None:
        """Apply a server's report of its load at `as_of`.

        The report includes own changes up to `as_of`; later ones are added to it.
        """
        server = self.servers.get(server_id)
        if server is None:
            return
        view = server.view
        server.reported_at = as_of
        self.reported_total += running + waiting
        self.reported_total -= view.reported_running + view.reported_waiting
        view.reported_running, view.reported_waiting = running, waiting
        while server.recent_changes and server.recent_changes[0][0] <= as_of:
            sign = server.recent_changes.popleft()[1]
            server.net_change -= sign
            self.net_change_total -= sign
        view.sent_since_report = sum(sign > 0 for _, sign in server.recent_changes)
        self._grant(server)

    def _grant(self, server: ServerLoad) -> None:
        share = self.share
        for tier in Tier:
            free = server.free - server.reserved[tier]
            if free < 0 and tier:
                free *= self.giving_way
            server.grants[tier] = self._round_at_random(free * share)
        self.refresh(server)

    def _round_at_random(self, value: float) -> int:
        """Round up or down at random, so that the mean is `value`.

        The grants of all nodes then add up to the free slots on average.
        """
        whole = int(value // 1)
        return whole + (self.random.random() < value - whole)

    def expire_reports(self, now: float, held_s: float) -> None:
        """Make one slot available at each server whose last report has expired.

        A server reports its load with its responses. If the last report of each server
        shows it as full and this node has no request there, it sends none, so it gets
        no report either, and would refuse all requests for good. The same holds where
        the report leaves a slot for organisations within their share, and none calls.

        Parameters
        ----------
        held_s : float
            Mean time for which a request holds its slot, seconds.
        """
        if now < self.next_report_check_at:
            return
        self.next_report_check_at = now + REPORT_CHECK_INTERVAL_S
        for server in self.servers.values():
            if server.view.in_flight or server.has_free_slots(Tier.OVER_SHARE):
                continue
            busy_s = held_s * server.utilisation
            expiry_s = min(max(busy_s, MIN_REPORT_EXPIRY_S), MAX_REPORT_EXPIRY_S)
            if now - server.reported_at >= expiry_s:
                self.report(server.id, server.view.max_concurrent - 1, 0, as_of=now)
                server.grants = [1 for _ in server.grants]
                self.refresh(server)

    def mark_full(self, server: ServerLoad, now: float) -> None:
        """Treat a server that refused a request as full until its next report."""
        view = server.view
        server.reported_at = now
        server.grants = [min(grant, server.net_change) for grant in server.grants]
        waiting = view.reported_waiting
        self.reported_total += max(0, server.free - server.net_change)
        view.reported_waiting = waiting + max(0, server.free - server.net_change)
        self.refresh(server)

    def adjust_in_flight(self, server: ServerLoad, sign: int, now: float) -> None:
        """Count a request of this node that was sent (+1) or ended (-1)."""
        server.adjust_in_flight(sign, now)
        self.own_in_flight += sign
        self.net_change_total += sign
        self.refresh(server)

    def adjust_prefill_backlog(
        self, server: ServerLoad, sign: int, tokens: float, *, yields: bool
    ) -> None:
        """Count the tokens of a prompt that was sent (+1), or started or ended (-1)."""
        if yields:
            server.yielding_tokens += sign * tokens
            self.yielding_total += sign * tokens
        else:
            server.starting_tokens += sign * tokens

    def yielding_tokens_at(self, server: ServerLoad) -> float:
        """Return the estimated yielding tokens of all nodes at `server`.

        Nodes do not exchange these. The total of the other nodes is estimated from
        this node's total and its share of all requests, and spread evenly over the
        servers: with many nodes and servers, this node's tokens at one server say
        nothing about those of the others there.
        """
        others = self.yielding_total * (1 / self.share - 1)
        return server.yielding_tokens + others / max(1, len(self.accepting))

    def has_room(self, server: ServerLoad, tier: Tier) -> bool:
        """Return whether this node may send a call of `tier` to `server` now."""
        if server.is_closed:
            return False
        if server.remaining_grant(tier) > 0:
            return True
        uncontended = server.uncontended_slots(tier)
        return uncontended > 0 and uncontended > self._taken_by_others(server)

    def _taken_by_others(self, server: ServerLoad) -> float:
        """Estimate the slots of `server` taken by other nodes since the last report.

        The other nodes see the same load, so each is assumed to have sent as many more
        requests as this node, including the one to be placed, to where slots were free.
        This keeps a burst that reaches all nodes at once from filling the same slots
        several times.

        The request to be placed counts as a sign of a burst only in proportion to the
        utilisation. Otherwise a service with fewer slots than nodes would accept
        nothing when idle: with 87 nodes and 24 slots, 86 other requests were assumed
        for each one, and a fifth of the requests waited a second for no reason.
        """
        free = max(1, self.slots_total - self.reported_total)
        if not self.expects_bursts:
            return 0.0
        growth = max(0, self.net_change_total) + min(1.0, self.mean_utilisation)
        growth *= 1 / self.share - 1
        return growth * max(0, server.free) / free

    def pause(self, server: ServerLoad) -> bool:
        """Pause a server that failed, unless it is the last one; return whether it was.

        After the pause it gets one request at a time until one succeeds. A dead server
        that is still in the configuration would otherwise fail as many requests as it
        has slots after each pause.
        """
        server.failures += 1
        if server.paused or (len(self.accepting) == 1 and not server.view.leaving):
            return False
        server.paused = True
        self.refresh(server)
        return True

    def record_success(self, server: ServerLoad) -> None:
        """Reset the consecutive failures of a server that answered a request."""
        if server.failures:
            server.failures = 0
            self.refresh(server)

    def all_tried(self, tried: set[str]) -> bool:
        """Return whether every server that accepts work is among `tried`."""
        if len(tried) < len(self.accepting):
            return False
        return all(server.id in tried for server in self.accepting.items)

    def refresh(self, server: ServerLoad) -> None:
        """Add `server` to the indexes of servers with room, or remove it from them.

        A server that is no longer declared is not added, even when a request ends or a
        pause is over there: placement would choose a server that cannot be looked up.
        """
        if self.servers.get(server.id) is not server:
            return
        accepting = not (server.view.leaving or server.paused)
        if accepting:
            self.accepting.add(server)
        else:
            self.accepting.discard(server)
        probing = server.failures > 0 and server.view.in_flight > 0
        usable = accepting and not (server.slow or server.is_closed or probing)
        for tier, members in self.available.items():
            if usable and server.has_free_slots(tier):
                members.add(server)
            else:
                members.discard(server)


class ServerIndex:
    """A set of servers with random choice in constant time."""

    def __init__(self) -> None:
        self.items: list[ServerLoad] = []
        self.positions: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.items)

    def add(self, server: ServerLoad) -> None:
        """Add `server` unless it is there."""
        if server.id not in self.positions:
            self.positions[server.id] = len(self.items)
            self.items.append(server)

    def discard(self, server: ServerLoad) -> None:
        """Remove `server` if it is there."""
        position = self.positions.pop(server.id, None)
        if position is None:
            return
        last = self.items.pop()
        if last is not server:
            self.items[position] = last
            self.positions[last.id] = position

    def sample(self, count: int, randrange: Callable[[int], int]) -> list[ServerLoad]:
        """Return up to `count` random members, possibly with repeats."""
        if len(self.items) <= count:
            return list(self.items)
        return [self.items[randrange(len(self.items))] for _ in range(count)]
