import time

import gevent
import pytest
from endive_core.routing import Engine, RouteKind, Service
from endive_core.scheduler import Scheduler
from endive_gateway.interfaces import Bounds, ServerState
from endive_gateway.placing import GATEWAY_POLICY
from endive_gateway.prefix_fetching import PrefixFetching
from endive_gateway.servers import Departure, ServerRegistry
from gateway_builders import (
    SERVICE,
    RunningGateway,
    connected_peers,
    make_context,
    make_entry,
    make_route,
    make_table,
)
from server_builders import ScriptedServer, close_connection, events

ENGINE = Engine(
    slots=64,
    transfers=True,
    kv_bytes_per_token=18_432,
    link_bytes_per_s=69e9,
    kv_capacity_tokens=480_000,
)
PROMPT = {"method": "POST", "body": b"", "tokens": "9000,5", "parts": "1:8000,2:1000"}


def fetching_table(engine=ENGINE, **route):
    """Return a table with one route to engines."""
    options = {"kind": RouteKind.STREAM, "engine": True, "resumable": True}
    table = make_table(make_route(**(options | route)))
    table.services[SERVICE] = Service(SERVICE, engine=engine)
    return table


def late(sock, received):
    """Stream two events, the first one late if it is to fetch."""
    if "fetch" in received.headers:
        gevent.sleep(0.8)
    return events(1, 2)(sock, received)


class Engines:
    """A gateway before three engines, one of which has answered a prompt."""

    def __init__(self, **route):
        self.servers = {}
        for name in ("i-1", "i-2", "i-3"):
            server = ScriptedServer(server_id=name)
            server.answer_rest = events(1, 2)
            self.servers[name] = server
        self.running = RunningGateway(
            *self.servers.values(), table=fetching_table(**route)
        )
        self.context = self.running.context

    def __enter__(self):
        self.running.__enter__()
        assert self.running.call(**PROMPT).whole
        self.holder = next(s for s in self.servers.values() if s.received)
        self.others = [s for s in self.servers.values() if s is not self.holder]
        self.context.placer.backlogs.receive(
            "other", {self.holder.id: 300_000}, time.monotonic()
        )
        return self

    def __exit__(self, *exc_info):
        self.running.__exit__(*exc_info)

    @property
    def received(self):
        """The requests that the other engines received."""
        return [received for server in self.others for received in server.received]


def test_a_prompt_at_another_engine_names_the_one_that_has_its_part():
    """A shared part was computed again at each engine."""
    with Engines() as engines:
        assert engines.running.call(**PROMPT).whole
        (received,) = engines.received
        assert received.headers["fetch"] == engines.holder.address
        assert engines.context.prefix_fetching.outcomes["asked"] == 1


@pytest.mark.parametrize(
    ("table", "bound"),
    [(fetching_table(Engine(slots=64)), 1e12), (fetching_table(), 0.0)],
    ids=["engines that can not", "bound of zero"],
)
def test_nothing_is_fetched_where_it_is_off(table, bound):
    """A server that does not know the header may refuse or ignore it."""
    with Engines() as engines:
        context = engines.context
        context.placer.configure(table)
        context.prefix_fetching.set_total(bound)
        assert engines.running.call(**PROMPT).whole
        assert all("fetch" not in received.headers for received in engines.received)


def test_a_request_whose_fetch_hangs_is_served_elsewhere_within_its_target():
    """The source is dead; its destination waits for it for longer than the caller."""
    with Engines(target_s=0.6, timeout_s=5.0) as engines:
        for server in engines.others:
            server.script = [late]
        started_at = time.monotonic()
        assert engines.running.call(**PROMPT).whole
        assert time.monotonic() - started_at < 0.6
        assert engines.context.prefix_fetching.paused_sources() == 1
        fetched = [r for s in engines.servers.values() for r in s.received]
        assert sum("fetch" in received.headers for received in fetched) == 1


def test_a_request_that_may_not_run_twice_waits_for_its_fetch():
    """Sent to a second engine, a stream that isn't resumable would run twice."""
    with Engines(target_s=0.4, timeout_s=5.0, resumable=False) as engines:
        for server in engines.others:
            server.script = [late]
        assert engines.running.call(**PROMPT).whole
        assert len(engines.received) == 1
        assert engines.context.prefix_fetching.outcomes["late"] == 1


def test_without_retries_left_a_hanging_fetch_is_waited_for():
    """A request that is given up while no retry is left would be lost."""
    with Engines(target_s=0.4, timeout_s=5.0, max_attempts=1) as engines:
        for server in engines.others:
            server.script = [late]
        assert engines.running.call(**PROMPT).whole


def test_a_retry_budget_spent_meanwhile_ends_no_wait_for_a_fetch():
    """The budget had a retry when the request was sent, and none when it was late."""
    with Engines(target_s=0.4, timeout_s=5.0) as engines:
        for server in engines.others:
            server.answer_rest = late
        caller = engines.running.caller()
        caller.send(**PROMPT)
        gevent.sleep(0.05)
        budget = engines.context.retry_budget(SERVICE)
        while budget.spend(time.monotonic(), nodes=1):
            pass
        assert caller.receive().whole


def test_a_request_that_fails_after_a_fetch_is_retried_without_one():
    """The same source would fail it again."""
    with Engines() as engines:
        for server in engines.others:
            server.script = [close_connection]
        assert engines.running.call(**PROMPT).whole
        every = [r for s in engines.servers.values() for r in s.received]
        assert sum("fetch" in received.headers for received in every) == 1


# Which servers are sources


def sources_of(*entries, now=0.0, loaded=True):
    """Return the registry, the fetching and the sources of some entries."""
    registry = ServerRegistry()
    registry.is_loaded = loaded
    fetching = PrefixFetching(registry)
    for entry in entries:
        registry.put(entry)
    return registry, fetching, fetching._sources(SERVICE, now)


def test_a_server_under_notice_is_a_source_until_shortly_before_its_end():
    """Its parts are lost with it, and it gets no requests of its own."""
    entry = make_entry(state=ServerState.LEAVING, leaves_in_s=2.5)
    _, fetching, sources = sources_of(entry, now=10.0)
    assert 11.5 < sources["i-1"].until < 12.0
    assert fetching._sources(SERVICE, 11.0) == sources


def test_a_server_that_drains_without_an_end_is_a_source_for_a_second():
    """It may end with its last request."""
    _, _, sources = sources_of(make_entry(state=ServerState.LEAVING), now=10.0)
    assert sources["i-1"].until == 11.0
    registry, fetching, _ = sources_of(make_entry(), now=10.0)
    registry.mark_leaving("i-1", Departure(0, 20.0))
    assert fetching._sources(SERVICE, 20.0)["i-1"].until == 21.0


def test_of_two_servers_at_one_address_the_later_one_is_there():
    """A dead server's address is given to another one, which has none of its parts."""
    _, _, sources = sources_of(
        make_entry("i-1", incarnation=5), make_entry("i-2", incarnation=9)
    )
    assert set(sources) == {"i-2"}
    _, _, sources = sources_of(
        make_entry("i-1", incarnation=5),
        make_entry("i-2", incarnation=9, service="other"),
    )
    assert not sources


def test_a_contradicted_or_lapsed_server_is_no_source():
    """Another server answered at its address, or its entry is gone."""
    registry, fetching, _ = sources_of(make_entry())
    registry.drop("i-1", time.monotonic(), after_outage=True)
    assert not fetching._sources(SERVICE, 0.0)


def test_a_restarted_server_has_been_there_since_its_restart():
    """Under its old id it holds nothing of what it held."""
    registry, fetching, _ = sources_of(make_entry(incarnation=1))
    fetching.settle()
    registry.put(make_entry(incarnation=2))
    assert fetching._sources(SERVICE, 50.0)["i-1"].since == 50.0
    born = round((time.time() - 3.0) * 1000)
    registry.put(make_entry(incarnation=born))
    assert fetching._sources(SERVICE, 50.0)["i-1"].since == pytest.approx(47.0, abs=0.5)


def test_nodes_divide_the_bound_among_them():
    """Each node alone would use all of it."""
    context = make_context(bounds=Bounds(fetch_bytes_per_s=6e9))
    context.set_nodes(3)
    assert context.prefix_fetching.budget.bytes_per_s == 2e9


def test_a_service_without_transfers_gets_no_planner():
    """Existing deployments are served as before."""
    registry = ServerRegistry()
    fetching = PrefixFetching(registry)
    scheduler = Scheduler.from_policy(GATEWAY_POLICY, None)
    fetching.refresh(SERVICE, Service(SERVICE, engine=ENGINE), scheduler)
    assert scheduler.placement.fetching is not None
    fetching.refresh(SERVICE, Service(SERVICE, engine=Engine(64)), scheduler)
    assert scheduler.placement.fetching is None


def test_nodes_tell_each_other_which_sources_delay():
    """Each node had to find a silent source by a late request of its own."""
    first, second, third = nodes = connected_peers(3)
    for node in nodes:
        node.context.placer.configure(fetching_table())
        node.context.registry.put(make_entry(incarnation=7))
        node.context.placer.refresh()
        node.trust = node.context.prefix_fetching.planners[SERVICE].trust
    now = time.monotonic()
    for node in (first, second):
        node.trust.failed("i-1", 1, now)
        assert third.trust.may_name("i-1", now)
        node.send_state()
    assert not third.trust.may_name("i-1", now)
    assert not third.context.prefix_fetching.next_reports()
    restarted = make_entry(incarnation=8)
    third.context.registry.put(restarted)
    third.context.placer.refresh()
    assert third.trust.may_name("i-1", now)
    first.send_state()
    assert third.trust.may_name("i-1", now)
