import socket
import struct
import time
from random import Random
from types import SimpleNamespace

import gevent
import pytest
from endive_core.reachability import ConnectResults
from endive_core.routing import RouteKind
from endive_core.transit import TransitChoice
from endive_gateway import tcp, transit
from endive_gateway.exceptions import ConnectionBrokenError
from endive_gateway.machine import MAX_CARRIED
from endive_gateway.paths import CONNECT_TIMEOUT_S
from endive_gateway.tcp import PendingStream
from endive_gateway.transit import (
    TransitAnswer,
    TransitNodes,
    TransitReply,
    open_transit,
)
from gateway_builders import (
    RunningGateway,
    count_received_requests,
    make_entry,
    make_route,
    make_table,
)
from path_builders import CUTS, CutOffGateway, TransitNode
from server_builders import (
    ScriptedServer,
    close_connection,
    event,
    events,
    ok,
    unresponsive,
    whole_stream,
)

STREAM = {"kind": RouteKind.STREAM, "max_attempts": 2}
UNSAFE = {"kind": RouteKind.NON_IDEMPOTENT, "max_attempts": 1}
NO_LINGER = struct.pack("ii", 1, 0)


def table(**options):
    return make_table(make_route(**options))


def wait_for(condition, seconds=3.0):
    """Wait until `condition` returns something true; return whether it did."""
    end = time.monotonic() + seconds
    while time.monotonic() < end and not condition():
        gevent.sleep(0.01)
    return bool(condition())


def servers(*scripts):
    return [
        ScriptedServer(*script, server_id=f"i-{number}")
        for number, script in enumerate(scripts)
    ]


@pytest.mark.timing
@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("route", [{}, UNSAFE])
def test_a_node_that_reaches_no_server_serves_its_callers(cut, route):
    """Each request waited for connections in vain, server after server."""
    with CutOffGateway(*servers([], [], []), cut=cut, table=table(**route)) as running:
        end = time.monotonic() + 3.0
        while not running.paths.reachability.is_cut_off:
            started_at = time.monotonic()
            got = running.call(method="POST", body=b"a")
            assert got.status == 200
            assert time.monotonic() - started_at < 0.3
            assert started_at < end
        started_at = time.monotonic()
        assert running.call().status == 200
        assert time.monotonic() - started_at < 0.05


@pytest.mark.parametrize("cut", CUTS)
def test_events_pass_through_another_node_as_they_come(cut):
    server = ScriptedServer(events(1, 5, gap_s=0.1))
    with CutOffGateway(server, cut=cut, table=table(**STREAM)) as running:
        caller = running.caller()
        caller.send()
        while event(1) not in caller.buffer:
            caller._more()
        first_at = time.monotonic()
        got = caller.receive()
    assert got.whole
    assert got.body == b"".join(event(number) for number in range(1, 6))
    assert time.monotonic() - first_at > 0.3


@pytest.mark.parametrize("framing", ["connection", "length", "chunked"])
def test_a_response_is_as_whole_as_the_server_sent_it(framing):
    """An answer without a length ends with the server's connection."""
    whole, cut = whole_stream(1, 3, framing=framing), b"id: 4\nda"
    broken = whole_stream(1, 3, cut=cut, framing=framing)
    server = ScriptedServer(whole, broken)
    with CutOffGateway(server, cut="refused", table=table(**STREAM)) as running:
        assert running.call().whole
        assert not running.call().whole


def reset_after_events(sock, received):
    """Send an answer without a length, and reset the connection."""
    whole_stream(1, 3)(sock, received)
    gevent.sleep(0.05)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    return False


def test_a_response_that_the_server_resets_does_not_look_whole():
    """Passed on as an orderly end, it would be a complete answer without a length."""
    server = ScriptedServer(reset_after_events)
    with CutOffGateway(server, cut="refused", table=table(**STREAM)) as running:
        got = running.call()
    assert got.body == b"".join(event(number) for number in range(1, 4))
    assert not got.whole


def unframed_then_silent(sock, received):
    """Send events of an answer without a length, and nothing more."""
    head = (
        f"HTTP/1.1 200 OK\r\nId: {received.headers['id']}\r\nSigned: yes\r\n"
        "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    )
    sock.sendall(head.encode() + event(1) + event(2))
    gevent.sleep(5)


def test_a_response_does_not_look_whole_if_the_transit_node_is_lost():
    """The kernel closes a killed node's connections in an orderly way."""
    server = ScriptedServer(unframed_then_silent)
    with CutOffGateway(server, cut="refused", table=table(**STREAM)) as running:
        caller = running.caller()
        caller.send()
        while event(2) not in caller.buffer:
            caller._more()
        running.node.kill()
        got = caller.receive()
    assert not got.whole


def test_a_server_learns_at_once_that_a_caller_has_left():
    """It would go on working on a request that nobody waits for."""
    server = ScriptedServer(unresponsive)
    with CutOffGateway(server, cut="refused") as running:
        caller = running.caller()
        caller.send()
        assert wait_for(lambda: server.received)
        assert running.node.port.carried == 1
        caller.close()
        assert wait_for(lambda: running.node.port.carried == 0, 0.3)


def test_log_and_metrics_show_the_way_of_a_request(caplog):
    server = ScriptedServer()
    with CutOffGateway(server, cut="refused") as running:
        running.call()
        node = running.node.context
        assert running.paths.transit.choice.opened.total() == 1
        assert node.transit_port.carried == 1
        assert node.metrics.transit_replies["connected"] == 1
    assert "event=server_blocked server=i-1 node=127.0.0.1 refused=True" in caplog.text
    assert "event=transit peer=127.0.0.1 server=i-1 reply=connected" in caplog.text
    assert "outcome=ok servers=i-1 ms=" in caplog.text
    assert " through=127.0.0.1 " in caplog.text


def test_connections_through_another_node_are_reused():
    server = ScriptedServer()
    with CutOffGateway(server, cut="refused") as running:
        caller = running.caller()
        for _ in range(5):
            caller.send()
            assert caller.receive().status == 200
        assert server.connections == 1


def test_open_connections_are_used_while_new_ones_are_refused():
    """They may live on, and other nodes are spared."""
    server = ScriptedServer()
    with CutOffGateway(server, cut="refused") as running:
        running.heal()
        assert running.call().status == 200
        running.cut("refused")
        assert running.call().status == 200
        assert server.connections == 1


@pytest.mark.parametrize("cut", CUTS)
def test_a_node_that_reaches_servers_again_uses_its_own_connections(cut):
    with CutOffGateway(*servers([], []), cut=cut) as running:
        for _ in range(4):
            running.call()
        assert wait_for(lambda: running.paths.reachability.blocked)
        prober = gevent.spawn(running.paths.probe_blocked)
        running.heal()
        assert wait_for(lambda: not running.paths.reachability.blocked)
        prober.kill()
        assert running.call().status == 200
        running.context.pool.sweep()
        assert wait_for(lambda: running.node.port.carried == 0)


def test_a_server_that_no_node_reaches_is_not_blocked():
    """It has failed, and a request that it did not get has not run."""
    server = ScriptedServer()
    server.stop()
    with CutOffGateway(server, cut="refused", table=table(max_attempts=1)) as running:
        got = running.call()
        assert got.status == 503
        assert not running.paths.reachability.blocked


def test_a_node_without_others_waits_for_its_own_connection():
    server = ScriptedServer()
    with CutOffGateway(server, cut="hang", table=table(max_attempts=1)) as running:
        running.paths.transit.choice.offers.discard("127.0.0.1")
        started_at = time.monotonic()
        assert running.call().status == 503
        assert time.monotonic() - started_at > 0.9 * CONNECT_TIMEOUT_S


def test_a_connection_that_is_only_slow_is_not_taken_for_a_cut():
    """A lost packet delays a connection too."""

    class SlowStream(PendingStream):
        def finish(self, timeout_s):
            gevent.sleep(0.15)
            if timeout_s < 0.15:
                raise TimeoutError
            return super().finish(timeout_s)

    with CutOffGateway(*servers([], [])) as running:
        running.paths.dial = SlowStream
        assert running.call().status == 200
        gevent.sleep(0.2)
        assert not running.paths.reachability.blocked


# Requests that hang


def hang_once(running, cut="hang"):
    """Return a script entry: the first request of all is lost with the node's link."""
    cuts = [cut]

    def lose_link(sock, received):
        if not cuts:
            return ok(sock, received)
        running[0].cut(cuts.pop())
        return unresponsive(sock, received)

    return lose_link


def test_a_request_that_hangs_behind_a_cut_is_sent_another_way():
    """It waited until the kernel gave the connection up."""
    gateways = []
    script = [hang_once(gateways)] * 9
    with CutOffGateway(*servers(script, script), table=table()) as running:
        gateways.append(running)
        running.heal()
        started_at = time.monotonic()
        assert running.call().status == 200
        assert time.monotonic() - started_at < 1.5


def test_a_request_that_may_run_once_only_is_not_sent_again():
    gateways = []
    script = [hang_once(gateways)] * 9
    route = table(timeout_s=1.5, **UNSAFE)
    with CutOffGateway(*servers(script, script), table=route) as running:
        gateways.append(running)
        running.heal()
        assert running.call(method="POST", body=b"a").status == 504
        assert count_received_requests(running) == 1


def slowly(sock, received):
    """Answer after a time in which a cut would have been noticed."""
    gevent.sleep(1.2)
    return ok(sock, received)


def test_a_slow_response_of_a_server_that_is_reached_is_waited_for():
    """A server may work for long, or fall silent for a second, and go on."""
    with CutOffGateway(*servers([slowly] * 2, [slowly] * 2)) as running:
        running.heal()
        assert running.call().status == 200
        assert count_received_requests(running) == 1
        assert not running.paths.reachability.blocked


# What failed connections say of servers


@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("route", [{}, UNSAFE])
def test_failures_of_a_nodes_own_link_do_not_count_against_servers(cut, route):
    """Innocent requests were refused for crashes, and sound servers got no work."""
    cuts = [cut]

    def lose_link_once(sock, received):
        if not cuts:
            return ok(sock, received)
        running.cut(cuts.pop())
        return False

    script = [lose_link_once] * 9
    with CutOffGateway(*servers(script, script), table=table(**route)) as running:
        running.heal()
        got = running.call(method="POST", body=b"a")
        placer = running.context.placer
        assert got.status == (502 if route else 200)
        assert not placer.crashes.crashes
        assert not placer.ejection.own_counts(time.monotonic())
        assert not placer.consecutive_failures
        assert running.context.metrics.retries["path_failed"] == 1
        assert running.paths.reachability.blocked


@pytest.mark.parametrize("cut", CUTS)
def test_a_crash_is_counted_by_a_node_that_does_not_reach_the_server(cut):
    """Another node sees that nothing listens there any more."""
    server = ScriptedServer()

    def crash(sock, _received):
        sock.close()
        server.stop()
        return False

    server.script.append(crash)
    with CutOffGateway(server, cut=cut, table=table(**UNSAFE)) as running:
        assert running.call(method="POST", body=b"a").status == 502
        assert len(running.context.placer.crashes.crashes) == 1
        assert running.context.metrics.retries["server_failed"] == 1


def test_the_loss_of_a_transit_node_does_not_count_against_the_server():
    server = ScriptedServer(unresponsive)
    with CutOffGateway(server, cut="refused", table=table(**UNSAFE)) as running:
        caller = running.caller()
        caller.send(method="POST", body=b"a")
        assert wait_for(lambda: server.received)
        running.node.kill()
        assert caller.receive().status == 502
        assert running.context.metrics.retries["path_failed"] == 1
        assert not running.context.placer.consecutive_failures


@pytest.mark.parametrize("cut", CUTS)
def test_nodes_that_are_all_cut_off_take_no_server_for_crashed(cut):
    """The other node is cut off too, and neither of them knows yet."""
    cuts = [cut]

    def lose_links(sock, received):
        if cuts:
            running.node.context.paths.dial = CUTS[cut]
            running.cut(cuts.pop())
        return False

    script = [lose_links] * 9
    with CutOffGateway(*servers(script, script), table=table(**UNSAFE)) as running:
        running.heal()
        assert running.call(method="POST", body=b"a").status == 502
        assert not running.context.placer.crashes.crashes


def test_servers_of_one_service_that_have_all_crashed_are_counted():
    """Another service's server shows that the node's own link works."""
    plain, engine = servers([], [])

    def crash(sock, _received):
        sock.close()
        plain.stop()
        return False

    plain.script.append(crash)
    with RunningGateway(plain, table=table(**UNSAFE)) as running:
        entry = make_entry("i-9", address=engine.address, service="other")
        running.context.registry.put(entry)
        assert running.call(method="POST", body=b"a").status == 502
        assert len(running.context.placer.crashes.crashes) == 1
    engine.stop()


def test_a_crash_is_counted_soon_after_two_others():
    """The registry still lists the servers that have crashed."""
    running = RunningGateway(*servers([], [], [], []))
    with running:
        for server in running.servers[:3]:
            server.stop()
        first, last = running.servers[0], running.servers[3]
        results = [
            running.context.checks.try_both(first.id, first.address) for _ in range(20)
        ]
        assert set(results) == {ConnectResults(directly=False, elsewhere=None)}
        last.stop()
        results = running.context.checks.try_both(first.id, first.address)
        assert results == ConnectResults(directly=None, elsewhere=None)


def test_a_server_that_fails_requests_through_another_node_is_counted():
    server = ScriptedServer(ok, close_connection)
    with CutOffGateway(server, cut="refused", table=table(**UNSAFE)) as running:
        assert running.call().status == 200
        assert running.call(method="POST", body=b"a").status == 502
        assert running.context.metrics.retries["server_failed"] == 1
        assert running.context.placer.ejection.own_counts(time.monotonic())


def test_connections_that_fail_together_share_one_check():
    """A server would get a connection for each of its requests that are lost."""
    server = ScriptedServer()
    with CutOffGateway(server, cut="refused") as running:
        check = (running.context.checks.try_both, "i-1", server.address)
        checks = [gevent.spawn(*check) for _ in range(9)]
        gevent.joinall(checks)
        refused_here = ConnectResults(directly=False, elsewhere=True)
        assert {check.value for check in checks} == {refused_here}
        assert server.connections == 1


# Transit nodes


def ask(node, server_id):
    answer = open_transit("127.0.0.1", node.number, server_id, lambda _: None)
    if answer.stream is not None:
        answer.stream.close()
    return answer.reply


def test_a_transit_node_says_why_it_carries_no_connection():
    server, gone = servers([], [])
    gone.stop()
    node = TransitNode(server, gone)
    assert ask(node, "i-0") is TransitReply.CONNECTED
    assert ask(node, "i-1") is TransitReply.REFUSED
    assert ask(node, "i-9") is TransitReply.UNKNOWN_SERVER
    assert ask(node, "x" * 1000) is TransitReply.NO_ANSWER
    node.port.carried = MAX_CARRIED
    assert ask(node, "i-0") is TransitReply.FULL
    node.port.carried = 0
    node.port.accepting = False
    assert ask(node, "i-0") is TransitReply.CLOSED
    node.port.stop()
    assert ask(node, "i-0") is TransitReply.NO_ANSWER
    server.stop()


def test_a_node_that_reaches_no_server_carries_none():
    """Requests would go in a circle among the nodes that are cut off."""
    server = ScriptedServer()
    node = TransitNode(server)
    assert node.port.offer() == 0
    for server_id in ("i-1", "i-2"):
        node.context.paths.block(server_id, 1.0, "n", refused=False)
    assert node.port.offer() == -1
    assert ask(node, "i-1") is TransitReply.BLOCKED
    node.port.stop()
    server.stop()


def test_a_node_that_is_cut_off_names_the_one_that_it_goes_through():
    """What nodes know of each other may be seconds old."""
    server = ScriptedServer()
    node = TransitNode(server)
    for server_id in ("i-1", "i-2"):
        node.context.paths.block(server_id, 1.0, "n", refused=False)
    node.context.paths.transit.choice.offers.set("127.0.0.9", 0)
    node.context.paths.transit.choice.open("127.0.0.9")
    answer = open_transit("127.0.0.1", node.number, "i-1", lambda _: None)
    assert answer.referral == "127.0.0.9"
    node.port.stop()
    server.stop()


def test_a_node_that_is_named_is_asked_next():
    nodes = TransitNodes(TransitChoice(Random(1)))
    nodes.choice.offers.set("n1", 0)
    answers = {
        "n1": TransitAnswer(TransitReply.BLOCKED, referral="n2"),
        "n2": TransitAnswer(TransitReply.CONNECTED, SimpleNamespace(node="n2")),
    }
    nodes.ask = lambda node, server: answers[node]
    reply, stream = nodes.open("i-1")
    assert reply is TransitReply.CONNECTED
    assert stream.node == "n2"
    assert not nodes.choice.offers.addresses


def test_another_node_is_asked_if_one_does_not_carry_the_connection():
    server = ScriptedServer()
    with CutOffGateway(server, cut="refused") as running:
        running.paths.transit.choice.offers.set("127.0.0.9", 0)
        for _ in range(8):
            assert running.call().status == 200


def test_a_stopping_node_finishes_what_it_carries():
    """A request would be cut that its own node has not finished."""
    slow = ScriptedServer(
        lambda sock, received: (gevent.sleep(0.5), ok(sock, received))
    )
    with CutOffGateway(slow, cut="refused") as running:
        caller = running.caller()
        caller.send()
        assert wait_for(lambda: running.node.port.carried == 1)
        running.node.port.accepting = False
        assert caller.receive().status == 200


def test_connections_through_a_node_that_stops_are_given_up():
    """Idle ones would keep it from stopping until they time out."""
    server = ScriptedServer()
    with CutOffGateway(server, cut="refused") as running:
        assert running.call().status == 200
        assert running.node.port.carried == 1
        running.paths.transit.choice.offers.set("127.0.0.1", -1)
        running.context.pool.sweep()
        assert wait_for(lambda: running.node.port.carried == 0)


ODD_SERVER_ADDRESSES = [
    "127.0.0.1:99999",
    "127.0.0.1:-1",
    "127.0.0.1:" + "9" * 30,
    "127.0.0.1:" + "9" * 5_000,
    "127.0.0.1:\u0661",
    "127.0.0.1",
    "",
    "x" * 300 + ":80",
    "a..b:80",
    "\0:80",
    "\ud800:80",
]


@pytest.mark.parametrize("address", ODD_SERVER_ADDRESSES)
def test_an_address_that_cannot_be_connected_to_breaks_the_connection(address):
    """Requests ended with an internal error, and the tries of blocked servers ended."""
    result = PendingStream(address).result(0.5)
    assert isinstance(result, ConnectionBrokenError)
    assert not result.sent


@pytest.mark.parametrize("address", ODD_SERVER_ADDRESSES)
def test_an_address_that_cannot_be_connected_to_costs_only_its_server(address, caplog):
    """Each request that was placed there ended with an internal error."""
    staying = ScriptedServer(*[ok] * 9, server_id="i-1")
    with RunningGateway(staying) as running:
        registry = running.context.registry
        registry.put(make_entry("i-odd", address=address, slots=800))
        registry.notify_listeners()
        assert [running.call().status for _ in range(6)] == [200] * 6
    assert "server=i-odd attempt=1" in caplog.text


@pytest.mark.parametrize("error", [OSError(24, "too many files"), TypeError("odd")])
def test_a_socket_that_cannot_be_made_is_an_error_of_the_connection(monkeypatch, error):
    """Requests ended with an internal error, and the tries of blocked servers ended."""

    def fail(*_family):
        raise error

    monkeypatch.setattr(tcp.gsocket, "socket", fail)
    result = PendingStream("127.0.0.1:80").result(0.1)
    assert isinstance(result, ConnectionBrokenError)
    assert not result.sent


@pytest.mark.parametrize("node", ["name.invalid", "", "0.0.0.0", "\0", "x" * 300])
def test_a_referral_to_no_address_is_not_followed(monkeypatch, node):
    """Another node's referral was a question to the resolver, which takes seconds."""
    asked = []
    monkeypatch.setattr(transit.TcpStream, "connect", lambda *to: asked.append(to))
    answer = open_transit(node, 1, "i-1", lambda _node: None)
    assert answer.stream is None
    assert not asked
