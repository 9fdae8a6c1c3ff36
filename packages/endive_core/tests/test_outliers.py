from random import Random

from core_builders import view
from endive_core.calls import Tier
from endive_core.ejection import HOLD_S, ClusterEjection
from endive_core.outliers import MIN_SAMPLES, OutlierDetector
from endive_core.policy import Policy
from endive_core.servers import ServerSet


def detector(latencies):
    servers = ServerSet(Random(1), reserved_share=0.08, divided_share=0.1)
    servers.set_servers(view(f"s{i}", slots=8) for i in range(len(latencies)))
    made = OutlierDetector(Policy(), servers)
    observe(made, latencies)
    made.update_outliers(1.0)
    return made


def observe(made, latencies, times=3 * MIN_SAMPLES):
    for server, seconds in zip(made.servers.servers.values(), latencies, strict=True):
        for _ in range(times):
            made.observe(server, seconds=seconds, expected_s=0.1)


def test_slow_server_gets_only_probes_until_it_is_as_fast_as_its_peers():
    """One of five servers has become four times slower without failing, so that 1 call
    in 5 misses its target."""
    made = detector([0.1, 0.1, 0.4, 0.1, 0.1])
    slow = made.servers.servers["s2"]
    assert slow.slow
    assert "s2" not in made.servers.available[Tier.WITHIN_SHARE].positions
    assert made.probe(2.0) is None
    assert made.probe(7.0) is slow
    assert made.probe(7.1) is None
    observe(made, [0.1] * 5)
    made.update_outliers(8.0)
    assert not slow.slow
    assert "s2" in made.servers.available[Tier.WITHIN_SHARE].positions


def test_load_that_slows_all_servers_marks_none():
    made = detector([0.9, 1.0, 1.1, 0.9, 1.0])
    assert not made.slow


def test_at_most_a_third_is_marked():
    made = detector([0.1, 0.1, 0.1, 0.1, 0.5, 0.6, 0.7])
    assert len(made.slow) == 2


def test_too_few_latencies_mark_nothing():
    made = detector([0.1, 0.1, 0.1])
    server = made.servers.servers["s0"]
    server.samples = 1
    made.observe(server, seconds=5.0, expected_s=0.1)
    made.update_outliers(3.0)
    assert not made.slow


def test_a_failing_server_is_found_before_all_peers_have_many_latencies():
    """One of three servers fails every request, and chance has sent another one only
    four so far. Until that one had a fifth, a third of all callers got a failure."""
    made = detector([0.1, 0.1, 0.1])
    failing, rare, _ = made.servers.servers.values()
    for server in made.servers.servers.values():
        server.samples = 0
    observe(made, [0.1] * 3, times=MIN_SAMPLES - 1)
    made.observe(made.servers.servers["s2"], seconds=0.1, expected_s=0.1)
    for _ in range(2 * MIN_SAMPLES):
        made.failed(failing)
    made.update_outliers(2.0)
    assert failing.slow
    assert not rare.slow


def test_one_late_answer_does_not_hide_a_server_that_fails():
    """One of three servers fails every request, and the first answer of another one was
    very late. Were that one taken for the slow one, the failing one would go on."""
    made = detector([0.1] * 3)
    late, failing, well = made.servers.servers.values()
    for server in (late, failing, well):
        server.samples = 0
    made.observe(late, seconds=30.0, expected_s=0.1)
    for _ in range(MIN_SAMPLES):
        made.failed(failing)
        made.observe(late, seconds=0.1, expected_s=0.1)
        made.observe(well, seconds=0.1, expected_s=0.1)
    made.update_outliers(2.0)
    assert made.slow == [failing]


def test_a_slow_server_that_is_gone_gets_no_probe():
    """A slow server leaves before its probe is due. The probe's request would go to a
    server that nobody knows any more, and fail."""
    made = detector([0.1, 0.1, 0.4, 0.1, 0.1])
    made.servers.set_servers(view(f"s{i}", slots=8) for i in (0, 1, 3, 4))
    assert made.probe(7.0) is None


def test_a_server_that_fails_quickly_is_no_good_choice():
    """One of five servers fails two in five requests at once, its health good. By its
    latency it is the best of all, and would draw ever more requests."""
    made = detector([0.1] * 5)
    failing = made.servers.servers["s3"]
    for turn in range(30):
        for server in made.servers.servers.values():
            if server is failing and turn % 5 < 2:
                made.failed(server)
            else:
                made.observe(server, seconds=0.1, expected_s=0.1)
    made.update_outliers(3.0)
    assert made.slow == [failing]


def test_failures_that_all_servers_share_mark_none():
    made = detector([0.1] * 5)
    for turn in range(30):
        for server in made.servers.servers.values():
            if turn % 7 == 0:
                made.failed(server)
            else:
                made.observe(server, seconds=0.1, expected_s=0.1)
    made.update_outliers(3.0)
    assert not made.slow


def test_a_server_that_fails_under_all_nodes_gets_no_work_and_no_probe():
    """Other nodes tell of a server that fails. This one has hardly sent it anything,
    and each of its probes would be one more caller's failure."""
    made = detector([0.1] * 5)
    made.ejection = ClusterEjection()
    made.ejection.receive("b", {"s2": 9}, 1.5)
    made.ejection.receive("c", {"s2": 9}, 1.5)
    made.update_outliers(2.0)
    assert "s2" not in made.servers.available[Tier.WITHIN_SHARE].positions
    assert made.probe(4.5) is None
    made.update_outliers(2.0 + HOLD_S + 0.1)
    assert "s2" in made.servers.available[Tier.WITHIN_SHARE].positions
