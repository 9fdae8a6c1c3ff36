import math
import time
from dataclasses import replace

import msgspec
import pytest
from endive_core.routing import Service
from endive_gateway.interfaces import ResponseMetadata
from gateway_builders import SERVICE, connected_peers, make_entry, make_table


def make_nodes(count=2, servers=3):
    nodes = connected_peers(count)
    for node in nodes:
        for number in range(servers):
            node.context.registry.put(make_entry(f"i-{number}", incarnation=1))
        node.context.registry.notify_listeners()
        let_have_known_servers(node.context.speed_exchange)
    return nodes


def let_have_known_servers(exchange):
    for server, (incarnation, since) in exchange.incarnations.items():
        exchange.incarnations[server] = (incarnation, since - 1.0)


def state(node, slowdown, server="i-1"):
    """Let a server's response state a slowdown."""
    node.context.server_statements.observe(
        server,
        200,
        ResponseMetadata(signed=True, running=1, waiting=0, slots=8, slowdown=slowdown),
        time.monotonic(),
        through="",
    )


def known(node, server="i-1"):
    scheduler = node.context.placer.schedulers[SERVICE]
    scheduler.update_speeds(time.monotonic())
    return scheduler.servers.servers[server].slowdown


def restart(node, server="i-1", incarnation=2):
    node.context.registry.put(make_entry(server, incarnation=incarnation))
    node.context.registry.notify_listeners()


def test_a_statement_reaches_nodes_that_send_the_server_nothing():
    """Guards against a phase that only the node knows which got the response."""
    first, second, third = make_nodes(3)
    state(first, 2.5)
    assert known(first) == pytest.approx(2.5, abs=0.1)
    first.send_state()
    assert known(second) > 2.0
    assert known(third) > 2.0


def test_what_is_passed_on_grows_older():
    """Guards against a statement that nodes tell each other again and again as new."""
    nodes = make_nodes(4)
    state(nodes[0], 2.5)
    ages = []
    for _ in range(10):
        for node in nodes:
            node.send_state()
        speeds = nodes[1].context.placer.schedulers[SERVICE].servers.speeds
        ages.append(time.monotonic() - speeds.statements["i-1"].at)
        time.sleep(0.01)
    assert ages == sorted(ages)
    assert ages[-1] >= 0.09


def test_a_server_that_starts_again_under_its_id_is_unknown():
    """Guards against the speed of a process that is gone, also as others pass it on."""
    first, second = make_nodes()
    state(first, 2.5)
    restart(second)
    first.send_state()
    assert known(second) == 1.0
    restart(first)
    assert known(first) == 1.0
    let_have_known_servers(first.context.speed_exchange)
    state(second, 2.0)
    second.send_state()
    assert known(first) > 1.5


def test_bad_entries_of_other_nodes_are_ignored():
    (node,) = make_nodes(1)
    node.context.speed_exchange.learn(
        [
            ("i-0", math.nan, 0.0),
            ("i-0", 2.0, -5.0),
            ("i-0", 2.0, math.inf),
            ("i-0", 0.0, 0.0),
            ("unknown", 2.0, 0.0),
            ("i-1", 2.0, 0.0),
        ]
    )
    assert known(node, "i-1") > 1.5
    statements = node.context.placer.schedulers[SERVICE].servers.speeds.statements
    assert set(statements) == {"i-1"}


def test_the_setting_ends_the_use_of_what_is_stated():
    (node,) = make_nodes(1)
    state(node, 2.5)
    context = node.context
    context.apply_settings(replace(context.settings, server_slowdowns=False))
    context.server_statements.refresh()
    state(node, 2.5)
    assert known(node) == 1.0
    context.apply_settings(replace(context.settings, server_slowdowns=True))
    context.server_statements.refresh()
    state(node, 2.5)
    assert known(node) > 2.0


def test_many_slow_servers_fit_into_a_state_message():
    """Guards against datagrams that are dropped for their size."""
    node, _ = make_nodes(servers=45)
    for number in range(45):
        state(node, 2.5, f"i-{number}")
    message = node._state_message(False)
    assert len(message.server_slowdowns) == 8
    assert len(msgspec.msgpack.encode(message.server_slowdowns)) < 300


def test_a_service_with_few_servers_has_its_part_of_a_message():
    """Guards against plain servers whose speed many slow engines crowd out."""
    node, _ = make_nodes(servers=0)
    context = node.context
    table = make_table(version=2)
    services = table.services | {"few": Service("few")}
    context.configure(replace(table, services=services), b"", "test")
    for number in range(45):
        service = "few" if number < 3 else SERVICE
        context.registry.put(make_entry(f"i-{number}", service=service))
    context.registry.notify_listeners()
    for number in range(45):
        state(node, 2.5, f"i-{number}")
    told = {server for server, _, _ in node._state_message(False).server_slowdowns}
    assert len(told) == 8
    assert {"i-0", "i-1", "i-2"} < told


def test_where_nothing_is_stated_nothing_is_passed_on():
    node, _ = make_nodes()
    state(node, None)
    assert node._state_message(False).server_slowdowns == []
    assert known(node) == 1.0


def test_the_servers_of_a_service_have_a_log_line(caplog):
    (node,) = make_nodes(1)
    for _ in range(3):
        state(node, 2.5)
        node.context.speed_exchange.refresh()
    assert caplog.text.count("event=server_speeds") == 1
    assert node.context.speed_exchange.slow_servers() == 1
