"""Parameters of admission, queueing, placement and retries: units, bounds, defaults.

The benchmark ``make bench-decisions`` justifies the defaults; docs/DECISIONS.md has its
figures. A node's settings hold the parameters as a table, which is validated against
the bounds given here. The class itself is a plain dataclass, so that a process that
uses the defaults starts without a validation library.
"""

from dataclasses import dataclass, field
from typing import Any


def parameter(default: Any, description: str, **bounds: float) -> Any:
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

    admission_margin: float = parameter(
        0.75,
        "fraction of the first-token target that the predicted time to the first "
        "token may take",
        gt=0,
        le=1,
    )
    wait_deviations: float = parameter(
        3.0,
        "mean deviations of earlier prediction errors that are added to a predicted "
        "wait",
        ge=0,
    )
    max_bulk_wait_s: float = parameter(
        600.0,
        "longest predicted wait with which a bulk request is admitted, seconds",
        gt=0,
    )
    min_retry_after_s: float = parameter(
        0.2,
        "shortest retry-after time given to a refused caller, seconds",
        gt=0,
    )
    max_retry_after_s: float = parameter(
        900.0,
        "longest retry-after time given to a refused caller, seconds",
        gt=0,
    )
    reserved_share: float = parameter(
        0.08,
        "fraction of a server's slots that bulk requests may not use; organisations "
        "over their share may not use two thirds of it",
        ge=0,
        lt=1,
    )
    giving_way: float = parameter(
        4.0,
        "slots that bulk requests and organisations over their share must free for "
        "each reserved slot in use",
        ge=1,
    )
    divided_share: float = parameter(
        0.1,
        "fraction of a server's slots that are divided among the nodes when no more "
        "are free",
        ge=0,
        le=1,
    )
    prefill_burst_s: float = parameter(
        0.1,
        "prefill work that bulk requests and organisations over their share may send "
        "to a server at once, seconds",
        gt=0,
    )
    yield_wait_part: float = parameter(
        0.25,
        "wait at a server, as a fraction of the latency target, above which a request "
        "that is predicted to miss its target is queued behind the others there",
        ge=0,
    )
    contention_target_ratio: float = parameter(
        2.0,
        "ratio of a priority's target to that of the service's most urgent one from "
        "which its requests leave room for others and are refused first; 0 never",
        ge=0,
    )
    contention_backlog_part: float = parameter(
        0.25,
        "prompts pending at the servers that are admitted as in time, as a fraction of "
        "what the servers prefill within the priority's target",
        gt=0,
        le=1,
    )
    contention_min_share: float = parameter(
        0.25,
        "least part of the requests of any priority or organisation that is admitted "
        "as in time, as a fraction of that of all requests",
        ge=0,
        le=1,
    )
    contention_long_share: float = parameter(
        0.5,
        "the same for prompts longer than the mean of their priority, as a fraction of "
        "that of their priority",
        ge=0,
        le=1,
    )
    overtaking_share: float = parameter(
        0.25,
        "part of a service's prefill work, that of its shortest prompts, which may "
        "overtake other prompts at the servers, if a route has a shorter target than "
        "one with a more urgent priority; 0 disables it",
        ge=0,
        le=1,
    )
    queue_heads_tried: int = parameter(
        8,
        "organisations whose first queued request is tried for one free slot",
        ge=1,
    )
    affinity_candidates: int = parameter(
        2,
        "servers tried because a prefix of the prompt hashes to them",
        ge=0,
    )
    affinity_belief: float = parameter(
        0.5,
        "fraction of a prefix that is assumed to be cached by the servers to which it "
        "hashes",
        ge=0,
        le=1,
    )
    affinity_copies: int = parameter(
        1,
        "servers, in the order of the hash ring, that may hold a copy of the longest "
        "shared prefix of a prompt; 1 disables further copies",
        ge=1,
        le=8,
    )
    affinity_copy_wait: float = parameter(
        0.25,
        "wait at the servers that hold a shared prefix, as a fraction of the time of "
        "its prefill, above which the next server may hold a copy",
        ge=0,
    )
    random_candidates: int = parameter(
        2,
        "randomly chosen servers with free slots that are tried",
        ge=1,
    )
    crowding_s: float = parameter(
        0.1,
        "wait added to the prediction for a server without free slots, seconds; with "
        "n free slots it is divided by n + 1",
        ge=0,
    )
    load_bound: float = parameter(
        1.25,
        "highest utilisation of a server chosen by prefix affinity, as a multiple of "
        "the mean of all servers",
        ge=1,
    )
    ring_points: int = parameter(
        64,
        "points of each server on the hash ring",
        ge=1,
    )
    max_known_blocks: int = parameter(
        32000,
        "sampled prompt blocks kept in the prefix index, at most",
        ge=2,
    )
    slow_ratio: float = parameter(
        2.0,
        "ratio of a server's latency to its peers' median from which it is marked slow",
        gt=1,
    )
    max_slow_share: float = parameter(
        0.34,
        "fraction of the servers that may be marked slow",
        ge=0,
        le=1,
    )
    latency_smoothing: float = parameter(
        0.2,
        "weight of the newest latency in the moving average",
        gt=0,
        le=1,
    )
    compare_every_s: float = parameter(
        0.5,
        "interval between comparisons of the servers with their peers, seconds",
        gt=0,
    )
    probe_every_s: float = parameter(
        5.0,
        "interval between probe requests to a slow server, seconds",
        gt=0,
    )
    retry_base_s: float = parameter(
        0.05,
        "mean delay before the first retry, seconds",
        gt=0,
    )
    retry_max_s: float = parameter(
        2.0,
        "longest delay before a retry, seconds",
        gt=0,
    )
    retry_burst: float = parameter(
        10.0,
        "retries that a deployment may make without any success",
        ge=0,
    )
    refused_pause_s: float = parameter(
        0.0,
        "time for which a server that refused a request for lack of room gets none, "
        "doubled for each further refusal, seconds; 0 until its next load report",
        ge=0,
    )
    max_refused_pause_s: float = parameter(
        1.0,
        "longest such time, seconds",
        gt=0,
    )
    failed_pause_s: float = parameter(
        1.0,
        "time for which a failed server gets no work, doubled for each further "
        "failure, seconds",
        ge=0,
    )
    max_failed_pause_s: float = parameter(
        10.0,
        "longest time for which a failed server gets no work, seconds",
        ge=0,
    )
    no_server_wait_s: float = parameter(
        5.0,
        "longest time that requests stay queued while no server takes work, seconds",
        ge=0,
    )
    crashes_refused_from: int = parameter(
        2,
        "number of server crashes attributed to a request at which it is refused",
        ge=1,
    )
    crash_memory_s: float = parameter(
        3600.0,
        "time for which a crash counts, seconds",
        gt=0,
    )
    max_crash_fingerprints: int = parameter(
        10000,
        "request fingerprints for which crashes are kept, at most",
        ge=1,
    )
    export_tokens_per_s: float = parameter(
        100000.0,
        "rate at which KV cache is moved between servers, tokens a second",
        gt=0,
    )
    notice_margin_s: float = parameter(
        1.0,
        "time at the end of a reclaim notice that is left unused, seconds",
        ge=0,
    )
