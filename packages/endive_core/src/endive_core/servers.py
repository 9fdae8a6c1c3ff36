"""What a node believes about each server: the last report and its own sends since.

The load this is for: several nodes send to the same servers, and each sees the others
only through reports that lag. Two harms follow. A node that reads "4 slots free" and
fills all four, as do six others, puts 28 requests before 4 slots. And a node that
waits for the next report before it reuses a slot it has just freed leaves it idle for
the whole lag. So the last free slots in a report are divided among the nodes, while a
slot that this node's own request has freed is this node's to use at once. Where many
slots are free, a node may take any of them, less what the others have presumably taken
by now: as much as this node has, for they see the same load.
"""

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from endive_core.calls import Tier
from endive_core.messages import ServerView


class Random(Protocol):
    """Source of randomness, passed in so that runs can be repeated."""

    def random(self) -> float:
        """Return a number from 0 up to 1."""

    def randrange(self, stop: int) -> int:
        """Return an integer from 0 up to `stop`."""


@dataclass(slots=True, eq=False)
class ServerLoad:
    """One server's load as this node sees it.

    Attributes
    ----------
    reserved : tuple of int
        Slots that a call of each tier must leave free.
    divided : int
        The last free slots, which the nodes divide.
    grants : list of int
        Slots of the last report that are this node's to take, for each tier.
    changes : deque
        Times and signs of this node's own sends (+1) and ends (-1).
    change : int
        Sum of the signs after the state that the last report describes.
    starting_tokens : float
        Uncached prompt tokens that this node sent and that gave no first token yet.
    prefill_paced_until : float
        Clock time by which this node's part of the prefill rate has done what this
        node sent.
    failures : int
        Failures in a row.
    slowness : float
        Latency compared with the peers' median, 1 or more.
    """

    view: ServerView
    reserved: tuple[int, int, int] = (0, 0, 0)
    divided: int = 1
    grants: list[int] = field(default_factory=lambda: [0, 0, 0])
    changes: deque = field(default_factory=deque)
    change: int = 0
    starting_tokens: float = 0.0
    yielding_tokens: float = 0.0
    starting_suspects: int = 0
    prefill_paced_until: float = 0.0
    slowness: float = 1.0
    slow: bool = False
    paused: bool = False
    failures: int = 0
    next_probe_at: float = 0.0
    latency_ratio: float = 1.0
    samples: int = 0

    @property
    def id(self) -> str:
        """Id of the server."""
        return self.view.id

    @property
    def load(self) -> int:
        """Requests running and waiting, the report corrected by own changes."""
        view = self.view
        return max(
            view.in_flight,
            view.reported_running + view.reported_waiting + self.change,
        )

    @property
    def utilisation(self) -> float:
        """Load over slots."""
        return self.load / self.view.max_concurrent

    @property
    def free(self) -> int:
        """Slots free in the last report; below 0 if requests were waiting."""
        view = self.view
        return view.max_concurrent - view.reported_running - view.reported_waiting

    def granted(self, tier: Tier) -> int:
        """Return how many requests this node may send from its part of the slots."""
        return self.grants[tier] - self.change

    def plenty(self, tier: Tier) -> int:
        """Return the free slots beyond those that the nodes divide."""
        return self.free - self.change - self.divided - self.reserved[tier]

    def adjust_in_flight(self, sign: int, now: float) -> None:
        """Count an own send (+1) or end (-1) at `now`."""
        self.changes.append((now, sign))
        self.change += sign
        self.view.in_flight += sign
        self.view.sent_since_report += sign > 0


class ServerSet:
    """All servers of one service, and those with room, found without a scan.

    Users meet it through the speed of a decision: it must not grow with the number
    of servers, so the servers with room stand in lists that each send, end and
    report update in constant time.
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
        self.available = {tier: MemberList() for tier in Tier}
        self.accepting = MemberList()
        self.nodes = 1
        self.own_in_flight = 0
        self.change_total = 0
        self.reported_total = 0
        self.slots_total = 0
        self.yielding_total = 0.0

    def set_servers(self, views: Iterable[ServerView]) -> bool:
        """Take over the declared servers; return whether the set changed."""
        declared = {view.id: view for view in views}
        gone = self.servers.keys() - declared.keys()
        new = declared.keys() - self.servers.keys()
        for server_id in sorted(gone):
            self._remove(self.servers[server_id])
        for server_id in sorted(new):
            self.servers[server_id] = ServerLoad(declared[server_id])
        self.slots_total = sum(view.max_concurrent for view in declared.values())
        for server in self.servers.values():
            self._size(server)
        return bool(gone or new)

    def _size(self, server: ServerLoad) -> None:
        slots = server.view.max_concurrent
        reserved = round(slots * self.reserved_share)
        if self.reserved_share and slots > 1:
            reserved = max(1, reserved)
        server.reserved = (0, 2 * reserved // 3, reserved)
        server.divided = max(1, round(slots * self.divided_share))
        self._grant(server)

    def _remove(self, server: ServerLoad) -> None:
        view = server.view
        self.servers.pop(view.id)
        self.reported_total -= view.reported_running + view.reported_waiting
        self.own_in_flight -= view.in_flight
        self.change_total -= server.change
        self.yielding_total -= server.yielding_tokens
        for members in (*self.available.values(), self.accepting):
            members.discard(server)

    @property
    def share(self) -> float:
        """Part of the reported free slots that this node takes.

        With even traffic it is one part in the number of nodes. A batch that arrives
        at one node only would then fill an idle service slowly, so the share follows
        this node's part of the reported load. What was sent since the reports is left
        out on both sides: the others' is not known.
        """
        own = max(0, self.own_in_flight - self.change_total)
        total = max(own, self.reported_total)
        return min(1.0, (own + 1) / (total + self.nodes))

    @property
    def mean_utilisation(self) -> float:
        """Load over slots of all servers."""
        total = max(self.own_in_flight, self.reported_total)
        return total / self.slots_total if self.slots_total else 0.0

    def report(
        self, server_id: str, running: int, waiting: int, *, as_of: float
    ) -> None:
        """Take over a server's report of its state at `as_of`.

        Own changes up to `as_of` are in the report; later ones still correct it.
        """
        server = self.servers.get(server_id)
        if server is None:
            return
        view = server.view
        self.reported_total += running + waiting
        self.reported_total -= view.reported_running + view.reported_waiting
        view.reported_running, view.reported_waiting = running, waiting
        while server.changes and server.changes[0][0] <= as_of:
            sign = server.changes.popleft()[1]
            server.change -= sign
            self.change_total -= sign
        view.sent_since_report = sum(sign > 0 for _, sign in server.changes)
        self._grant(server)

    def _grant(self, server: ServerLoad) -> None:
        share = self.share
        for tier in Tier:
            free = server.free - server.reserved[tier]
            if free < 0 and tier:
                free *= self.giving_way
            server.grants[tier] = self._rounded(free * share)
        self.refresh(server)

    def _rounded(self, value: float) -> int:
        """Round at random, so that the nodes' parts add up to the whole on average."""
        whole = int(value // 1)
        return whole + (self.random.random() < value - whole)

    def busy(self, server: ServerLoad) -> None:
        """Expect no room until the next report: the server has just refused."""
        view = server.view
        server.grants = [min(grant, server.change) for grant in server.grants]
        waiting = view.reported_waiting
        self.reported_total += max(0, server.free - server.change)
        view.reported_waiting = waiting + max(0, server.free - server.change)
        self.refresh(server)

    def adjust_in_flight(self, server: ServerLoad, sign: int, now: float) -> None:
        """Count an own send or end at `server`."""
        server.adjust_in_flight(sign, now)
        self.own_in_flight += sign
        self.change_total += sign
        self.refresh(server)

    def adjust_prefill_backlog(
        self, server: ServerLoad, sign: int, tokens: float, *, yields: bool
    ) -> None:
        """Count the tokens of a prompt sent (+1), or of one begun or ended (-1)."""
        if yields:
            server.yielding_tokens += sign * tokens
            self.yielding_total += sign * tokens
        else:
            server.starting_tokens += sign * tokens

    def yielding_tokens_at(self, server: ServerLoad) -> float:
        """Return the tokens at `server` that give way, of all nodes.

        Others' aren't told. All of theirs are taken to be as many as their part of all
        requests makes likely, spread evenly: at one server this node's own say nothing
        of theirs, with many nodes and servers.
        """
        others = self.yielding_total * (1 / self.share - 1)
        return server.yielding_tokens + others / max(1, len(self.accepting))

    def has_room(self, server: ServerLoad, tier: Tier) -> bool:
        """Return whether this node may send a call of `tier` to `server` now."""
        if server.granted(tier) > 0:
            return True
        plenty = server.plenty(tier)
        return plenty > 0 and plenty > self._taken_by_others(server)

    def _taken_by_others(self, server: ServerLoad) -> float:
        """Return the slots of `server` that other nodes presumably took by now.

        The others see the same load, so they are taken to have grown as this node
        has, this request included, where slots were free. This stops a burst that
        reaches all nodes at once before all of them have filled the same slots.

        The request to be sent is itself a sign of a burst only as far as the servers
        are loaded. With more nodes than slots a service of a few idle servers would
        otherwise take nothing: 86 others were expected at 24 slots whenever one request
        came, and a fifth of the requests waited for a second in vain.
        """
        free = max(1, self.slots_total - self.reported_total)
        growth = max(0, self.change_total) + min(1.0, self.mean_utilisation)
        growth *= 1 / self.share - 1
        return growth * max(0, server.free) / free

    def pause(self, server: ServerLoad) -> bool:
        """Give a server that failed no work for now; never the last one left.

        Until it answers again it then gets one request at a time: a dead server that
        nobody has taken out of the configuration would otherwise fail a slot's worth
        of requests after each pause.
        """
        server.failures += 1
        if server.paused or (len(self.accepting) == 1 and not server.view.leaving):
            return False
        server.paused = True
        self.refresh(server)
        return True

    def record_success(self, server: ServerLoad) -> None:
        """Note that a server works."""
        if server.failures:
            server.failures = 0
            self.refresh(server)

    def all_tried(self, tried: set[str]) -> bool:
        """Return whether every server that takes work is among `tried`."""
        if len(tried) < len(self.accepting):
            return False
        return all(server.id in tried for server in self.accepting.items)

    def refresh(self, server: ServerLoad) -> None:
        """Put `server` into or out of the lists of servers with room.

        One that is no longer declared stays out, whatever still ends or resumes there:
        it would be chosen, and could not be found.
        """
        if self.servers.get(server.id) is not server:
            return
        accepting = not (server.view.leaving or server.paused)
        if accepting:
            self.accepting.add(server)
        else:
            self.accepting.discard(server)
        trying = server.failures > 0 and server.view.in_flight > 0
        usable = accepting and not server.slow and not trying
        for tier, members in self.available.items():
            room = server.granted(tier) > 0 or server.plenty(tier) > 0
            if usable and room:
                members.add(server)
            else:
                members.discard(server)


class MemberList:
    """A set with constant-time random choice."""

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
        """Return up to `count` members at random, repeats possible."""
        if len(self.items) <= count:
            return list(self.items)
        return [self.items[randrange(len(self.items))] for _ in range(count)]
