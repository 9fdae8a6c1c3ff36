"""Parsing of numbers that callers and servers state in headers."""

from endive_gateway.quantities import MAX_NUMBER

MAX_LOAD_FIGURE = 1_000_000
"""Largest number of requests or slots that a server may state. A larger one is a
mistake: the state messages and the computations with it would overflow."""

MAX_PARTS = 64
"""Parts of a prompt that count, the first ones. They serve to choose a server, and a
request holds them until it ends."""

MAX_PART_DIGITS = 64
"""Digits of the longest id of a part of a prompt, a hash of 256 bits."""

MAX_TOKENS = 100_000_000
"""Largest number of tokens that a caller may state, of a prompt, of one of its parts or
of a response. Prompts are a thousand times shorter, and a larger number would count for
more than the demand of all others."""


def split_parts(value: bytes) -> list[bytes]:
    """Return the parts in a comma-separated list, `MAX_PARTS` at most."""
    return value.split(b",", MAX_PARTS)[:MAX_PARTS]


def parse_part_id(value: bytes) -> int | None:
    """Return the id of a part, in hexadecimal digits; ``None`` if it is invalid."""
    try:
        return int(value, 16) if len(value) <= MAX_PART_DIGITS else None
    except ValueError:
        return None


def parse_count(value: bytes, most: int) -> int | None:
    """Return a number of digits only; ``None`` if it is another one or too large."""
    digits = value.strip()
    # Python refuses to convert thousands of digits; zeros may precede the number.
    significant = digits.lstrip(b"0") or b"0"
    if not digits.isdigit() or len(significant) > len(str(most)):
        return None
    number = int(significant)
    return number if number <= most else None


def parse_rate(value: bytes, most: float = MAX_NUMBER) -> float | None:
    """Return a number from 0 to `most`; ``None`` if it is another value."""
    try:
        rate = float(value)
    except ValueError:
        return None
    return rate if 0 <= rate <= most else None
