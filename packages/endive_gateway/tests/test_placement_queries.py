"""Queries where a request would go, without sending it."""

import pickle
import time

import gevent
import pytest
import urllib3
from core_builders import call
from endive_core.calls import Refusal
from endive_core.placement_explanation import explain
from endive_core.routing import OrganisationLimits
from endive_ctl.cli import Commands
from endive_gateway.exceptions import QueryError
from endive_gateway.metrics import GatewayMetrics, MetricsServer
from endive_gateway.placement_queries import explain_placement
from gateway_builders import SERVICE, make_context, make_entry, make_route, make_table

TERMS = OrganisationLimits("o", priority=3, rate=100.0, burst=100.0)


@pytest.fixture
def context():
    table = make_table(
        make_route(name="r", public=False), organisations={"o": TERMS}, keys={"k": "o"}
    )
    made = make_context(table)
    for server in ("i-1", "i-2", "i-3"):
        made.registry.put(make_entry(server))
    made.registry.notify_listeners()
    return made


def scheduler_of(context):
    return context.placer.schedulers[SERVICE]


def by_id(answer):
    (service,) = answer["services"]
    return {c["id"]: c for c in service["candidates"]}


def test_each_server_is_listed_with_what_rules_it_out(context):
    """Guards against an answer that names a server which gets nothing."""
    servers = scheduler_of(context).servers
    paused, full = servers.servers["i-1"], servers.servers["i-2"]
    paused.paused = True
    servers.refresh(paused)
    context.placer.report("i-2", 8, 4)
    assert full.free < 0
    answer = explain_placement(context, {"route": "r", "organisation": "o"})
    found = by_id(answer)
    assert found["i-1"]["ruled_out_by"] == ("paused after failures",)
    assert found["i-2"]["ruled_out_by"] == ("no room for this node",)
    assert (found["i-2"]["running"], found["i-2"]["waiting"]) == (8, 4)
    assert found["i-3"]["ruled_out_by"] == ()
    assert next(iter(found)) == "i-3"
    assert answer["priority"] == 3


def test_an_overloaded_node_answers_with_the_refusal_and_changes_nothing(context):
    """Guards against a query that moves the times that refused callers are told."""
    scheduler, now = scheduler_of(context), time.monotonic()
    for server in ("i-1", "i-2", "i-3"):
        context.placer.report(server, 8, 50)
    while not isinstance(scheduler.offer(call(target_s=0.1), now), Refusal):
        pass
    windows = pickle.dumps(scheduler.admission.retry_windows.ends_at)
    queued, refusals = len(scheduler.queue), dict(scheduler.refusals)
    random_state = context.placer.random.getstate()
    for _ in range(50):
        explanation = explain(scheduler, call(target_s=0.1), now)
    assert explanation.refusal.startswith("overloaded")
    assert explanation.retry_after_s > 0
    assert len(explanation.candidates) == 3
    assert pickle.dumps(scheduler.admission.retry_windows.ends_at) == windows
    assert (len(scheduler.queue), dict(scheduler.refusals)) == (queued, refusals)
    assert context.placer.random.getstate() == random_state


def test_a_used_up_limit_is_told_and_not_spent(context):
    """Guards against a query that costs the organisation what a request would."""
    query = {"route": "r", "organisation": "o", "prompt_tokens": "50"}
    for _ in range(3):
        assert not explain_placement(context, query)["limit"]["is_refused"]
    context.limits.spend("o", 500.0)
    assert explain_placement(context, query)["limit"]["is_refused"]


@pytest.mark.parametrize(
    ("query", "message"),
    [
        ({}, "route"),
        ({"route": "none"}, "route"),
        ({"route": "r", "organisation": "x"}, "organisation"),
        ({"route": "r", "prompt_tokens": "many"}, "prompt_tokens"),
        ({"route": "r", "parts": "zz:1"}, "parts"),
        ({"route": "r", "parts": ",".join(["a:1"] * 65)}, "parts"),
        ({"route": "r", "colour": "red"}, "colour"),
        ({"route": "r", "prompt_tokens": "9" * 15}, "prompt_tokens"),
        ({"route": "r", "max_tokens": "-1"}, "max_tokens"),
        ({"route": "r", "deadline_s": "nan"}, "deadline_s"),
        ({"route": "r", "parts": "a:-1"}, "parts"),
        ({"route": "r", "parts": "a:" + "9" * 12}, "parts"),
    ],
)
def test_a_bad_query_names_the_field(context, query, message):
    """Guards against an answer for another request than the operator meant."""
    with pytest.raises(QueryError, match=message):
        explain_placement(context, query)


@pytest.fixture
def served(context):
    server = MetricsServer("127.0.0.1", 0, GatewayMetrics())
    server.queries["/placement"] = lambda fields: explain_placement(context, fields)
    server.start()
    yield f"127.0.0.1:{server.server.server_port}"
    server.stop()


def outside(function, *args, **options):
    """Call a blocking function while the server's greenlets run."""
    return gevent.get_hub().threadpool.apply(function, args, options)


def test_the_command_prints_the_table_or_json(served, capsys):
    """Guards against an answer that only programs can read, or none can."""
    outside(
        Commands().explain_placement,
        "r",
        node=served,
        organisation="o",
        parts="a:9,b:1",
    )
    text = capsys.readouterr().out
    assert "to i-" in text
    assert "RULED OUT BY" in text
    outside(
        Commands(output="json").explain_placement, "r", node=served, organisation="o"
    )
    assert '"candidates"' in capsys.readouterr().out


def test_a_bad_query_is_refused_and_other_paths_get_the_metrics(served):
    """Guards against a scrape that breaks, and an error that looks like an answer."""
    bad = outside(urllib3.request, "GET", f"http://{served}/placement?route=none")
    assert (bad.status, bad.json()["error"]["code"]) == (400, "bad_query")
    page = outside(urllib3.request, "GET", f"http://{served}/metrics")
    assert page.status == 200
