"""Parameters of admission, queueing, placement and retries: units, bounds, defaults.

The benchmark ``make bench-decisions`` justifies the defaults; docs/DECISIONS.md has its
figures. A node's settings hold the parameters as a table, which is validated against
the bounds given here. The class itself is a plain dataclass, so that a process that
uses the defaults starts without a validation library.
"""

from dataclasses import dataclass, field
from typing import Any


def limit(default: Any, description: str, **bounds: float) -> Any:
    """Return the dataclass field of one parameter.

    Parameters
    ----------
    description : str
        Meaning and unit; shown to operators.
    **bounds : float
        Bounds of the value, named ``gt``, ``ge``, ``lt`` and ``le``.
    """
    return field(
        default=default, metadata={"description": description, "bounds": bounds}
    )


@dataclass(frozen=True)
class Policy:
    """How one node admits, queues, places, moves and retries calls.

    Operators set it in the ``[policy]`` table of a node's settings.
    """

    admission_margin: float = limit(
        0.75,
        "part of the first-token target a prediction may use up",
        gt=0,
        le=1,
    )
    wait_deviations: float = limit(
        3.0,
        "mean deviations of earlier waits added to a predicted wait",
        ge=0,
    )
    max_bulk_wait_s: float = limit(
        600.0,
        "longest predicted wait of queued bulk work, seconds",
        gt=0,
    )
    min_retry_after_s: float = limit(
        0.2,
        "shortest time to come back told to a caller, seconds",
        gt=0,
    )
    max_retry_after_s: float = limit(
        900.0,
        "longest time to come back told to a caller, seconds",
        gt=0,
    )
    reserved_share: float = limit(
        0.08,
        "part of a server's slots kept from bulk; two thirds of it from "
        "organisations over their share",
        ge=0,
        lt=1,
    )
    giving_way: float = limit(
        4.0,
        "slots that bulk and organisations over their share free for each reserved "
        "slot that is taken",
        ge=1,
    )
    divided_share: float = limit(
        0.1,
        "part of a server's slots that the nodes divide when no more are free",
        ge=0,
        le=1,
    )
    prefill_burst_s: float = limit(
        0.1,
        "prefill work that bulk and organisations over their share may bring to a "
        "server at once, seconds",
        gt=0,
    )
    yield_wait_part: float = limit(
        0.25,
        "wait at a server, as part of the target, from which a prompt that will be "
        "late goes behind the others there",
        ge=0,
    )
    queue_heads_tried: int = limit(
        8,
        "organisations tried for one free slot",
        ge=1,
    )
    affinity_candidates: int = limit(
        2,
        "servers tried because the prefix hashes to them",
        ge=0,
    )
    affinity_belief: float = limit(
        0.5,
        "part of a prefix that the servers it hashes to are taken to hold",
        ge=0,
        le=1,
    )
    random_candidates: int = limit(
        2,
        "servers with room tried at random",
        ge=1,
    )
    crowding_s: float = limit(
        0.1,
        "wait expected at a server whose last slot seems free, seconds",
        ge=0,
    )
    load_bound: float = limit(
        1.25,
        "load of an affinity server over the mean, at most",
        ge=1,
    )
    ring_points: int = limit(
        64,
        "points of one server on the hash ring",
        ge=1,
    )
    max_known_blocks: int = limit(
        32000,
        "sampled prompt blocks remembered with servers",
        ge=2,
    )
    slow_ratio: float = limit(
        2.0,
        "latency over the peers' median that marks a slow server",
        gt=1,
    )
    max_slow_share: float = limit(
        0.34,
        "part of the servers that may be marked slow",
        ge=0,
        le=1,
    )
    latency_smoothing: float = limit(
        0.2,
        "weight of the newest latency in the mean",
        gt=0,
        le=1,
    )
    compare_every_s: float = limit(
        0.5,
        "how often servers are compared with peers, seconds",
        gt=0,
    )
    probe_every_s: float = limit(
        5.0,
        "time between probes of a slow server, seconds",
        gt=0,
    )
    retry_base_s: float = limit(
        0.05,
        "mean delay before the first retry, seconds",
        gt=0,
    )
    retry_max_s: float = limit(
        2.0,
        "longest delay before a retry, seconds",
        gt=0,
    )
    retry_burst: float = limit(
        10.0,
        "retries a deployment may make without any success",
        ge=0,
    )
    failed_pause_s: float = limit(
        1.0,
        "time a server that failed gets no work, doubled for each further failure, "
        "seconds",
        ge=0,
    )
    max_failed_pause_s: float = limit(
        10.0,
        "longest time a failed server gets no work, seconds",
        ge=0,
    )
    no_server_wait_s: float = limit(
        5.0,
        "longest that queued requests wait while no server takes work, seconds",
        ge=0,
    )
    crashes_refused_from: int = limit(
        2,
        "crashes after which a request is refused",
        ge=1,
    )
    crash_memory_s: float = limit(
        3600.0,
        "how long a crash is remembered, seconds",
        gt=0,
    )
    max_crash_fingerprints: int = limit(
        10000,
        "fingerprints remembered with crashes",
        ge=1,
    )
    export_tokens_per_s: float = limit(
        100000.0,
        "KV cache moved between servers, tokens a second",
        gt=0,
    )
    notice_margin_s: float = limit(
        1.0,
        "part of a reclaim notice left unused, seconds",
        ge=0,
    )
