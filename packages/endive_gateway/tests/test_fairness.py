"""Connections that always have bytes to read, and what others feel of them."""

import time

import gevent
import pytest
from endive_core.routing import RouteKind, Service, Split
from endive_node.logs import logger
from flooding import CALLERS, SERVERS, Flood, runnable_s
from gateway_builders import (
    SERVICE,
    RunningGateway,
    make_entry,
    make_route,
    make_table,
)
from gevent.hub import get_hub
from server_builders import ScriptedServer, events
from ticks import short_collections

pytestmark = pytest.mark.timing
FLOODED = "flooded"
TIMEOUT_S = 1.0
LONG_TIMEOUT_S = 8.0
EVENT_GAP_S = 0.1
EVENTS = 20
MAX_WAIT_S = 0.05
"""By how much the gap between two events of a sound stream may grow, seconds."""

MAX_LATE_S = 0.2
"""Time after its deadline in which a request has its answer, seconds."""

MAX_PROBE_S = 0.1
MANY = 10


@pytest.fixture(autouse=True)
def _short_collections(monkeypatch):
    """Keep the test runner from working between the events that are measured."""
    monkeypatch.setattr(logger, "propagate", False)
    get_hub().loop.update_now()  # stale after tests that did not run the loop
    with short_collections():
        yield


class Others:
    """Sound streams and short calls beside a flood.

    Attributes
    ----------
    gaps_s, probes_s : list of float
        Times between two events of a stream, and times of calls that no route matches,
        seconds.
    """

    def __init__(self, running):
        self.running = running
        self.gaps_s, self.probes_s, self.whole = [], [], []

    def follow_stream(self):
        """Read a stream, and note the gaps between its events."""
        caller = self.running.caller()
        caller.send("/x/a")
        caller._more()
        last_s = runnable_s()
        while not caller.buffer.endswith(b"0\r\n\r\n"):
            if not caller._more():
                break
            now_s = runnable_s()
            self.gaps_s.append(now_s - last_s)
            last_s = now_s
        self.whole.append(caller.buffer.count(b"data:"))

    def probe(self):
        """Send short calls until killed."""
        while True:
            began_s = runnable_s()
            assert self.running.call("/none").status == 404
            self.probes_s.append(runnable_s() - began_s)
            gevent.sleep(EVENT_GAP_S)

    def watch(self):
        """Follow two streams to their ends beside short calls.

        Returns
        -------
        float
            Time for which this thread waited for a processor meanwhile, seconds.
        """
        began_at, began_s = time.monotonic(), runnable_s()
        streams = [gevent.spawn(self.follow_stream) for _ in range(2)]
        prober = gevent.spawn(self.probe)
        gevent.joinall(streams, timeout=4 * LONG_TIMEOUT_S, raise_error=True)
        prober.kill()
        return time.monotonic() - began_at - (runnable_s() - began_s)

    def check(self):
        """Check what the streams and calls have felt."""
        assert self.whole == [EVENTS, EVENTS]
        assert max(self.gaps_s) < EVENT_GAP_S + MAX_WAIT_S
        assert max(self.probes_s) < MAX_PROBE_S


def gateway(**flooded):
    """Return a gateway whose routes lead to a sound service and to another one."""
    sound = ScriptedServer(server_id="i-sound")
    sound.answer_rest = events(1, EVENTS, gap_s=EVENT_GAP_S)
    table = make_table(
        make_route(timeout_s=LONG_TIMEOUT_S, path_prefix="/x/", kind=RouteKind.STREAM),
        make_route(
            name="f",
            timeout_s=TIMEOUT_S,
            target_s=0.5,
            path_prefix="/f/",
            splits=(Split(FLOODED, 1.0),),
            **flooded,
        ),
    )
    table.services[FLOODED] = Service(FLOODED)
    return RunningGateway(sound, table=table)


def address_of(running):
    """Return where a gateway's callers connect to."""
    return f"127.0.0.1:{running.listener.port}"


def put_server(running, flood, **options):
    """Add a server that floods its callers to a gateway's servers."""
    entry = make_entry("i-flood", address=flood.address, **options)
    running.context.registry.put(entry)
    running.context.registry.notify_listeners()


@pytest.mark.parametrize("count", [1, MANY])
@pytest.mark.parametrize("kind", SERVERS)
def test_no_server_that_sends_without_end_holds_up_others(kind, count):
    """Sound streams were lost: a connection that always has bytes kept the loop."""
    is_stream = b"event-stream" in SERVERS[kind][0]
    route_kind = RouteKind.STREAM if is_stream else RouteKind.IDEMPOTENT
    with Flood("server", kind) as server, gateway(kind=route_kind) as running:
        put_server(running, server, service=FLOODED)
        others = Others(running)
        with Flood("requests", address_of(running), count) as requests:
            delayed_s = others.watch()
            times_s = requests.times_s()
    others.check()
    assert len(times_s) >= count
    assert max(times_s) < TIMEOUT_S + MAX_LATE_S + delayed_s


@pytest.mark.parametrize("count", [1, MANY])
@pytest.mark.parametrize("kind", CALLERS)
def test_no_caller_that_sends_without_end_holds_up_others(kind, count):
    """Pipelined requests stopped a node: it read and answered no others meanwhile."""
    with Flood("sink") as sink, gateway() as running:
        put_server(running, sink, service=FLOODED)
        others = Others(running)
        with Flood("caller", kind, address_of(running), count):
            others.watch()
    others.check()


def test_a_stream_of_comments_without_end_goes_on_at_another_server():
    """Its request was kept until its deadline, however many comments came."""
    stream = {"kind": RouteKind.STREAM, "resumable": True, "max_attempts": 3}
    route = make_route(timeout_s=LONG_TIMEOUT_S, **stream)
    sound = ScriptedServer(server_id="i-sound")
    sound.answer_rest = events(1, EVENTS, gap_s=0.01)
    with (
        Flood("server", "comments") as server,
        RunningGateway(sound, table=make_table(route)) as running,
    ):
        put_server(running, server, service=SERVICE, software_version="v1")
        calls = [gevent.spawn(running.call, "/x/a") for _ in range(MANY)]
        gevent.joinall(calls, raise_error=True)
    responses = [call.value for call in calls]
    assert all(r.whole and r.body.count(b"data:") == EVENTS for r in responses)
    assert running.context.metrics.events["stream_event_invalid"]
