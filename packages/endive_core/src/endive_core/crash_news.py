"""Chooses the crashes that a message to other nodes contains.

A message has room for a few crashes. One that a node has seen itself goes first, then
those that it has learned of: each node passes each on to a few others, so that it
reaches all within some messages at any number of nodes. The rest of the room is used in
turn for all that are known, for nodes that started or were cut off meanwhile.
"""

from collections import deque
from itertools import islice

from endive_core.crashes import Crash, CrashTable, Success

FRESH_RECEIVERS = 10
"""Nodes to which a crash is sent before it only takes its turn. If each node that
learns of it passes it on to ten others, one node in 20,000 is missed."""


class CrashNews:
    """The crashes in a table, in the order in which they are sent to other nodes.

    Attributes
    ----------
    fresh : deque of Crash
        Not yet sent to `FRESH_RECEIVERS` nodes, the next one first.
    receivers : dict of Crash to int
        To how many nodes each fresh crash was sent.
    refused, others : deque of Crash
        Those that were, by whether their requests are refused; the next one first.
    successes : dict of Success to int
        Successes by which crashes no longer count, and to how many nodes each was sent.
    """

    def __init__(self, table: CrashTable) -> None:
        self.table = table
        self.fresh: deque[Crash] = deque()
        self.receivers: dict[Crash, int] = {}
        self.refused: deque[Crash] = deque()
        self.others: deque[Crash] = deque()
        self.successes: dict[Success, int] = {}
        table.listeners.append(self._add)
        table.success_listeners.append(self._add_success)

    def __len__(self) -> int:
        return len(self.fresh) + len(self.refused) + len(self.others)

    def _add(self, crash: Crash) -> None:
        self.fresh.appendleft(crash)
        self.receivers[crash] = 0

    def _add_success(self, success: Success) -> None:
        self.successes[success] = 0

    def learn(self, crash: Crash) -> bool:
        """Add a crash that another node has sent; return whether it was new."""
        is_new = self.table.add(crash)
        if is_new:
            self.fresh.rotate(-1)
        return is_new

    def take(self, now: float, *, limit: int, receivers: int) -> list[Crash]:
        """Return up to `limit` crashes for a message to `receivers` nodes."""
        taken = self._take_fresh(now, limit)
        room = limit - len(taken)
        refused = min(len(self.refused), max(0, room - bool(self.others)))
        others = min(len(self.others), room - refused)
        repeated = self._rotate(self.refused, refused, now)
        repeated += self._rotate(self.others, others, now)
        self._count_sent(taken, receivers)
        return taken + repeated

    def take_successes(self, *, limit: int, receivers: int) -> list[Success]:
        """Return up to `limit` successes for a message to `receivers` nodes."""
        taken = list(islice(self.successes, limit))
        for success in taken:
            self.successes[success] += receivers
            if self.successes[success] >= FRESH_RECEIVERS:
                del self.successes[success]
        return taken

    def _take_fresh(self, now: float, limit: int) -> list[Crash]:
        taken: list[Crash] = []
        while self.fresh and len(taken) < limit:
            crash = self.fresh.popleft()
            if self.table.contains(crash, now):
                taken.append(crash)
            else:
                del self.receivers[crash]
        return taken

    def _count_sent(self, taken: list[Crash], receivers: int) -> None:
        for crash in reversed(taken):
            self.receivers[crash] += receivers
            if self.receivers[crash] < FRESH_RECEIVERS:
                self.fresh.appendleft(crash)
            else:
                del self.receivers[crash]
                self.others.append(crash)

    def _rotate(self, queue: deque[Crash], count: int, now: float) -> list[Crash]:
        """Return the first `count` crashes of `queue` and put each to a queue's end."""
        valid = []
        for _ in range(count):
            crash = queue.popleft()
            if self.table.contains(crash, now):
                is_refused = self.table.is_poison(crash.fingerprint, now)
                (self.refused if is_refused else self.others).append(crash)
                valid.append(crash)
        return valid
