"""Limits of the decisions under load: one validated model, units and defaults.

The defaults are justified by ``make bench-decisions``; docs/DECISIONS.md has the
figures. A node's TOML settings hold this model as a table.
"""

from pydantic import BaseModel, ConfigDict, Field


class Policy(BaseModel):
    """How one node admits, queues, places, shifts and retries.

    Operators meet it as the ``[policy]`` table of a node's settings.
    """

    model_config = ConfigDict(extra="forbid", frozen=True)

    admission_margin: float = Field(
        0.75,
        gt=0,
        le=1,
        description="part of the first-token target a prediction may use up",
    )
    wait_deviations: float = Field(
        3.0,
        ge=0,
        description="mean deviations of earlier waits added to a predicted wait",
    )
    max_bulk_wait_s: float = Field(
        600.0, gt=0, description="longest predicted wait of queued bulk work, seconds"
    )
    min_retry_after_s: float = Field(
        0.2, gt=0, description="shortest time to come back told to a caller, seconds"
    )
    max_retry_after_s: float = Field(
        900.0, gt=0, description="longest time to come back told to a caller, seconds"
    )
    reserved_share: float = Field(
        0.08,
        ge=0,
        lt=1,
        description="part of a server's slots kept from bulk; two thirds of it from "
        "organisations over their share",
    )
    giving_way: float = Field(
        4.0,
        ge=1,
        description="slots that bulk and organisations over their share free for each "
        "reserved slot that is taken",
    )
    divided_share: float = Field(
        0.1,
        ge=0,
        le=1,
        description="part of a server's slots that the nodes divide when no more are "
        "free",
    )
    prefill_burst_s: float = Field(
        0.1,
        gt=0,
        description="prefill work that bulk and organisations over their share may "
        "bring to a server at once, seconds",
    )
    queue_heads_tried: int = Field(
        8, ge=1, description="organisations tried for one free slot"
    )
    affinity_candidates: int = Field(
        2, ge=0, description="servers tried because the prefix hashes to them"
    )
    affinity_belief: float = Field(
        0.5,
        ge=0,
        le=1,
        description="part of a prefix that the servers it hashes to are taken to hold",
    )
    random_candidates: int = Field(
        2, ge=1, description="servers with room tried at random"
    )
    crowding_s: float = Field(
        0.1,
        ge=0,
        description="wait expected at a server whose last slot seems free, seconds",
    )
    load_bound: float = Field(
        1.25, ge=1, description="load of an affinity server over the mean, at most"
    )
    ring_points: int = Field(
        64, ge=1, description="points of one server on the hash ring"
    )
    max_known_blocks: int = Field(
        32_000, ge=2, description="sampled prompt blocks remembered with servers"
    )
    slow_ratio: float = Field(
        2.0, gt=1, description="latency over the peers' median that marks a slow server"
    )
    max_slow_share: float = Field(
        0.34, ge=0, le=1, description="part of the servers that may be marked slow"
    )
    latency_smoothing: float = Field(
        0.2, gt=0, le=1, description="weight of the newest latency in the mean"
    )
    compare_every_s: float = Field(
        0.5, gt=0, description="how often servers are compared with peers, seconds"
    )
    probe_every_s: float = Field(
        5.0, gt=0, description="time between probes of a slow server, seconds"
    )
    retry_base_s: float = Field(
        0.05, gt=0, description="mean delay before the first retry, seconds"
    )
    retry_max_s: float = Field(
        2.0, gt=0, description="longest delay before a retry, seconds"
    )
    retry_burst: float = Field(
        10.0, ge=0, description="retries a deployment may make without any success"
    )
    failed_pause_s: float = Field(
        1.0,
        ge=0,
        description="time a server that failed gets no work, doubled for each further "
        "failure, seconds",
    )
    max_failed_pause_s: float = Field(
        10.0, ge=0, description="longest time a failed server gets no work, seconds"
    )
    no_server_wait_s: float = Field(
        5.0,
        ge=0,
        description="longest that queued requests wait while no server takes work, "
        "seconds",
    )
    crashes_refused_from: int = Field(
        2, ge=1, description="crashes after which a request is refused"
    )
    crash_memory_s: float = Field(
        3600.0, gt=0, description="how long a crash is remembered, seconds"
    )
    max_crash_fingerprints: int = Field(
        10_000, ge=1, description="fingerprints remembered with crashes"
    )
    export_tokens_per_s: float = Field(
        100_000.0, gt=0, description="KV cache moved between servers, tokens a second"
    )
    notice_margin_s: float = Field(
        1.0, ge=0, description="part of a reclaim notice left unused, seconds"
    )
