"""Announced reclaim of nodes: accepted requests are served by other nodes."""

import json
import signal
import threading
import time

import builders
import pytest
import urllib3
from reclaims import (
    assert_all_complete,
    callers_result,
    metric,
    nodes_in_zone,
    reclaim,
    running_installation,
    start_callers,
    text_of,
    wait_accepted,
)


@pytest.mark.processes
def test_a_reclaimed_zone_loses_no_request(tmp_path):
    """A zone is reclaimed while its node has queued and streaming requests.

    Without a handover the callers' connections break and no node knows their requests.
    With it every caller gets the complete response after resuming at another node.
    """
    with running_installation(tmp_path) as (cluster, _):
        fleet = start_callers(cluster, 90, 100)
        wait_accepted(cluster.nodes, 90)
        reclaim(cluster, "brest")
        time.sleep(3.0)
        for node in nodes_in_zone(cluster, "brest"):
            node.kill()
        result = callers_result(fleet)
        assert_all_complete(result, 90)
        assert result["counts"]["resumed"] >= 30, result


@pytest.mark.processes
def test_a_second_zone_goes_while_the_first_still_drains(tmp_path):
    """Nodes and servers of two of three zones are reclaimed a second apart.

    The node in the second zone has just taken requests over when it receives its own
    notice. If it kept them, they would be lost with it. It hands them over again, and
    streams leave the servers of both zones.
    """
    with running_installation(tmp_path, engines=3, max_batch=128) as (cluster, servers):
        fleet = start_callers(cluster, 90, 200)
        wait_accepted(cluster.nodes, 90)
        began_at = time.monotonic()
        reclaim(cluster, "brest")
        time.sleep(1.0)
        reclaim(cluster, "quimper")
        (second,) = nodes_in_zone(cluster, "quimper")
        taken, given = 0.0, 0.0
        while not 0.0 < taken <= given - 30 and time.monotonic() < began_at + 2.8:
            time.sleep(0.1)
            taken = metric(second, "endive_handover_requests_taken")
            given = metric(second, "endive_handover_requests_given")
        for number, zone in enumerate(("brest", "quimper")):
            time.sleep(max(0.0, began_at + 3.0 + number - time.monotonic()))
            for process in [*nodes_in_zone(cluster, zone), servers[number]]:
                process.kill()
        assert_all_complete(callers_result(fleet), 90)
        assert taken > 0
        assert given >= 30 + taken


@pytest.mark.processes
def test_a_holder_dies_in_the_middle_of_handing_over(tmp_path):
    """A node is killed after sending its handover records, before it reports its stop.

    Its targets hold requests that possibly no node runs. If they waited for the report,
    callers would never get a response. They start the requests once the sender must
    have ended, or when a caller asks for one.
    """
    with running_installation(tmp_path) as (cluster, _):
        first, *others = cluster.nodes
        fleet = start_callers(cluster, 60, 100)
        wait_accepted(cluster.nodes, 60)
        for node in others:
            node.signal(signal.SIGSTOP)
        reclaim(cluster, first.zone)
        time.sleep(0.6)
        first.kill()
        for node in others:
            node.signal(signal.SIGCONT)
        assert_all_complete(callers_result(fleet), 60)
        taken = sum(metric(n, "endive_handover_requests_taken") for n in others)
        assert taken == 20


@pytest.mark.processes
def test_a_target_that_does_not_answer_is_passed_over(tmp_path):
    """The target of a handover is dead, but not yet detected as such.

    A node that waited for it would end with its requests. The next target takes them.
    """
    with running_installation(tmp_path) as (cluster, _):
        first, second, third = cluster.nodes
        urls = [first, third]
        second.kill()
        cluster.nodes = urls
        fleet = start_callers(cluster, 40, 100)
        wait_accepted(urls, 40)
        reclaim(cluster, first.zone)
        time.sleep(3.0)
        first.kill()
        assert_all_complete(callers_result(fleet), 40)
        assert metric(third, "endive_handover_requests_taken") == 20


@pytest.mark.processes
def test_the_request_sent_again_with_its_key_joins_the_moved_answer(tmp_path):
    """A caller has lost its connection and knows only its idempotency key.

    If the key didn't lead to the moved request, the repeated call would run the whole
    request a second time, and its response could differ from the first one.
    """
    with running_installation(tmp_path) as (cluster, servers):
        first, second, third = cluster.nodes
        body = {"model": "chat", "prompt": "quote", "max_tokens": 120, "stream": True}
        responses = []
        caller = threading.Thread(
            target=lambda: responses.append(
                first.post("/v1/completions", body, Idempotency_Key="k-1")
            )
        )
        caller.start()
        wait_accepted([first], 1)
        time.sleep(0.5)
        reclaim(cluster, first.zone)
        caller.join()
        assert b'"code":"moved"' in responses[0].data
        error = json.loads(responses[0].data.rpartition(b"data: ")[2])["error"]
        request_id = error["request_id"]
        time.sleep(error["retry_after_s"])
        expected = "".join(builders.expected_tokens("quote", 120))
        for node in (second, third):
            repeated = node.post(
                "/v1/completions", body | {"stream": False}, Idempotency_Key="k-1"
            )
            assert text_of(repeated) == expected
            assert repeated.headers["X-Request-Id"] == request_id
        runs = sum(
            server.stats()["executions"].get(request_id, 0) for server in servers
        )
        assert runs == 2  # once before the handover, once after it


def send_until_known(first, others, outcomes, number):
    """Send a non-idempotent request until its outcome is known; record each code."""
    headers = {"Idempotency_Key": f"c-{number}", "Endive_Non_Idempotent": "true"}
    for turn in range(12):
        node = others[turn % 2] if turn else first
        try:
            response = node.post("/services/courts/book", {"n": number}, **headers)
        except urllib3.exceptions.HTTPError:
            continue
        code = 200 if response.status == 200 else response.json()["error"]["code"]
        outcomes.setdefault(number, []).append(code)
        if code in (200, "outcome_unknown"):
            return
        time.sleep(0.5)


def start_non_idempotent_callers(cluster):
    """Start 24 callers at the first node; return the server, threads and outcomes."""
    first, *others = cluster.nodes
    plain = cluster.plain("court-1", service_s=0.5)
    builders.wait_until(plain.is_ready, plain.name)
    cluster.apply(builders.service("courts", [plain], "plain", max_concurrent=8))
    builders.wait_until(
        lambda: first.post("/services/courts/warm", {}).status == 200, "courts"
    )
    outcomes = {}
    callers = [
        threading.Thread(
            target=send_until_known, args=(first, others, outcomes, number)
        )
        for number in range(24)
    ]
    for caller in callers:
        caller.start()
    time.sleep(0.8)
    return plain, callers, outcomes


def repeat_requests(node):
    """Send each non-idempotent request again; return the codes."""
    codes = []
    for number in range(24):
        response = node.post(
            "/services/courts/book",
            {"n": number},
            Idempotency_Key=f"c-{number}",
            Endive_Non_Idempotent="true",
        )
        code = 200 if response.status == 200 else response.json()["error"]["code"]
        codes.append(code)
    return codes


REPEAT_CODES = {200, "duplicate_request", "outcome_unknown"}
"""Codes that a repeated request may get. None says that the request was not run."""


@pytest.mark.processes
def test_non_idempotent_requests_change_nodes_and_run_once(tmp_path):
    """A node is reclaimed with non-idempotent requests queued, claimed and running.

    If two nodes dispatched one of them, it would run twice. Each runs at most once, and
    one reported as not run has not run. A repeat may get an unknown outcome where the
    reclaimed node ended before it told its successor; that may happen to four of 24.
    """
    with running_installation(tmp_path) as (cluster, _):
        first, *others = cluster.nodes
        plain, callers, outcomes = start_non_idempotent_callers(cluster)
        reclaim(cluster, instance=first.node_id, seconds=2.0)
        time.sleep(2.0)
        first.kill()
        for caller in callers:
            caller.join()
        repeated = repeat_requests(others[0])
        assert set(repeated) <= REPEAT_CODES
        assert repeated.count("outcome_unknown") <= 4, repeated
        runs = plain.stats()["executions"]
        assert max(runs.values()) == 1, runs
        ended = [codes[-1] for codes in outcomes.values()]
        assert ended.count(200) + ended.count("outcome_unknown") == 24, outcomes
        booked = sum(runs.values()) - 1  # without the warm-up call
        assert ended.count(200) <= booked <= 24
        assert ended.count(200) >= 20, outcomes


@pytest.mark.processes
@pytest.mark.parametrize("frozen_after_s", [0.1, 0.4])
def test_a_node_that_freezes_during_a_handover_of_non_idempotent_requests(
    tmp_path, frozen_after_s
):
    """A reclaimed node hands non-idempotent requests over, freezes before it reports
    their outcomes, and is killed.

    The successor can't know which of them a server ran. It must report the outcome as
    unknown: a caller that is told "not run" would run the request a second time.
    """
    with running_installation(tmp_path) as (cluster, _):
        first, *others = cluster.nodes
        plain, callers, outcomes = start_non_idempotent_callers(cluster)
        reclaim(cluster, instance=first.node_id, seconds=2.0)
        time.sleep(frozen_after_s)
        first.signal(signal.SIGSTOP)
        time.sleep(2.0 - frozen_after_s)
        first.kill()
        for caller in callers:
            caller.join()
        repeated = repeat_requests(others[0])
        assert set(repeated) <= REPEAT_CODES
        runs = plain.stats()["executions"]
        assert max(runs.values()) == 1, runs
        final_codes = [codes[-1] for codes in outcomes.values()]
        assert set(final_codes) <= REPEAT_CODES
