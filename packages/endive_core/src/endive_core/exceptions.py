"""The closed list of error kinds, their responses, and the exceptions.

Every error that a caller or an operator can get has an :class:`ErrorKind`. The table
:data:`ERROR_RESPONSES` defines for each kind the HTTP status, whether the request was
executed, and after what time a retry is worthwhile.
"""

from dataclasses import dataclass
from enum import StrEnum


class Executed(StrEnum):
    """Whether a backend server executed the request that got the error."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class ErrorKind(StrEnum):
    """All kinds of errors."""

    MALFORMED_BODY = "malformed_body"
    UNKNOWN_FIELD = "unknown_field"
    INVALID_FIELD = "invalid_field"
    BODY_TOO_LARGE = "body_too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_REQUEST = "unknown_request"
    INVALID_RESOURCE = "invalid_resource"
    VERSION_CONFLICT = "version_conflict"
    WATCH_TOO_OLD = "watch_too_old"
    KEY_REQUIRED = "key_required"
    KEY_REUSED = "key_reused"
    KEY_EXPIRED = "key_expired"
    DUPLICATE_REQUEST = "duplicate_request"
    LIMIT_EXCEEDED = "limit_exceeded"
    OVERLOADED = "overloaded"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    NO_SERVER = "no_server"
    RETRY_BUDGET_SPENT = "retry_budget_spent"
    LOG_UNAVAILABLE = "log_unavailable"
    NOT_READY = "not_ready"
    STOPPING = "stopping"
    MOVED = "moved"
    POISON_REQUEST = "poison_request"
    BACKEND_REJECTED = "backend_rejected"
    BACKEND_FAILED = "backend_failed"
    OUTCOME_UNKNOWN = "outcome_unknown"
    STREAM_NOT_RESUMABLE = "stream_not_resumable"
    CANCELLED = "cancelled"
    INTERNAL = "internal"


@dataclass(frozen=True)
class ErrorResponse:
    """Response to a caller for one error kind.

    Attributes
    ----------
    status : int
        HTTP status code.
    executed : Executed
        Whether a backend server executed the request.
    retry_after_s : float or None
        Default time after which a retry is worthwhile, seconds; ``None`` if a retry
        cannot succeed.
    """

    status: int
    executed: Executed
    retry_after_s: float | None = None


_NO, _UNKNOWN, _YES = Executed.NO, Executed.UNKNOWN, Executed.YES

ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.MALFORMED_BODY: ErrorResponse(400, _NO),
    ErrorKind.UNKNOWN_FIELD: ErrorResponse(400, _NO),
    ErrorKind.INVALID_FIELD: ErrorResponse(400, _NO),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, _NO),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(401, _NO),
    ErrorKind.FORBIDDEN: ErrorResponse(403, _NO),
    ErrorKind.NOT_FOUND: ErrorResponse(404, _NO),
    ErrorKind.UNKNOWN_MODEL: ErrorResponse(404, _NO),
    ErrorKind.UNKNOWN_REQUEST: ErrorResponse(404, _UNKNOWN, 1.0),
    ErrorKind.INVALID_RESOURCE: ErrorResponse(422, _NO),
    ErrorKind.VERSION_CONFLICT: ErrorResponse(409, _NO),
    ErrorKind.WATCH_TOO_OLD: ErrorResponse(410, _NO),
    ErrorKind.KEY_REQUIRED: ErrorResponse(400, _NO),
    ErrorKind.KEY_REUSED: ErrorResponse(422, _NO),
    ErrorKind.KEY_EXPIRED: ErrorResponse(409, _UNKNOWN),
    ErrorKind.DUPLICATE_REQUEST: ErrorResponse(409, _UNKNOWN, 1.0),
    ErrorKind.LIMIT_EXCEEDED: ErrorResponse(429, _NO, 1.0),
    ErrorKind.OVERLOADED: ErrorResponse(503, _NO, 1.0),
    ErrorKind.DEADLINE_EXCEEDED: ErrorResponse(504, _NO, 1.0),
    ErrorKind.NO_SERVER: ErrorResponse(503, _NO, 2.0),
    ErrorKind.RETRY_BUDGET_SPENT: ErrorResponse(503, _UNKNOWN, 5.0),
    ErrorKind.LOG_UNAVAILABLE: ErrorResponse(503, _NO, 5.0),
    ErrorKind.NOT_READY: ErrorResponse(503, _NO, 1.0),
    ErrorKind.STOPPING: ErrorResponse(503, _NO, 1.0),
    ErrorKind.MOVED: ErrorResponse(503, _UNKNOWN, 0.5),
    ErrorKind.POISON_REQUEST: ErrorResponse(422, _UNKNOWN),
    ErrorKind.BACKEND_REJECTED: ErrorResponse(502, _NO),
    ErrorKind.BACKEND_FAILED: ErrorResponse(502, _UNKNOWN, 1.0),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(502, _UNKNOWN),
    ErrorKind.STREAM_NOT_RESUMABLE: ErrorResponse(503, _NO, 0.0),
    ErrorKind.CANCELLED: ErrorResponse(499, _UNKNOWN),
    ErrorKind.INTERNAL: ErrorResponse(500, _UNKNOWN, 1.0),
}
"""Response for each error kind."""

REFUSAL_KINDS = frozenset(
    {
        ErrorKind.LIMIT_EXCEEDED,
        ErrorKind.OVERLOADED,
        ErrorKind.DEADLINE_EXCEEDED,
        ErrorKind.NO_SERVER,
        ErrorKind.RETRY_BUDGET_SPENT,
        ErrorKind.LOG_UNAVAILABLE,
        ErrorKind.NOT_READY,
        ErrorKind.STOPPING,
        ErrorKind.MOVED,
        ErrorKind.POISON_REQUEST,
        ErrorKind.DUPLICATE_REQUEST,
        ErrorKind.KEY_EXPIRED,
        ErrorKind.KEY_REUSED,
        ErrorKind.KEY_REQUIRED,
        ErrorKind.OUTCOME_UNKNOWN,
        ErrorKind.STREAM_NOT_RESUMABLE,
        ErrorKind.BACKEND_REJECTED,
        ErrorKind.BACKEND_FAILED,
        ErrorKind.CANCELLED,
        ErrorKind.INTERNAL,
    }
)
"""Kinds for which a well-formed request is refused; each has its own counter."""


class RetryReason(StrEnum):
    """Why a request was sent to a backend server again; each has its own counter."""

    CONNECT_FAILED = "connect_failed"
    SERVER_BUSY = "server_busy"
    SERVER_FAILED = "server_failed"
    SERVER_LEAVING = "server_leaving"
    SERVER_RESTING = "server_resting"
    SERVER_SLOW = "server_slow"
    SLOT_DECLINED = "slot_declined"
    HANDED_OVER = "handed_over"
    PART_SUSPECTED = "part_suspected"
    PATH_FAILED = "path_failed"
    FETCH_FAILED = "fetch_failed"
    ORIGIN_UNRECORDED = "origin_unrecorded"
    VERSION_MISMATCH = "version_mismatch"


class EndiveError(Exception):
    """Base of all errors with which a request or an operator's order ends.

    Parameters
    ----------
    kind : ErrorKind
        Determines status, ``executed`` and the default ``retry_after_s``.
    message : str
        Description for people.
    retry_after_s : float, optional
        Time after which a retry is worthwhile, seconds, if known better than the
        default of the kind.
    details : dict, optional
        Further JSON values for the error body, such as the current version after a
        version conflict.

    Attributes
    ----------
    request_id : str
        Id of the request that got the error; empty if not known.
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        *,
        retry_after_s: float | None = None,
        details: dict | None = None,
    ) -> None:
        super().__init__(message)
        self.kind = kind
        self.message = message
        self.details = details or {}
        self.request_id = ""
        response = ERROR_RESPONSES[kind]
        self.status = response.status
        self.executed = response.executed
        self.retry_after_s = (
            response.retry_after_s if retry_after_s is None else retry_after_s
        )

    def to_body(self, request_id: str = "") -> dict:
        """Return the JSON error body of the API.

        The fields ``executed``, ``request_id`` and ``retry_after_s`` extend the body
        that clients of the API know.
        """
        error = {
            "message": self.message,
            "type": "invalid_request_error" if self.status < 429 else "server_error",
            "code": str(self.kind),
            "executed": str(self.executed),
            "request_id": request_id or self.request_id,
        }
        if self.retry_after_s is not None:
            error["retry_after_s"] = round(self.retry_after_s, 3)
        return {"error": error | self.details}


class SettingsError(Exception):
    """Raised for a settings file that cannot be used; ends the process with code 2."""


class RecordError(Exception):
    """Raised for a log record that this version of the code cannot decode."""
