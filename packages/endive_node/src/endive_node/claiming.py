"""Claims of non-idempotent requests, through the log."""

from endive_core.exceptions import EndiveError, ErrorKind
from endive_core.messages import Request


class NoClaims:
    """Refuses every non-idempotent request: without claims none may be sent."""

    def win(self, request: Request) -> None:
        """See :meth:`endive_node.interfaces.Claims.win`."""
        raise EndiveError(
            ErrorKind.LOG_UNAVAILABLE, "this node can't claim non-idempotent requests"
        )
