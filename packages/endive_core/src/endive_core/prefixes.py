"""Hashes of prompt prefixes, and an index of the servers that presumably cache them."""

from collections.abc import Iterable, Sequence

import xxhash

from endive_core.messages import CHARACTERS_PER_TOKEN

BLOCK_TOKENS = 16
"""Size of a cache block of the engines, tokens."""

MAX_BLOCKS = 256
"""Number of leading blocks that are hashed, 4,096 tokens. Prompts that are equal up to
there seldom differ later, and hashing a long prompt stays cheap."""

SAMPLING_INTERVAL = 4
"""One block in this many is indexed, which takes a quarter of the memory. A cached
prefix is then underestimated by up to three blocks (48 tokens, 2 ms of prefill)."""


def prefix_blocks(
    prompt: str, *, block_tokens: int = BLOCK_TOKENS, limit: int = MAX_BLOCKS
) -> tuple[int, ...]:
    """Return the chained 64-bit hashes of the complete leading blocks of `prompt`.

    Each hash covers the previous one, so equal hashes mean equal prefixes. The engines
    publish the same hashes in their cache events.
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
    """Return the chained hashes of a prompt's parts, and where each part ends.

    Parameters
    ----------
    model : str
        Model name, which the first hash covers.
    parts : iterable of (int, int)
        Hash and number of tokens of each part, in order.

    Returns
    -------
    tuple of tuple of int
        The hashes, and the number of prompt tokens up to the end of each part.
    """
    blocks: list[int] = []
    ends: list[int] = []
    parent, end = model, 0
    for part_id, tokens in parts:
        hashed = xxhash.xxh3_64_intdigest(f"{parent}\0{part_id}".encode())
        # Parts are few and long, so all hashes are rounded to be sampled.
        blocks.append(hashed - hashed % SAMPLING_INTERVAL)
        parent = f"{hashed:016x}"
        end += tokens
        ends.append(end)
    return tuple(blocks), tuple(ends)


class PrefixIndex:
    """Index of the servers that presumably cache a prompt block, bounded in size.

    Entries are added when this node dispatches a call, and corrected by the cache
    events of the engines, which arrive late and with gaps. A wrong entry costs a
    recomputed prefix or a missed hit, but never a wrong answer. A gap in the events
    therefore removes nothing: blocks are chained, and a known block implies those
    before it.

    The size is bounded by two generations. When the young generation is full it becomes
    the old one, and blocks of the previous old generation that were not added or
    removed since are dropped.

    Parameters
    ----------
    max_blocks : int
        Number of indexed blocks, both generations together.

    Attributes
    ----------
    gaps : int
        Number of missed cache events.
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
        """Return the servers that presumably hold `block`, the latest added last."""
        return self.young.get(block) or self.old.get(block, ())

    def add(self, server: str, blocks: Iterable[int]) -> None:
        """Record that `server` holds `blocks`."""
        for block in blocks:
            if block % SAMPLING_INTERVAL:
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
        """Record that `server` no longer holds `blocks`."""
        for block in blocks:
            holders = self.holders(block)
            if server in holders:
                self.old.pop(block, None)
                self.young[block] = tuple(h for h in holders if h != server)

    def apply_event(
        self, server: str, seq: int, *, stored: bool, blocks: Sequence[int]
    ) -> None:
        """Apply a cache event of `server`; a repeated event has no effect."""
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
        """Forget the event sequence number of a server that was removed.

        Its blocks expire by themselves, and placement ignores servers that do not
        accept work.
        """
        self.next_seq.pop(server, None)

    def drop_server(self, server: str) -> None:
        """Forget which blocks a server holds, since its memory is empty now.

        It takes one pass over all blocks, as rarely as servers start again.
        """
        self.forget_server(server)
        for blocks in (self.young, self.old):
            for block, holders in blocks.items():
                if server in holders:
                    blocks[block] = tuple(h for h in holders if h != server)

    def prefix_holders(self, blocks: Sequence[int]) -> dict[str, int]:
        """Return the servers that hold leading `blocks`, and how many each holds.

        Servers with the longest prefix come first. A server that holds a block also
        holds those before it.
        """
        found: dict[str, int] = {}
        for depth in range(len(blocks), 0, -1):
            if blocks[depth - 1] % SAMPLING_INTERVAL:
                continue
            for server in reversed(self.holders(blocks[depth - 1])):
                found.setdefault(server, depth)
        return found
