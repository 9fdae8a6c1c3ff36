"""Streams go on only at the software version that began them."""

import logging
import random
import time
from dataclasses import replace

import pytest
from endive_core.calls import Call
from endive_core.exceptions import ErrorKind
from endive_core.messages import ServerView
from endive_core.possible_origins import MAX_STREAM_AGE_S
from endive_core.routing import RouteKind, Service, Split
from endive_core.scheduler import Scheduler
from endive_core.service_types import ServiceType
from endive_core.stream_origins import Member
from endive_gateway.placing import GATEWAY_POLICY
from gateway_builders import (
    SERVICE,
    RunningGateway,
    list_origins,
    make_route,
    make_table,
)
from server_builders import EVENTS, ScriptedServer, events, stream_from, versions_in
from store_builders import MemoryStore, store_down

RESUMABLE = {"kind": RouteKind.STREAM, "max_attempts": 4, "resumable": True}


def stream_that_breaks_twice(version):
    """Return a script entry that breaks a stream again after its fourth event."""

    def send(sock, received):
        if received.headers.get("after") == "3":
            return events(4, 4, end=False, data=version)(sock, received)
        return stream_from(version)(sock, received)

    return send


def leave(registry, server):
    """Return a script entry that breaks a stream and takes the server's entry away."""

    def send(sock, received):
        registry.drop(server.id, time.monotonic(), after_outage=False)
        registry.notify_listeners()
        return stream_from(server.software_version, breaks_after=3)(sock, received)

    return send


def servers_of(*versions):
    """Return a server for each of `versions`, whose new streams all break."""
    return [
        ScriptedServer(
            *[stream_from(version, breaks_after=3)] * 100,
            server_id=f"i-{number}",
            software_version=version,
        )
        for number, version in enumerate(versions)
    ]


def running_gateway(*versions, store=None, is_first_start=True, **route):
    """Return a gateway in front of a server for each of `versions`."""
    return RunningGateway(
        *servers_of(*versions),
        table=make_table(make_route(**(RESUMABLE | route))),
        store=store,
        is_first_start=is_first_start,
    )


def view(server_id, version, *, slots):
    view = ServerView(server_id, "", "", SERVICE, slots, 1000.0, 50.0)
    view.software_version = version
    return view


def call(*, version=None):
    return Call("q", "o", deadline=9.0, software_version=version)


def scheduler_of(servers, *, slots):
    """Return a scheduler of servers by id, each of a version."""
    scheduler = Scheduler.from_policy(
        GATEWAY_POLICY, random.Random(1), service_type=ServiceType.PLAIN
    )
    scheduler.set_servers([view(s, v, slots=slots) for s, v in servers.items()])
    for server_id in servers:
        scheduler.report(server_id, 0, 0, as_of=0.0)
    return scheduler


@pytest.mark.parametrize("versions", ["aabbbb", "abcabc", "ab"])
def test_an_answer_does_not_hold_events_of_two_software_versions(versions):
    """A stream breaks inside its answer, and servers of other versions have room."""
    with running_gateway(*versions) as running:
        for _ in range(30):
            assert len(versions_in(running.call().body)) == 1


def test_a_stream_whose_version_has_no_other_server_does_not_look_whole():
    """A server breaks a stream and leaves; only servers of other versions remain."""
    with running_gateway("a", "b", "c", "d") as running:
        registry = running.context.registry
        for server in running.servers[:3]:
            server.script = [leave(registry, server)]
        started = time.monotonic()
        for _ in running.servers[:3]:
            response = running.call()
            if response.body.count(b"data") == EVENTS:
                continue
            assert not response.whole
            assert response.body.count(b"data") == 3
    assert time.monotonic() - started < 1.0


def test_a_stream_that_its_caller_takes_up_goes_on_at_its_version():
    """A caller names the request that began its stream, at the same node."""
    with running_gateway("a", "a", "b", "b", max_attempts=1) as running:
        for number in range(30):
            began = running.call(request_id=f"began-{number}")
            resumed = running.call(After="3", Resumes=f"began-{number}")
            assert resumed.status == 200
            assert versions_in(resumed.body) == versions_in(began.body)


@pytest.mark.parametrize("resumes", ["nobody", "x" * 5000, None])
def test_a_stream_whose_beginning_nobody_knows_is_refused_among_versions(resumes):
    """It could go on at another version than the one that began it."""
    headers = {} if resumes is None else {"Resumes": resumes}
    with running_gateway("a", "a", "b", "b") as running:
        response = running.call(After="3", **headers)
    assert response.status == 503
    assert response.json["error"]["executed"] == "no"


def test_a_stream_is_not_resumed_at_another_version_after_a_rollout():
    """Nobody knows the stream, and the only version has had a predecessor."""
    with running_gateway("a", "b") as running:
        list_origins(running.context, "a", "b")
        registry = running.context.registry
        registry.drop("i-0", time.monotonic(), after_outage=False)
        registry.notify_listeners()
        assert running.call(After="3", Resumes="nobody").status == 503
        recorder = running.context.origin_recorder
        recorder.sweep()
        for entry in recorder.disuse.since:
            recorder.disuse.since[entry] -= MAX_STREAM_AGE_S
        recorder.sweep()
        assert running.call(After="3", Resumes="nobody").status == 200


@pytest.mark.parametrize("is_listed", [True, False])
def test_a_node_that_has_just_started_does_not_guess_a_version(is_listed):
    """It can't know which versions have served, unless the store keeps that."""
    store = MemoryStore()
    if is_listed:
        with running_gateway("a", "a", store=store) as running:
            running.call()
    with running_gateway("a", "a", store=store, is_first_start=False) as running:
        status = running.call(After="3", Resumes="nobody").status
    assert status == (200 if is_listed else 503)


@pytest.mark.parametrize("change", ["service", "split"])
def test_a_stream_does_not_go_on_at_another_service(change):
    """The route leads elsewhere when its caller takes the stream up again."""
    with running_gateway("a", "a", max_attempts=1) as running:
        running.call(request_id="began")
        splits = {
            "service": (Split("other", 1.0),),
            "split": (Split(SERVICE, 0.5), Split("other", 0.5)),
        }[change]
        table = make_table(make_route(**RESUMABLE, splits=splits), version=2)
        table.services["other"] = Service("other")
        running.context.configure(table, b"", "test")
        status = running.call(After="3", Resumes="began").status
        assert status == (503 if change == "service" else 200)
        list_origins(running.context, "a", service="other")
        assert running.call(After="3", Resumes="nobody").status == 503


def test_a_server_that_returns_with_another_version_does_not_go_on_with_streams():
    """A server starts again under its id and address, with other software."""
    with running_gateway("a", "b", max_attempts=1) as running:
        registry, entries = running.context.registry, {}
        for number in range(10):
            began = running.call(request_id=f"began-{number}")
            entries[number] = versions_in(began.body)
        old = registry.get("i-0").entry
        registry.put(replace(old, incarnation=1, software_version="b"))
        registry.notify_listeners()
        for number, versions in entries.items():
            response = running.call(After="3", Resumes=f"began-{number}")
            assert response.status == (503 if versions == {"data: a"} else 200)


def test_a_stream_at_a_server_that_restarts_as_it_begins_goes_on_nowhere():
    """The version that made the first event isn't known."""
    with running_gateway("a", "a") as running:
        registry = running.context.registry

        def restart(sock, received):
            for known in list(registry.servers.values()):
                registry.put(replace(known.entry, incarnation=1))
            return stream_from("a", breaks_after=3)(sock, received)

        for server in running.servers:
            server.script = [restart]
        response = running.call()
    assert not response.whole
    assert response.body.count(b"data") == 3


def test_streams_without_room_at_their_version_hold_up_no_other_call():
    """One of two servers is full of a version's streams."""
    server_set = scheduler_of({"i-a": "a", "i-b": "b"}, slots=1)
    calls = [call(version="a"), call(version="a"), call()]
    tickets = [server_set.offer(c, 0.0) for c in calls]
    dispatched = []
    while (dispatch := server_set.next_dispatch(0.0)) is not None:
        dispatched.append((dispatch.ticket, dispatch.server))
    assert dispatched == [(tickets[0], "i-a"), (tickets[2], "i-b")]
    server_set.finished(tickets[0], 1.0)
    assert server_set.next_dispatch(1.0).ticket is tickets[1]


def test_a_queued_stream_is_refused_as_soon_as_its_version_is_gone():
    """Its caller can begin anew, and must not wait for its deadline."""
    scheduler = scheduler_of({"i-a": "a", "i-b": "b"}, slots=1)
    tickets = [scheduler.offer(call(version="a"), 0.0) for _ in range(2)]
    assert scheduler.next_dispatch(0.0).ticket is tickets[0]
    assert scheduler.next_dispatch(0.0) is None
    scheduler.set_servers([view("i-b", "b", slots=1)])
    scheduler.next_dispatch(0.1)
    assert scheduler.take_expired() == [tickets[1]]
    assert tickets[1].refusal.kind is ErrorKind.STREAM_NOT_RESUMABLE
    refused = scheduler.offer(call(version="a"), 0.2)
    assert refused.kind is ErrorKind.STREAM_NOT_RESUMABLE


@pytest.mark.parametrize("resumes", ["nobody", None])
def test_a_node_that_hears_from_no_owner_does_not_guess_a_version(resumes):
    """Cut off from the other nodes and the store, it may not know of a version that
    has begun, although it knows the list of before."""
    headers = {} if resumes is None else {"Resumes": resumes}
    store = MemoryStore()
    with running_gateway("a", "a", store=store) as running:
        running.call()
        store.fault = store_down
        exchange = running.context.origin_exchange
        exchange.live_members = lambda: {"127.0.0.9": Member("y", 1)}
        exchange.datagrams.send = lambda message, addresses: None
        started = time.monotonic()
        assert running.call(After="3", **headers).status == 503
        assert time.monotonic() - started < 0.5


@pytest.mark.parametrize("versions", ["aabb", "aa"])
def test_a_stream_whose_beginning_cannot_be_recorded_lacks_no_event(versions):
    """The events of an attempt that was given up for that counted as sent, so that the
    next one went on after them."""
    store = MemoryStore()
    store.fault = store_down
    with running_gateway(*versions, store=store) as running:
        for server in running.servers:
            server.script = [stream_from(server.software_version)] * 100
        calls = iter(range(100))

        def recover(_name):
            if next(calls) < 3:
                store_down(_name)

        store.fault = recover
        response = running.call()
    assert response.status == 200
    assert response.body.count(b"data") == EVENTS


@pytest.mark.parametrize("named", ["first", "last"])
def test_a_caller_may_name_its_first_try_or_the_last_one(named):
    """It takes a stream up twice, and both tries brought events."""
    with running_gateway("a", "a", "b", "b", max_attempts=1) as running:
        began = running.call(request_id="first")
        for server in running.servers:
            server.script = [stream_that_breaks_twice(server.software_version)] * 100
        running.call(request_id="last", After="3", Resumes="first")
        resumed = running.call(After="4", Resumes=named)
    assert resumed.status == 200
    assert versions_in(resumed.body) == versions_in(began.body)


def test_streams_begun_before_a_restart_was_known_go_on_nowhere():
    """A server started again under its id with other software, and answered before
    its new entry was known."""
    with running_gateway("a", "a", max_attempts=1) as running:
        registry = running.context.registry
        for number in range(10):
            running.call(request_id=f"began-{number}")
        served = {
            server.id: {received.headers["id"] for received in server.received}
            for server in running.servers
        }
        old = registry.get("i-0").entry
        registry.put(replace(old, incarnation=1, software_version="b"))
        registry.notify_listeners()
        for number in range(10):
            response = running.call(After="3", Resumes=f"began-{number}")
            was_there = f"began-{number}" in served["i-0"]
            assert response.status == (503 if was_there else 200)


def test_the_log_tells_at_which_versions_a_stream_was_served(caplog):
    with caplog.at_level(logging.INFO), running_gateway("a", "a") as running:
        running.call(request_id="q")
    line = next(line for line in caplog.messages if "event=request " in line)
    assert "versions=a@0,a@3" in line
