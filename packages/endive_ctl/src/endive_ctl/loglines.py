"""Parsing of the gateways' log files."""

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, replace
from pathlib import Path
from sys import intern

from endive_ctl.files import FileError

LOG_LINE_PATTERN = re.compile(
    r"(?:(?P<node>\S+) )?[IWEF]\d{4} (?P<hours>\d\d):(?P<minutes>\d\d):"
    r"(?P<seconds>\d\d\.\d+) +\d+ \S+\] (?P<event>event=.*)"
)
FIELD_PATTERN = re.compile(r'(\w+)=("[^"]*"|\S+)')
DAY_S = 86_400.0


@dataclass(frozen=True, slots=True)
class LogLine:
    """One event of one node.

    Attributes
    ----------
    at : float
        Seconds since the earliest line.
    node : str
        The prefix that the log collector put before the line; empty without one.
    event : str
        The event's name.
    fields : dict of str to str
        The other key=value pairs.
    """

    at: float
    node: str
    event: str
    fields: dict[str, str]

    def number(self, key: str) -> float:
        """Return a field as a number; 0 if it is missing or not a number."""
        try:
            return float(self.fields.get(key, 0.0))
        except ValueError:
            return 0.0


def read_lines(paths: Iterable[str | Path]) -> list[LogLine]:
    """Return the events in log files, sorted by time; other lines are ignored.

    Raises
    ------
    FileError
        If a file can't be read, or no file contains an event.
    """
    found = [line for path in paths for line in _read(path)]
    if not found:
        raise FileError("no log line with event=... in the given files")
    # Only the time of day is parsed. Each line is placed within half a day before or
    # after the first line read, so that logs may span midnight.
    reference = found[0].at
    times = [(line.at - reference + DAY_S / 2) % DAY_S for line in found]
    start = min(times)
    lines = [
        replace(line, at=at - start) for line, at in zip(found, times, strict=True)
    ]
    return sorted(lines, key=lambda line: line.at)


def _read(path: str | Path) -> Iterator[LogLine]:
    try:
        with Path(path).open(encoding="utf-8", errors="replace") as file:
            for text in file:
                match = LOG_LINE_PATTERN.search(text)
                if match is not None:
                    yield _parse(match)
    except OSError as error:
        raise FileError(f"{path}: {error.strerror}") from None


def _parse(match: re.Match[str]) -> LogLine:
    """Return the event of a line. Texts that recur in many lines are kept once."""
    pairs = {
        intern(key): intern(value.strip('"'))
        for key, value in FIELD_PATTERN.findall(match["event"])
    }
    clock = int(match["hours"]) * 3600 + int(match["minutes"]) * 60
    at = clock + float(match["seconds"])
    return LogLine(at, intern(match["node"] or ""), pairs.pop("event"), pairs)
