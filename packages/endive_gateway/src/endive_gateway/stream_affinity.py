"""The software versions at which a stream begins and goes on, within one request."""

from endive_gateway.interfaces import NOT_A_VERSION, RequestMetadata

UNKNOWN_VERSION = f"{NOT_A_VERSION}unknown"
"""Software version of a server that has started again while a stream began there."""

MAX_LOGGED_CHARACTERS = 64
"""Longest part of a caller's own value in the log, characters."""


class StreamAffinity:
    """What ties one request's stream to a version of its servers' software.

    Attributes
    ----------
    attempts : list of (str, int)
        Software version of the server of each attempt, and the events that the caller
        had been sent before it.
    """

    def __init__(self, metadata: RequestMetadata) -> None:
        self.metadata = metadata
        self.attempts: list[tuple[str, int]] = []

    def attempted(self, version: str, events: int) -> None:
        """Record that the request is sent to a server of `version`."""
        self.attempts.append((version, events))

    def fields(self) -> dict[str, str]:
        """Return the fields of the request's log line."""
        values = {
            "versions": ",".join(f"{v}@{events}" for v, events in self.attempts),
            "after": self.metadata.last_event_id[:MAX_LOGGED_CHARACTERS],
            "resumes": self.metadata.resumes[:MAX_LOGGED_CHARACTERS],
        }
        return {name: value for name, value in values.items() if value}
