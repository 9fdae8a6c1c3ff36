"""Each caller gets its own answer, whatever arrives late, twice or by mistake."""

import pytest
from reclaims import assert_all_whole, metric, result_of, start_fleet, started


@pytest.mark.processes
def test_a_thousand_callers_over_garbled_streams_get_their_own_answers(tmp_path):
    """Engines repeat, swap and misdirect pieces of the answers they stream.

    A caller would read a garbled text, or tokens of a stranger's answer. Each token
    names its request and its index, so the callers see it if one is wrong.
    """
    rates = {"decode_tokens_per_s": 200, "max_batch": 128, "max_concurrent": 128}
    with started(tmp_path, **rates) as (cluster, servers):
        for server in servers:
            server.faults(garble={"repeat": 3, "reorder": 5, "foreign": 7})
        result = result_of(start_fleet(cluster, 1000, 40))
        assert_all_whole(result, 1000)
        for reason in ("repeated", "reordered", "foreign"):
            name = f"endive_pieces_dropped_{reason}"
            assert sum(metric(node, name) for node in cluster.nodes) > 0, reason
