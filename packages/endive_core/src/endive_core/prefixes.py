"""Prompt prefixes: their block hashes, and which servers are believed to hold them."""

from collections import OrderedDict
from collections.abc import Iterable

from endive_core.hashing import fingerprint
from endive_core.messages import CHARACTERS_PER_TOKEN

BLOCK_TOKENS = 16
"""Tokens of one cache block of the engines."""

MAX_BLOCKS = 64
"""Leading blocks hashed, 1,024 tokens: enough to tell conversations apart, and the
hashing of a long prompt stays cheap."""


def prefix_blocks(
    prompt: str, *, block_tokens: int = BLOCK_TOKENS, limit: int = MAX_BLOCKS
) -> tuple[str, ...]:
    """Return the chained hashes of the whole leading blocks of `prompt`.

    Each hash covers all text up to the end of its block, so equal hashes mean equal
    prefixes.
    """
    size = block_tokens * CHARACTERS_PER_TOKEN
    blocks = []
    previous = ""
    for start in range(0, min(len(prompt) - size + 1, limit * size), size):
        previous = fingerprint(previous + prompt[start : start + size])
        blocks.append(previous)
    return tuple(blocks)


class PrefixIndex:
    """Which servers are believed to hold a prompt block, bounded in size.

    It is filled by this node's own dispatches at once, and corrected by the engines'
    cache events, which come late and with gaps. Being wrong costs a recomputed prefix
    or a missed hit, never an answer; so a gap removes nothing by itself, and a block
    counts as held only while it is among the newest of its server that fit here.
    """

    def __init__(self, *, max_blocks: int) -> None:
        self.max_blocks = max_blocks
        self.holders: OrderedDict[str, set[str]] = OrderedDict()
        self.next_seq: dict[str, int] = {}
        self.gaps = 0

    def add(self, server: str, blocks: Iterable[str]) -> None:
        """Believe that `server` holds `blocks`."""
        for block in blocks:
            holders = self.holders.get(block)
            if holders is None:
                self.holders[block] = {server}
            else:
                holders.add(server)
                self.holders.move_to_end(block)
        while len(self.holders) > self.max_blocks:
            self.holders.popitem(last=False)

    def remove(self, server: str, blocks: Iterable[str]) -> None:
        """Stop believing that `server` holds `blocks`."""
        for block in blocks:
            holders = self.holders.get(block)
            if holders is not None:
                holders.discard(server)
                if not holders:
                    del self.holders[block]

    def event(self, server: str, seq: int, *, stored: bool, blocks: list[str]) -> None:
        """Take over one cache event of `server`; one seen before does nothing."""
        expected = self.next_seq.get(server, seq)
        if seq < expected:
            return
        self.gaps += seq - expected
        self.next_seq[server] = seq + 1
        if stored:
            self.add(server, blocks)
        else:
            self.remove(server, blocks)

    def forget_server(self, server: str) -> None:
        """Forget the position in the events of a server that is gone.

        Its blocks stay until they age out: placement only asks about live servers.
        """
        self.next_seq.pop(server, None)

    def cached_blocks(self, server: str, blocks: tuple[str, ...]) -> int:
        """Return how many leading `blocks` the server is believed to hold.

        Blocks are chained, so the last one held implies those before it: a binary
        search suffices, and an event lost in a gap costs at most its own block.
        """
        low, high = 0, len(blocks)
        while low < high:
            middle = (low + high + 1) // 2
            if server in self.holders.get(blocks[middle - 1], ()):
                low = middle
            else:
                high = middle - 1
        return low

    def deepest_holders(self, blocks: tuple[str, ...]) -> set[str]:
        """Return the servers believed to hold the longest known prefix of `blocks`."""
        low, high = 0, len(blocks)
        while low < high:
            middle = (low + high + 1) // 2
            if blocks[middle - 1] in self.holders:
                low = middle
            else:
                high = middle - 1
        return self.holders[blocks[low - 1]] if low else set()
