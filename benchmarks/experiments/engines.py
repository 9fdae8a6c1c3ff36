"""Simulated model engine with continuous batching, chunked prefill and priorities."""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from experiments.deployment import Engines

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
        Its `Request-Priority`; lower numbers are admitted first.
    prompt_tokens_left : float
        Prompt tokens to prefill, once it is admitted.
    private_tokens : float
        Memory that it alone occupies: the unshared part of its prompt and its answer.
    answered : int
        Answer tokens decoded so far, which a preempted request prefills again.
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

    @property
    def shared(self) -> Iterator[int]:
        """Hashes of the shared parts of its prompt."""
        return (part for part, _ in self.parts[:-1])


@dataclass(eq=False)
class Engine:
    """One engine, simulated step by step.

    It admits by `Request-Priority`, then in order. Running requests and cached prompt
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
        ends = now + max(0.001, decode_ms + chunk / figures.tokens_per_ms) / 1000
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
        new = self._uncached_parts(stream)
        private = stream.parts[-1][1] + stream.answered
        needed = private + sum(tokens for _, tokens in new)
        for part in stream.shared:  # its cached parts must not be evicted for it
            self.users[part] = self.users.get(part, 0) + 1
        if not self._make_room(needed, stream.priority):
            self._release_parts(stream)
            return
        heapq.heappop(self.waiting_heap)
        for part, tokens in new:
            if now - self.last_used.get(part, float("-inf")) < RECENT_USE_S:
                self.read_again += tokens
            self.cache[part] = tokens
        for part in stream.shared:
            self.cache.move_to_end(part)
            self.last_used[part] = now
        stream.private_tokens = private
        stream.prompt_tokens_left = needed
        stream.admitted = next(self.order)
        self.used_tokens += needed
        self.prefilling = stream

    def _uncached_parts(self, stream: Stream) -> list[tuple[int, int]]:
        """Return the shared parts that are not cached, or not after a cached one."""
        shared = list(stream.parts[:-1])
        for depth, (part, _) in enumerate(shared):
            if part not in self.cache:
                return [(p, t) for p, t in shared[depth:] if p not in self.cache]
        return []

    def _make_room(self, tokens: float, priority: int) -> bool:
        """Free memory for `tokens` more; return whether there is enough."""
        if self.used_tokens + tokens <= self.figures.memory_tokens:
            return True
        for part in list(self.cache):
            if self.used_tokens + tokens <= self.figures.memory_tokens:
                return True
            if not self.users.get(part):
                self.used_tokens -= self.cache.pop(part)
        while self.used_tokens + tokens > self.figures.memory_tokens:
            less_urgent = [s for s in self.decoding if s.priority > priority]
            if not less_urgent:
                return not (self.decoding or self.prefilling)
            self._preempt(max(less_urgent, key=lambda s: (s.priority, s.admitted)))
        return True

    def _preempt(self, stream: Stream) -> None:
        self.preemptions += 1
        self.decoding.remove(stream)
        self._release(stream)
        self.submit(stream)

    def _release(self, stream: Stream) -> None:
        self.used_tokens -= stream.private_tokens
        stream.private_tokens = 0.0
        self._release_parts(stream)

    def _release_parts(self, stream: Stream) -> None:
        for part in stream.shared:
            self.users[part] -= 1
            if not self.users[part]:
                del self.users[part]

    def _decode(self, now: float) -> None:
        for stream in list(self.decoding):
            if stream.private_tokens == 0.0:
                continue  # preempted in this step
            stream.answer_tokens_left -= 1
            stream.answered += 1
            stream.private_tokens += 1
            self.used_tokens += 1
            if stream.answer_tokens_left <= 0:
                self.decoding.remove(stream)
                self._release(stream)
                stream.on_end(now)
        if self.used_tokens > self.figures.memory_tokens:
            self._make_room(0.0, -1)

    def _prefill(self, chunk: float, now: float) -> None:
        stream = self.prefilling
        if stream is None:
            return
        stream.prompt_tokens_left -= chunk
        self.read += chunk
        if stream.prompt_tokens_left > 0:
            return
        self.prefilling = None
        if not stream.answered:
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
