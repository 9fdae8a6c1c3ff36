"""Announced reclaim of nodes: what is accepted there is answered elsewhere."""

import json
import signal
import threading
import time

import builders
import pytest
from reclaims import (
    assert_all_whole,
    in_zone,
    metric,
    reclaim,
    result_of,
    start_fleet,
    started,
    text_of,
    wait_accepted,
)


@pytest.mark.processes
def test_a_reclaimed_zone_loses_no_request(tmp_path):
    """A zone is reclaimed while its node has requests waiting and streaming.

    Without a handover the callers' connections break and nobody knows their requests
    any more. With it every caller has its whole answer, token by token, after going
    on at another node.
    """
    with started(tmp_path) as (cluster, _):
        fleet = start_fleet(cluster, 90, 100)
        wait_accepted(cluster.nodes, 90)
        reclaim(cluster, "brest")
        time.sleep(3.0)
        for node in in_zone(cluster, "brest"):
            node.kill()
        result = result_of(fleet)
        assert_all_whole(result, 90)
        assert result["counts"]["resumed"] >= 30, result


@pytest.mark.processes
def test_a_second_zone_goes_while_the_first_still_drains(tmp_path):
    """Two of three zones are reclaimed a second apart, nodes and servers alike.

    The node in the second zone has just taken requests over when it must go itself.
    If it kept them, their callers would wait for answers that died with it. It hands
    them on, and streams leave the servers of both zones.
    """
    with started(tmp_path, engines=3, max_batch=128) as (cluster, servers):
        fleet = start_fleet(cluster, 90, 200)
        wait_accepted(cluster.nodes, 90)
        reclaim(cluster, "brest")
        time.sleep(1.0)
        reclaim(cluster, "quimper")
        (second,) = in_zone(cluster, "quimper")
        time.sleep(1.0)
        taken = metric(second, "endive_handover_requests_taken")
        given = metric(second, "endive_handover_requests_given")
        for number, zone in enumerate(("brest", "quimper")):
            time.sleep(1.0)
            for process in [*in_zone(cluster, zone), servers[number]]:
                process.kill()
        assert_all_whole(result_of(fleet), 90)
        assert taken > 0
        assert given >= 30 + taken


@pytest.mark.processes
def test_a_holder_dies_in_the_middle_of_handing_over(tmp_path):
    """A node has sent its records and is killed before it could say that it stopped.

    Its targets hold requests which nobody may be running. If they waited for the
    sender's word, callers would wait for ever; they start them when the sender must
    be gone, or when a caller asks.
    """
    with started(tmp_path) as (cluster, _):
        first, *others = cluster.nodes
        fleet = start_fleet(cluster, 60, 100)
        wait_accepted(cluster.nodes, 60)
        for node in others:
            node.signal(signal.SIGSTOP)
        reclaim(cluster, first.zone)
        time.sleep(0.6)
        first.kill()
        for node in others:
            node.signal(signal.SIGCONT)
        assert_all_whole(result_of(fleet), 60)
        taken = sum(metric(n, "endive_handover_requests_taken") for n in others)
        assert taken == 20


@pytest.mark.processes
def test_a_target_that_does_not_answer_is_passed_over(tmp_path):
    """The node that should take a request over is dead, but not yet known to be.

    A node that waited for it would die with its requests; the next one takes them.
    """
    with started(tmp_path) as (cluster, _):
        first, second, third = cluster.nodes
        urls = [first, third]
        second.kill()
        cluster.nodes = urls
        fleet = start_fleet(cluster, 40, 100)
        wait_accepted(urls, 40)
        reclaim(cluster, first.zone)
        time.sleep(3.0)
        first.kill()
        assert_all_whole(result_of(fleet), 40)
        assert metric(third, "endive_handover_requests_taken") == 20


@pytest.mark.processes
def test_the_request_sent_again_with_its_key_joins_the_moved_answer(tmp_path):
    """A caller has lost its connection and knows only its idempotency key.

    Without a way to find the moved request, the second call would run all of it a
    second time, and a caller that sent both would get two answers.
    """
    with started(tmp_path) as (cluster, servers):
        first, second, third = cluster.nodes
        body = {"model": "chat", "prompt": "quote", "max_tokens": 120, "stream": True}
        answers = []
        caller = threading.Thread(
            target=lambda: answers.append(
                first.post("/v1/completions", body, Idempotency_Key="k-1")
            )
        )
        caller.start()
        wait_accepted([first], 1)
        time.sleep(0.5)
        reclaim(cluster, first.zone)
        caller.join()
        assert b'"code":"moved"' in answers[0].data
        error = json.loads(answers[0].data.rpartition(b"data: ")[2])["error"]
        request_id = error["request_id"]
        time.sleep(error["retry_after_s"])
        expected = "".join(builders.expected_tokens("quote", 120))
        for node in (second, third):
            again = node.post(
                "/v1/completions", body | {"stream": False}, Idempotency_Key="k-1"
            )
            assert text_of(again) == expected
            assert again.headers["X-Request-Id"] == request_id
        runs = sum(
            server.stats()["executions"].get(request_id, 0) for server in servers
        )
        assert runs == 2  # once before the handover, once after it
