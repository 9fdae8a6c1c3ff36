"""Kinds of backend server service."""

from enum import StrEnum


class ServiceType(StrEnum):
    """Kind of server that a backend server service runs."""

    ENGINE = "engine"
    PLAIN = "plain"
