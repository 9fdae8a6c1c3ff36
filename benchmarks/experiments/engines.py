"""Simulated model engine with continuous batching and chunked prefill."""

from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

from experiments.deployment import Engines, Speed

RECENT_USE_S = 10.0
"""Time after its last use in which a new prefill of a prompt part counts as avoidable,
seconds."""


@dataclass(eq=False)
class Stream:
    """One request at an engine.

    Attributes
    ----------
    parts : sequence of (int, int)
        Hash and tokens of each part of its prompt; the last is not shared.
    prompt_tokens_left, answer_tokens_left : float
        Prompt tokens to prefill and answer tokens to decode.
    on_first_token, on_end : callable
        Called with the time of the first token and with that of the end.
    owner : object
        The request, as the caller of the engine keeps it.
    yields : bool
        Whether its prefill waits until no other request waits for one.
    """

    parts: Sequence[tuple[int, int]]
    prompt_tokens_left: float
    answer_tokens_left: int
    on_first_token: Callable[[float], None]
    on_end: Callable[[float], None]
    owner: object = None
    yields: bool = False


class SpeedPhases:
    """Slow and usual phases of an engine, of exponentially distributed lengths.

    Times must be asked for in ascending order.
    """

    def __init__(self, speed: Speed, random: Random) -> None:
        self.speed = speed
        self.random = random
        share = speed.slow_s / (speed.slow_s + speed.usual_s)
        self.is_slow = random.random() < share
        self.ends_at = self._length_s()

    def _length_s(self) -> float:
        mean_s = self.speed.slow_s if self.is_slow else self.speed.usual_s
        return self.random.expovariate(1 / mean_s)

    def slowdown(self, now: float) -> float:
        """Return the duration of work at `now` as a multiple of the usual one."""
        while self.ends_at <= now:
            self.is_slow = not self.is_slow
            self.ends_at += self._length_s()
        return self.speed.slowdown if self.is_slow else 1.0


@dataclass(eq=False)
class Engine:
    """One engine, simulated step by step.

    Attributes
    ----------
    last_used : dict of int to float
        When any engine last used a prompt part, by hash; shared by all engines.
    cache : OrderedDict
        Tokens of the cached prompt parts by hash; least recently used first.
    read, read_again : float
        Prompt tokens prefilled, and those of parts that some engine had used within
        `RECENT_USE_S`.
    phases : SpeedPhases or None
        How its speed changes, if it does.
    """

    name: str
    zone: str
    figures: Engines
    reclaimable: bool
    ready_at: float
    last_used: dict[int, float]
    leaves_at: float = float("inf")
    leaving: bool = False
    prefill_queue: deque = field(default_factory=deque)
    yielding_queue: deque = field(default_factory=deque)
    decoding: list = field(default_factory=list)
    cache: OrderedDict = field(default_factory=OrderedDict)
    cached_tokens: float = 0.0
    busy_until: float = 0.0
    read: float = 0.0
    read_again: float = 0.0
    phases: SpeedPhases | None = None

    def slowdown(self, now: float) -> float:
        """Return the duration of work at `now` as a multiple of the usual one."""
        return self.phases.slowdown(now) if self.phases else 1.0

    def submit(self, stream: Stream, now: float) -> None:
        """Queue a request; the cached prefix of its prompt needs no prefill."""
        cached = True
        for part, tokens in stream.parts[:-1]:
            cached = cached and part in self.cache
            if cached:
                self.cache.move_to_end(part)
                stream.prompt_tokens_left -= tokens
                continue
            if now - self.last_used.get(part, float("-inf")) < RECENT_USE_S:
                self.read_again += tokens
            self.add_part(part, tokens)
        self.last_used.update((part, now) for part, _ in stream.parts[:-1])
        (self.yielding_queue if stream.yields else self.prefill_queue).append(stream)

    def add_part(self, part: int, tokens: float) -> None:
        """Cache a part; parts that were not used for long make room for it."""
        self.cache[part] = tokens
        self.cached_tokens += tokens
        while self.cached_tokens > self.figures.memory_tokens:
            _, freed = self.cache.popitem(last=False)
            self.cached_tokens -= freed

    @property
    def waiting(self) -> int:
        """Number of requests without a first token."""
        return len(self.prefill_queue) + len(self.yielding_queue)

    @property
    def idle(self) -> bool:
        """Whether the engine has no requests."""
        return not (self.prefill_queue or self.yielding_queue or self.decoding)

    def step(self, now: float) -> float:
        """Run one step that begins at `now`; return the time of its end."""
        figures = self.figures
        chunk = 0.0
        if self.yielding_queue and not self.prefill_queue:
            self.prefill_queue.append(self.yielding_queue.popleft())
        if self.prefill_queue and len(self.decoding) < figures.slots:
            chunk = min(
                figures.chunk, max(1.0, self.prefill_queue[0].prompt_tokens_left)
            )
        decode_ms = 0.0
        if self.decoding:
            decode_ms = figures.step_ms + figures.step_ms_per_request * len(
                self.decoding
            )
        step_s = (decode_ms + chunk / figures.tokens_per_ms) / 1000
        ends = now + self.slowdown(now) * step_s
        self._decode(ends)
        if chunk:
            self._prefill(chunk, ends)
        self.busy_until = ends
        return ends

    def _decode(self, now: float) -> None:
        for stream in list(self.decoding):
            stream.answer_tokens_left -= 1
            if stream.answer_tokens_left <= 0:
                self.decoding.remove(stream)
                stream.on_end(now)

    def _prefill(self, chunk: float, now: float) -> None:
        stream = self.prefill_queue[0]
        stream.prompt_tokens_left -= chunk
        self.read += chunk
        if stream.prompt_tokens_left > 0:
            return
        self.prefill_queue.popleft()
        stream.on_first_token(now)
        if stream.answer_tokens_left > 1:
            self.decoding.append(stream)
        else:
            stream.on_end(now)

    def lose_all(self) -> list[Stream]:
        """Drop all requests and return them."""
        lost = [*self.prefill_queue, *self.yielding_queue, *self.decoding]
        self.prefill_queue.clear()
        self.yielding_queue.clear()
        self.decoding.clear()
        return lost
