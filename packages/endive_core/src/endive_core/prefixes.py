"""Prompt prefixes: their block hashes, and which servers are believed to hold them."""

from collections.abc import Iterable, Sequence

import xxhash

from endive_core.messages import CHARACTERS_PER_TOKEN

BLOCK_TOKENS = 16
"""Tokens of one cache block of the engines."""

MAX_BLOCKS = 256
"""Leading blocks hashed, 4,096 tokens: what lies beyond seldom tells two prompts apart
that were equal so far, and the hashing of a long prompt stays cheap."""

SAMPLING = 4
"""One block in four is remembered. The prefix known to be cached is then up to three
blocks too short (48 tokens, 2 ms of prefill), for a quarter of the memory."""


def prefix_blocks(
    prompt: str, *, block_tokens: int = BLOCK_TOKENS, limit: int = MAX_BLOCKS
) -> tuple[int, ...]:
    """Return the chained 64-bit hashes of the whole leading blocks of `prompt`.

    Each hash covers the hash before it, so equal hashes mean equal prefixes. The
    engines publish the same hashes in their cache events.
    """
    size = block_tokens * CHARACTERS_PER_TOKEN
    blocks: list[int] = []
    parent = ""
    for start in range(0, min(len(prompt) - size + 1, limit * size), size):
        text = f"{parent}\0{prompt[start : start + size]}"
        blocks.append(xxhash.xxh3_64_intdigest(text.encode()))
        parent = f"{blocks[-1]:016x}"
    return tuple(blocks)


def part_blocks(
    model: str, parts: Iterable[tuple[int, int]]
) -> tuple[tuple[int, ...], tuple[int, ...]]:
    """Return the chained hashes of a prompt's named parts, and where each part ends.

    Parameters
    ----------
    parts : iterable of (int, int)
        Hash and tokens of each part, in order.
    """
    blocks: list[int] = []
    ends: list[int] = []
    parent, end = model, 0
    for part_id, tokens in parts:
        hashed = xxhash.xxh3_64_intdigest(f"{parent}\0{part_id}".encode())
        blocks.append(hashed - hashed % SAMPLING)  # few and long: remember them all
        parent = f"{hashed:016x}"
        end += tokens
        ends.append(end)
    return tuple(blocks), tuple(ends)


class PrefixIndex:
    """Which servers are believed to hold a prompt block, bounded in size.

    It is filled by this node's own dispatches at once, and corrected by the engines'
    cache events, which come late and with gaps. Being wrong costs a recomputed prefix
    or a missed hit, never an answer. So a gap removes nothing by itself: blocks are
    chained, and one that is known implies those before it.

    Two generations bound it: when the younger is full it becomes the older, and what
    was neither stored nor looked up since is forgotten.
    """

    def __init__(self, *, max_blocks: int) -> None:
        self.generation_blocks = max(1, max_blocks // 2)
        self.young: dict[int, tuple[str, ...]] = {}
        self.old: dict[int, tuple[str, ...]] = {}
        self.next_seq: dict[str, int] = {}
        self.gaps = 0

    def __len__(self) -> int:
        return len(self.young) + len(self.old)

    def holders(self, block: int) -> tuple[str, ...]:
        """Return the servers believed to hold `block`, newest last."""
        return self.young.get(block) or self.old.get(block, ())

    def add(self, server: str, blocks: Iterable[int]) -> None:
        """Believe that `server` holds `blocks`."""
        for block in blocks:
            if block % SAMPLING:
                continue
            holders = self.holders(block)
            if server in holders:
                if holders[-1] != server:
                    holders = (*(h for h in holders if h != server), server)
            else:
                holders = (*holders, server)
            self.young[block] = holders
        if len(self.young) >= self.generation_blocks:
            self.old, self.young = self.young, {}

    def remove(self, server: str, blocks: Iterable[int]) -> None:
        """Stop believing that `server` holds `blocks`."""
        for block in blocks:
            holders = self.holders(block)
            if server in holders:
                self.old.pop(block, None)
                self.young[block] = tuple(h for h in holders if h != server)

    def apply_event(
        self, server: str, seq: int, *, stored: bool, blocks: Sequence[int]
    ) -> None:
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

        Its blocks age out: placement only asks about servers that take work.
        """
        self.next_seq.pop(server, None)

    def prefix_holders(self, blocks: Sequence[int]) -> dict[str, int]:
        """Return the known holders of leading `blocks`, with how many each holds.

        The deepest known block comes first; a server that holds a deeper block also
        holds those before it.
        """
        found: dict[str, int] = {}
        for depth in range(len(blocks), 0, -1):
            if blocks[depth - 1] % SAMPLING:
                continue
            for server in reversed(self.holders(blocks[depth - 1])):
                found.setdefault(server, depth)
        return found
