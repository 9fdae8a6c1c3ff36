"""Outcomes of simulated requests, and the result of a simulation."""

from dataclasses import dataclass, field

from experiments.fetching import Links


@dataclass
class EndedRequest:
    """The outcome of one request; times in seconds from its arrival at `at`."""

    kind: str
    at: float
    outcome: str
    first_s: float = 0.0
    total_s: float = 0.0


@dataclass
class Result:
    """The result of one simulation.

    `servers_s` is the time of all engines in seconds, weighted by their price; `read`,
    `read_again` and `preemptions` count as :class:`Engine` does.
    """

    ended: list[EndedRequest] = field(default_factory=list)
    links: Links | None = None
    servers_s: float = 0.0
    read: float = 0.0
    read_again: float = 0.0
    preemptions: int = 0
