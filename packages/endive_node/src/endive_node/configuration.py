"""Following the configuration stream, and writing changes to it."""

import uuid
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from endive_core.catalogue import Catalogue
from endive_core.exceptions import EndiveError, ErrorKind, RecordError
from endive_core.fold import ConfigurationFold, Outcome, Verdict
from endive_core.history import ChangeHistory
from endive_core.records import CONFIGURATION_STREAM, Change, Snapshot, decode, encode
from gevent.event import Event

from endive_node.interfaces import (
    Clock,
    LogForgottenError,
    LogService,
    LogUnavailableError,
    LogUncertainError,
)
from endive_node.telemetry import log_event

LONG_POLL_S = 5.0
RETRY_S = 0.2
SUBMIT_TIMEOUT_S = 8.0
"""How long a writer waits for its own change to come back: well inside the 13 s in
which a change must be in force everywhere."""


@dataclass
class Configuration:
    """The configuration in force on this node, followed from the log.

    A lookup reads :attr:`catalogue`; a writer calls :meth:`submit`.

    Attributes
    ----------
    listeners : list of callable
        Called with the set of (kind, name) pairs after each batch of changes.
    """

    log: LogService
    clock: Clock
    fold: ConfigurationFold = field(default_factory=ConfigurationFold)
    catalogue: Catalogue = field(default_factory=Catalogue)
    listeners: list[Callable] = field(default_factory=list)
    history: ChangeHistory = field(default_factory=ChangeHistory)
    ready: Event = field(default_factory=Event)
    changed: Event = field(default_factory=Event)
    last_read: float | None = None

    def follow(self) -> None:
        """Fold the stream for ever; the body of a greenlet."""
        while True:
            try:
                self.read_once(wait_s=LONG_POLL_S if self.ready.is_set() else 0.0)
            except LogUnavailableError as error:
                log_event("configuration_read_failed", error=error)
                gevent.sleep(RETRY_S)
            except LogForgottenError as error:
                log_event("configuration_forgotten", first=error.first)
                self._restart_from(error.first)

    def read_once(self, *, wait_s: float = 0.0) -> None:
        """Read and fold one page."""
        page = self.log.read(CONFIGURATION_STREAM, self.fold.offset + 1, wait_s=wait_s)
        for entry in page.entries:
            self._fold_entry(entry.offset, entry.body)
        self.last_read = self.clock.now()
        if page.entries:
            self._publish()
        if self.fold.offset + 1 >= page.next:
            self.ready.set()

    def _fold_entry(self, offset: int, body: str) -> None:
        try:
            record = decode(body)
        except RecordError as error:
            log_event("record_not_understood", offset=offset, error=error)
            self.fold.offset = offset
            return
        if isinstance(record, Change):
            self._fold_change(offset, record)
        elif isinstance(record, Snapshot):
            self.fold.apply(offset, record)

    def _fold_change(self, offset: int, change: Change) -> None:
        before = self.fold.get(change.kind, change.name)
        outcome = self.fold.apply(offset, change)
        # A repeated change id answers with its first outcome, at an older version.
        if outcome is not None and outcome.applied_at(offset):
            self.history.add(offset, change, before)

    def _restart_from(self, first: int) -> None:
        """Go on from the oldest record kept, which is a snapshot's neighbour."""
        self.fold.offset = max(self.fold.offset, first - 1)

    def _publish(self) -> None:
        touched = self.catalogue.refresh(self.fold)
        self.changed.set()
        self.changed.clear()
        for listener in self.listeners:
            listener(touched)

    def submit(self, change: Change) -> Outcome:
        """Append `change` and wait until this node has folded it.

        The change id makes a second append harmless, so a lost answer is settled by
        appending again until the outcome is read back.

        Raises
        ------
        EndiveError
            ``version_conflict`` with the winner's version; ``log_unavailable`` if it
            was not appended; ``outcome_unknown`` if that could not be found out.
        """
        deadline = self.clock.now() + SUBMIT_TIMEOUT_S
        uncertain = False
        appended = False
        while (outcome := self.fold.outcomes.get(change.change_id)) is None:
            if self.clock.now() > deadline:
                raise _not_settled(uncertain or appended)
            if not appended:
                try:
                    self.log.append(CONFIGURATION_STREAM, [encode(change)])
                    appended = True
                except LogUncertainError:
                    uncertain = True
                except LogUnavailableError:
                    if not uncertain:
                        raise _not_settled(False) from None
                    gevent.sleep(RETRY_S)
            self.changed.wait(timeout=RETRY_S)
        _check_verdict(outcome.verdict, outcome.version)
        return outcome

    def check(self, change: Change) -> None:
        """Raise what :meth:`submit` would raise if `change` were decided now."""
        _check_verdict(*self.fold.verdict(change))


def _check_verdict(verdict: Verdict, version: int) -> None:
    if verdict is Verdict.FORBIDDEN:
        raise EndiveError(
            ErrorKind.FORBIDDEN, "the resource belongs to another organisation"
        )
    if verdict is Verdict.CONFLICT:
        raise EndiveError(
            ErrorKind.VERSION_CONFLICT,
            f"another change was applied first; the version in force is {version}",
            details={"version": version},
        )


def _not_settled(maybe: bool) -> EndiveError:
    if maybe:
        return EndiveError(
            ErrorKind.OUTCOME_UNKNOWN,
            "the log did not confirm the change; send it again with its change id",
        )
    return EndiveError(ErrorKind.LOG_UNAVAILABLE, "the log takes no changes now")


def new_change_id() -> str:
    """Return an id for a change whose sender gave none."""
    return uuid.uuid4().hex
