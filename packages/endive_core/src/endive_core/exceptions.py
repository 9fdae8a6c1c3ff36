"""The closed list of error kinds, the table from kind to answer, and the exceptions.

Everything that can go wrong for a caller or an operator is one :class:`ErrorKind`.
The table :data:`ERROR_RESPONSES` says once, for all of the code, which HTTP status a
kind gets, whether the request ran, and when it is worth coming back.
"""

from dataclasses import dataclass
from enum import StrEnum


class Executed(StrEnum):
    """Whether a backend server ran the request that an error answers."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class ErrorKind(StrEnum):
    """Every reason for which an answer can be an error."""

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
    CANCELLED = "cancelled"
    INTERNAL = "internal"


@dataclass(frozen=True)
class ErrorResponse:
    """How one error kind is told to a caller.

    Attributes
    ----------
    status : int
        HTTP status code.
    executed : Executed
        Whether a backend server ran the request.
    retry_after_s : float or None
        Seconds after which the same call is worth sending again when the place that
        raised the error knows no better; ``None`` where coming back cannot help.
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
    ErrorKind.CANCELLED: ErrorResponse(499, _UNKNOWN),
    ErrorKind.INTERNAL: ErrorResponse(500, _UNKNOWN, 1.0),
}
"""The answer for each kind; a test checks that no kind is missing."""

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
        ErrorKind.BACKEND_REJECTED,
        ErrorKind.BACKEND_FAILED,
        ErrorKind.CANCELLED,
        ErrorKind.INTERNAL,
    }
)
"""Kinds that refuse a well-formed request; each has a counter of its own."""


class RetryReason(StrEnum):
    """Why a request was sent to a backend server once more; each has a counter."""

    CONNECT_FAILED = "connect_failed"
    SERVER_BUSY = "server_busy"
    SERVER_FAILED = "server_failed"
    SERVER_LEAVING = "server_leaving"
    SERVER_SLOW = "server_slow"
    HANDED_OVER = "handed_over"


class EndiveError(Exception):
    """Base of all errors, raised wherever a request or an order ends in an error.

    Parameters
    ----------
    kind : ErrorKind
        Decides status, ``executed`` and the default time to come back.
    message : str
        One sentence for a person.
    retry_after_s : float, optional
        Seconds until coming back is worth it, when known better than the table.
    details : dict, optional
        Further JSON values for the error body, such as the winning version.

    Attributes
    ----------
    request_id : str
        Set where the request that the error answers is known.
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
        answer = ERROR_RESPONSES[kind]
        self.status = answer.status
        self.executed = answer.executed
        self.retry_after_s = (
            answer.retry_after_s if retry_after_s is None else retry_after_s
        )

    def to_body(self, request_id: str = "") -> dict:
        """Return the JSON body callers of this API know, with our three fields."""
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
