"""Checks traces of real nodes against the specification of claims."""

import re
from dataclasses import replace

import builders
import pytest
from endive_core.claims import claim_shard
from endive_core.records import Claim, claim_stream, decode
from test_claims import BookingCluster, run_concurrently

from spec.claims import Append
from spec.replay import Trace, conforms

pytestmark = pytest.mark.processes
ENDED = re.compile(r"event=request_ended request_id=(\S+) .*events=(\S+)")


def ended_requests(nodes):
    """Return the events of each ended request by id, from the nodes' log lines."""
    text = "".join(node.output.read_text() for node in nodes)
    return {rid: tuple(e.split(",")) for rid, e in ENDED.findall(text)}


def trace_of(cluster, nodes, key):
    """Return the trace of one key, from the log's records and the nodes' log lines."""
    full_key = f"kerloch/{key}"
    stream = claim_stream(claim_shard(full_key))
    response = builders.call(
        "GET", f"{cluster.log.url}/streams/{stream}/records?from=0"
    )
    records = [decode(entry["body"]) for entry in response.json()["records"]]
    records = [record for record in records if record.key == full_key]
    claims = {r.claim_id: r for r in records if isinstance(r, Claim)}
    requests = list(dict.fromkeys(claim.request_id for claim in claims.values()))
    tries = {}
    for claim in claims.values():
        earlier = [
            n for c, n in tries.items() if claims[c].request_id == claim.request_id
        ]
        tries[claim.claim_id] = len(earlier) + 1
    ended = ended_requests(nodes)
    return Trace(
        tuple(ended[request_id] for request_id in requests),
        tuple(
            Append(
                "claim" if isinstance(r, Claim) else "release",
                requests.index(claims[r.claim_id].request_id),
                tries[r.claim_id],
            )
            for r in records
        ),
    )


def settled(cluster, nodes, key):
    """Wait until all claims but the winner's are released; return the trace."""

    def is_settled():
        kinds = [record.kind for record in trace_of(cluster, nodes, key).records]
        claims = {r for r in trace_of(cluster, nodes, key).records if r.kind == "claim"}
        return kinds.count("release") >= len(claims) - 1

    builders.wait_until(is_settled, "releases")
    return trace_of(cluster, nodes, key)


def test_runs_of_real_nodes_are_paths_of_the_specification(cluster):
    """If nodes and specification differed, model checking the specification would prove
    nothing about the nodes. Each key is sent to three nodes at once, in turn without
    faults, with lost append responses, with requests that a server refuses before it
    runs them, and with lost responses of a server."""
    booking = BookingCluster(cluster)
    faults = {
        "plain": lambda: None,
        "lost-append": lambda: cluster.log.faults(lose_answers=2),
        "refused": lambda: [s.faults(reject_next=1) for s in booking.servers],
        "lost-answer": lambda: [s.faults(lose_answers=1) for s in booking.servers],
    }
    for key, order in faults.items():
        order()
        run_concurrently([(booking.book, node, key) for node in booking.nodes])
        trace = settled(cluster, booking.nodes, key)
        assert len(trace.events) == 3, trace
        assert conforms(trace), trace


def test_replay_notices_a_run_that_the_specification_forbids():
    """The replay rejects traces such as that of a node that lost its claim and sent the
    request nevertheless."""
    won = ("enqueue", "claim", "won", "dispatch", "complete")
    lost = ("enqueue", "claim", "refuse")
    records = (Append("claim", 0, 1), Append("claim", 1, 1), Append("release", 1, 1))
    right = Trace((won, lost), records)
    assert conforms(right)
    assert not conforms(replace(right, events=(won, won)))
    assert not conforms(replace(right, events=(lost, won)))
    assert not conforms(replace(right, records=records[::-1][1:]))
