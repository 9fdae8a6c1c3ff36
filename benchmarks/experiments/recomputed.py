"""Causes for which simulated engines prefill shared prompt parts again."""

import math
from collections import Counter, defaultdict, deque
from collections.abc import Mapping, Sequence
from typing import TYPE_CHECKING

from endive_core.load_sizing import TARGET_UTILISATION

if TYPE_CHECKING:
    from experiments.engines import Engine, Stream

RATE_WINDOW_S = 2.0
"""Time over which the work of the requests with one part is averaged, seconds."""

NEW_SERVER_S = 5.0
"""Time after its start in which an engine counts as new, seconds."""


class Recomputed:
    """Prefilled tokens of shared parts that were used shortly before, by cause.

    The causes, in the order in which they are looked for:

    - ``evicted``: this engine had the part and evicted it;
    - ``lost``: no running engine has it, and one that had it is gone or leaves;
    - ``evicted elsewhere``: no running engine has it, and all that had it still run;
    - ``needed``: the engines that have it are fewer than its rate requires;
    - ``new server``: they suffice, but this engine has just started;
    - ``beyond need``: they suffice.

    Attributes
    ----------
    engines : mapping of str to Engine
        The engines that start, run or leave.
    tokens : Counter
        Tokens by cause and depth of the part in its prompt.
    had : dict of int to set of str
        Engines that ever had a part, by its hash.
    work : dict of int to deque
        Time and seconds of work of the recent requests with a part, by its hash.
    """

    def __init__(self, engines: "Mapping[str, Engine]") -> None:
        self.engines = engines
        self.tokens: Counter[tuple[str, int]] = Counter()
        self.had: dict[int, set[str]] = defaultdict(set)
        self.work: dict[int, deque[tuple[float, float]]] = defaultdict(deque)

    def count(
        self,
        engine: "Engine",
        stream: "Stream",
        again: Sequence[tuple[int, int]],
        now: float,
    ) -> None:
        """Count the parts `again` of a request that `engine` prefills at `now`."""
        depths = {part: depth for depth, part in enumerate(stream.shared)}
        for part, tokens in again:
            cause = self._cause(engine, part, now)
            self.tokens[cause, depths[part]] += tokens

    def use(self, engine: "Engine", stream: "Stream", now: float) -> None:
        """Record that a request which is admitted now uses its shared parts."""
        figures = engine.figures
        slot_s = stream.answer_tokens_left * figures.step_ms / 1000 / figures.slots
        work_s = stream.prompt_tokens_left / figures.tokens_per_ms / 1000 + slot_s
        for part in stream.shared:
            self.had[part].add(engine.name)
            recent = self.work[part]
            recent.append((now, work_s))
            while recent[0][0] < now - RATE_WINDOW_S:
                recent.popleft()

    def servers_for(self, part: int, now: float) -> int:
        """Return how many engines the rate of the requests with `part` requires."""
        work_s = sum(s for at, s in self.work[part] if at >= now - RATE_WINDOW_S)
        return max(1, math.ceil(work_s / RATE_WINDOW_S / TARGET_UTILISATION))

    def _cause(self, engine: "Engine", part: int, now: float) -> str:
        if engine.name in self.had[part]:
            return "evicted"
        stay = [e for e in self.engines.values() if not e.leaving]
        holders = sum(part in other.cache for other in stay)
        if not holders:
            gone = self.had[part] - {other.name for other in stay}
            return "lost" if gone else "evicted elsewhere"
        if holders < self.servers_for(part, now):
            return "needed"
        if now - engine.ready_at < NEW_SERVER_S <= engine.ready_at:
            return "new server"
        return "beyond need"
