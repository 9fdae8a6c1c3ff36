"""Streams at servers whose newest entry may not have been read yet."""

import time
from dataclasses import replace

import gevent
import pytest
from endive_core.routing import RouteKind
from endive_core.stream_origins import (
    AMBIGUOUS,
    UNCONFIRMED,
    StreamOrigin,
    stream_key,
)
from endive_gateway.server_processes import (
    MAX_UNSEEN_S,
    ServerProcesses,
)
from endive_gateway.servers import ServerRegistry
from gateway_builders import (
    SERVICE,
    RunningGateway,
    make_entry,
    make_route,
    make_table,
)
from server_builders import EVENTS, ScriptedServer, stream_from, versions_in

KEPT_S = 10.0
READ_S = 0.4
"""Time until the servers are read again, seconds."""

HEARTBEAT_S = 1.2
"""Time between two entries that a server writes, seconds; the settings' default."""


class UnreadServers:
    """A gateway that reads its servers' entries only when it is told to."""

    def __init__(self, *written):
        """Write each server's events with another version than its entry names."""
        self.servers = [
            ScriptedServer(
                *[stream_from(version, breaks_after=3)] * 100,
                server_id=f"i-{number}",
                software_version="a",
            )
            for number, version in enumerate(written)
        ]
        route = make_route(kind=RouteKind.STREAM, max_attempts=4, resumable=True)
        self.running = RunningGateway(*self.servers, table=make_table(route))
        self.read_at = time.monotonic()
        self.running.context.processes.read_at = lambda: self.read_at

    def read(self, **versions):
        """Read the servers' entries, some of which name another version."""
        registry = self.running.context.registry
        for server_id, version in versions.items():
            old = registry.get(server_id.replace("_", "-")).entry
            registry.put(replace(old, incarnation=1, software_version=version))
        registry.notify_listeners()
        self.read_at = float("inf")

    def read_later(self, **versions):
        gevent.spawn_later(READ_S, self.read, **versions)

    def origin(self, request_id):
        """Return what an owner of a stream tells of it."""
        key = stream_key("", request_id)
        return self.running.context.origin_exchange.known(key)


@pytest.fixture
def unread():
    made = []

    def make(*written):
        made.append(UnreadServers(*written))
        return made[-1]

    yield make
    for one in made:
        one.running.__exit__()


def test_a_stream_of_a_process_that_is_not_known_yet_is_not_joined(unread):
    """Guards against an answer with events of two versions of a server's software."""
    nodes = unread("b", "a")
    nodes.servers[1].script = []
    nodes.read_later(i_0="b")
    response = nodes.running.call()
    assert versions_in(response.body) == {"data: b"}
    assert not response.whole


def test_a_process_that_registers_late_joins_no_stream(unread):
    """Guards against reads that find the former entry of a process that serves."""
    nodes = unread("b", "a")
    nodes.servers[1].script = [stream_from("a")] * 10
    processes = nodes.running.context.processes
    began_at = time.monotonic()
    processes.read_at = time.monotonic
    gevent.spawn_later(HEARTBEAT_S / 2, nodes.read, i_0="b")
    response = nodes.running.call()
    assert len(versions_in(response.body)) == 1
    assert time.monotonic() - began_at < HEARTBEAT_S


def test_a_stream_goes_on_once_its_process_is_known(unread):
    """Guards against streams that are refused although no version has changed."""
    nodes = unread("a", "a")
    nodes.read_later()
    response = nodes.running.call()
    assert response.whole
    assert response.body.count(b"data") == EVENTS


@pytest.mark.parametrize(("read", "origin"), [("a", "a"), ("b", None)])
def test_owners_are_told_a_version_only_once_it_is_certain(unread, read, origin):
    """Guards against a stream that another node lets go on at the wrong version."""
    nodes = unread("a")
    gevent.spawn(nodes.running.call, request_id="q")
    gevent.sleep(0.2)
    assert nodes.origin("q") == UNCONFIRMED
    nodes.read(**({} if read == "a" else {"i_0": read}))
    gevent.sleep(0.2)
    known = AMBIGUOUS if origin is None else StreamOrigin(SERVICE, origin)
    assert nodes.origin("q") == known


def test_a_stream_that_is_taken_up_before_its_version_is_known_may_come_back(unread):
    """Guards against a guess where neither the version nor a restart is known."""
    nodes = unread("a")
    nodes.running.call(request_id="q")
    assert nodes.running.call(After="3", Resumes="q").status == 503
    nodes.read()
    gevent.sleep(0.2)
    assert nodes.running.call(After="3", Resumes="q").status == 200


def test_a_stream_goes_on_at_no_process_that_is_not_known(unread):
    """Guards against a server that was of the stream's version when it was read."""
    nodes = unread("a", "b")
    registry = nodes.running.context.registry
    restarted = registry.get("i-1").entry
    registry.drop("i-1", 0.0, after_outage=False)
    nodes.read()

    def begin(sock, received):
        nodes.read_at = time.monotonic()
        registry.put(restarted)
        registry.notify_listeners()
        nodes.read_later(i_1="b")
        return stream_from("a", breaks_after=3)(sock, received)

    nodes.servers[0].script = [begin]
    response = nodes.running.call()
    assert versions_in(response.body) == {"data: a"}


def test_a_node_with_an_old_list_of_servers_takes_no_stream_up_at_a_guess(unread):
    """Guards against a node out of step that reaches a server of another version."""
    nodes = unread("b")
    origin = StreamOrigin(SERVICE, "a")
    nodes.running.context.origin_exchange.tell(stream_key("", "q"), origin, 60.0)
    nodes.read_later(i_0="b")
    response = nodes.running.call(After="3", Resumes="q")
    assert response.status == 502
    assert versions_in(response.body) == set()


class TakenUpElsewhere:
    """A node that is told of a stream of a version of which it knows no server."""

    def __init__(self, nodes):
        self.nodes = nodes
        context = nodes.running.context
        context.resumptions.read_at = lambda: nodes.read_at
        key = stream_key("", "q")
        context.origin_exchange.tell(key, StreamOrigin(SERVICE, "b"), KEPT_S)

    def call(self):
        """Take the stream up; return the status, and how its origin was known."""
        outcomes = self.nodes.running.context.resumptions.outcomes
        before = outcomes.copy()
        status = self.nodes.running.call(After="3", Resumes="q").status
        return status, *(outcomes - before)


def test_a_stream_of_servers_that_have_not_been_read_yet_may_come_back(unread):
    """Guards against a node with an old list of servers that refuses it for good."""
    elsewhere = TakenUpElsewhere(unread("b"))
    assert elsewhere.call() == (503, "unserved")
    elsewhere.nodes.read_later(i_0="b")
    assert elsewhere.call() == (200, "kept")


def test_a_stream_whose_servers_are_gone_by_a_later_read_is_refused(unread):
    """Guards against callers that come back for a version that has left."""
    elsewhere = TakenUpElsewhere(unread("a"))
    elsewhere.nodes.read_later()
    assert elsewhere.call() == (503, "kept")


class FakeStream:
    """A connection that is open and has no unread bytes, or neither."""

    def __init__(self, *, is_open=True):
        self.is_open = is_open

    def is_idle(self):
        return self.is_open


@pytest.fixture
def processes():
    registry = ServerRegistry()
    registry.put(make_entry("i-1", incarnation=1, software_version="a"))
    found = ServerProcesses(registry, HEARTBEAT_S)
    found.read_at = lambda: 0.0
    return found


def open_link(processes, *, address="s:1", is_open=True, incarnation=1):
    entry = make_entry("i-1", incarnation=incarnation, software_version="a")
    return processes.opened("i-1", address, FakeStream(is_open=is_open), entry)


@pytest.mark.parametrize(
    ("first", "second", "is_proven"),
    [
        ({}, {}, True),
        ({"is_open": False}, {}, False),
        ({}, {"address": "s:2"}, False),
        ({}, {"incarnation": 2}, False),
        ({"address": ""}, {"address": ""}, False),
    ],
    ids=["open", "closed", "elsewhere", "restarted", "through a node"],
)
def test_an_open_connection_shows_where_a_new_one_leads(
    processes, first, second, is_proven
):
    """Guards against streams that can't go on whenever the store doesn't answer."""
    old = open_link(processes, **first)
    processes.read_at = lambda: old.opened_at + processes.registration_s
    assert processes.is_proven(old)
    new = open_link(processes, **second)
    processes.read_at = lambda: 0.0
    assert processes.is_proven(new) is is_proven


def test_a_read_that_a_server_may_have_registered_after_proves_nothing(processes):
    """Guards against a process that listens for a heartbeat before it is registered."""
    link = open_link(processes)
    processes.read_at = lambda: link.opened_at + HEARTBEAT_S
    assert not processes.is_proven(link)


def test_a_server_without_an_entry_proves_nothing(processes):
    """Guards against the process of an entry that lapsed as another one started."""
    link = open_link(processes)
    processes.registry.drop("i-1", 0.0, after_outage=False)
    processes.read_at = lambda: float("inf")
    assert not processes.is_proven(link)


@pytest.mark.parametrize(
    ("version", "unseen_s", "is_proven"),
    [("a", 1.0, True), ("a", MAX_UNSEEN_S + 0.1, False), ("b", 1.0, False)],
    ids=["same", "late", "other"],
)
def test_a_process_that_started_again_is_of_the_version_of_both_entries(
    processes, version, unseen_s, is_proven
):
    """Guards against streams that are refused after a crash, or joined unseen."""
    processes.read_at = lambda: time.monotonic() - 0.5
    link = open_link(processes)
    entry = make_entry("i-1", incarnation=2, software_version=version)
    processes.registry.put(entry)
    processes.read_at = lambda: link.read_at + unseen_s
    assert processes.is_proven(link) is is_proven
