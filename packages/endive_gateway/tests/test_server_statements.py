import time

from endive_gateway.interfaces import ResponseMetadata
from gateway_builders import make_context, make_entry, make_table


def state(context, status, **metadata):
    """Let a response to a request that was meant for i-1 arrive."""
    context.server_statements.observe(
        "i-1", status, ResponseMetadata(**metadata), time.monotonic(), through=""
    )


def context_with_servers(*servers):
    context = make_context(make_table())
    for server in servers:
        context.registry.put(make_entry(server))
    context.registry.notify_listeners()
    return context


def test_each_statement_of_a_response_is_kept():
    context = context_with_servers("i-1")
    state(
        context,
        200,
        signed=True,
        running=5,
        waiting=2,
        request_limit=1.0,
        brittle_rejections=3.0,
        leaving=True,
    )
    assert context.placer.known_load("i-1") == 7
    assert context.limit_sharing.reports.limit("i-1") == 1.0
    assert context.brittle_services.reports.limit("i-1") == 3.0
    assert context.leaving_servers.leaving_servers() == 1


def test_what_another_server_states_does_not_count_for_the_one_that_was_meant():
    context = context_with_servers("i-1", "i-2")
    state(context, 200, signed=True, running=5)
    state(context, 421, server_id="i-2", running=1, request_limit=1.0, leaving=True)
    assert context.placer.known_load("i-1") == 5
    assert context.limit_sharing.reports.limit("i-1") is None
    assert "i-1" not in context.leaving_servers.departures
    assert "i-2" in context.leaving_servers.departures


def test_a_load_that_is_partly_invalid_counts_and_is_logged_once(caplog):
    """Guards against a log line a response, and a load lost for one bad figure."""
    context = context_with_servers("i-1")
    for running in (5, 6):
        state(context, 200, running=running, waiting=1, invalid_load="5,1,8,often")
    assert context.placer.known_load("i-1") == 7
    assert caplog.text.count("event=server_load_invalid") == 1
