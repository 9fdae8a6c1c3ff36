"""Servers that start again under the id that they had."""

import time
from types import SimpleNamespace

import pytest
from core_builders import call
from endive_core.exceptions import EndiveError, RetryReason
from endive_core.prefixes import part_blocks
from endive_core.reachability import Block
from endive_gateway.interfaces import ResponseMetadata, ServerState
from endive_gateway.leaving_servers import Departure
from gateway_builders import SERVICE, make_context, make_entry, make_table

SERVERS = ("i-1", "i-2", "i-3", "i-4")
BLOCKS, ENDS = part_blocks("m", [(1, 2000), (2, 500)])


def register(context, server, incarnation, sequence=1, **options):
    entry = make_entry(server, incarnation=incarnation, sequence=sequence, **options)
    if context.registry.put(entry):
        context.registry.notify_listeners()


@pytest.fixture
def context():
    made = make_context(make_table())
    for server in SERVERS:
        register(made, server, incarnation=1)
    return made


def load(context, server="i-1"):
    return context.placer.schedulers[SERVICE].servers.servers[server]


def observe(context, **stated):
    context.server_statements.observe(
        "i-1",
        200,
        ResponseMetadata(signed=True, **stated),
        time.monotonic(),
        through="",
    )


def dispatch(context, **options):
    """Dispatch a request to i-1; return its ticket."""
    scheduler = context.placer.schedulers[SERVICE]
    for other in SERVERS[1:]:
        scheduler.servers.servers[other].paused = True
        scheduler.servers.refresh(scheduler.servers.servers[other])
    ticket = context.placer.admit(SERVICE, call(blocks=BLOCKS, **options))
    context.placer.dispatch_queued(scheduler)
    for other in SERVERS[1:]:
        scheduler.servers.servers[other].paused = False
        scheduler.servers.refresh(scheduler.servers.servers[other])
    assert ticket.server == "i-1"
    return ticket


def test_its_load_failures_and_latencies_are_unknown(context):
    """Guards against a server that gets no request since its former process was full,
    slow or failing."""
    before = load(context)
    observe(context, running=8, waiting=3)
    before.slow, before.slowness, before.samples = True, 9.0, 30
    before.failures, before.refusals, before.ramp = 4, 3, 1.0
    before.starting_tokens = 5000.0
    context.placer.consecutive_failures["i-1"] = 1
    register(context, "i-1", incarnation=2)
    after = load(context)
    assert after is not before
    assert (after.load, after.slow, after.slowness, after.samples) == (0, False, 1.0, 0)
    assert (after.failures, after.refusals, after.ramp) == (0, 0, None)
    assert after.starting_tokens == 0.0
    assert "i-1" not in context.placer.consecutive_failures


def test_its_cached_prompts_are_forgotten(context):
    """Guards against prompts that are sent where nothing is cached any more."""
    ticket = dispatch(context)
    context.placer.finished(ticket, 1)
    prefixes = context.placer.schedulers[SERVICE].placement.prefixes
    assert "i-1" in prefixes.prefix_holders(BLOCKS)
    register(context, "i-1", incarnation=2)
    assert "i-1" not in prefixes.prefix_holders(BLOCKS)


def test_requests_at_the_former_process_end_without_effect_on_the_new_one(context):
    """Guards against a load below zero, or a new process that pays for old requests."""
    ticket = dispatch(context)
    register(context, "i-1", incarnation=2)
    with pytest.raises(EndiveError):
        context.placer.failed(
            ticket, RetryReason.SERVER_FAILED, started=True, max_attempts=1
        )
    assert (load(context).load, load(context).failures) == (0, 0)


def test_its_limit_and_brittleness_end_and_earlier_reports_are_late(context):
    """Guards against a limit of the former process that other nodes still pass on."""
    observe(context, request_limit=1.0, brittle_rejections=2.0)
    limits, brittle = context.limit_sharing, context.brittle_services
    told = limits.next_reports(), brittle.next_reports()
    register(context, "i-1", incarnation=2)
    for values, reports in zip((limits, brittle), told, strict=True):
        assert values.reports.limit("i-1") is None
        (server, value, age_s, id_), *_ = reports
        values.learn_told("n2", [(server, value, age_s + 0.5, id_ + 1)])
        assert values.reports.limit("i-1") is None
        values.learn_told("n2", [(server, 5.0, -0.5, id_ + 2)])
        assert values.reports.limit("i-1") == 5.0


def test_its_rest_and_departure_end(context):
    """Guards against a server that stays out although its new process serves."""
    context.server_statements.observe(
        "i-1",
        503,
        ResponseMetadata(not_run=True, rest_s=60.0),
        time.monotonic(),
        through="",
    )
    context.registry.mark_leaving("i-1", Departure(1, time.monotonic()))
    context.server_statements.refresh()
    assert not context.registry.get("i-1").usable
    register(context, "i-1", incarnation=2)
    context.server_statements.refresh()
    assert context.registry.get("i-1").usable
    assert not context.server_rests.is_resting("i-1")


def test_its_ejection_ends_although_others_still_report_its_failures(context):
    """Guards against a new process that is ejected for failures of the former one."""
    ejection, now = context.placer.ejection, time.monotonic()
    for _ in range(20):
        ejection.failed("i-1", now)
    for node in ("n2", "n3"):
        ejection.receive(node, {"i-1": 20}, now)
    assert ejection.ejected(SERVERS, now) == {"i-1"}
    register(context, "i-1", incarnation=2)
    ejection.receive("n2", {"i-1": 20}, now)
    assert ejection.ejected(SERVERS, now + 0.1) == set()


def test_a_new_process_that_fails_is_ejected_again(context):
    """Guards against failures that are ignored for good after a restart."""
    register(context, "i-1", incarnation=2)
    ejection, later = context.placer.ejection, time.monotonic() + 3.0
    for _ in range(20):
        ejection.failed("i-1", later)
    for node in ("n2", "n3"):
        ejection.receive(node, {"i-1": 20}, later)
    assert ejection.ejected(SERVERS, later) == {"i-1"}


def test_its_crashes_count_anew(context):
    """Guards against the second crash of one request that is taken for the first."""
    first = context.placer.crash_id("i-1")
    register(context, "i-1", incarnation=2)
    assert context.placer.crash_id("i-1") != first


def test_its_connections_and_blocks_are_forgotten(context):
    """Guards against connections to a process that is gone."""
    closed = []
    connection = SimpleNamespace(close=lambda: closed.append(1))
    context.pool.release("i-1", connection)
    block = Block(SERVICE, time.monotonic(), refused=True)
    context.paths.reachability.blocked["i-1"] = block
    register(context, "i-1", incarnation=2)
    assert closed == [1]
    assert "i-1" not in context.paths.reachability.blocked


def test_a_late_entry_of_the_earlier_incarnation_changes_nothing(context):
    """Guards against a new process that is taken for the former one, which left."""
    register(context, "i-1", incarnation=2, software_version="v2")
    observe(context, running=2, waiting=0)
    register(context, "i-1", incarnation=1, sequence=99, state=ServerState.LEAVING)
    known = context.registry.get("i-1")
    assert known.usable
    assert known.entry.software_version == "v2"
    assert load(context).load == 2


def test_a_further_entry_of_the_same_incarnation_forgets_nothing(context):
    """Guards against a server that looks idle after each of its entries."""
    observe(context, running=2, waiting=0)
    before = load(context)
    register(context, "i-1", incarnation=1, sequence=2, slots=9)
    assert load(context) is before
    assert before.load == 2
