"""Reclaim of backend servers: streams move, and the responses stay the same."""

import time

import builders
import pytest
from reclaims import (
    assert_all_complete,
    callers_result,
    metric,
    reclaim,
    running_installation,
    start_callers,
    wait_accepted,
)

SLOW = {"decode_tokens_per_s": 20, "prefill_tokens_per_s": 2000}
PADDING = 400
"""Words of padding, so many that recomputing a prompt is expensive."""


def total(servers, name):
    """Return the sum of one statistic over the servers that are still running."""
    running = [s for s in servers if s.process.poll() is None]
    return sum(server.stats()[name] for server in running)


def recomputed_after_reclaim(folder, seconds):
    """Reclaim one of two servers; return recomputed tokens and exported streams."""
    with running_installation(folder, nodes=2, engines=2, **SLOW) as (cluster, servers):
        fleet = start_callers(cluster, 16, 160, padding=PADDING)
        wait_accepted(cluster.nodes, 16)
        time.sleep(2.0)
        if seconds:
            reclaim(cluster, instance=servers[0].name, seconds=seconds)
            time.sleep(seconds)
        servers[0].kill()
        assert_all_complete(callers_result(fleet), 16)
        exported = sum(metric(n, "endive_streams_exported") for n in cluster.nodes)
        recomputed = total(servers, "recomputed_tokens")
        print(f"notice {seconds} s: {recomputed} recomputed, {exported} exported")
        return recomputed, exported


@pytest.mark.processes
def test_streams_leave_a_server_under_notice_with_their_kv_cache(tmp_path):
    """A server with long streams receives a notice and is killed three seconds later.

    Streams that stay until then are recomputed from the prompt on. With export and
    import of the KV cache they continue where they were, and each response equals that
    of an unmoved stream token by token.
    """
    (tmp_path / "killed").mkdir()
    (tmp_path / "moved").mkdir()
    killed, _ = recomputed_after_reclaim(tmp_path / "killed", 0)
    moved, exported = recomputed_after_reclaim(tmp_path / "moved", 3.0)
    assert exported >= 4
    assert moved * 10 <= killed


@pytest.mark.processes
def test_a_notice_too_short_for_exports_loses_no_token(tmp_path):
    """The notice is shorter than any export, so streams resume from prompt and tokens.

    The next server recomputes both, and the responses stay the same.
    """
    with running_installation(tmp_path, nodes=2, engines=2, **SLOW) as (
        cluster,
        servers,
    ):
        fleet = start_callers(cluster, 16, 160, padding=PADDING)
        wait_accepted(cluster.nodes, 16)
        time.sleep(2.0)
        reclaim(cluster, instance=servers[0].name, seconds=0.2)
        time.sleep(0.3)
        servers[0].kill()
        assert_all_complete(callers_result(fleet), 16)
        assert total(servers[1:], "recomputed_tokens") > 0


@pytest.mark.processes
def test_streams_do_not_move_into_the_zone_that_goes_next(tmp_path):
    """The servers of two zones receive notices one second apart.

    A stream that moved from the first zone into the second would move twice. After the
    second notice all streams run in the third zone.
    """
    with running_installation(tmp_path, nodes=1, engines=3, max_batch=64, **SLOW) as (
        cluster,
        servers,
    ):
        fleet = start_callers(cluster, 18, 150)
        wait_accepted(cluster.nodes, 18)
        time.sleep(1.0)
        node_zone = cluster.nodes[0].zone
        for server in servers[1:]:
            reclaim(cluster, instance=server.name, seconds=3.0)
            time.sleep(1.0)
        time.sleep(1.0)
        loads = [
            builders.call("GET", f"{server.url}/load").json() for server in servers
        ]
        for server in servers[1:]:
            server.kill()
        assert node_zone == "brest"
        assert [load["running"] for load in loads] == [18, 0, 0]
        assert_all_complete(callers_result(fleet), 18)
