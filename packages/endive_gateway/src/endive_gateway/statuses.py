"""HTTP statuses of errors, which state truly whether a request may have run."""

from endive_core.exceptions import EndiveError, ErrorKind, Executed

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request has not run and will not run."""

CALLER_ERROR_STATUSES = frozenset({400, 401, 404, 413, 431})
"""Statuses of errors that only a changed request can avoid."""

DEFAULT_RETRY_AFTER_S = 0.3
"""Default ``Retry-After``, seconds: by then a queue of short requests has advanced."""


def status_of(error: EndiveError, may_have_run: bool) -> int:
    """Return the status of an error.

    No status in :data:`NOT_RUN_STATUSES` is returned for a request that may have run.
    """
    if error.status in CALLER_ERROR_STATUSES:
        return error.status
    if may_have_run:
        late = error.kind is ErrorKind.DEADLINE_EXCEEDED
        return 504 if late else 502
    return 429 if error.kind is ErrorKind.LIMIT_EXCEEDED else 503


def complete_error(error: EndiveError, may_have_run: bool) -> int:
    """Set `executed` and `retry_after_s` of `error`, and return its status.

    A time to retry is set only with a status that promises that nothing has run.
    """
    status = status_of(error, may_have_run)
    error.executed = Executed.UNKNOWN if may_have_run else Executed.NO
    if status not in (429, 503):
        error.retry_after_s = None
    elif error.retry_after_s is None:
        error.retry_after_s = DEFAULT_RETRY_AFTER_S
    return status
