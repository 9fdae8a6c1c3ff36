"""Parses figures that callers and servers state, within bounds."""

MAX_LOAD_FIGURE = 1_000_000
"""Largest number of requests or slots that a server may state. A larger one is a
mistake: the state messages and the computations with it would overflow."""

MAX_TOKENS = 100_000_000
"""Largest number of tokens that a caller may state, of a prompt, of one of its parts or
of a response. Prompts are a thousand times shorter."""


def parse_count(value: bytes, most: int) -> int:
    """Return a number of digits only; raises ValueError if it is none, or too large."""
    digits = value.strip()
    # Python refuses to convert thousands of digits; zeros may precede the number.
    significant = digits.lstrip(b"0") or b"0"
    if not digits.isdigit() or len(significant) > len(str(most)):
        raise ValueError(f"not a number up to {most}")
    number = int(significant)
    if number > most:
        raise ValueError(f"not a number up to {most}")
    return number
