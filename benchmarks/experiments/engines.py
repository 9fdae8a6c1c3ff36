"""An engine that batches: steps with tokens for all, prompts read in chunks between."""

from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from experiments.deployment import Engines

REUSE_S = 10.0
"""Time after its last use for which a part that is read again counts as read in vain,
seconds."""


@dataclass(eq=False)
class Stream:
    """One request at an engine.

    Attributes
    ----------
    parts : sequence of (int, int)
        Hash and tokens of each part of its prompt; the last is its own.
    to_read, to_make : float
        Prompt and answer tokens that are left.
    on_first, on_end : callable
        Called with the time of the first token, and of the end.
    owner : object
        Whose request it is.
    yields : bool
        Whether it is read after all that don't.
    """

    parts: Sequence[tuple[int, int]]
    to_read: float
    to_make: int
    on_first: Callable[[float], None]
    on_end: Callable[[float], None]
    owner: object = None
    yields: bool = False


@dataclass(eq=False)
class Engine:
    """One engine, advanced step by step.

    Attributes
    ----------
    kept : OrderedDict
        Tokens of the prompt parts kept, by hash; least recently used first.
    read_before : dict of int to float
        When any engine last used a part; shared by all.
    read_again : float
        Tokens read of parts that one had used a short while before.
    """

    name: str
    zone: str
    figures: Engines
    reclaimable: bool
    ready_at: float
    read_before: dict[int, float]
    leaves_at: float = float("inf")
    leaving: bool = False
    reading: deque = field(default_factory=deque)
    yielding: deque = field(default_factory=deque)
    making: list = field(default_factory=list)
    kept: OrderedDict = field(default_factory=OrderedDict)
    kept_tokens: float = 0.0
    busy_until: float = 0.0
    read: float = 0.0
    read_again: float = 0.0

    def submit(self, sequence: Stream, now: float) -> None:
        """Queue a request; what is kept of its prompt needn't be read."""
        cached = True
        for part, tokens in sequence.parts[:-1]:
            cached = cached and part in self.kept
            if cached:
                self.kept.move_to_end(part)
                sequence.to_read -= tokens
                continue
            if now - self.read_before.get(part, float("-inf")) < REUSE_S:
                self.read_again += tokens
            self._keep(part, tokens)
        self.read_before.update((part, now) for part, _ in sequence.parts[:-1])
        (self.yielding if sequence.yields else self.reading).append(sequence)

    def _keep(self, part: int, tokens: float) -> None:
        self.kept[part] = tokens
        self.kept_tokens += tokens
        while self.kept_tokens > self.figures.memory_tokens:
            _, freed = self.kept.popitem(last=False)
            self.kept_tokens -= freed

    @property
    def waiting(self) -> int:
        """Requests without a first token."""
        return len(self.reading) + len(self.yielding)

    @property
    def idle(self) -> bool:
        """Whether nothing is left to do."""
        return not (self.reading or self.yielding or self.making)

    def step(self, now: float) -> float:
        """Do one step that begins at `now`; return when it ends."""
        figures = self.figures
        chunk = 0.0
        if self.yielding and not self.reading:
            self.reading.append(self.yielding.popleft())
        if self.reading and len(self.making) < figures.slots:
            chunk = min(figures.chunk, max(1.0, self.reading[0].to_read))
        made_ms = 0.0
        if self.making:
            made_ms = figures.step_ms + figures.step_ms_per_request * len(self.making)
        ends = now + (made_ms + chunk / figures.tokens_per_ms) / 1000
        self._make(ends)
        if chunk:
            self._read(chunk, ends)
        self.busy_until = ends
        return ends

    def _make(self, now: float) -> None:
        for sequence in list(self.making):
            sequence.to_make -= 1
            if sequence.to_make <= 0:
                self.making.remove(sequence)
                sequence.on_end(now)

    def _read(self, chunk: float, now: float) -> None:
        sequence = self.reading[0]
        sequence.to_read -= chunk
        self.read += chunk
        if sequence.to_read > 0:
            return
        self.reading.popleft()
        sequence.on_first(now)
        if sequence.to_make > 1:
            self.making.append(sequence)
        else:
            sequence.on_end(now)

    def lose_all(self) -> list[Stream]:
        """End at once; return the requests that it had."""
        lost = [*self.reading, *self.yielding, *self.making]
        self.reading.clear()
        self.yielding.clear()
        self.making.clear()
        return lost
