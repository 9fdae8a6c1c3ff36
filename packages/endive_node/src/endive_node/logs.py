"""Logs: one line of key=value pairs for each event.

Programs choose where lines go. ``endive-node`` uses ``absl.logging``, whose handler
takes the standard library's records. A gateway, which must start fast, uses the
standard handler alone.
"""

import logging
from typing import Any

logger = logging.getLogger("endive")
"""Where all lines of this project go."""

logger.setLevel(logging.INFO)


def log_event(event: str, **fields: Any) -> None:
    """Write one line: ``event=NAME key=value ...``; values with spaces are quoted."""
    logger.info("%s", format_event(event, **fields))


def log_failure(event: str, **fields: Any) -> None:
    """Write one line, and the traceback of the exception that is being handled."""
    logger.error("%s", format_event(event, **fields), exc_info=True)


def format_event(event: str, **fields: Any) -> str:
    """Return the line that :func:`log_event` writes."""
    pairs = [f"event={event}"]
    for key, value in fields.items():
        text = f"{value:.6g}" if isinstance(value, float) else str(value)
        if not text or any(c in text for c in ' ="\n'):
            text = '"' + text.replace('"', "'").replace("\n", "\\n") + '"'
        pairs.append(f"{key}={text}")
    return " ".join(pairs)
