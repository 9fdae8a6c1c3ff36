"""Each caller gets its own response although engines garble their streams."""

import pytest
from reclaims import (
    assert_all_complete,
    callers_result,
    metric,
    running_installation,
    start_callers,
)


@pytest.mark.processes
def test_a_thousand_callers_over_garbled_streams_get_their_own_answers(tmp_path):
    """Engines repeat, reorder and misdirect chunks of their streams.

    Unfiltered, a caller would get garbled text or tokens of another caller's response.
    Each token depends on its request and its index, so the callers detect a wrong one.
    """
    rates = {"decode_tokens_per_s": 200, "max_batch": 128, "max_concurrent": 128}
    with running_installation(tmp_path, **rates) as (cluster, servers):
        for server in servers:
            server.faults(garble={"repeat": 3, "reorder": 5, "foreign": 7})
        result = callers_result(start_callers(cluster, 1000, 40))
        assert_all_complete(result, 1000)
        for reason in ("repeated", "reordered", "foreign"):
            name = f"endive_pieces_dropped_{reason}"
            assert sum(metric(node, name) for node in cluster.nodes) > 0, reason
