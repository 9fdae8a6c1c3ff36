"""Reports of crashes under parts of prompts, and what several of them add up to."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PartCrash:
    """A request to which a server had not begun to answer when it ended.

    Attributes
    ----------
    server : str
        Server with the number of its incarnation.
    prompt : int
        Hash of the request's content.
    parts : tuple of int
        Keys of the parts of its prompt, the last one aside.
    sent_at, at : float
        Clock times at which it was sent, and its server ended, seconds.
    """

    server: str
    prompt: int
    parts: tuple[int, ...]
    sent_at: float
    at: float

    @property
    def key(self) -> tuple[str, int]:
        """What is the same in all reports of this crash and request."""
        return self.server, self.prompt


@dataclass(frozen=True, slots=True)
class PartAnswer:
    """A server began to answer a prompt with `part` at clock time `at`."""

    part: int
    at: float


@dataclass(frozen=True, slots=True)
class Evidence:
    """The crashes that count against one part.

    Attributes
    ----------
    crashes : tuple of PartCrash
        The oldest first.
    rounds : tuple of float
        Times of the independent ones.
    prompts : int
        Number of different prompts among them.
    """

    crashes: tuple[PartCrash, ...] = ()
    rounds: tuple[float, ...] = ()
    prompts: int = 0

    @classmethod
    def from_crashes(cls, crashes: Iterable[PartCrash]) -> "Evidence":
        """Return the evidence that `crashes`, in any order, make."""
        ordered = tuple(sorted(crashes, key=lambda crash: crash.at))
        prompts = len({crash.prompt for crash in ordered})
        return cls(ordered, independent_times(ordered), prompts)

    @property
    def last_at(self) -> float:
        """Time of the last crash; there is one."""
        return self.crashes[-1].at


NO_EVIDENCE = Evidence()


def independent_times(crashes: Iterable[PartCrash]) -> tuple[float, ...]:
    """Return the times of crashes, each of a request sent after the one before.

    Parameters
    ----------
    crashes : iterable of PartCrash
        The oldest first.
    """
    times: list[float] = []
    for crash in crashes:
        if not times or crash.sent_at > times[-1]:
            times.append(crash.at)
    return tuple(times)
