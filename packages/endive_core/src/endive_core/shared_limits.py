"""Rate limits shared by all nodes: each node counts what all of them spend.

An organisation may send many times its limit to all nodes at once. A limit enforced by
each node alone would admit the limit once per node. A fixed part of it for each node
would refuse callers far below the limit, because the requests of one organisation at
one node are few, large and bursty. A central counter would cost a round trip per
request.

The nodes therefore broadcast their total spending several times a second, and each
keeps a replica of the same token bucket, the allowance. It deducts its own spending at
once and that of the others when it receives it. What is overspent meanwhile is a debt:
the allowance is below zero until all nodes have paid it back.
"""

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

SILENCE_TIMEOUT_S = 0.9
"""Seconds of silence after which a node counts as cut off. It may go on spending, so
its even part of each limit is left to it, and both sides of a network partition
together stay within the limit. Up to four broadcasts in a row may be lost before
that."""

PEER_EXPIRY_S = 30.0
"""Seconds of silence after which a node counts as gone for good and its part of the
limits is divided among the others. Longer than the network partitions of up to 12 s
that the platform specifies."""

SLACK_BURST_SHARE = 0.4
"""Share of the slack tolerated by operators that is added to the burst. The rest covers
what several nodes admit within one broadcast interval: a quarter of a second of all
that is requested."""

INITIAL_CREDIT_S = 1.0
"""Seconds of the rate that a starting node may spend at once. It doesn't know what was
spent a moment before. That does no harm: while all nodes were down nothing was spent,
and a node that starts alone is only one of several."""

START_SKEW_S = 3.0
"""Seconds by which a newly seen node may be older than this one for all of its spending
to count. Of a node that is older still only new spending counts. After a power loss all
nodes start within one second, and a hundred nodes have received each other's state
within two more."""

SHARE_VALID_S = 0.05
"""Time for which the share of the nodes in contact is used for the reports of others,
seconds: a part of the time after which a node counts as cut off."""

SMALL_REQUEST_SHARE = 0.01
"""Share of a limit's burst up to which a request counts as small. A call to a plain
service, such as a booking, has 200 units; a prompt has up to 23,000."""

RESERVED_RATE_SHARE = 0.05
"""Share of each limit's rate that small requests may take although nothing is left,
divided among the nodes. It is charged like all other spending, so the rate holds. The
debt grows by at most this share of the rate per second, half of what operators
tolerate."""


@dataclass(frozen=True, slots=True)
class SpendingOrigin:
    """The node that reports its spending, and how recent the report is.

    Attributes
    ----------
    incarnation : int
        Differs with each start of the node.
    sequence : int
        Number of state broadcasts the node had sent since it started.
    age_s : float
        Seconds since the node started.
    """

    node: str
    incarnation: int
    sequence: int
    age_s: float


@dataclass
class PeerSpending:
    """What another node has spent since it started, as last reported.

    Attributes
    ----------
    spent : dict
        Units by organisation.
    last_updates : dict
        For each organisation the newest update sent outside the state broadcasts: the
        sequence number of the node's last broadcast before it, and the units. A
        broadcast up to that number is older than the update.
    last_seen_at : float
        When the node was last in contact, on this node's clock.
    started_at : float
        When the node started, on this node's clock.
    """

    spent: dict[str, float] = field(default_factory=dict)
    last_updates: dict[str, tuple[int, float]] = field(default_factory=dict)
    incarnation: int = 0
    last_seen_at: float = 0.0
    started_at: float = 0.0


@dataclass
class Allowance:
    """Token bucket of one organisation's limit, as all nodes together have spent it.

    A request may take it below zero, which the next seconds pay back. Otherwise a
    request larger than what is left would never fit.

    Attributes
    ----------
    anticipated : deque of [float, float]
        Spending of other nodes that was deducted before those nodes reported it: until
        when it is awaited, and the units.
    """

    units: float = 0.0
    updated_at: float = 0.0
    anticipated: deque[list[float]] = field(default_factory=deque)

    def refill(self, now: float, *, rate: float, burst: float) -> None:
        """Add the units earned at `rate` since the last refill, up to `burst`."""
        self.units += rate * max(0.0, now - self.updated_at)
        self.units = min(self.units, burst)
        self.updated_at = max(now, self.updated_at)

    def lower(self, units: float, until: float) -> None:
        """Lower it to `units` for spending that other nodes report by `until`."""
        if units < self.units:
            self.anticipated.append([until, self.units - units])
            self.units = units

    def charge(self, units: float, now: float) -> None:
        """Deduct reported spending, but for what was deducted for it before."""
        while units > 0 and self.anticipated:
            until, awaited = self.anticipated[0]
            taken = min(units, awaited) if until >= now else 0.0
            units -= taken
            self.anticipated[0][1] -= taken
            if until < now or self.anticipated[0][1] <= 0:
                self.anticipated.popleft()
        self.units -= units


class SharedLimits:
    """Every organisation's limit, enforced by this node together with the others.

    Callers see it as status 429 with a time to retry.

    Parameters
    ----------
    now : float
        When this node started.
    slack : float
        Units beyond rate and burst that operators tolerate in their windows.

    Attributes
    ----------
    silence_timeout_s : float
        Seconds of silence after which a node counts as cut off; longer among many
        nodes, which broadcast less often.
    credit_since : float
        Time since which limits that have not been used yet are earned: the start, or
        later if a node was heard that has run before.
    share : float
        The share of the nodes in contact when it was last counted.
    share_counted_at : float
        When that was.
    terms_of : callable
        Returns an organisation's rate and burst, or ``None`` if it has no limit.
    """

    def __init__(self, now: float = 0.0, *, slack: float = 0.0) -> None:
        self.slack = slack
        self.silence_timeout_s = SILENCE_TIMEOUT_S
        self.started_at = now
        self.credit_since = now - INITIAL_CREDIT_S
        self.spent: dict[str, float] = {}
        self.peers: dict[str, PeerSpending] = {}
        self.allowances: dict[str, Allowance] = {}
        self.small_request_allowances: dict[str, Allowance] = {}
        self.share, self.share_counted_at = 1.0, float("-inf")
        self.terms_of: Callable[[str], tuple[float, float] | None] = lambda name: None

    def own_totals(self) -> dict[str, float]:
        """Return what this node has spent since it started, by organisation."""
        return self.spent

    def receive(
        self, origin: SpendingOrigin, spent: Mapping[str, float], now: float
    ) -> None:
        """Apply a state broadcast: what another node has spent since it started."""
        peer = self._current_peer(origin)
        if peer is None:
            before: dict[str, float] = {}
            if not self._started_recently(origin, now):
                before = dict(spent)
                # What that node has spent until now is not known, so nothing was left.
                self.credit_since = max(self.credit_since, now - INITIAL_CREDIT_S)
            peer = self._reset_peer(origin, before, now)
        peer.last_seen_at = now
        for organisation, units in spent.items():
            update_sequence, update = peer.last_updates.get(organisation, (0, 0.0))
            if origin.sequence <= update_sequence:
                units = max(units, update)
            self._charge(peer, organisation, units, now)

    def apply_update(
        self, origin: SpendingOrigin, organisation: str, units: float, now: float
    ) -> float:
        """Apply an update of what another node has spent of one limit.

        An unknown node that has run for long has spent much that must not count any
        more, so its updates are ignored until its first state broadcast.

        Returns
        -------
        float
            Units of it that are new to this node.
        """
        peer = self._current_peer(origin)
        if peer is None:
            if not self._started_recently(origin, now):
                return 0.0
            peer = self._reset_peer(origin, {}, now)
        newest = (origin.sequence, units)
        if newest <= peer.last_updates.get(organisation, (0, 0.0)):
            return 0.0
        peer.last_updates[organisation] = newest
        total = max(units, peer.spent.get(organisation, 0.0))
        return self._charge(peer, organisation, total, now)

    def _current_peer(self, origin: SpendingOrigin) -> PeerSpending | None:
        peer = self.peers.get(origin.node)
        if peer is None or peer.incarnation != origin.incarnation:
            return None
        return peer

    def _reset_peer(
        self, origin: SpendingOrigin, spent: dict[str, float], now: float
    ) -> PeerSpending:
        peer = PeerSpending(
            spent,
            incarnation=origin.incarnation,
            last_seen_at=now,
            started_at=now - origin.age_s,
        )
        self.peers[origin.node] = peer
        return peer

    def _started_recently(self, origin: SpendingOrigin, now: float) -> bool:
        credit_since = self.started_at - INITIAL_CREDIT_S
        return now - origin.age_s >= credit_since - START_SKEW_S

    def _charge(
        self, peer: PeerSpending, organisation: str, units: float, now: float
    ) -> float:
        """Deduct what a node has spent since its last report; return those units.

        What was earned until now is added first, so that it is lost beyond the limit's
        capacity as it was at the node that has spent.
        """
        new = units - peer.spent.get(organisation, 0.0)
        peer.spent[organisation] = units
        if new:
            self._earn(organisation, now)
            self._allowance(organisation).charge(new, now)
        return new

    def _earn(self, organisation: str, now: float) -> None:
        """Add what was earned of a limit, with a recent share of the nodes in contact.

        Reports arrive hundreds of times a second, and counting the nodes in contact
        takes a time that grows with their number.
        """
        terms = self.terms_of(organisation)
        if terms is None:
            return
        if now - self.share_counted_at > SHARE_VALID_S:
            self.share, self.share_counted_at = self.reachable_share(now), now
        self._refill(organisation, now, *terms, self.share)

    def add_peer(self, node: str, now: float) -> None:
        """Count a listed node from which nothing has been received yet.

        It has the usual silence timeout to report. After a power loss all nodes start
        within a second, and each on its own would refuse most callers until it had
        received the others' state.
        """
        self.peers.setdefault(node, PeerSpending(last_seen_at=now))

    def remove_peer(self, node: str) -> None:
        """Drop a node that has announced its stop; the others divide its part."""
        self.peers.pop(node, None)

    def remove_silent_peers(self, now: float) -> None:
        """Drop nodes that are gone for good; the others divide their parts."""
        for node, peer in list(self.peers.items()):
            if now - peer.last_seen_at > PEER_EXPIRY_S:
                del self.peers[node]

    def reachable_share(self, now: float) -> float:
        """Return the share of each limit that belongs to the nodes in contact."""
        silent = sum(
            now - peer.last_seen_at > self.silence_timeout_s
            for peer in self.peers.values()
        )
        nodes = len(self.peers) + 1
        return (nodes - silent) / nodes

    def wait_s(
        self, organisation: str, units: float, now: float, *, rate: float, burst: float
    ) -> float:
        """Spend `units` and return 0 if they are admitted, else the seconds to wait.

        Parameters
        ----------
        rate, burst : float
            The whole limit of all nodes together, in units per second and units.
        """
        left, _ = self.left(organisation, now, rate=rate, burst=burst)
        if left <= 0 and not self._take_reserved(organisation, units, now, rate, burst):
            return self._wait_until_positive(left, rate, now)
        self.spend(organisation, units)
        return 0.0

    def _take_reserved(
        self, organisation: str, units: float, now: float, rate: float, burst: float
    ) -> bool:
        """Take a small request's units from the reserve; return whether they fit.

        If an organisation sends several times its limit in long prompts, a prompt of
        23,000 units takes the limit so far below zero that nothing is admitted for 0.2
        s, again and again. 135 of 195 requests of 200 units were refused in nine
        seconds, although all such requests together are 2% of the limit. With a
        reserved share, 0 and 6 small requests a day were refused instead of 40 and 65
        (two simulated days, one run each).
        """
        if units > SMALL_REQUEST_SHARE * burst:
            return False
        share = RESERVED_RATE_SHARE / (len(self.peers) + 1)
        reserved = self.small_request_allowances.setdefault(
            organisation, Allowance(updated_at=now - 1.0)
        )
        reserved.refill(now, rate=share * rate, burst=max(units, share * burst))
        if reserved.units < units:
            return False
        reserved.units -= units
        return True

    def grant(
        self,
        origin: SpendingOrigin,
        organisation: str,
        total: float,
        now: float,
        *,
        rate: float,
        burst: float,
    ) -> float | None:
        """Decide on another node's request to spend, and charge it if granted.

        Parameters
        ----------
        total : float
            Units the node has spent since it started, including what it asks for.

        Returns
        -------
        float or None
            0 if granted, else the seconds to wait; ``None`` if the node's spending
            isn't known well enough to decide.
        """
        left, _ = self.left(organisation, now, rate=rate, burst=burst)
        if left <= 0:
            return self._wait_until_positive(left, rate, now)
        return 0.0 if self.apply_update(origin, organisation, total, now) > 0 else None

    def learn_left(self, organisation: str, left: float, now: float) -> None:
        """Apply the units left of a limit as its coordinator counts them.

        Only the coordinator knows at once what all nodes spend. Their own reports,
        which arrive later, are not deducted a second time.
        """
        if self.terms_of(organisation) is None:
            return
        self._earn(organisation, now)
        until = now + self.silence_timeout_s
        self._allowance(organisation).lower(left, until)

    def _wait_until_positive(self, left: float, rate: float, now: float) -> float:
        return 0.001 - left / (rate * self.reachable_share(now))

    def left(
        self, organisation: str, now: float, *, rate: float, burst: float
    ) -> tuple[float, float]:
        """Return the units left of a limit, and its capacity when full."""
        share = self.reachable_share(now)
        return self._refill(organisation, now, rate, burst, share)

    def _refill(
        self, organisation: str, now: float, rate: float, burst: float, share: float
    ) -> tuple[float, float]:
        most = (burst + SLACK_BURST_SHARE * self.slack) * share
        allowance = self._allowance(organisation)
        allowance.refill(now, rate=rate * share, burst=most)
        return allowance.units, most

    def refund(self, organisation: str, units: float) -> None:
        """Refund the units of a request that did not run."""
        self.spend(organisation, -units)

    def spend(self, organisation: str, units: float) -> None:
        """Charge `units` spent at this node."""
        self._allowance(organisation).units -= units
        self.spent[organisation] = self.spent.get(organisation, 0.0) + units

    def _allowance(self, organisation: str) -> Allowance:
        return self.allowances.setdefault(
            organisation, Allowance(updated_at=self.credit_since)
        )
