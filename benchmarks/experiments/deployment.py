"""Parameters of a simulated deployment, read from TOML and validated."""

import tomllib
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field


class Model(BaseModel):
    """Base of the file's sections; unknown fields are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Engines(Model):
    """Model engines with continuous batching and chunked prefill.

    Attributes
    ----------
    step_ms, step_ms_per_request : float
        Duration of one step, in which every running request gets a token: a constant
        part and a part for each running request.
    tokens_per_ms : float
        Prefill rate, prompt tokens in a millisecond.
    chunk : int
        Maximum number of prompt tokens prefilled in one step.
    memory_tokens : int
        Capacity of an engine's KV cache, tokens, which running requests and cached
        prompts share.
    kv_token_bytes, link_mbps : float
        Size of one token's KV cache, and speed of the links between engines; no engine
        fetches from another where the latter is 0.
    dead_source_ms : float
        Time after which an engine gives a fetch up whose source is gone.
    start_s : float
        Time from an autoscaling order until the engine is ready, seconds.
    reclaimable_price : float
        Price of a reclaimable engine as a fraction of an on-demand one's.
    reclaimable_at_start : bool
        Whether the engines that run at the start are reclaimable ones.
    """

    slots: int = Field(gt=0)
    step_ms: float = Field(gt=0)
    step_ms_per_request: float = Field(ge=0)
    tokens_per_ms: float = Field(gt=0)
    chunk: int = Field(gt=0)
    memory_tokens: int = Field(gt=0)
    most_in_zone: int = Field(gt=0)
    at_start_in_zone: int = Field(gt=0)
    start_s: float = Field(gt=0)
    reclaimable_price: float = Field(gt=0, le=1)
    reclaimable_at_start: bool = False
    kv_token_bytes: float = Field(default=0, ge=0)
    link_mbps: float = Field(default=0, ge=0)
    dead_source_ms: float = Field(default=250, ge=0)


class Length(Model):
    """A log-normal length: its mean, spread (sigma) and largest value."""

    mean: float = Field(gt=0)
    spread: float = Field(ge=0)
    most: float = Field(gt=0)


class Requests(Model):
    """One class of streamed requests.

    Attributes
    ----------
    per_s : float
        Mean rate over all nodes, requests a second.
    worth, late_worth : float
        Worth of one request that is answered within its target, and of a late one; by
        default a tenth.
    attempts : int
        Servers to which a request may be sent; a stream that breaks is continued.
    sessions : int
        Number of sessions; requests of a session share a part of their prompts.
    common : int
        Number of prompt prefixes shared between sessions, drawn uniformly.
    """

    per_s: float = Field(gt=0)
    target_ms: float = Field(gt=0)
    deadline_ms: float = Field(gt=0)
    pause_ms: float = Field(gt=0)
    worth: float = Field(gt=0)
    late_worth: float | None = Field(default=None, ge=0)
    priority: int = 0
    attempts: int = Field(default=1, ge=1)
    sessions: int = Field(gt=0)
    common: int = Field(gt=0)
    common_tokens: Length
    session_tokens: Length
    own_tokens: Length
    answer_tokens: Length


Range = tuple[float, float]
"""Bounds between which the seed draws a number uniformly."""


class Burst(Model):
    """A time in which one class of requests, or some organisations, send more.

    Attributes
    ----------
    kind : str
        Class of requests; empty for all classes of some organisations.
    organisations : int
        Number of organisations that send more; the seed draws which.
    at_s, for_s, factor : tuple of float
        Begin, duration and multiple of the usual rate.
    """

    kind: str = ""
    organisations: int = 0
    at_s: Range
    for_s: Range
    factor: Range


class Organisations(Model):
    """Organisations, whose rates fall with their rank.

    Attributes
    ----------
    skew : float
        Exponent: the rate of the n-th organisation is proportional to n to the power
        of minus `skew`.
    """

    count: int = Field(gt=0)
    skew: float = Field(ge=0)


class Crash(Model):
    """Engines that crash at one moment."""

    at_s: Range
    share: float = Field(gt=0, le=1)


class Wave(Model):
    """Reclaims of availability zones, one after the other.

    Attributes
    ----------
    at_s : list of float
        Times of the reclaim notices, seconds; the seed draws the order of the zones.
    notice_s : float
        Time from the notice until the engines are removed, seconds.
    refused_s : float
        Time from the notice in which the zone grants no new reclaimable engines,
        seconds.
    """

    at_s: list[float]
    notice_s: float = Field(ge=0)
    refused_s: float = Field(ge=0)


class Speed(Model):
    """Phases in which engines work slowly, and state it.

    Attributes
    ----------
    slowdown : float
        Duration of work in such a phase, as a multiple of the usual one.
    slow_s, usual_s : float
        Mean lengths of the slow phases and of those between them, seconds.
    """

    slowdown: float = Field(ge=1)
    slow_s: float = Field(gt=0)
    usual_s: float = Field(gt=0)


class Deployment(Model):
    """All parameters of one file.

    Attributes
    ----------
    one_way_ms : float
        Network delay from a node to an engine, milliseconds.
    swing : float
        Amplitude of the load's sine wave, as a fraction of the mean.
    period_s : float
        Period of that wave, seconds.
    caller_retries : int
        How often a refused caller sends its request again, at another node and after
        the time that it was told, while the request's time budget lasts.
    speed : Speed or None
        How the engines' speed changes, if it does.
    """

    nodes: int = Field(gt=0)
    zones: int = Field(gt=1)
    seconds: float = Field(gt=0)
    one_way_ms: float = Field(ge=0)
    swing: float = Field(ge=0, lt=1)
    period_s: float = Field(gt=0)
    engines: Engines
    caller_retries: int = 0
    requests: dict[str, Requests]
    wave: Wave
    organisations: Organisations | None = None
    bursts: list[Burst] = []
    crashes: list[Crash] = []
    speed: Speed | None = None

    @classmethod
    def from_file(cls, path: str | Path) -> "Deployment":
        """Read one file.

        Raises
        ------
        pydantic.ValidationError
            If a field is missing, unknown or out of range.
        """
        return cls.model_validate(tomllib.loads(Path(path).read_text()))
