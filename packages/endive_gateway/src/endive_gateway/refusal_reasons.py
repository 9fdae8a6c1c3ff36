"""Why callers are refused, or connections closed, apart from what a request asks."""

from enum import StrEnum


class RefusalReason(StrEnum):
    """Why a caller was refused, or a connection closed."""

    HEAD_MEMORY = "head_memory"
    CONNECTIONS = "connections"
    IDLE_CLOSED = "idle_closed"
    UNFINISHED_CLOSED = "unfinished_closed"
    PORT_CLOSED = "port_closed"
    PORT_BROKEN = "port_broken"
    MALFORMED = "malformed"
    STOPPING = "stopping"
