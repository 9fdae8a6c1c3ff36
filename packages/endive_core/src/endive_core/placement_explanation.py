"""Explains where a call would go now, and why, without admitting it.

An operator who asks why a request went to a distant server, waited or was refused needs
the figures of all candidates at one moment. The explanation uses the decisions
themselves and changes nothing that they depend on, so that it is safe at a node that is
overloaded.
"""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from endive_core.calls import Call, Ticket, Tier
from endive_core.scheduler import Scheduler
from endive_core.servers import ServerLoad


@dataclass(frozen=True, slots=True)
class CandidateExplanation:
    """One server as placement sees it for a call.

    Attributes
    ----------
    running, waiting : int
        Requests in its last report.
    report_age_s : float or None
        Age of that report, seconds; ``None`` if there was none.
    own_in_flight : int
        Requests of this node there.
    free_slots : int
        Slots that are free for this node as far as it knows; negative if requests wait.
    slowness, slowdown : float
        Its latency over its peers' median, and its stated time for work over the usual.
    wait_s : float
        Predicted wait for the first prefill step, seconds.
    cached_tokens : int
        Prompt tokens that it presumably has cached.
    is_hashed : bool
        Whether a prefix of the prompt hashes to it, so that it is always compared.
    cost_s : float
        Weighted cost that placement compares, seconds.
    ruled_out_by : tuple of str
        Why it gets no such call now; empty if it may.
    """

    id: str
    zone: str
    software_version: str
    slots: int
    running: int
    waiting: int
    report_age_s: float | None
    own_in_flight: int
    free_slots: int
    slowness: float
    slowdown: float
    wait_s: float
    cached_tokens: int
    is_hashed: bool
    cost_s: float
    ruled_out_by: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class PlacementExplanation:
    """What would become of a call now at this node.

    Attributes
    ----------
    refusal : str
        Why it would be refused; empty if it would not.
    retry_after_s : float or None
        What the caller would be told.
    queue_s, allowance_s, start_s : float
        Predicted time in this node's queue, margin added to it, and time at the server
        until the first token, seconds.
    queued_tokens_ahead : float
        Tokens in this node's queue that would be served before it.
    tier : str
        How much of the servers' slots it must leave free.
    node_share : float
        Part of the free slots that this node may take.
    candidates : list of CandidateExplanation
        All servers of the service: those that may get it first, by cost.
    """

    refusal: str
    retry_after_s: float | None
    queue_s: float
    allowance_s: float
    start_s: float
    queued_tokens_ahead: float
    tier: str
    node_share: float
    candidates: list[CandidateExplanation] = field(default_factory=list)


def explain(scheduler: Scheduler, call: Call, now: float) -> PlacementExplanation:
    """Return what would become of `call` now; nothing changes."""
    with _unchanged(scheduler):
        refusal = scheduler.admission.refusal(call, now)
        prediction = scheduler.admission.predict(call, now)
        tier = scheduler.usage.tier(call)
        ahead = scheduler.queue.tokens_ahead(
            call.rank, call.organisation, call.software_version
        )
        candidates = _candidates(scheduler, call, tier, now)
    return PlacementExplanation(
        refusal=f"{refusal.kind}: {refusal.message}" if refusal else "",
        retry_after_s=refusal.retry_after_s if refusal else None,
        queue_s=prediction.wait_s,
        allowance_s=prediction.allowance_s,
        start_s=prediction.service_s,
        queued_tokens_ahead=ahead,
        tier=tier.name.lower(),
        node_share=scheduler.servers.share,
        candidates=candidates,
    )


@contextmanager
def _unchanged(scheduler: Scheduler) -> Iterator[None]:
    """Restore what a refusal changes: the windows of refused callers, and counts."""
    windows, trials = scheduler.admission.retry_windows, scheduler.trials
    ends_at, outcomes = dict(windows.ends_at), Counter(trials.outcomes)
    scheduler.contention.counts_offers = False
    try:
        yield
    finally:
        scheduler.contention.counts_offers = True
        windows.ends_at = ends_at
        trials.outcomes.clear()
        trials.outcomes.update(outcomes)


def _candidates(
    scheduler: Scheduler, call: Call, tier: Tier, now: float
) -> list[CandidateExplanation]:
    placement = scheduler.placement
    cached = placement.prefixes.prefix_holders(call.blocks)
    hashed = placement.affinity_servers(call, tier, now)
    ticket = Ticket(call, now, 0.0)
    ticket.version = call.software_version
    found = [
        _explain_server(scheduler, ticket, server, cached, hashed, tier, now)
        for server in scheduler.servers.servers.values()
    ]
    return sorted(found, key=lambda c: (bool(c.ruled_out_by), c.cost_s, c.id))


def _explain_server(
    scheduler: Scheduler,
    ticket: Ticket,
    server: ServerLoad,
    cached: dict[str, int],
    hashed: dict[str, int],
    tier: Tier,
    now: float,
) -> CandidateExplanation:
    placement, view, call = scheduler.placement, server.view, ticket.call
    belief = int(hashed.get(server.id, 0) * placement.policy.affinity_belief)
    blocks = max(cached.get(server.id, 0), belief)
    is_reported = server.reported_at > float("-inf")
    cached_tokens = call.cached_tokens(blocks)
    return CandidateExplanation(
        id=server.id,
        zone=view.zone,
        software_version=view.software_version,
        slots=view.max_concurrent,
        running=view.reported_running,
        waiting=view.reported_waiting,
        report_age_s=now - server.reported_at if is_reported else None,
        own_in_flight=view.in_flight,
        free_slots=server.free - server.net_change,
        slowness=server.slowness,
        slowdown=server.slowdown,
        wait_s=placement.wait_s(call, server, now, call.prompt_tokens - cached_tokens),
        cached_tokens=cached_tokens,
        is_hashed=server.id in hashed,
        cost_s=placement.score(call, server, blocks, now),
        ruled_out_by=tuple(_reasons(scheduler, ticket, server, tier)),
    )


def _reasons(
    scheduler: Scheduler, ticket: Ticket, server: ServerLoad, tier: Tier
) -> Iterator[str]:
    """Yield why a server gets no such call now."""
    flags = {
        "leaving": server.view.leaving,
        "paused after failures": server.paused,
        "resting at its request": server.resting,
        "its stated limit is used up": server.throttled,
        "slower than its peers": server.slow,
        "ramping up after a rest": server.ramp is not None
        and server.view.in_flight >= int(server.ramp),
        "one request at a time until one succeeds": server.failures > 0
        and server.view.in_flight > 0,
        "another software version": ticket.version
        not in (None, server.view.software_version),
    }
    yield from (reason for reason, applies in flags.items() if applies)
    if not scheduler.servers.has_room(server, tier):
        yield "no room for this node"
