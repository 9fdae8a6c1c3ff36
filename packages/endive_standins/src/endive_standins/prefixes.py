"""Simulated prefix cache of a model engine, and the events that it publishes."""

import random
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Any

import xxhash

from endive_standins.serving import DelayedValue

MAX_RETAINED_EVENTS = 4096


def block_hashes(tokens: list[str], block_tokens: int) -> list[str]:
    """Return the hashes of the full blocks, each chained to the one before."""
    hashes: list[str] = []
    parent = ""
    for end in range(block_tokens, len(tokens) + 1, block_tokens):
        text = "".join(tokens[end - block_tokens : end])
        parent = xxhash.xxh3_64_hexdigest(f"{parent}\0{text}".encode())
        hashes.append(parent)
    return hashes


class PrefixCache:
    """Set of blocks with LRU eviction; `on_change` is called with each change."""

    def __init__(self, capacity: int, block_tokens: int, on_change: Callable) -> None:
        self.capacity = capacity
        self.block_tokens = block_tokens
        self.on_change = on_change
        self.blocks: OrderedDict[str, None] = OrderedDict()

    def cached_prefix_length(self, tokens: list[str]) -> int:
        """Return the number of leading tokens whose blocks are cached."""
        hashes = block_hashes(tokens, self.block_tokens)
        missing = (i for i, block in enumerate(hashes) if block not in self.blocks)
        return next(missing, len(hashes)) * self.block_tokens

    def store(self, tokens: list[str]) -> None:
        """Cache the full blocks of a prefix."""
        hashes = block_hashes(tokens, self.block_tokens)[: self.capacity]
        stored = [block for block in hashes if block not in self.blocks]
        # A block can be reused only with all blocks before it. So the first block is
        # marked as the most recently used, and a prefix is evicted from its end.
        for block in reversed(hashes):
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        excess = range(len(self.blocks) - self.capacity)
        evicted = [self.blocks.popitem(last=False)[0] for _ in excess]
        for kind, blocks in (("stored", stored), ("evicted", evicted)):
            if blocks:
                self.on_change(kind, blocks)


class CacheEvents:
    """Numbered events that become visible after a delay and may be lost.

    Parameters
    ----------
    lag_s : float
        Delay until an event is visible, seconds.
    loss_probability : float
        Probability that an event is lost; its number is then missing.
    seed : int
        Seed of the random losses.
    """

    def __init__(self, lag_s: float, loss_probability: float, seed: int) -> None:
        self.loss_probability = loss_probability
        self.random = random.Random(seed)
        self.next_seq = 0
        self.visible_next = DelayedValue(lag_s, 0)
        self.events: deque[dict[str, Any]] = deque(maxlen=MAX_RETAINED_EVENTS)

    def add(self, kind: str, blocks: list[str]) -> None:
        """Publish an event, or lose it at random."""
        if self.random.random() >= self.loss_probability:
            self.events.append({"seq": self.next_seq, "kind": kind, "blocks": blocks})
        self.next_seq += 1
        self.visible_next.set(self.next_seq)

    def read(self, start: int) -> dict[str, Any]:
        """Return the visible events with numbers from `start` on."""
        visible_next = self.visible_next.get()
        events = [
            event for event in self.events if start <= event["seq"] < visible_next
        ]
        return {"events": events, "next": visible_next}
