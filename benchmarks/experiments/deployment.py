"""What is played: a deployment's figures, read from TOML and checked."""

import tomllib
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field


class Model(BaseModel):
    """A part of the file; a field that it doesn't know is an error."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Engines(Model):
    """Engines that batch, and read prompts in chunks between other requests' tokens.

    Attributes
    ----------
    step_ms, step_ms_per_request : float
        Time of one step in which every running request gets a token.
    tokens_per_ms : float
        Prompt tokens read in a millisecond.
    chunk : int
        Most prompt tokens read in one step.
    memory_tokens : int
        Tokens that running requests and kept prompts share.
    start_s : float
        Time from an order to the first request, seconds.
    reclaimable_price : float
        Price of a reclaimable engine as a part of an on-demand one's.
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
        Mean rate over all nodes.
    worth : float
        What one answered in time is worth.
    sessions : int
        Sessions whose requests share a part of their prompts.
    common : int
        Prompt beginnings that sessions share, drawn evenly.
    """

    per_s: float = Field(gt=0)
    target_ms: float = Field(gt=0)
    deadline_ms: float = Field(gt=0)
    pause_ms: float = Field(gt=0)
    worth: float = Field(gt=0)
    priority: int = 0
    sessions: int = Field(gt=0)
    common: int = Field(gt=0)
    common_tokens: Length
    session_tokens: Length
    own_tokens: Length
    answer_tokens: Length


class Wave(Model):
    """Reclaims of one zone after the other.

    Attributes
    ----------
    at_s : list of float
        When each zone goes, in an order that the seed draws.
    notice_s, refused_s : float
        Seconds from the notice to the end, and in which the zone gives no new ones.
    """

    at_s: list[float]
    notice_s: float = Field(ge=0)
    refused_s: float = Field(ge=0)


class Deployment(Model):
    """All of one file."""

    nodes: int = Field(gt=0)
    zones: int = Field(gt=1)
    seconds: float = Field(gt=0)
    one_way_ms: float = Field(ge=0)
    swing: float = Field(ge=0, lt=1)
    period_s: float = Field(gt=0)
    engines: Engines
    requests: dict[str, Requests]
    wave: Wave

    @classmethod
    def from_file(cls, path: str | Path) -> "Deployment":
        """Read one file; raises pydantic's error that names what is wrong."""
        return cls.model_validate(tomllib.loads(Path(path).read_text()))
