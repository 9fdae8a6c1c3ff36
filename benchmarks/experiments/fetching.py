"""Fetches of cached prompt parts between simulated engines, over serialised links."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from endive_core.prefix_fetch import FetchPlanner
from endive_core.scheduler import Scheduler
from endive_core.transfers import (
    SETUP_S,
    ByteBudget,
    Fetch,
    FetchSource,
    Offer,
    TransferCosts,
)

from experiments.deployment import Engines
from experiments.engines import Engine, Stream


@dataclass
class Links:
    """The links between engines; transfers run one after another on each.

    Attributes
    ----------
    free_at : dict of str to float
        When an engine's link is free, seconds.
    fetches, needless, empty, dead : int
        Fetches, those of parts that their destination had, those whose source had
        nothing to give, and those whose source was gone.
    fetched : float
        Tokens copied.
    """

    figures: Engines
    free_at: dict[str, float] = field(default_factory=dict)
    fetches: int = 0
    needless: int = 0
    empty: int = 0
    dead: int = 0
    fetched: float = 0.0

    def begin(
        self, stream: Stream, engine: Engine, source: Engine | None, now: float
    ) -> float:
        """Begin the fetch of a stream that arrives; return when it ends.

        Parameters
        ----------
        source : Engine or None
            ``None`` if it is gone: the engine computes the prompt after a time-out.
        """
        self.fetches += 1
        if source is None:
            self.dead += 1
            return now + self.figures.dead_source_ms / 1000
        tokens = sum(tokens for _, tokens in self._missing(stream, engine, source))
        if not tokens:
            held = all(part in engine.cache for part, _ in stream.parts[:-1])
            self.needless += held
            self.empty += not held
            return now + SETUP_S
        copy_s = tokens * self.figures.kv_token_bytes / self._bytes_per_s
        if source.zone != engine.zone:
            copy_s *= 2
        links = (engine.name, source.name)
        starts_at = max(now, *(self.free_at.get(name, 0.0) for name in links))
        ends_at = starts_at + SETUP_S + copy_s
        self.free_at.update(dict.fromkeys(links, ends_at))
        self.fetched += tokens
        return ends_at

    def end(self, stream: Stream, engine: Engine, source: Engine | None) -> None:
        """Cache at an engine what its source still has at the end of a fetch."""
        if source is not None:
            engine.store(stream, list(self._missing(stream, engine, source)))

    @property
    def _bytes_per_s(self) -> float:
        return self.figures.link_mbps * 125_000

    def _missing(
        self, stream: Stream, engine: Engine, source: Engine
    ) -> Iterable[tuple[int, int]]:
        for part, tokens in stream.parts[:-1]:
            if part not in engine.cache:
                if part not in source.cache:
                    return
                yield part, tokens


class SeenPartsPlanner(FetchPlanner):
    """Fetches only parts that its node has seen in use lately."""

    def offers(self, ticket, now: float) -> list[Offer]:
        """Return the offers that are known."""
        return [offer for offer in super().offers(ticket, now) if offer.is_known]


class HiddenFetches(FetchPlanner):
    """Fetches without telling placement: servers without a part look as before."""

    def plan(self, call, server, offers, now: float) -> Fetch | None:
        """Return the fetch, with its tokens counted as work."""
        fetch = super().plan(call, server, offers, now)
        return fetch and Fetch(
            fetch.source, fetch.tokens, 0, fetch.transfer_s, fetch.size
        )


PLANNERS: dict[str, Callable[..., FetchPlanner]] = {
    "all": FetchPlanner,
    "seen": SeenPartsPlanner,
    "hidden": HiddenFetches,
}
"""Planners by the value of `Options.fetching`."""


def add_planner(scheduler: Scheduler, figures: Engines, kind: str) -> None:
    """Let a node's scheduler plan fetches."""
    costs = TransferCosts(
        figures.kv_token_bytes, figures.link_mbps * 125_000, figures.memory_tokens
    )
    scheduler.placement.fetching = PLANNERS[kind](
        costs,
        scheduler.servers,
        ByteBudget(),
        ring_points=scheduler.policy.ring_points,
        ring_depths=scheduler.policy.affinity_candidates,
    )


def set_sources(scheduler: Scheduler, engines: Iterable[Engine], now: float) -> None:
    """Tell a node which engines there are, those that leave included."""
    planner = scheduler.placement.fetching
    if planner is not None:
        sources = {
            engine.name: FetchSource(
                engine.name,
                engine.name,
                engine.zone,
                since=engine.ready_at or float("-inf"),
                until=engine.leaves_at,
            )
            for engine in engines
            if engine.ready_at <= now
        }
        planner.set_sources(sources, now)
