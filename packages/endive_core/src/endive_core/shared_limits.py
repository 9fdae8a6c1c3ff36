"""Limits over all nodes together: each node counts what all of them spend.

The load this is for: an organisation sends many times what it may, to all nodes at
once. A limit kept at each node alone would let it have the limit once a node. A fixed
part of it for each node would refuse callers who are far below it: the requests of one
organisation at one node are few and large, and come in bunches. Asking one place for
each request would cost a round trip.

So the nodes tell each other what they have spent, several times a second, and each
keeps the same allowance, from which everybody's spending is taken: its own at once,
the others' when it hears of it. What is overspent meanwhile is a debt that all of them
pay back.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

SILENCE_TIMEOUT_S = 0.9
"""A node unheard for longer may be cut off and go on spending. Its even part of each
limit is left to it, so that the sides of a cut together stay within the limit. Four
tellings may be lost in a row before that."""

FORGOTTEN_S = 30.0
"""A node unheard for longer is taken to be gone for good, and its part is divided.
Longer than the cuts of up to 12 s that the platform's figures speak of."""

SLACK_PART = 0.4
"""Part of the operators' tolerance that is used as further burst. The rest covers what
several nodes admit within one telling, a quarter of a second of all that is asked."""

HEAD_START_S = 1.0
"""Seconds of the rate that a node that starts has to spend at once. What was spent a
moment before isn't known; but nothing was while all nodes were down, and one that
starts alone is one of several."""

YOUNG_S = 3.0
"""Seconds by which a node heard for the first time may be older than this one so that
all it has spent counts; of one that is older still only what comes now. After a power
loss all nodes start within a second, and are heard within two more where they are a
hundred."""

SMALL_PART = 0.01
"""Part of a limit's burst up to which a request is small: a booking has 200 units where
a prompt has up to 23,000."""

KEPT_PART = 0.05
"""Part of each limit's rate that small requests may take though nothing is left,
divided among the nodes. It is charged like all else, so the rate is kept; what the
limit is below zero grows by this much a second at the most, half of what operators
tolerate."""


@dataclass(frozen=True, slots=True)
class SpendingOrigin:
    """A node that spends, at the moment at which it told of it.

    Attributes
    ----------
    incarnation : int
        Differs with each start.
    tellings : int
        How often it had told all of its spending since it started.
    age_s : float
        Seconds since it started.
    """

    node: str
    incarnation: int
    tellings: int
    age_s: float


@dataclass
class PeerSpending:
    """What another node has spent since it started, as it last said.

    Attributes
    ----------
    born_at : float
        When it started, on this node's clock.
    noted : dict
        For each organisation the newest units told by themselves, with how often the
        node had told all of its spending by then. A telling made before that is older.
    """

    spent: dict[str, float] = field(default_factory=dict)
    last_updates: dict[str, tuple[int, float]] = field(default_factory=dict)
    incarnation: int = 0
    heard_at: float = 0.0
    started_at: float = 0.0


@dataclass
class Allowance:
    """Units of one organisation's limit that are left, over all nodes.

    It may go below zero by a request, which the next seconds pay back: a request
    larger than what is left would otherwise never fit.
    """

    units: float = 0.0
    updated_at: float = 0.0

    def refill(self, now: float, *, rate: float, burst: float) -> None:
        """Add what `rate` has given since the last time, up to `burst`."""
        self.units += rate * max(0.0, now - self.updated_at)
        self.units = min(self.units, burst)
        self.updated_at = now


class SharedLimits:
    """Every organisation's limit, as this node can keep it with the others.

    Callers meet it as 429 with the time to come back.

    Parameters
    ----------
    now : float
        When this node started.
    slack : float
        Units beyond rate and burst that operators tolerate in their windows.

    Attributes
    ----------
    silent_s : float
        Time after which an unheard node counts as silent, seconds; longer where many
        nodes tell each other less often.
    """

    def __init__(self, now: float = 0.0, *, slack: float = 0.0) -> None:
        self.slack = slack
        self.silence_timeout_s = SILENCE_TIMEOUT_S
        self.begun_at = now - HEAD_START_S
        self.spent: dict[str, float] = {}
        self.peers: dict[str, PeerSpending] = {}
        self.allowances: dict[str, Allowance] = {}
        self.kept: dict[str, Allowance] = {}

    def own_totals(self) -> dict[str, float]:
        """Return what this node has spent since it started, by organisation."""
        return self.spent

    def receive(
        self, spender: SpendingOrigin, spent: Mapping[str, float], now: float
    ) -> None:
        """Take over what another node has spent since it started."""
        peer = self._known(spender)
        if peer is None:
            before = {} if self._is_young(spender, now) else dict(spent)
            peer = self._learn(spender, before, now)
        peer.heard_at = now
        for organisation, units in spent.items():
            told_at, noted = peer.last_updates.get(organisation, (0, 0.0))
            if spender.tellings <= told_at:
                units = max(units, noted)
            self._take(peer, organisation, units)

    def apply_update(
        self, spender: SpendingOrigin, organisation: str, units: float, now: float
    ) -> float:
        """Take over what another node has spent of one limit; return what is new of it.

        A node that is not known and has run for long has spent much that must not count
        any more, so its first telling of everything is waited for.
        """
        peer = self._known(spender)
        if peer is None:
            if not self._is_young(spender, now):
                return 0.0
            peer = self._learn(spender, {}, now)
        newest = (spender.tellings, units)
        if newest <= peer.last_updates.get(organisation, (0, 0.0)):
            return 0.0
        peer.last_updates[organisation] = newest
        return self._take(
            peer, organisation, max(units, peer.spent.get(organisation, 0.0))
        )

    def _known(self, spender: SpendingOrigin) -> PeerSpending | None:
        peer = self.peers.get(spender.node)
        if peer is None or peer.incarnation != spender.incarnation:
            return None
        return peer

    def _learn(
        self, spender: SpendingOrigin, spent: dict[str, float], now: float
    ) -> PeerSpending:
        peer = PeerSpending(
            spent,
            incarnation=spender.incarnation,
            heard_at=now,
            started_at=now - spender.age_s,
        )
        self.peers[spender.node] = peer
        return peer

    def _is_young(self, spender: SpendingOrigin, now: float) -> bool:
        return now - spender.age_s >= self.begun_at - YOUNG_S

    def _take(self, peer: PeerSpending, organisation: str, units: float) -> float:
        """Take off what a node has spent since it was last heard; return it."""
        new = units - peer.spent.get(organisation, 0.0)
        peer.spent[organisation] = units
        if new:
            self._allowance(organisation).units -= new
        return new

    def add_peer(self, node: str, now: float) -> None:
        """Count a node that is known to be there, though it was not heard yet.

        It gets the usual time to be heard: after a power loss all nodes start within
        a second, and each alone would refuse most callers until then.
        """
        self.peers.setdefault(node, PeerSpending(heard_at=now))

    def remove_peer(self, node: str) -> None:
        """Divide the part of a node that said it has stopped."""
        self.peers.pop(node, None)

    def remove_silent_peers(self, now: float) -> None:
        """Divide the parts of nodes that are gone for good."""
        for node, peer in list(self.peers.items()):
            if now - peer.heard_at > FORGOTTEN_S:
                del self.peers[node]

    def reachable_share(self, now: float) -> float:
        """Return the part of each limit for the nodes that hear each other."""
        silent = sum(
            now - peer.heard_at > self.silence_timeout_s for peer in self.peers.values()
        )
        nodes = len(self.peers) + 1
        return (nodes - silent) / nodes

    def wait_s(
        self, organisation: str, units: float, now: float, *, rate: float, burst: float
    ) -> float:
        """Return 0 and spend `units` if a request may come, else the seconds to wait.

        Parameters
        ----------
        rate, burst : float
            The whole limit, of all nodes together.
        """
        left, _ = self.left(organisation, now, rate=rate, burst=burst)
        if left <= 0 and not self._take_kept(organisation, units, now, rate, burst):
            return self._until_some(left, rate, now)
        self.spend(organisation, units)
        return 0.0

    def _take_kept(
        self, organisation: str, units: float, now: float, rate: float, burst: float
    ) -> bool:
        """Return whether a small request may pass though nothing is left, and take it.

        The load this is for: an organisation sends several times its limit in long
        prompts. One of 23,000 units takes the limit so far below zero that nothing
        passes for 0.2 s, again and again: 135 of 195 bookings of 200 units were refused
        in nine seconds, though all of them are 2 in 100 of the limit. With a part kept
        for them 0 and 6 bookings a day were refused instead of 40 and 65 (two days, one
        play each).
        """
        if units > SMALL_PART * burst:
            return False
        part = KEPT_PART / (len(self.peers) + 1)
        kept = self.kept.setdefault(organisation, Allowance(updated_at=now - 1.0))
        kept.refill(now, rate=part * rate, burst=max(units, part * burst))
        if kept.units < units:
            return False
        kept.units -= units
        return True

    def grant(
        self,
        spender: SpendingOrigin,
        organisation: str,
        total: float,
        now: float,
        *,
        rate: float,
        burst: float,
    ) -> float | None:
        """Let another node spend; return 0, the seconds to wait, or ``None``.

        Parameters
        ----------
        total : float
            What that node has spent since it started, with what it asks for.

        Returns
        -------
        float or None
            ``None`` if the node's spending isn't known well enough to say.
        """
        left, _ = self.left(organisation, now, rate=rate, burst=burst)
        if left <= 0:
            return self._until_some(left, rate, now)
        return 0.0 if self.apply_update(spender, organisation, total, now) > 0 else None

    def _until_some(self, left: float, rate: float, now: float) -> float:
        return 0.001 - left / (rate * self.reachable_share(now))

    def left(
        self, organisation: str, now: float, *, rate: float, burst: float
    ) -> tuple[float, float]:
        """Return the units left of a limit, and what it holds when full."""
        part = self.reachable_share(now)
        most = (burst + SLACK_PART * self.slack) * part
        allowance = self._allowance(organisation)
        allowance.refill(now, rate=rate * part, burst=most)
        return allowance.units, most

    def refund(self, organisation: str, units: float) -> None:
        """Return what a request took that was not run after all."""
        self.spend(organisation, -units)

    def spend(self, organisation: str, units: float) -> None:
        """Take off what this node spends."""
        self._allowance(organisation).units -= units
        self.spent[organisation] = self.spent.get(organisation, 0.0) + units

    def _allowance(self, organisation: str) -> Allowance:
        return self.allowances.setdefault(
            organisation, Allowance(updated_at=self.begun_at)
        )
