"""Simulated model engine with continuous batching, chunked prefill and priorities."""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from random import Random

from experiments.deployment import Engines, Speed
from experiments.recomputed import Recomputed

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
    answer_tokens_left : int
        Answer tokens to decode.
    on_first_token, on_end : callable
        Called with the time of the first token and with that of the end.
    owner : object
        The request, as the caller of the engine keeps it.
    priority : int
        The priority it was sent with; lower numbers are admitted first.
    prompt_tokens_left : float
        Prompt tokens to prefill, once it is admitted.
    private_tokens : float
        Memory that it alone occupies: the unshared part of its prompt and its answer.
    answered : int
        Answer tokens decoded so far, which a preempted request prefills again.
    admitted : int
        Its place in the order of admissions.
    has_begun : bool
        Whether its first token was reported.
    """

    parts: Sequence[tuple[int, int]]
    answer_tokens_left: int
    on_first_token: Callable[[float], None]
    on_end: Callable[[float], None]
    owner: object = None
    priority: int = 0
    prompt_tokens_left: float = 0.0
    private_tokens: float = 0.0
    answered: int = 0
    admitted: int = -1
    has_begun: bool = False

    @property
    def shared(self) -> Iterator[int]:
        """Hashes of the shared parts of its prompt."""
        return (part for part, _ in self.parts[:-1])


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

    It admits by priority, then in order of arrival. Running requests and cached prompt
    parts share its memory: a cached part is evicted once no running request uses it,
    and if that isn't enough for a more urgent request, the newest of the least urgent
    running ones is preempted and computed again later.

    Attributes
    ----------
    last_used : dict of int to float
        When any engine last used a prompt part, by hash; shared by all engines.
    waiting_heap : list
        Requests that are not admitted, by priority and order.
    prefilling : Stream or None
        The request whose prompt is being prefilled.
    cache : OrderedDict
        Tokens of the cached prompt parts by hash; least recently used first.
    users : dict of int to int
        Running requests by the part that they use.
    used_tokens : float
        Memory that running requests and cached parts occupy, tokens.
    read, read_again : float
        Prompt tokens prefilled, and those of parts that some engine had used within
        `RECENT_USE_S`.
    preemptions : int
        Requests preempted.
    phases : SpeedPhases or None
        How its speed changes, if it does.
    recomputed : Recomputed or None
        Counts why parts are prefilled again; shared by all engines.
    """

    name: str
    zone: str
    figures: Engines
    reclaimable: bool
    ready_at: float
    last_used: dict[int, float]
    leaves_at: float = float("inf")
    leaving: bool = False
    waiting_heap: list = field(default_factory=list)
    prefilling: Stream | None = None
    decoding: list = field(default_factory=list)
    cache: OrderedDict = field(default_factory=OrderedDict)
    users: dict[int, int] = field(default_factory=dict)
    used_tokens: float = 0.0
    busy_until: float = 0.0
    read: float = 0.0
    read_again: float = 0.0
    preemptions: int = 0
    order: Iterator[int] = field(default_factory=itertools.count)
    phases: SpeedPhases | None = None
    recomputed: Recomputed | None = None

    def slowdown(self, now: float) -> float:
        """Return the duration of work at `now` as a multiple of the usual one."""
        return self.phases.slowdown(now) if self.phases else 1.0

    def submit(self, stream: Stream) -> None:
        """Queue a request by its priority."""
        entry = (stream.priority, next(self.order), stream)
        heapq.heappush(self.waiting_heap, entry)

    @property
    def waiting(self) -> int:
        """Number of requests without a first token."""
        return len(self.waiting_heap) + (self.prefilling is not None)

    @property
    def idle(self) -> bool:
        """Whether the engine has no requests."""
        return not (self.waiting_heap or self.prefilling or self.decoding)

    def step(self, now: float) -> float:
        """Run one step that begins at `now`; return the time of its end."""
        figures = self.figures
        chunk = 0.0
        self._admit(now)
        if self.prefilling is not None:
            chunk = min(figures.chunk, max(1.0, self.prefilling.prompt_tokens_left))
        decode_ms = 0.0
        if self.decoding:
            decode_ms = figures.step_ms + figures.step_ms_per_request * len(
                self.decoding
            )
        step_s = max(0.001, decode_ms + chunk / figures.tokens_per_ms) / 1000
        ends = now + self.slowdown(now) * step_s
        self._decode(ends)
        if chunk:
            self._prefill(chunk, ends)
        self.busy_until = ends
        return ends

    def _admit(self, now: float) -> None:
        """Begin the prefill of the most urgent request if there is room for it."""
        if self.prefilling is not None or not self.waiting_heap:
            return
        if len(self.decoding) >= self.figures.slots:
            return
        stream = self.waiting_heap[0][2]
        private = stream.parts[-1][1] + stream.answered
        uncached = self._uncached_parts(stream)
        new = [(part, tokens) for part, tokens in uncached if part not in self.cache]
        needed = private + sum(tokens for _, tokens in new)
        self._use_parts(stream)  # its cached parts must not be evicted for it
        if not self._make_room(needed, stream.priority):
            self._release_parts(stream)
            return
        heapq.heappop(self.waiting_heap)
        again = [
            (part, tokens)
            for part, tokens in uncached
            if now - self.last_used.get(part, float("-inf")) < RECENT_USE_S
        ]
        self.read_again += sum(tokens for _, tokens in again)
        if self.recomputed is not None:
            self.recomputed.count(self, stream, again, now)
        self.cache.update(new)
        for part in stream.shared:
            self.cache.move_to_end(part)
            self.last_used[part] = now
        stream.private_tokens = private
        stream.prompt_tokens_left = private + sum(tokens for _, tokens in uncached)
        stream.admitted = next(self.order)
        self.used_tokens += needed
        self.prefilling = stream
        if self.recomputed is not None:
            self.recomputed.use(self, stream, now)

    def _uncached_parts(self, stream: Stream) -> list[tuple[int, int]]:
        """Return the shared parts from the first one on that is not cached.

        A part counts as cached only if all parts before it are.
        """
        shared = list(stream.parts[:-1])
        for depth, (part, _) in enumerate(shared):
            if part not in self.cache:
                return shared[depth:]
        return []

    def store(self, stream: Stream, parts: Iterable[tuple[int, int]]) -> None:
        """Cache parts of a stream's prompt that were fetched, while there is room.

        Unused parts make room for them; running requests are not preempted for a
        request that is not admitted yet.
        """
        self._use_parts(stream)
        for part, tokens in parts:
            if not self._evict_unused(tokens):
                break
            self.cache[part] = tokens
            self.used_tokens += tokens
        self._release_parts(stream)

    def _fits(self, tokens: float) -> bool:
        return self.used_tokens + tokens <= self.figures.memory_tokens

    def _evict_unused(self, tokens: float) -> bool:
        """Evict unused parts until `tokens` more fit; none if that isn't enough."""
        if self._fits(tokens):
            return True
        unused = [part for part in self.cache if not self.users.get(part)]
        if not self._fits(tokens - sum(self.cache[part] for part in unused)):
            return False
        for part in unused:
            self.used_tokens -= self.cache.pop(part)
            if self._fits(tokens):
                break
        return True

    def _make_room(self, tokens: float, priority: int) -> bool:
        """Free memory for `tokens` more; return whether there is enough.

        A request that needs more than the whole memory is admitted alone.
        """
        while not self._evict_unused(tokens):
            less_urgent = [s for s in self.decoding if s.priority > priority]
            if not less_urgent:
                return not self.decoding
            self._preempt_one_of(less_urgent)
        return True

    def _preempt_one_of(self, streams: Iterable[Stream]) -> None:
        """Preempt the newest of the least urgent of some running requests."""
        stream = max(streams, key=lambda s: (s.priority, s.admitted))
        self.preemptions += 1
        self.decoding.remove(stream)
        self._release(stream)
        self.submit(stream)

    def _release(self, stream: Stream) -> None:
        self.used_tokens -= stream.private_tokens
        stream.private_tokens = 0.0
        self._release_parts(stream)

    def _use_parts(self, stream: Stream) -> None:
        for part in stream.shared:
            self.users[part] = self.users.get(part, 0) + 1

    def _release_parts(self, stream: Stream) -> None:
        for part in stream.shared:
            self.users[part] -= 1
            if not self.users[part]:
                del self.users[part]

    def _decode(self, now: float) -> None:
        for stream in list(self.decoding):
            stream.answer_tokens_left -= 1
            stream.answered += 1
            stream.private_tokens += 1
            self.used_tokens += 1
            if stream.answer_tokens_left <= 0:
                self.decoding.remove(stream)
                self._release(stream)
                stream.on_end(now)
        while len(self.decoding) > 1 and not self._evict_unused(0.0):
            self._preempt_one_of(self.decoding)

    def _prefill(self, chunk: float, now: float) -> None:
        stream = self.prefilling
        stream.prompt_tokens_left -= chunk
        self.read += chunk
        if stream.prompt_tokens_left > 0:
            return
        self.prefilling = None
        if not stream.has_begun:
            stream.has_begun = True
            stream.on_first_token(now)
        if stream.answer_tokens_left > 1:
            self.decoding.append(stream)
        else:
            self._release(stream)
            stream.on_end(now)

    def cancel(self, stream: Stream) -> None:
        """Drop one request, whose caller has hung up."""
        if stream is self.prefilling:
            self.prefilling = None
            self._release(stream)
        elif stream in self.decoding:
            self.decoding.remove(stream)
            self._release(stream)
        else:
            self.waiting_heap = [e for e in self.waiting_heap if e[2] is not stream]
            heapq.heapify(self.waiting_heap)

    def lose_all(self) -> list[Stream]:
        """Drop all requests and return them."""
        lost = [entry[2] for entry in self.waiting_heap]
        if self.prefilling is not None:
            lost.append(self.prefilling)
        lost += self.decoding
        self.waiting_heap, self.prefilling, self.decoding = [], None, []
        return lost
