"""Outcomes of simulated requests, and the result of a simulation."""

from dataclasses import dataclass, field

from experiments.fetching import Links


@dataclass
class EndedRequest:
    """The outcome of one request; times in seconds from its arrival at `at`.

    Attributes
    ----------
    tokens : int
        Tokens of its prompt.
    refused_s : list of float
        How long each refusal took.
    why : str
        Why it was refused last.
    yielded : bool
        Whether it was sent as late from the start.
    """

    kind: str
    at: float
    outcome: str
    first_s: float = 0.0
    total_s: float = 0.0
    organisation: str = ""
    tokens: int = 0
    refused_s: list[float] = field(default_factory=list)
    why: str = ""
    yielded: bool = False


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
