"""Chooses the crashes that a message to other nodes contains.

A message has room for a few crashes. One that a node has seen itself goes first, then
those that it has learned of: each node passes each on to a few others, so that it
reaches all within some messages at any number of nodes. The rest of the room is used in
turn for all that are known, for nodes that started or were cut off meanwhile.
"""

from collections import deque
from collections.abc import Callable, Hashable
from itertools import islice
from typing import Generic, Protocol, TypeVar

CrashT = TypeVar("CrashT", bound=Hashable)
SuccessT = TypeVar("SuccessT", bound=Hashable)

FRESH_RECEIVERS = 10
"""Nodes to which a crash is sent before it only takes its turn. If each node that
learns of it passes it on to ten others, one node in 20,000 is missed."""


class NewsTable(Protocol[CrashT, SuccessT]):
    """A table of crashes, of whole requests or of parts of prompts.

    Attributes
    ----------
    listeners, success_listeners : list of callable
        Called with each crash that is new, and each success that other nodes need.
    """

    listeners: list[Callable[[CrashT], None]]
    success_listeners: list[Callable[[SuccessT], None]]

    def add(self, crash: CrashT) -> bool:
        """Record `crash`; return whether it was new."""

    def contains(self, crash: CrashT, now: float) -> bool:
        """Return whether `crash` is known and counts."""

    def is_refused(self, crash: CrashT, now: float) -> bool:
        """Return whether requests are refused because of `crash`."""


class CrashNews(Generic[CrashT, SuccessT]):
    """The crashes in a table, in the order in which they are sent to other nodes.

    Attributes
    ----------
    fresh : deque
        Not yet sent to `FRESH_RECEIVERS` nodes, the next one first.
    receivers : dict of int
        To how many nodes each fresh crash was sent.
    refused, others : deque
        Those that were, by whether their requests are refused; the next one first.
    successes : dict of int
        Successes by which crashes no longer count, and to how many nodes each was sent.
    """

    def __init__(self, table: NewsTable[CrashT, SuccessT]) -> None:
        self.table = table
        self.fresh: deque[CrashT] = deque()
        self.receivers: dict[CrashT, int] = {}
        self.refused: deque[CrashT] = deque()
        self.others: deque[CrashT] = deque()
        self.successes: dict[SuccessT, int] = {}
        table.listeners.append(self._add)
        table.success_listeners.append(self._add_success)

    def __len__(self) -> int:
        return len(self.fresh) + len(self.refused) + len(self.others)

    def _add(self, crash: CrashT) -> None:
        if crash not in self.receivers:
            self.fresh.appendleft(crash)
            self.receivers[crash] = 0

    def _add_success(self, success: SuccessT) -> None:
        self.successes[success] = 0

    def learn(self, crash: CrashT) -> bool:
        """Add a crash that another node has sent; return whether it was new."""
        is_new = self.table.add(crash)
        if is_new:
            self.fresh.rotate(-1)
        return is_new

    def learn_known(self, crash: CrashT) -> None:
        """Add a crash that the other nodes know already, and only this one does not."""
        if self.table.add(crash) and crash in self.receivers:
            self.fresh.remove(crash)
            del self.receivers[crash]
            self.others.append(crash)

    def take(
        self, now: float, *, limit: int, receivers: int, repeats: int | None = None
    ) -> list[CrashT]:
        """Return up to `limit` crashes for a message to `receivers` nodes.

        Parameters
        ----------
        repeats : int or None
            How many of them may have been sent before; ``None`` for any number.
        """
        taken = self._take_fresh(now, limit)
        room = limit - len(taken)
        if repeats is not None:
            room = min(room, repeats)
        refused = min(len(self.refused), max(0, room - bool(self.others)))
        others = min(len(self.others), room - refused)
        repeated = self._rotate(self.refused, refused, now)
        repeated += self._rotate(self.others, others, now)
        self._count_sent(taken, receivers)
        return taken + repeated

    def take_successes(self, *, limit: int, receivers: int) -> list[SuccessT]:
        """Return up to `limit` successes for a message to `receivers` nodes."""
        taken = list(islice(self.successes, limit))
        for success in taken:
            self.successes[success] += receivers
            if self.successes[success] >= FRESH_RECEIVERS:
                del self.successes[success]
        return taken

    def _take_fresh(self, now: float, limit: int) -> list[CrashT]:
        taken: list[CrashT] = []
        while self.fresh and len(taken) < limit:
            crash = self.fresh.popleft()
            if self.table.contains(crash, now):
                taken.append(crash)
            else:
                del self.receivers[crash]
        return taken

    def _count_sent(self, taken: list[CrashT], receivers: int) -> None:
        for crash in reversed(taken):
            self.receivers[crash] += receivers
            if self.receivers[crash] < FRESH_RECEIVERS:
                self.fresh.appendleft(crash)
            else:
                del self.receivers[crash]
                self.others.append(crash)

    def _rotate(self, queue: deque[CrashT], count: int, now: float) -> list[CrashT]:
        """Return the first `count` crashes of `queue` and put each to a queue's end."""
        valid = []
        for _ in range(count):
            crash = queue.popleft()
            if self.table.contains(crash, now):
                is_refused = self.table.is_refused(crash, now)
                (self.refused if is_refused else self.others).append(crash)
                valid.append(crash)
        return valid
