"""Turns of the event loop, and loops that read whatever always has bytes."""

import time
from collections import Counter

import gevent
import msgspec
import pytest
from endive_gateway import turns
from endive_gateway.datagrams import DatagramPort
from endive_gateway.transit_port import _pass_bytes, _pass_requests_on
from ticks import MAX_GAP_S, largest_gap_s, work

WORK_S = 0.004
MAX_READ_S = 1.0
KIND = turns.WorkKind.CALLERS


class AlwaysReady:
    """A connection that has bytes to read for a second, and takes all it is sent."""

    def __init__(self, data=b"x"):
        self.data = data
        self.ends_s = time.process_time() + MAX_READ_S

    def recv(self, _size):
        work(WORK_S)
        return self.data if time.process_time() < self.ends_s else b""

    def recvfrom(self, _size):
        if time.process_time() > self.ends_s:
            gevent.sleep(60)
        return self.data, ("127.0.0.1", 1)

    def sendall(self, _data):
        pass

    def close(self):
        pass


class Silent(AlwaysReady):
    """A connection on which nothing comes."""

    def recv(self, _size):
        gevent.sleep(60)


@pytest.mark.parametrize(
    ("reader", "kinds"),
    [(_pass_bytes, (Silent, AlwaysReady)), (_pass_requests_on, (AlwaysReady, Silent))],
    ids=["from a server", "to a server"],
)
def test_a_carried_connection_holds_up_no_other(reader, kinds):
    """A node that carries another one's connection passed its bytes on only."""
    assert largest_gap_s(reader, *(kind() for kind in kinds)) < MAX_GAP_S


def test_messages_without_end_hold_up_nothing(monkeypatch):
    """The loop received batch after batch of other nodes' messages, and polled not."""
    handled = []

    def handle(message, _source):
        handled.append(message)
        work(WORK_S / 64)

    port = DatagramPort("test", msgspec.msgpack.Decoder(), handle)
    port.socket = AlwaysReady(msgspec.msgpack.encode(1))
    port.socket.fileno = lambda: 0
    monkeypatch.setattr("endive_gateway.datagrams.wait_read", lambda _fileno: None)
    assert largest_gap_s(port._receive_all) < MAX_GAP_S
    assert len(handled) > 64


def test_greenlets_that_always_have_work_get_equal_parts_of_it():
    """One of them could keep the others from any."""
    done = Counter(dict.fromkeys("abcdef", 0))
    differences = []

    def always(name):
        worker = turns.Worker(name, KIND)
        for _ in range(10):
            worker.checkpoint()
            work(2 * turns.MAX_TURN_S)
            done[name] += 1
            differences.append(max(done.values()) - min(done.values()))

    gevent.joinall([gevent.spawn(always, name) for name in done], raise_error=True)
    assert max(differences) <= 2


def test_a_kind_of_work_does_not_wait_for_another_one():
    """Callers that sent much kept a node from accepting others for seconds."""
    done = Counter()

    def always(kind):
        worker = turns.Worker(kind, kind)
        while True:
            worker.checkpoint()
            work(turns.MAX_TURN_S)
            done[kind] += 1

    callers, accepting = turns.WorkKind.CALLERS, turns.WorkKind.ACCEPTING
    greenlets = [gevent.spawn(always, callers) for _ in range(40)]
    while done[callers] < len(greenlets):
        gevent.sleep(turns.MAX_TURN_S)
    before = done[callers]
    greenlets.append(gevent.spawn(always, accepting))
    while done[accepting] < 20:
        gevent.sleep(turns.MAX_TURN_S)
    gevent.killall(greenlets)
    assert done[callers] - before <= 2 * done[accepting]


def test_a_greenlet_that_is_killed_while_it_waits_is_forgotten():
    """A waiter that is gone would be switched to in place of a living one."""
    scheduler = turns.turn_scheduler()

    def always():
        worker = turns.Worker("w", KIND)
        while True:
            worker.checkpoint()
            work(turns.MAX_TURN_S)

    greenlets = [gevent.spawn(always) for _ in range(4)]
    gevent.sleep(4 * turns.MAX_TURN_S)
    gevent.killall(greenlets)
    assert not scheduler.waiting
    turns.end_turn(KIND)


def test_a_long_turn_is_logged_with_who_worked(caplog):
    """No log or metric told what had held up a slow request."""
    scheduler = turns.turn_scheduler()
    turns.end_turn(KIND)  # may log a turn that another test began
    scheduler.next_log_at = 0.0
    caplog.clear()
    worker = turns.Worker("server i-1", KIND)
    worker.checkpoint()
    work(2 * turns.SLOW_TURN_S)
    worker.checkpoint()
    turns.end_turn(KIND)
    line = next(m for m in caplog.messages if "event=slow_turn" in m)
    assert 'longest="server i-1"' in line
