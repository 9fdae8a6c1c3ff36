"""Exchange of demand between gateways, and the priorities that servers get."""

import time

import msgspec
import pytest
from endive_core.calls import Call, Ticket
from endive_core.routing import Engine, RouteKind, RoutingTable, Service, Split
from endive_gateway.peers import Peers
from endive_gateway.state_messages import DECODER, StateMessage
from gateway_builders import SERVICE, connected_peers, make_context, make_route

OTHER = "t"


def engine_route(name, priority, target_s, service=SERVICE):
    return make_route(
        name=name,
        path_prefix=f"/{name}/",
        kind=RouteKind.STREAM,
        splits=(Split(service, 1.0),),
        priority=priority,
        target_s=target_s,
        engine=True,
    )


def table(*routes, version=2):
    services = {
        name: Service(name, engine=Engine(slots=8)) for name in (SERVICE, OTHER)
    }
    return RoutingTable(version, routes, services, None, {})


CONTENDED = table(
    engine_route("urgent", 0, 0.5),
    engine_route("patient", 2, 3.0),
    engine_route("same", 0, 0.8, OTHER),
    engine_route("slower", 1, 0.9, OTHER),
)


@pytest.fixture
def nodes():
    found = connected_peers(4)
    for node in found:
        node.context.configure(CONTENDED, b"", "test")
    return found


def offer(node, tokens, organisation="o", service=SERVICE):
    made = Call("q", organisation, level=-2, prompt_tokens=tokens, fingerprint="q")
    contention = node.context.placer.schedulers[service].contention
    contention.refusal(made, time.monotonic())
    return contention


def test_only_services_whose_routes_call_for_it_take_part(nodes):
    """Other services must be served as before, and their messages not grow."""
    exchange = nodes[0].context.contention_exchange
    assert list(exchange.active()) == [SERVICE]
    assert list(exchange.next_demand()) == [SERVICE]
    plain = Peers(make_context(table(engine_route("urgent", 0, 0.5))))
    assert plain._state_message(False).demand == {}


def test_every_node_knows_the_fleets_demand(nodes):
    for node in nodes:
        offer(node, 10_000)
        node.send_state()
    contention = offer(nodes[0], 1)
    contention.next_update_at = 0.0
    contention.refusal(Call("r", "o", level=-2, fingerprint="r"), time.monotonic())
    known = contention.fleet.known
    assert known.nodes == 4
    assert 30_000 < known.levels[1].offered < 41_000


def test_a_node_that_has_stopped_no_longer_counts(nodes):
    for node in nodes:
        offer(node, 10_000)
        node.send_state()
    nodes[1].send_state(gone=True)
    contention = offer(nodes[0], 1)
    assert len(contention.fleet.reports) == 2


def test_a_message_of_an_earlier_version_has_no_demand(nodes):
    """Nodes of both versions are in the same fleet while it is replaced."""
    fields = msgspec.msgpack.decode(
        msgspec.msgpack.encode(nodes[1]._state_message(False))
    )
    earlier = fields[: StateMessage.__struct_fields__.index("demand")]
    message = DECODER.decode(msgspec.msgpack.encode(earlier))
    assert isinstance(message, StateMessage)
    nodes[0].receive(message, nodes[1].address)
    assert offer(nodes[0], 1).fleet.reports == {}


def send_late(node, tokens):
    """Let a node send one prompt to a server as late."""
    ticket = Ticket(Call("l", "o", level=0, prompt_tokens=tokens), 0.0, 1.0)
    ticket.server, ticket.uncached_tokens, ticket.yields = "i-1", float(tokens), True
    node.context.placer.schedulers[SERVICE].contention.dispatched(ticket)


def test_every_node_knows_the_late_prompts_of_the_others(nodes):
    """Late prompts of other nodes were unknown, so that requests waited behind them
    until their time budget ended."""
    for node in nodes[1:]:
        send_late(node, 20_000)
        node.send_state()
    known = offer(nodes[0], 1).fleet.known
    assert [level.late_pending for level in known.levels] == [60_000, 0]
    assert [level.pending for level in known.levels] == [0, 0]


def test_late_prompts_are_told_by_those_that_have_them_only(nodes):
    """Messages must not grow without overload; earlier versions lack the field."""
    assert nodes[0]._state_message(False).late_prompts == {}
    send_late(nodes[1], 20_000)
    message = nodes[1]._state_message(False)
    assert message.late_prompts == {SERVICE: [(20_000, 0), (0, 0)]}
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(message))
    first_lacking = StateMessage.__struct_fields__.index("late_prompts")
    older = DECODER.decode(msgspec.msgpack.encode(fields[:first_lacking]))
    nodes[0].receive(older, nodes[1].address)
    assert offer(nodes[0], 1).fleet.known.levels[0].late_pending == 0


def test_the_demand_of_many_organisations_takes_little_of_a_datagram(nodes):
    for number in range(200):
        offer(nodes[0], 50_000, f"organisation-{number}")
    demand = nodes[0].context.contention_exchange.next_demand()
    assert len(msgspec.msgpack.encode(demand)) < 300


def test_a_configuration_that_no_longer_calls_for_it_ends_it(nodes):
    """An operator must be able to go back by the configuration alone."""
    context = nodes[0].context
    context.configure(table(engine_route("urgent", 0, 0.5), version=3), b"", "test")
    scheduler = context.placer.schedulers[SERVICE]
    assert not scheduler.contention.active
    assert scheduler.servers.expects_bursts
    assert context.contention_exchange.next_demand() == {}


def test_tickets_of_a_replaced_configuration_can_end(nodes):
    """Requests are running while the priorities of their service change."""
    contention = offer(nodes[0], 100)
    ticket = Ticket(Call("q", "o", level=-2, prompt_tokens=10), 0.0, 1.0)
    ticket.server, ticket.uncached_tokens = "i-1", 10.0
    contention.dispatched(ticket)
    nodes[0].context.configure(
        table(
            engine_route("urgent", 0, 0.5),
            engine_route("middle", 1, 1.2),
            engine_route("patient", 2, 3.0),
            version=3,
        ),
        b"",
        "test",
    )
    contention.started(ticket, 1.0)
    contention.ended(ticket)
    assert contention.meter.pending_at("i-1") == [0.0, 0.0, 0.0]
