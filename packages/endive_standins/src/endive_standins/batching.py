"""Simulation of continuous batching: which sequences run, and when each token is due.

No model runs: prefill and decoding take time at configured rates, and the tokens are
hashes of the prompt.
"""

import time
from bisect import insort
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any

import msgspec
import xxhash
from gevent.event import Event

from endive_standins.prefixes import PrefixCache

STEP_S = 0.002
"""Length of a step, seconds. Tokens due within a step are generated at once: an engine
that slept for each token could not be faster than the timer's resolution allows."""

CHARACTERS_PER_TOKEN = 4


def split_prompt(prompt: str) -> list[str]:
    """Split a prompt into tokens of a fixed number of characters."""
    starts = range(0, len(prompt), CHARACTERS_PER_TOKEN)
    return [prompt[start : start + CHARACTERS_PER_TOKEN] for start in starts]


def completion_token(prompt: str, index: int) -> str:
    """Return the token at `index` of the only correct completion of a prompt."""
    return xxhash.xxh3_64_hexdigest(f"{prompt}\0{index}".encode())[:6] + " "


class ScaledClock:
    """Clock that runs at an adjustable speed, to slow an engine down or stop it."""

    def __init__(self) -> None:
        self.speed = 1.0
        self.elapsed_s = 0.0
        self.updated_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start, scaled by the speed at each time."""
        return self.elapsed_s + (time.monotonic() - self.updated_at) * self.speed

    def set_speed(self, speed: float) -> None:
        """Run at another speed from now on; 1 is real time, and 0 stops the clock."""
        self.elapsed_s, self.updated_at, self.speed = (
            self.now(),
            time.monotonic(),
            speed,
        )


class KvBlob(msgspec.Struct):
    """The exported KV cache of a sequence.

    Attributes
    ----------
    prompt : str
        The sequence's prompt.
    tokens : list of str
        The tokens of its completion so far.
    computed : int
        Number of leading tokens of prompt and completion that the cache covers.
    """

    prompt: str
    tokens: list[str]
    computed: int


@dataclass(eq=False)
class Sequence:
    """One attempt at a completion.

    Attributes
    ----------
    tokens : list of str
        The completion so far.
    resumed_length : int
        Number of leading tokens of it that the request supplied.
    kv : KvBlob or None
        The KV cache imported for the sequence.
    reused_tokens : int
        Number of leading tokens that needed no prefill.
    prefill_end, next_token_at : float
        When the prefill ends and when the next token is due, on the batch's clock.
    changed : Event
        Set when there are more tokens or the sequence ended.
    """

    serial: int
    request_id: str
    attempt: int
    prompt: str
    max_tokens: int
    priority: int = 0
    tokens: list[str] = field(default_factory=list)
    kv: KvBlob | None = None
    reused_tokens: int = 0
    started_at: float | None = None
    prefill_end: float | None = None
    prefilled: bool = False
    next_token_at: float = 0.0
    finish_reason: str | None = None
    changed: Event = field(default_factory=Event)

    def __post_init__(self) -> None:
        self.resumed_length = len(self.tokens)
        self.prompt_tokens = split_prompt(self.prompt)

    def rank(self) -> tuple[int, int]:
        """Return the sort key of the queue: higher priority, then earlier arrival."""
        return (-self.priority, self.serial)

    def context(self) -> list[str]:
        """Return the tokens whose KV cache the sequence needs."""
        return self.prompt_tokens + self.tokens

    def imported_length(self) -> int:
        """Return the number of leading tokens that the imported KV cache covers."""
        if self.kv is None or self.kv.prompt != self.prompt:
            return 0
        common = min(len(self.tokens), len(self.kv.tokens))
        if self.kv.tokens[:common] != self.tokens[:common]:
            return 0
        return min(self.kv.computed, len(self.prompt_tokens) + common)

    def export(self) -> KvBlob:
        """Return what another server needs to continue without prefill."""
        computed = len(self.context()) if self.prefilled else 0
        return KvBlob(self.prompt, self.tokens, computed)


@dataclass
class TokenCounts:
    """Totals of the engine's work, in tokens.

    Attributes
    ----------
    computed_tokens : int
        Tokens computed in prefill and decoding.
    recomputed_tokens : int
        Tokens computed in prefill that an earlier attempt had computed already.
    cached_tokens : int
        Tokens that needed no prefill.
    decoded_tokens : int
        Tokens generated.
    """

    computed_tokens: int = 0
    recomputed_tokens: int = 0
    cached_tokens: int = 0
    decoded_tokens: int = 0


class Batch:
    """The running and the waiting sequences, and the tokens that are due.

    Sequences are prefilled one after another; after its prefill every sequence decodes
    at the same rate, whatever the size of the batch. `on_start` is called with each
    sequence that starts to run.
    """

    def __init__(
        self, settings: Any, cache: PrefixCache, clock: ScaledClock, on_start: Callable
    ) -> None:
        self.settings = settings
        self.cache = cache
        self.clock = clock
        self.on_start = on_start
        self.counts = TokenCounts()
        self.waiting: list[Sequence] = []
        self.running: set[Sequence] = set()
        self.prefilling: deque[Sequence] = deque()
        self.prefill_free_at = 0.0
        self.decoding: list[tuple[float, int, Sequence]] = []

    def add(self, sequence: Sequence) -> None:
        """Queue a sequence; if the queue is full, the last one in it is refused."""
        insort(self.waiting, sequence, key=Sequence.rank)
        self.step()
        if len(self.waiting) > self.settings.max_waiting:
            self.end(self.waiting[-1], "busy")

    def step(self) -> None:
        """Do all work that is due by the end of this step."""
        horizon = self.clock.now() + STEP_S
        freed = True
        while freed:
            self._start_waiting()
            self._prefill(horizon)
            freed = self._decode(horizon)

    def next_due(self) -> float | None:
        """Return when work is due next, on the batch's clock; None if there is none."""
        due = [sequence.prefill_end for sequence in list(self.prefilling)[:1]]
        due += [entry[0] for entry in self.decoding[:1]]
        return min(due, default=None)

    def end(self, sequence: Sequence, reason: str) -> None:
        """End a sequence; no further tokens are generated for it."""
        if sequence.finish_reason is not None:
            return
        sequence.finish_reason = reason
        self.running.discard(sequence)
        if sequence in self.waiting:
            self.waiting.remove(sequence)
        if sequence in self.prefilling:
            self.prefilling.remove(sequence)
            if sequence.prefill_end is not None:
                self.prefill_free_at = self.clock.now()
        if sequence.prefilled:
            self.cache.store(sequence.context())
        sequence.changed.set()

    def _start_waiting(self) -> None:
        while self.waiting and len(self.running) < self.settings.max_batch:
            sequence = self.waiting.pop(0)
            sequence.started_at = self.clock.now()
            self.running.add(sequence)
            self.prefilling.append(sequence)
            self.on_start(sequence)

    def _prefill(self, horizon: float) -> None:
        while self.prefilling:
            sequence = self.prefilling[0]
            if sequence.prefill_end is None:
                self._begin_prefill(sequence)
            if sequence.prefill_end > horizon:
                return
            self.prefilling.popleft()
            self._end_prefill(sequence)

    def _begin_prefill(self, sequence: Sequence) -> None:
        context = sequence.context()
        sequence.reused_tokens = max(
            self.cache.cached_prefix_length(context), sequence.imported_length()
        )
        uncached = len(context) - sequence.reused_tokens
        begin = max(sequence.started_at, self.prefill_free_at)
        sequence.prefill_end = begin + uncached / self.settings.prefill_tokens_per_s

    def _end_prefill(self, sequence: Sequence) -> None:
        self.prefill_free_at = sequence.next_token_at = sequence.prefill_end
        sequence.prefilled = True
        context = sequence.context()
        size, reused_tokens = len(context), sequence.reused_tokens
        first_time = 0 if sequence.attempt > 0 else len(sequence.prompt_tokens)
        self.counts.computed_tokens += size - reused_tokens
        self.counts.recomputed_tokens += size - max(reused_tokens, first_time)
        self.counts.cached_tokens += reused_tokens
        self.cache.store(context)
        heappush(self.decoding, (sequence.prefill_end, sequence.serial, sequence))

    def _decode(self, horizon: float) -> bool:
        freed = False
        while self.decoding and self.decoding[0][0] <= horizon:
            _, serial, sequence = heappop(self.decoding)
            if sequence.finish_reason is not None:
                continue
            self._generate_tokens(sequence, horizon)
            if len(sequence.tokens) >= sequence.max_tokens:
                self.end(sequence, "length")
                freed = True
            else:
                heappush(self.decoding, (sequence.next_token_at, serial, sequence))
        return freed

    def _generate_tokens(self, sequence: Sequence, horizon: float) -> None:
        before = made = len(sequence.tokens)
        while made < sequence.max_tokens and sequence.next_token_at <= horizon:
            sequence.tokens.append(completion_token(sequence.prompt, made))
            sequence.next_token_at += 1 / self.settings.decode_tokens_per_s
            made += 1
        self.counts.decoded_tokens += made - before
        self.counts.computed_tokens += made - before
        sequence.changed.set()
