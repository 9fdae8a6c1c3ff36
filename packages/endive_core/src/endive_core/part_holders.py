"""Which servers this node has sent prompts with a part to, and when they answered.

Unlike :class:`endive_core.prefixes.PrefixIndex`, which lets placement prefer a server,
this keeps times and incarnations: a server that is named as the source of a part must
still hold it.
"""

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

MAX_PARTS = 4096
"""Parts that are kept, the least recently used ones dropped first. At the load of the
largest known deployment a node sees some hundred within the time that engines keep
them."""

MAX_HOLDERS = 4
"""Servers kept for each part, those used last; one source is enough."""


@dataclass(slots=True)
class Holding:
    """A server's use of a part, for requests of this node.

    Attributes
    ----------
    sent_at, answered_at : float
        When a prompt with the part was last sent there, and when the last such prompt
        got its first token, clock time in seconds.
    """

    incarnation: int
    sent_at: float = float("-inf")
    answered_at: float = float("-inf")


class PartHolders:
    """The servers that were sent each part, bounded in size."""

    def __init__(self) -> None:
        self.parts: OrderedDict[int, dict[str, Holding]] = OrderedDict()

    def __len__(self) -> int:
        return len(self.parts)

    def of(self, block: int) -> dict[str, Holding]:
        """Return the holdings of a part by server, the one used last at the end."""
        return self.parts.get(block, {})

    def sent(
        self, server: str, incarnation: int, blocks: Sequence[int], now: float
    ) -> None:
        """Record that a prompt with `blocks` was sent to a server."""
        for block in blocks:
            self._use(server, incarnation, block).sent_at = now

    def answered(
        self, server: str, incarnation: int, blocks: Sequence[int], now: float
    ) -> None:
        """Record that a server has produced the first token of such a prompt."""
        for block in blocks:
            self._use(server, incarnation, block).answered_at = now

    def _use(self, server: str, incarnation: int, block: int) -> Holding:
        holdings = self.parts.setdefault(block, {})
        self.parts.move_to_end(block)
        holding = holdings.pop(server, None)
        if holding is None or holding.incarnation != incarnation:
            holding = Holding(incarnation)
        holdings[server] = holding
        if len(holdings) > MAX_HOLDERS:
            del holdings[next(iter(holdings))]
        if len(self.parts) > MAX_PARTS:
            self.parts.popitem(last=False)
        return holding
