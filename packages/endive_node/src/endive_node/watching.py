"""Watches: streams of the configuration changes applied after a version."""

from collections.abc import Callable, Iterator
from dataclasses import asdict

import msgspec
from endive_core.exceptions import EndiveError
from endive_core.history import ChangeEvent

from endive_node.configuration import Configuration

HEARTBEAT_S = 2.0
"""Interval at which a watch without changes sends the version reached, seconds. It is
well below the 13 s within which a change must be in force, so that a client soon
detects a node that hangs."""

encode_json = msgspec.json.encode


class Watch:
    """One operator's watch; it ends when the operator disconnects.

    Parameters
    ----------
    is_visible : callable
        Whether the operator may see an event.
    version : int
        The last version that the operator has received.

    Raises
    ------
    EndiveError
        ``watch_too_old`` if the changes after `version` are no longer kept.
    """

    def __init__(
        self,
        configuration: Configuration,
        is_visible: Callable[[ChangeEvent], bool],
        version: int,
    ) -> None:
        self.configuration = configuration
        self.is_visible = is_visible
        self.version = version
        configuration.history.since(version)

    def events(self) -> Iterator[bytes]:
        """Yield server-sent events, with the version to resume from as their id."""
        while True:
            try:
                fresh = self.configuration.history.since(self.version)
            except EndiveError as error:
                yield encode_event("error", self.version, error.to_body())
                return
            for event in fresh:
                self.version = event.version
                if self.is_visible(event):
                    yield encode_event("change", event.version, event_body(event))
            reached = max(self.version, self.configuration.fold.offset)
            if fresh or not self.configuration.changed.wait(timeout=HEARTBEAT_S):
                self.version = reached
                yield encode_event("reached", reached, {"version": reached})


def event_body(event: ChangeEvent) -> dict:
    """Return the body of the event for a change."""
    fields = asdict(event) | {"type": "deleted" if event.body is None else "applied"}
    del fields["size"]
    return fields


def encode_event(name: str, version: int, data: dict) -> bytes:
    """Encode one server-sent event."""
    head = f"id: {version}\nevent: {name}\ndata: ".encode()
    return head + encode_json(data) + b"\n\n"
