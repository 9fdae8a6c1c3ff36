"""Bounded history of configuration changes, from which watches are served."""

from collections import deque
from dataclasses import dataclass
from typing import Any

from endive_core.exceptions import EndiveError, ErrorKind
from endive_core.fold import StoredResource
from endive_core.records import Change

MAX_EVENTS = 11_000
"""Maximum number of events, a day of changes. A watcher that was disconnected for
longer lists the resources again."""

MAX_SIZE_CHARACTERS = 2_000_000
"""Maximum total size of the kept changes' records in characters, about 10 MB of memory.
This is a day of ordinary changes, but only some hundred changes of services with a
hundred servers each. Without the limit a script that changes such services all day
takes hundreds of MB on every node."""


@dataclass(frozen=True)
class ChangeEvent:
    """One applied change, as a watch returns it.

    Attributes
    ----------
    owner : str
        Organisation that owns the resource, or owned it when it was deleted.
    size : int
        Characters of the change's record in the log.
    body : dict or None
        The resource, or ``None`` if it was deleted.
    """

    version: int
    kind: str
    name: str
    owner: str
    operator: str
    change_id: str
    at: float
    body: dict[str, Any] | None
    size: int = 0


class ChangeHistory:
    """Applied changes ordered by version, from which watches are served.

    Every node folds the same records at the same offsets, so an interrupted watch can
    continue on any other node from the last version that it has seen.

    Attributes
    ----------
    oldest : int
        The lowest version from which a watch can continue without a gap.
    """

    def __init__(
        self, max_events: int = MAX_EVENTS, max_size: int = MAX_SIZE_CHARACTERS
    ) -> None:
        self.events: deque[ChangeEvent] = deque()
        self.max_events = max_events
        self.max_size = max_size
        self.size = 0
        self.oldest = -1

    def add(
        self,
        offset: int,
        change: Change,
        before: StoredResource | None,
        size: int = 0,
    ) -> None:
        """Add a change that was applied.

        Parameters
        ----------
        before : StoredResource or None
            The resource that the change replaced or deleted.
        size : int
            Characters of the change's record.
        """
        body = change.body if change.body is not None else before and before.body
        self.events.append(
            ChangeEvent(
                version=offset,
                kind=change.kind,
                name=change.name,
                owner=(body or {}).get("owner", ""),
                operator=change.operator,
                change_id=change.change_id,
                at=change.at,
                body=change.body,
                size=size,
            )
        )
        self.size += size
        while len(self.events) > self.max_events or self.size > self.max_size:
            gone = self.events.popleft()
            self.oldest = gone.version
            self.size -= gone.size

    def reset(self, version: int) -> None:
        """Clear the history after the fold was replaced by a snapshot at `version`.

        The single changes before the snapshot are unknown on this node, so a watch
        from an older version gets an error instead of missing some of them.
        """
        self.events.clear()
        self.size = 0
        self.oldest = version

    def since(self, version: int) -> list[ChangeEvent]:
        """Return the changes after `version`, in order.

        Raises
        ------
        EndiveError
            ``watch_too_old`` if some of them are no longer kept on this node.
        """
        if version < self.oldest:
            raise EndiveError(
                ErrorKind.WATCH_TOO_OLD,
                f"changes after version {version} are no longer kept; list the "
                f"resources and watch from the version of the list",
                details={"oldest": self.oldest},
            )
        found = []
        for event in reversed(self.events):
            if event.version <= version:
                break
            found.append(event)
        return found[::-1]
