"""Exchange of prefill work between gateways, and the priorities that servers get."""

import msgspec
import pytest
from endive_core.calls import Call, Ticket
from endive_core.prompt_work import BINS
from endive_core.routing import Engine, OrganisationLimits, RoutingTable, Service
from endive_gateway.state_messages import DECODER, StateMessage
from gateway_builders import SERVICE, connected_peers
from test_contention_exchange import OTHER, engine_route


def table(*routes, version=2, organisations=None):
    names = (SERVICE, OTHER)
    services = {name: Service(name, engine=Engine(slots=8)) for name in names}
    return RoutingTable(version, routes, services, organisations, {})


INVERTED = table(
    engine_route("long", 1, 0.8),
    engine_route("short", 2, 0.5),
    engine_route("same", 0, 0.8, OTHER),
    engine_route("slower", 1, 0.9, OTHER),
)


@pytest.fixture
def nodes():
    found = connected_peers(7)
    for node in found:
        node.context.configure(INVERTED, b"", "test")
    return found


def order_of(node, service=SERVICE):
    return node.context.placer.schedulers[service].order


def send(node, tokens):
    ticket = Ticket(Call("q", "o", level=-2, prompt_tokens=tokens), 0.0, 1.0)
    ticket.server, ticket.uncached_tokens = "i-1", float(tokens)
    order = order_of(node)
    order.dispatched(ticket, tokens / 50_000, node.context.placer.now())
    return order.server_priority(ticket)


def test_only_services_whose_routes_call_for_it_take_part(nodes):
    """Other services must be served as before, and their messages not grow."""
    exchange = nodes[0].context.order_exchange
    assert list(exchange.active()) == list(exchange.next_work()) == [SERVICE]
    assert not order_of(nodes[0], OTHER).active


def test_a_node_follows_what_the_others_have_sent(nodes):
    """A node that has just started must not have to learn the mix by itself."""
    assert send(nodes[0], 100) == order_of(nodes[0]).routes.classes + 1
    for node in nodes[1:]:
        for tokens in (100, 20_000):
            send(node, tokens)
        node.send_state()
    order_of(nodes[0]).next_update_at = 0.0
    assert send(nodes[0], 100) == 0
    exchange = nodes[0].context.order_exchange
    assert exchange.overtakers() == 1
    assert exchange.longest_s() > 0.002
    nodes[1].send_state(gone=True)
    assert len(order_of(nodes[0]).fleet.reports) == 5


def test_a_message_of_an_earlier_version_has_no_work(nodes):
    """Nodes of both versions are in the same fleet while it is replaced."""
    nodes[0].context.order_exchange.learn(nodes[1].address, {SERVICE: [2]})
    assert nodes[1].address in order_of(nodes[0]).fleet.reports
    fields = msgspec.msgpack.decode(
        msgspec.msgpack.encode(nodes[1]._state_message(False))
    )
    earlier = fields[: StateMessage.__struct_fields__.index("prompt_work")]
    message = DECODER.decode(msgspec.msgpack.encode(earlier))
    nodes[0].receive(message, nodes[1].address)
    assert order_of(nodes[0]).fleet.reports == {}


def test_the_report_takes_little_of_a_datagram(nodes):
    for doublings in range(BINS):
        send(nodes[0], 100 * 1.4**doublings)
    work = nodes[0].context.order_exchange.next_work()
    assert len(msgspec.msgpack.encode(work)) < 100


def test_a_configuration_that_no_longer_calls_for_it_ends_it(nodes):
    """Requests are running while the priorities of their service change."""
    ticket = Ticket(Call("q", "o", level=-2, prompt_tokens=10), 0.0, 1.0)
    ticket.server, ticket.uncached_tokens = "i-1", 10.0
    order = order_of(nodes[0])
    order.dispatched(ticket, 0.1, 1.0)
    nodes[0].context.configure(
        table(engine_route("long", 1, 0.8), version=3), b"", "test"
    )
    assert not order.active
    assert nodes[0].context.order_exchange.next_work() == {}
    order.ended(ticket)
    assert order.pending == {}


def test_priorities_of_organisations_keep_their_order(nodes):
    """One that is configured as less urgent than all routes must stay so."""
    organisations = {"o": OrganisationLimits("o", priority=7)}
    routes = (engine_route("long", 1, 0.8), engine_route("short", 2, 0.5))
    nodes[0].context.configure(
        table(*routes, version=3, organisations=organisations), b"", "test"
    )
    order = order_of(nodes[0])
    numbers = [order.number(Call("q", "o", level=-p), 9.0) for p in (1, 2, 7)]
    assert numbers == [5, 6, 7]
