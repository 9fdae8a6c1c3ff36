"""Prefix cache of a model engine, and the events that it publishes."""

import random
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Any

import xxhash

from endive_standins.serving import Delayed

KEPT_EVENTS = 4096


def block_hashes(tokens: list[str], block_tokens: int) -> list[str]:
    """Return the chained hashes of the full blocks of a prefix."""
    hashes: list[str] = []
    parent = ""
    for end in range(block_tokens, len(tokens) + 1, block_tokens):
        text = "".join(tokens[end - block_tokens : end])
        parent = xxhash.xxh3_64_hexdigest(f"{parent}\0{text}".encode())
        hashes.append(parent)
    return hashes


class PrefixCache:
    """Bounded set of blocks; the least recently used goes first."""

    def __init__(self, capacity: int, block_tokens: int, report: Callable) -> None:
        self.capacity = capacity
        self.block_tokens = block_tokens
        self.report = report
        self.blocks: OrderedDict[str, None] = OrderedDict()

    def covered(self, tokens: list[str]) -> int:
        """Return how many leading tokens are cached."""
        hashes = block_hashes(tokens, self.block_tokens)
        missing = (i for i, block in enumerate(hashes) if block not in self.blocks)
        return next(missing, len(hashes)) * self.block_tokens

    def store(self, tokens: list[str]) -> None:
        """Cache the full blocks of a prefix."""
        hashes = block_hashes(tokens, self.block_tokens)[: self.capacity]
        stored = [block for block in hashes if block not in self.blocks]
        # A block is of use only with all blocks before it, so the first block counts
        # as the most recently used, and a prefix loses its end first.
        for block in reversed(hashes):
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        excess = range(len(self.blocks) - self.capacity)
        evicted = [self.blocks.popitem(last=False)[0] for _ in excess]
        for kind, blocks in (("stored", stored), ("evicted", evicted)):
            if blocks:
                self.report(kind, blocks)


class CacheEvents:
    """Numbered events, seen late and with gaps."""

    def __init__(self, lag_s: float, gap: float, seed: int) -> None:
        self.gap = gap
        self.random = random.Random(seed)
        self.next = 0
        self.seen = Delayed(lag_s, 0)
        self.events: deque[dict[str, Any]] = deque(maxlen=KEPT_EVENTS)

    def add(self, kind: str, blocks: list[str]) -> None:
        """Publish an event, or lose it."""
        if self.random.random() >= self.gap:
            self.events.append({"seq": self.next, "kind": kind, "blocks": blocks})
        self.next += 1
        self.seen.set(self.next)

    def view(self, start: int) -> dict[str, Any]:
        """Return the events from a number on that can be seen by now."""
        seen = self.seen.get()
        events = [event for event in self.events if start <= event["seq"] < seen]
        return {"events": events, "next": seen}
