"""Specification of the core protocol, checked with ``python -m spec``."""
