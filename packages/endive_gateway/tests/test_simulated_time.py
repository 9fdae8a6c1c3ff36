import threading

import gevent
from endive_gateway.turns import turn_scheduler
from simulated_time import simulated_time


def fail(monkeypatch, failures):
    """Let an error reach the hub of this thread, which began in simulated time."""
    with simulated_time(monkeypatch):
        gevent.sleep(1)
    try:
        gevent.get_hub().loop.handle_error("test", ValueError, ValueError(), None)
        gevent.sleep(0.01)
    except gevent.exceptions.LoopExit as error:
        failures.append(error)


def test_a_hub_that_began_in_simulated_time_outlives_errors(monkeypatch):
    """Guards against a later test whose event loop ends at the first logged error."""
    turn_scheduler()  # of this thread
    failures = []
    thread = threading.Thread(target=fail, args=(monkeypatch, failures))
    thread.start()
    thread.join()
    assert failures == []
