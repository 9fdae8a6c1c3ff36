import time
from types import SimpleNamespace

import gevent
import msgspec
import pytest
from endive_core.limit_coordination import GRANT_TIMEOUT_S, coordinator_for
from endive_core.routing import OrganisationLimits
from endive_core.shared_limits import Allowance, SharedLimits
from endive_gateway import spending
from endive_gateway.spending import (
    DECODER,
    GrantDeclined,
    GrantReply,
    GrantRequest,
    NodeSpending,
    SpendingExchange,
    SpendingReport,
    UnitsLeft,
)
from gateway_builders import make_context, make_route, make_table
from gevent.event import Event

TERMS = OrganisationLimits("o", rate=100.0, burst=100.0)
OTHERS = ("127.0.0.2", "127.0.0.3", "127.0.0.4")


class RecordingExchange(SpendingExchange):
    """Records what would be sent."""

    def __init__(self, context, peer_addresses):
        super().__init__(context, peer_addresses, lambda: 7)
        self.sent = []

    def _send(self, message, addresses):
        self.sent.append((message, addresses))


def make_exchange(address, peer_addresses=OTHERS):
    table = make_table(
        make_route(public=False), organisations={"o": TERMS}, keys={"k": "o"}
    )
    context = make_context(table)
    exchange = RecordingExchange(context, lambda: list(peer_addresses))
    exchange.address = address
    return exchange


def coordinator_address(addresses):
    return coordinator_for("o", addresses)


def spend(exchange, units):
    limits = exchange.context.limits
    limits.spend("o", units)
    exchange.report_spent("o", units)


@pytest.fixture
def coordinator():
    """The exchange of the coordinator, which knows the other nodes' addresses."""
    nodes = ["127.0.0.1", *OTHERS]
    address = coordinator_address(nodes)
    nodes.remove(address)
    return make_exchange(address, nodes)


def entry(address, units, *, messages_sent=1, incarnation=3):
    return NodeSpending(address, incarnation, messages_sent, 0.5, "o", units)


def test_entries_survive_encoding_and_many_fit_one_frame():
    entries = [entry(f"10.200.100.{n}", 123456.789) for n in range(20)]
    data = msgspec.msgpack.encode(SpendingReport(entries))
    assert DECODER.decode(data) == SpendingReport(entries)
    assert len(data) < 1400


def test_spending_is_reported_to_the_coordinator():
    nodes = ["127.0.0.1", *OTHERS]
    address = coordinator_address(nodes)
    reporter = next(node for node in nodes if node != address)
    exchange = make_exchange(reporter, [node for node in nodes if node != reporter])
    spend(exchange, 10.0)
    spend(exchange, 5.0)
    sent = [(*message.entries, to) for message, to in exchange.sent]
    assert [(e.units, e.messages_sent, to) for e, to in sent] == [
        (10.0, 7, [address]),
        (15.0, 7, [address]),
    ]


def test_the_coordinator_informs_all_when_little_is_left(coordinator):
    """An organisation sends far more than its limit to all nodes, and each sees only
    its own part. The coordinator informs them before each has admitted a whole
    limit."""
    coordinator.context.limits.left("o", 1e9, rate=100.0, burst=100.0)
    origin, other = coordinator.peer_addresses()[:2]
    coordinator.receive_report([entry(origin, 30.0)])
    assert not coordinator.sent
    coordinator.receive_report([entry(other, 30.0)])
    ((message, addresses),) = coordinator.sent
    assert message.organisation == "o"
    assert message.units == pytest.approx(40.0, abs=5.0)
    assert sorted(addresses) == sorted(coordinator.peer_addresses())


def test_what_the_coordinator_sends_does_not_grow_with_the_nodes():
    """Guards against a coordinator whose link is full of what it tells the others, so
    that its replies come too late and a flooded organisation is refused below its
    limit."""
    sizes = []
    for nodes in (30, 375):
        addresses = [f"10.0.{n // 250}.{n % 250}" for n in range(nodes)]
        address = coordinator_address(addresses)
        addresses.remove(address)
        exchange = make_exchange(address, addresses)
        now = time.monotonic()
        exchange.context.limits.credit_since = now - 10.0
        exchange.context.limits.left("o", now, rate=100.0, burst=100.0)
        exchange.receive_report([entry(other, 15.0 / nodes) for other in addresses])
        exchange.receive_report([entry(addresses[0], 60.0)])
        sizes.append(max(len(msgspec.msgpack.encode(m)) for m, _ in exchange.sent))
        assert len(exchange.sent) <= 3
    assert max(sizes) < 100


def test_no_time_is_credited_twice_if_it_is_read_out_of_order():
    """Guards against limits that are exceeded: the entries of a report are applied with
    the time of its arrival, and what is left is looked up in between."""
    allowance = Allowance()
    for now in (1.0, 0.9, 1.0, 0.9, 1.0):
        allowance.refill(now, rate=100.0, burst=1000.0)
    assert allowance.units == 100.0


def test_reported_spending_is_not_deducted_a_second_time():
    """Guards against refusals below the limit: a node hears from the coordinator what
    is left, and then from the others what they have spent."""
    exchange = make_exchange("127.0.0.1")
    exchange.context.limits.left("o", time.monotonic(), rate=100.0, burst=100.0)
    exchange.handle_message(UnitsLeft("o", 40.0), OTHERS[0])
    exchange.receive_report([entry(OTHERS[0], 35.0), entry(OTHERS[1], 30.0)])
    assert exchange.context.limits.allowances["o"].units == pytest.approx(35.0, abs=5.0)


def test_spending_that_nobody_reports_is_deducted_again_after_a_while():
    """Guards against a node that ignores others' spending for good, because a node
    ended before it reported what the coordinator had counted."""
    allowance = Allowance(units=100.0)
    allowance.lower(40.0, until=1.0)
    allowance.charge(10.0, now=0.5)
    assert allowance.units == 40.0
    allowance.charge(10.0, now=1.5)
    assert allowance.units == 30.0


def test_units_left_raise_nothing_and_leave_out_what_is_requested():
    """Guards against a granted request that is deducted twice."""
    exchange = make_exchange("127.0.0.1")
    exchange.context.limits.left("o", time.monotonic(), rate=100.0, burst=100.0)
    exchange.requested_units["o"] = 60.0
    exchange.handle_message(UnitsLeft("o", 40.0), OTHERS[0])
    exchange.handle_message(UnitsLeft("o", 1e9), OTHERS[0])
    assert exchange.context.limits.allowances["o"].units == pytest.approx(100, abs=5)


def test_a_repeated_report_is_applied_once_and_not_relayed():
    nodes = ["127.0.0.1", *OTHERS]
    address = coordinator_address(nodes)
    listener = next(node for node in nodes if node != address)
    exchange = make_exchange(listener, [node for node in nodes if node != listener])
    for _ in range(2):
        exchange.receive_report([entry(address, 150.0), entry(listener, 9e9)])
    limits = exchange.context.limits
    assert limits.allowances["o"].units == TERMS.burst - 150.0
    assert not exchange.sent


def test_a_node_that_left_does_not_end_what_the_coordinator_tells(coordinator):
    """The spending node stops between its report and the message to all nodes."""
    coordinator.context.limits.left("o", 1e9, rate=100.0, burst=100.0)
    origin = coordinator.peer_addresses()[0]
    coordinator.receive_report([entry(origin, 45.0)])
    coordinator.context.limits.remove_peer(origin)
    spend(coordinator, 40.0)
    ((message, _),) = coordinator.sent
    assert message.units == pytest.approx(15.0, abs=5.0)


def test_reports_go_over_the_network_and_invalid_data_is_dropped():
    context = make_context(make_table())
    exchange = SpendingExchange(context, list, lambda: 1)
    exchange.start(47_811)
    exchange._send(SpendingReport([entry("127.0.0.9", 12.0)]), ["127.0.0.1"])
    exchange.datagrams.socket.sendto(b"\xc1rubbish", ("127.0.0.1", 47_811))
    exchange._send(SpendingReport([entry("127.0.0.9", 13.0)]), ["127.0.0.1"])
    gevent.sleep(0.05)
    exchange.stop()
    assert context.limits.peers["127.0.0.9"].spent == {"o": 13.0}


def test_spending_without_terms_is_counted_but_not_reported(coordinator):
    """An organisation is removed while its last requests are admitted."""
    nodes = [coordinator.address, *coordinator.peer_addresses()]
    names = (f"gone-{n}" for n in range(100))
    gone = next(n for n in names if coordinator_for(n, nodes) == coordinator.address)
    coordinator.context.limits.spend(gone, 5.0)
    coordinator.report_spent(gone, 5.0)
    assert coordinator.unsent_spending.unsent[gone] == {coordinator.address: 5.0}
    assert not coordinator.sent


MANY_ADDRESSES = [f"127.0.1.{n}" for n in range(30)]


class ConnectedExchange(SpendingExchange):
    """Delivers what it sends to exchanges in the same process, at once.

    Attributes
    ----------
    dead : set of str
        Addresses that receive nothing and so never reply.
    """

    def __init__(self, address, fleet, dead):
        table = make_table(
            make_route(public=False), organisations={"o": TERMS}, keys={"k": "o"}
        )
        context = make_context(table)
        peer_addresses = [other for other in MANY_ADDRESSES if other != address]
        super().__init__(context, lambda: peer_addresses, lambda: 7)
        self.address = address
        self.fleet = fleet
        self.dead = dead
        for other in peer_addresses:
            context.limits.add_peer(other, context.started_at)

    def _send(self, message, addresses):
        copy = DECODER.decode(msgspec.msgpack.encode(message))
        for address in addresses:
            if address not in self.dead:
                gevent.spawn(self.fleet[address].handle_message, copy, self.address)


@pytest.fixture
def fleet():
    dead, made = set(), {}
    for address in MANY_ADDRESSES:
        made[address] = ConnectedExchange(address, made, dead)
    return made


def requesting_node(fleet):
    """Return the exchange of a node that is neither coordinator nor its replacement."""
    first = coordinator_address(MANY_ADDRESSES)
    second = coordinator_address([node for node in MANY_ADDRESSES if node != first])
    return next(exchange for a, exchange in fleet.items() if a not in (first, second))


def request_all_at_once(fleet):
    """Let all but the coordinator request 60 units; return nodes and greenlets."""
    nodes = [
        exchange
        for a, exchange in fleet.items()
        if a != coordinator_address(MANY_ADDRESSES)
    ]
    greenlets = [gevent.spawn(exchange.try_spend, TERMS, 60.0) for exchange in nodes]
    return nodes, greenlets


@pytest.fixture
def stopped_clock(monkeypatch):
    """No time passes for the limits, however long the machine delays this process.

    In 0.2 s the limit of these tests gains 20 units, which admits a third request.
    """
    now = time.monotonic()
    monkeypatch.setattr(spending, "time", SimpleNamespace(monotonic=lambda: now))


def waits_of(greenlets):
    gevent.joinall(greenlets, timeout=2.0)
    return [greenlet.value for greenlet in greenlets]


def assert_two_pass(nodes, waits):
    assert waits.count(0.0) == 2
    assert all(0.0 < wait < 1.0 for wait in waits if wait)
    spent = [exchange.context.limits.own_totals().get("o", 0.0) for exchange in nodes]
    assert sorted(spent)[-3:] == [0.0, 60.0, 60.0]


@pytest.mark.usefixtures("stopped_clock")
def test_in_a_large_fleet_a_grant_is_needed_beyond_the_even_part(fleet, monkeypatch):
    """Thirty nodes know that 100 units are left. Without grants each could admit a
    request of 60 units before it learns of another's, 1,800 units together. Two are
    admitted, since a limit may go below zero by one request, and the others are refused
    with the time to wait."""
    # No reply is late here, however long the machine delays this process.
    monkeypatch.setattr(spending, "GRANT_TIMEOUT_S", 1.5)
    nodes, greenlets = request_all_at_once(fleet)
    assert_two_pass(nodes, waits_of(greenlets))


@pytest.mark.usefixtures("stopped_clock")
def test_slow_datagrams_do_not_let_more_requests_pass(fleet, monkeypatch):
    """Each datagram takes 10 ms to send, so the last node gets its reply long after the
    first has spent. No more requests are admitted because of that."""
    monkeypatch.setattr(spending, "GRANT_TIMEOUT_S", 1.5)
    send = ConnectedExchange._send

    def send_slowly(exchange, message, addresses):
        time.sleep(0.01)
        send(exchange, message, addresses)

    monkeypatch.setattr(ConnectedExchange, "_send", send_slowly)
    nodes, greenlets = request_all_at_once(fleet)
    assert_two_pass(nodes, waits_of(greenlets))


@pytest.mark.usefixtures("stopped_clock")
def test_late_replies_do_not_let_more_requests_pass(fleet):
    """The machine delays all nodes for longer than they wait for a reply. A second node
    is then coordinator; still no more than two requests are admitted before all nodes
    know."""
    nodes, greenlets = request_all_at_once(fleet)
    gevent.spawn(time.sleep, 1.5 * GRANT_TIMEOUT_S)
    waits = waits_of(greenlets)
    assert waits.count(0.0) <= 2
    assert all(0.0 < wait < 1.0 for wait in waits if wait)
    spent = [exchange.context.limits.own_totals().get("o", 0.0) for exchange in nodes]
    assert sum(spent) <= 120.0


def test_the_even_part_needs_no_grant(fleet):
    exchange = requesting_node(fleet)
    assert exchange.try_spend(TERMS, 3.0) == 0.0
    assert exchange.requests_sent == 0


def test_another_node_is_asked_when_the_first_does_not_reply(fleet):
    """The coordinator was killed. If each request asked it until it no longer counts
    as live, its organisations' callers would be refused for three seconds."""
    requester = requesting_node(fleet)
    requester.dead.add(coordinator_address(MANY_ADDRESSES))
    assert requester.try_spend(TERMS, 60.0) == 0.0
    assert requester.requests_sent == 2
    assert requester.try_spend(TERMS, 30.0) == 0.0
    assert requester.requests_sent == 3


def test_nothing_is_spent_without_a_reply(fleet):
    """Otherwise a node that is disconnected from the others would spend the whole
    allowance, as would each of the others."""
    requester = requesting_node(fleet)
    requester.dead.update(MANY_ADDRESSES)
    assert requester.try_spend(TERMS, 60.0) > 0.0
    assert requester.context.limits.own_totals().get("o", 0.0) == 0.0
    assert not requester.pending_replies


def test_an_old_node_of_unknown_spending_is_declined(fleet, monkeypatch):
    """What a long-running node had spent before its first message is unknown, so what
    it requests can't be distinguished from what it has spent."""
    coordinator = fleet[coordinator_address(MANY_ADDRESSES)]
    sent = []
    monkeypatch.setattr(coordinator, "_send", lambda *message: sent.append(message))
    total = NodeSpending("127.0.9.9", 3, 5000, 3600.0, "o", 1e6)
    coordinator.grant(GrantRequest(1, total))
    assert sent == [(GrantDeclined(1), ["127.0.9.9"])]
    assert coordinator.context.limits.own_totals().get("o", 0.0) == 0.0
    assert "127.0.9.9" not in coordinator.context.limits.peers


def restart(exchange, requester):
    """Let a node have just started among others that have run for an hour."""
    requester.context.started_at -= 3600.0
    origin = requester._own_entry("o").origin
    for other in exchange.fleet.values():
        other.context.limits.receive(origin, {"o": 0.0}, time.monotonic())
    exchange.context.limits = SharedLimits(exchange.context.started_at)


@pytest.mark.usefixtures("simulated_clock")
@pytest.mark.parametrize("cause", ["unknown spending", "no configuration"])
def test_a_coordinator_that_has_just_started_delays_no_request(fleet, cause):
    """Nodes are stopped and started in turn. For two seconds after its start one of 195
    nodes doesn't know what the others have spent. If it didn't reply, each of them
    would wait 0.1 s, and many refuse a caller within its limit."""
    requester = requesting_node(fleet)
    coordinator = fleet[coordinator_address(MANY_ADDRESSES)]
    if cause == "no configuration":
        coordinator.context.table = None
    else:
        restart(coordinator, requester)
    started = time.monotonic()
    assert requester.try_spend(TERMS, 60.0) == 0.0
    assert time.monotonic() - started < GRANT_TIMEOUT_S
    assert requester.requests_sent == 2


def test_several_coordinators_may_decline(fleet):
    """Many nodes start at once, among others that were not killed."""
    requester = requesting_node(fleet)
    left = [node for node in MANY_ADDRESSES if node != requester.address]
    for _ in range(4):
        first = coordinator_address([requester.address, *left])
        left.remove(first)
        fleet[first].context.table = None
    assert requester.try_spend(TERMS, 60.0) == 0.0


def test_declining_is_not_taken_for_a_grant(fleet):
    """If all coordinators decline, nothing may be spent."""
    requester = requesting_node(fleet)
    for exchange in fleet.values():
        exchange.context.table = None
    assert requester.try_spend(TERMS, 60.0) > 0.0
    assert requester.context.limits.own_totals().get("o", 0.0) == 0.0
    assert not requester.pending_replies


def test_a_late_reply_changes_nothing(fleet):
    requester = requesting_node(fleet)
    requester.handle_message(GrantReply(99, 0.0), "127.0.1.0")
    assert requester.context.limits.own_totals().get("o", 0.0) == 0.0


def test_nodes_that_know_different_parts_of_the_fleet_get_one_allowance(
    fleet, monkeypatch
):
    """Thirty nodes have just started, and half of them have not heard of the
    coordinator. If they chose another one, two nodes would grant 100 units each."""
    now = time.monotonic()
    monkeypatch.setattr(
        spending, "time", SimpleNamespace(monotonic=lambda: now, time=time.time)
    )
    monkeypatch.setattr(spending, "GRANT_TIMEOUT_S", 1.5)
    coordinator = coordinator_address(MANY_ADDRESSES)
    unaware = [a for a in MANY_ADDRESSES if a != coordinator][::2]
    second = coordinator_address([a for a in MANY_ADDRESSES if a != coordinator])
    for address in unaware:
        if address == second:
            continue
        others = [a for a in MANY_ADDRESSES if a not in (address, coordinator)]
        fleet[address].peer_addresses = lambda others=others: others
    nodes, greenlets = request_all_at_once(fleet)
    assert waits_of(greenlets).count(0.0) == 2


def spend_one_after_the_other(fleet, addresses, units):
    """Let the nodes request `units` in turn; return what they have spent together."""
    for address in addresses:
        gevent.spawn(fleet[address].try_spend, TERMS, units).join(2.0)
        gevent.sleep(0)
    totals = [fleet[address].context.limits.own_totals() for address in addresses]
    return sum(total.get("o", 0.0) for total in totals)


@pytest.mark.usefixtures("stopped_clock")
@pytest.mark.parametrize("losses", [1, 2])
def test_a_new_coordinator_does_not_grant_again_what_the_last_one_has(fleet, losses):
    """A coordinator tells all nodes once half of the limit is spent. If it falls silent
    before, the next one grants the whole limit, and so does each one after it."""
    left, spent = list(MANY_ADDRESSES), 0.0
    for _ in range(losses):
        coordinator = coordinator_address(left)
        left.remove(coordinator)
        requesters, left = left[:4], left[4:]
        spent += spend_one_after_the_other(fleet, requesters, 10.0)
        for exchange in fleet.values():
            exchange.dead.add(coordinator)
            exchange.skipped_until[coordinator] = time.monotonic() + 60.0
    assert spent + spend_one_after_the_other(fleet, left, 10.0) <= 110.0


def test_a_coordinator_that_left_the_requesting_node_without_a_reply_is_not_asked(
    fleet,
):
    """The others still know it as live for seconds."""
    requester = requesting_node(fleet)
    requester.dead.add(coordinator_address(MANY_ADDRESSES))
    assert requester.try_spend(TERMS, 60.0) == 0.0
    assert requester.requests_sent == 2


@pytest.fixture
def starting_node(fleet):
    """The exchange of a node that has just started and knows no list of nodes."""
    exchange = requesting_node(fleet)
    exchange.fleet_known = Event()
    exchange.peer_addresses = list
    exchange.context.limits = SharedLimits(exchange.context.started_at)
    exchange.context.started_at = time.monotonic()
    return exchange


def test_a_node_that_does_not_know_the_others_spends_nothing(starting_node):
    """Nodes that had servers before they had the list of nodes each spent the whole
    limit: a hundred of them 9,380 units of 3,000 in four seconds."""
    assert starting_node.try_spend(TERMS, 60.0) > 0.0
    assert starting_node.context.limits.own_totals().get("o", 0.0) == 0.0


def test_a_request_waits_until_the_others_are_known(starting_node):
    """The store answers the reads of a starting node in any order."""
    spending_greenlet = gevent.spawn(starting_node.try_spend, TERMS, 3.0)
    gevent.sleep(0.05)
    starting_node.fleet_known.set()
    spending_greenlet.join(0.2)
    assert spending_greenlet.value == 0.0


def test_after_a_while_a_request_waits_no_longer(starting_node):
    """What can't be decided soon is refused at once."""
    starting_node.context.started_at -= 1.0
    started = time.monotonic()
    assert starting_node.try_spend(TERMS, 3.0) > 0.0
    assert time.monotonic() - started < 0.05


def test_a_node_that_never_reads_the_list_serves_all_the_same(starting_node):
    starting_node.context.started_at -= spending.UNKNOWN_FLEET_S
    assert starting_node.try_spend(TERMS, 3.0) == 0.0


def test_a_coordinator_that_does_not_know_the_others_declines(fleet):
    requester = requesting_node(fleet)
    coordinator = fleet[coordinator_address(MANY_ADDRESSES)]
    coordinator.fleet_known = Event()
    assert requester.try_spend(TERMS, 60.0) == 0.0
    assert requester.requests_sent == 2
