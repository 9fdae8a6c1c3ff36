"""Kinds of backend server service."""

from enum import StrEnum


class ServiceType(StrEnum):
    """What kind of server a backend server service runs."""

    ENGINE = "engine"
    PLAIN = "plain"
