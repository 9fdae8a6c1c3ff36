"""Which status a caller gets for an error, true about whether its request ran."""

from endive_core.exceptions import EndiveError, ErrorKind, Executed

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses by which a caller knows that its request has not run and never will."""

CALLER_ERROR_STATUSES = frozenset({400, 401, 404, 413, 431})
"""Statuses that tell a caller that it must change its request."""

DEFAULT_RETRY_AFTER_S = 0.3
"""Time to come back where nothing better is known, seconds: a queue of short work has
moved on by then."""


def status_of(error: EndiveError, may_have_run: bool) -> int:
    """Return the status for an error, never promising what isn't so."""
    if error.status in CALLER_ERROR_STATUSES:
        return error.status
    if may_have_run:
        late = error.kind is ErrorKind.DEADLINE_EXCEEDED
        return 504 if late else 502
    return 429 if error.kind is ErrorKind.LIMIT_EXCEEDED else 503


def complete_error(error: EndiveError, may_have_run: bool) -> int:
    """Make `error` say what is so of a request, and return its status.

    A time to come back goes only with a promise that nothing has run.
    """
    status = status_of(error, may_have_run)
    error.executed = Executed.UNKNOWN if may_have_run else Executed.NO
    if status not in (429, 503):
        error.retry_after_s = None
    elif error.retry_after_s is None:
        error.retry_after_s = DEFAULT_RETRY_AFTER_S
    return status
