"""Logging: one line of key=value pairs for each event.

The programs choose the handler. ``endive-node`` uses ``absl.logging``, whose handler
accepts the records of the standard library. A gateway uses the standard handler alone,
because it must start fast.
"""

import logging
from typing import Any

MAX_VALUE_CHARACTERS = 1_024
"""Longest value in a line, characters. Callers choose some of them, such as ids."""

logger = logging.getLogger("endive")
"""The logger of all packages."""

logger.setLevel(logging.INFO)


def log_event(event: str, **fields: Any) -> None:
    """Write one line: ``event=NAME key=value ...``; values with spaces are quoted."""
    logger.info("%s", format_event(event, **fields))


def log_failure(event: str, **fields: Any) -> None:
    """Write one line and the traceback of the exception being handled."""
    logger.error("%s", format_event(event, **fields), exc_info=True)


def format_event(event: str, **fields: Any) -> str:
    """Return the line that :func:`log_event` writes; long values are cut short."""
    pairs = [f"event={event}"]
    for key, value in fields.items():
        text = f"{value:.6g}" if isinstance(value, float) else str(value)
        if len(text) > MAX_VALUE_CHARACTERS:
            text = text[:MAX_VALUE_CHARACTERS] + "..."
        if not text or any(c in text for c in ' ="\n'):
            text = '"' + text.replace('"', "'").replace("\n", "\\n") + '"'
        pairs.append(f"{key}={text}")
    return " ".join(pairs)
