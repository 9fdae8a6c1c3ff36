"""Logs: one line of key=value pairs for each event."""

from typing import Any

from absl import logging


def log_event(event: str, **fields: Any) -> None:
    """Write one line: ``event=NAME key=value ...``; values with spaces are quoted."""
    logging.info("%s", format_event(event, **fields))


def format_event(event: str, **fields: Any) -> str:
    """Return the line that :func:`log_event` writes."""
    pairs = [f"event={event}"]
    for key, value in fields.items():
        text = f"{value:.6g}" if isinstance(value, float) else str(value)
        if not text or any(c in text for c in ' ="\n'):
            text = '"' + text.replace('"', "'").replace("\n", "\\n") + '"'
        pairs.append(f"{key}={text}")
    return " ".join(pairs)
