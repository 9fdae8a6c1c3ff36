"""Check observed runs of nodes and log against the specification of claims.

A node writes each request's events to its log file when the request ends, and the
replicated log keeps the order of claims and releases; the order between two nodes'
events is not observed. A run therefore conforms if some interleaving of the nodes'
events with the log's records is a path of the model.
"""

from dataclasses import dataclass, replace
from typing import NamedTuple

from spec.claims import Append, ClaimsModel

LOGGED_EVENTS = frozenset(
    {"claim", "won", "lost", "dispatch", "complete", "not_started", "fail", "refuse"}
)
"""Logged events of a request that the model has; the others don't affect its claim."""

UNLOGGED_STEPS = frozenset(
    {"arrives", "append again", "server runs", "server refuses", "server completes"}
)
"""Steps of the model that nodes don't log."""


@dataclass(frozen=True)
class Trace:
    """The observed events and records of the submissions of one key.

    Attributes
    ----------
    events : tuple of tuple of str
        For each submission, its request's events in order.
    records : tuple of Append
        The key's claims and releases in the order of the log.
    """

    events: tuple[tuple[str, ...], ...]
    records: tuple[Append, ...]

    def model(self) -> ClaimsModel:
        """Return the smallest model that could produce this trace."""
        claims = [record for record in self.records if record.kind == "claim"]
        return ClaimsModel(
            tuple(max(1, events.count("claim")) for events in self.events),
            copies=max([claims.count(claim) for claim in claims], default=1) + 1,
            dispatches=max(events.count("dispatch") for events in self.events),
        )


def without_repeated_releases(records: tuple[Append, ...]) -> tuple[Append, ...]:
    """Return `records` with only the first copy of each release.

    If the writer of a claim shard is slow to confirm a release, the node sends it to
    the next writer too, so the log may hold it twice. The model appends a release once;
    a second copy does not change the claim table, as a test of the table shows.
    """
    kept: list[Append] = []
    for record in records:
        if record.kind != "release" or record not in kept:
            kept.append(record)
    return tuple(kept)


class Position(NamedTuple):
    """A state of the model and how much of the trace leads to it.

    `events` counts the matched events of each submission, `records` those of the log.
    """

    state: tuple
    events: tuple[int, ...]
    records: int


def conforms(trace: Trace) -> bool:
    """Return whether some path of the model produces exactly this trace."""
    trace = replace(trace, records=without_repeated_releases(trace.records))
    model = trace.model()
    logged = tuple(
        tuple(e for e in events if e in LOGGED_EVENTS) for events in trace.events
    )
    start = Position(model.initial(), (0,) * len(logged), 0)
    seen, frontier = {start}, [start]
    for position in frontier:
        if _is_end(position, logged, trace.records):
            return True
        for label, state in model.steps(position.state):
            after = _advance(position, label, state, logged, trace.records)
            if after is not None and after not in seen:
                seen.add(after)
                frontier.append(after)
    return False


def _is_end(position: Position, logged: tuple, records: tuple) -> bool:
    counts = tuple(len(events) for events in logged)
    return position.events == counts and position.records == len(records)


def _advance(
    position: Position, label: str, state: tuple, logged: tuple, records: tuple
) -> Position | None:
    """Return the position after a step, or ``None`` if the trace does not allow it."""
    if label.startswith("log takes "):
        done = position.records
        if done == len(records) or label != append_label(records[done]):
            return None
        return Position(state, position.events, done + 1)
    event, _, index = label.rpartition(" ")
    i = int(index)
    if event in UNLOGGED_STEPS:
        return Position(state, position.events, position.records)
    done = position.events[i]
    if done == len(logged[i]) or logged[i][done] != event:
        return None
    events = (*position.events[:i], done + 1, *position.events[i + 1 :])
    return Position(state, events, position.records)


def append_label(record: Append) -> str:
    """Return the model's label of the step that appends `record` to the log."""
    return f"log takes {record.kind} {record.submission}.{record.tries}"
