"""Loops that a gateway runs for as long as it lives."""

from collections.abc import Callable

import gevent
from endive_node.logs import log_failure

LOOP_RESTART_S = 0.5
"""Time before a loop that failed starts again, seconds."""


def keep_running(loop: Callable[[], None]) -> None:
    """Run `loop`, and again after an error; the body of a greenlet.

    A loop that died of one odd record would leave the node on old news for good.
    """
    while True:
        try:
            loop()
        except Exception as error:
            log_failure("loop_failed", loop=loop.__qualname__, error=repr(error))
            gevent.sleep(LOOP_RESTART_S)
