import time
from types import SimpleNamespace

import gevent
import msgspec
import pytest
from endive_core.limit_coordination import GRANT_TIMEOUT_S, coordinator_for
from endive_core.routing import OrganisationLimits
from endive_gateway import spending
from endive_gateway.spending import (
    DECODER,
    Ask,
    Grant,
    Notes,
    Spending,
    SpendingNotes,
)
from gateway_builders import make_context, make_route, make_table

TERMS = OrganisationLimits("o", rate=100.0, burst=100.0)
OTHERS = ("127.0.0.2", "127.0.0.3", "127.0.0.4")


class Recorded(SpendingNotes):
    """Keeps what would be sent."""

    def __init__(self, context, others):
        super().__init__(context, others, lambda: 7)
        self.sent = []

    def _send(self, message, addresses):
        self.sent.append((message.entries, addresses))


def make_notes(address, others=OTHERS):
    table = make_table(
        make_route(public=False), organisations={"o": TERMS}, keys={"k": "o"}
    )
    context = make_context(table)
    notes = Recorded(context, lambda: list(others))
    notes.address = address
    return notes


def counting_one(addresses):
    return coordinator_for("o", addresses)


def spend(notes, units):
    limits = notes.context.limits
    limits.spend("o", units)
    notes.spent("o", units)


@pytest.fixture
def counter():
    """The notes of the node that adds up, and the other nodes' addresses."""
    nodes = ["127.0.0.1", *OTHERS]
    address = counting_one(nodes)
    nodes.remove(address)
    return make_notes(address, nodes)


def entry(address, units, *, tellings=1, incarnation=3):
    return Spending(address, incarnation, tellings, 0.5, "o", units)


def test_entries_come_back_from_their_bytes_and_many_fit_one_frame():
    entries = [entry(f"10.200.100.{n}", 123456.789) for n in range(20)]
    data = msgspec.msgpack.encode(Notes(entries))
    assert DECODER.decode(data) == Notes(entries)
    assert len(data) < 1400


def test_each_request_is_told_to_the_node_that_adds_up():
    nodes = ["127.0.0.1", *OTHERS]
    address = counting_one(nodes)
    teller = next(node for node in nodes if node != address)
    notes = make_notes(teller, [node for node in nodes if node != teller])
    spend(notes, 10.0)
    spend(notes, 5.0)
    assert [(e.units, e.tellings, to) for (e,), to in notes.sent] == [
        (10.0, 7, [address]),
        (15.0, 7, [address]),
    ]


def test_the_node_that_adds_up_tells_all_when_little_is_left(counter):
    """An organisation floods all nodes, and each sees only its own part. The one that
    sees the whole tells them before they have let through a limit each."""
    counter.context.limits.left("o", 1e9, rate=100.0, burst=100.0)
    spender, other = counter.others()[:2]
    counter.receive([entry(spender, 30.0)])
    assert not counter.sent
    counter.receive([entry(other, 30.0)])
    ((entries, addresses),) = counter.sent
    assert {(e.address, e.units) for e in entries} == {(spender, 30.0), (other, 30.0)}
    assert sorted(addresses) == sorted(counter.others())


def test_what_others_are_told_is_counted_once_and_not_passed_on():
    nodes = ["127.0.0.1", *OTHERS]
    address = counting_one(nodes)
    listener = next(node for node in nodes if node != address)
    notes = make_notes(listener, [node for node in nodes if node != listener])
    for _ in range(2):
        notes.receive([entry(address, 150.0), entry(listener, 9e9)])
    limits = notes.context.limits
    assert limits.allowances["o"].units == -150.0
    assert not notes.sent


def test_a_node_that_left_is_not_told_of(counter):
    """The spender stops between its note and the moment at which all are told."""
    counter.context.limits.left("o", 1e9, rate=100.0, burst=100.0)
    spender = counter.others()[0]
    counter.receive([entry(spender, 45.0)])
    counter.context.limits.remove_peer(spender)
    spend(counter, 40.0)
    ((entries, _),) = counter.sent
    assert [e.address for e in entries] == [counter.address]


def test_notes_go_over_the_network_and_rubbish_is_dropped():
    context = make_context(make_table())
    notes = SpendingNotes(context, list, lambda: 1)
    notes.start(47_811)
    notes._send(Notes([entry("127.0.0.9", 12.0)]), ["127.0.0.1"])
    notes.datagrams.socket.sendto(b"\xc1rubbish", ("127.0.0.1", 47_811))
    notes._send(Notes([entry("127.0.0.9", 13.0)]), ["127.0.0.1"])
    gevent.sleep(0.05)
    notes.stop()
    assert context.limits.peers["127.0.0.9"].spent == {"o": 13.0}


def test_an_organisation_without_terms_is_only_added_up(counter):
    """An organisation is taken away while its last requests are admitted."""
    nodes = [counter.address, *counter.others()]
    names = (f"gone-{n}" for n in range(100))
    gone = next(n for n in names if coordinator_for(n, nodes) == counter.address)
    counter.context.limits.spend(gone, 5.0)
    counter.spent(gone, 5.0)
    assert counter.count.unsent[gone] == {counter.address: 5.0}
    assert not counter.sent


MANY = [f"127.0.1.{n}" for n in range(30)]


class Joined(SpendingNotes):
    """Hands what it sends to the others in the same process, at once.

    Attributes
    ----------
    dead : set of str
        Addresses that answer nothing.
    """

    def __init__(self, address, fleet, dead):
        table = make_table(
            make_route(public=False), organisations={"o": TERMS}, keys={"k": "o"}
        )
        context = make_context(table)
        others = [other for other in MANY if other != address]
        super().__init__(context, lambda: others, lambda: 7)
        self.address = address
        self.fleet = fleet
        self.dead = dead
        for other in others:
            context.limits.add_peer(other, context.started_at)

    def _send(self, message, addresses):
        copy = DECODER.decode(msgspec.msgpack.encode(message))
        for address in addresses:
            if address not in self.dead:
                gevent.spawn(self.fleet[address].take_message, copy, self.address)


@pytest.fixture
def fleet():
    dead, made = set(), {}
    for address in MANY:
        made[address] = Joined(address, made, dead)
    return made


def asker_of(fleet):
    """Return the notes of a node that is neither the first nor second to add up."""
    first = counting_one(MANY)
    second = counting_one([node for node in MANY if node != first])
    return next(notes for a, notes in fleet.items() if a not in (first, second))


def ask_all_at_once(fleet):
    """Let all but the node that adds up ask for 60 units; return nodes and waits."""
    nodes = [notes for a, notes in fleet.items() if a != counting_one(MANY)]
    takes = [gevent.spawn(notes.take, TERMS, 60.0) for notes in nodes]
    return nodes, takes


@pytest.fixture
def stopped_clock(monkeypatch):
    """No time passes for the limits, however long the machine holds this process up.

    In 0.2 s the limit of these tests gains 20 units, and a third request may come.
    """
    now = time.monotonic()
    monkeypatch.setattr(spending, "time", SimpleNamespace(monotonic=lambda: now))


def waits_of(takes):
    gevent.joinall(takes, timeout=2.0)
    return [take.value for take in takes]


def assert_two_pass(nodes, waits):
    assert waits.count(0.0) == 2
    assert all(0.0 < wait < 1.0 for wait in waits if wait)
    spent = [notes.context.limits.own_totals().get("o", 0.0) for notes in nodes]
    assert sorted(spent)[-3:] == [0.0, 60.0, 60.0]


@pytest.mark.usefixtures("stopped_clock")
def test_among_many_nodes_more_than_the_even_part_is_asked_for(fleet, monkeypatch):
    """Thirty nodes believe that 100 units are left. Each could let through a request of
    60 units before it has heard of another's, 1,800 units together; the first that asks
    gets it, as a limit may go below zero by one, and all others are told when to come
    back."""
    # Nobody is late here, however long the machine holds this process up.
    monkeypatch.setattr(spending, "GRANT_TIMEOUT_S", 1.5)
    nodes, takes = ask_all_at_once(fleet)
    assert_two_pass(nodes, waits_of(takes))


@pytest.mark.usefixtures("stopped_clock")
def test_among_many_nodes_no_more_passes_where_each_datagram_is_slow(
    fleet, monkeypatch
):
    """Each datagram takes the machine 10 ms to send, so the last node is answered after
    the first has long spent. Nobody gets more for that."""
    monkeypatch.setattr(spending, "GRANT_TIMEOUT_S", 1.5)
    send = Joined._send

    def send_slowly(notes, message, addresses):
        time.sleep(0.01)
        send(notes, message, addresses)

    monkeypatch.setattr(Joined, "_send", send_slowly)
    nodes, takes = ask_all_at_once(fleet)
    assert_two_pass(nodes, waits_of(takes))


@pytest.mark.usefixtures("stopped_clock")
def test_among_many_nodes_no_more_passes_where_all_answers_are_late(fleet):
    """The machine holds all nodes up for longer than an answer is waited for. A second
    node adds up then; still no more than two requests pass before all have heard."""
    nodes, takes = ask_all_at_once(fleet)
    gevent.spawn(time.sleep, 1.5 * GRANT_TIMEOUT_S)
    waits = waits_of(takes)
    assert waits.count(0.0) <= 2
    assert all(0.0 < wait < 1.0 for wait in waits if wait)
    spent = [notes.context.limits.own_totals().get("o", 0.0) for notes in nodes]
    assert sum(spent) <= 120.0


def test_the_even_part_needs_no_answer(fleet):
    notes = asker_of(fleet)
    assert notes.take(TERMS, 3.0) == 0.0
    assert notes.asked == 0


def test_another_node_is_asked_when_the_first_is_silent(fleet):
    """The node that adds up was killed. Asked in vain by each request until it is no
    longer listed, its organisations' callers would be refused for three seconds."""
    asker = asker_of(fleet)
    asker.dead.add(counting_one(MANY))
    assert asker.take(TERMS, 60.0) == 0.0
    assert asker.asked == 2
    assert asker.take(TERMS, 30.0) == 0.0
    assert asker.asked == 3


def test_nothing_is_spent_unheard_when_nobody_answers(fleet):
    """A node that is cut off from the others would go on as if all of the allowance
    were its own, as would each of the others."""
    asker = asker_of(fleet)
    asker.dead.update(MANY)
    assert asker.take(TERMS, 60.0) > 0.0
    assert asker.context.limits.own_totals().get("o", 0.0) == 0.0
    assert not asker.answers


def test_a_node_unknown_for_long_gets_no_grant(fleet):
    """How much an old node has spent before it was heard isn't known, so what it asks
    for can't be told from what it has spent."""
    counter = fleet[counting_one(MANY)]
    total = Spending("127.0.9.9", 3, 5000, 3600.0, "o", 1e6)
    counter.answer(Ask(1, total))
    assert counter.context.limits.own_totals().get("o", 0.0) == 0.0
    assert "127.0.9.9" not in counter.context.limits.peers


def test_an_answer_that_comes_too_late_changes_nothing(fleet):
    asker = asker_of(fleet)
    asker.take_message(Grant(99, 0.0), "127.0.1.0")
    assert asker.context.limits.own_totals().get("o", 0.0) == 0.0
