"""Supervision of the gateway's background loops."""

from collections.abc import Callable

import gevent
from endive_node.logs import log_failure

LOOP_RESTART_S = 0.5
"""Delay before a failed loop is restarted, seconds."""


def keep_running(loop: Callable[[], None]) -> None:
    """Run `loop`, and restart it after an error; the body of a greenlet.

    If one unexpected record ended the loop, the node would keep outdated state until it
    is restarted.
    """
    while True:
        try:
            loop()
        except Exception as error:
            log_failure("loop_failed", loop=_loop_name(loop), error=repr(error))
            gevent.sleep(LOOP_RESTART_S)


def _loop_name(loop: Callable[[], None]) -> str:
    """Return the loop's name, with the class of its object for an inherited method."""
    owner = getattr(loop, "__self__", None)
    if owner is None:
        return loop.__qualname__
    return f"{type(owner).__name__}.{loop.__name__}"
