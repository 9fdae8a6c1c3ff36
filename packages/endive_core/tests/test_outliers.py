from random import Random
from types import SimpleNamespace

from core_builders import view
from endive_core.calls import Tier
from endive_core.ejection import BASE_EJECTION_S, ClusterEjection
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
    """One of five servers becomes four times slower without failing, so that 1 call in
    5 misses its target."""
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
    """One of three servers fails every request, and another one has by chance got only
    four requests so far. If the comparison waited for its fifth, a third of the callers
    would get a failure until then."""
    made = detector([0.1, 0.1, 0.1])
    failing, rarely_used, _ = made.servers.servers.values()
    for server in made.servers.servers.values():
        server.samples = 0
    observe(made, [0.1] * 3, times=MIN_SAMPLES - 1)
    made.observe(made.servers.servers["s2"], seconds=0.1, expected_s=0.1)
    for _ in range(2 * MIN_SAMPLES):
        made.failed(failing)
    made.update_outliers(2.0)
    assert failing.slow
    assert not rarely_used.slow


def test_one_late_answer_does_not_hide_a_server_that_fails():
    """One of three servers fails every request, and the first answer of another one was
    very late. Only one may be marked: if that were the late one, the failing one would
    get further requests."""
    made = detector([0.1] * 3)
    late_once, failing, healthy = made.servers.servers.values()
    for server in (late_once, failing, healthy):
        server.samples = 0
    made.observe(late_once, seconds=30.0, expected_s=0.1)
    for _ in range(MIN_SAMPLES):
        made.failed(failing)
        made.observe(late_once, seconds=0.1, expected_s=0.1)
        made.observe(healthy, seconds=0.1, expected_s=0.1)
    made.update_outliers(2.0)
    assert made.slow == [failing]


def test_a_slow_server_that_was_removed_gets_no_probe():
    """A slow server is removed before its probe is due. A probe request would be sent
    to a server that is no longer known, and fail."""
    made = detector([0.1, 0.1, 0.4, 0.1, 0.1])
    made.servers.set_servers(view(f"s{i}", slots=8) for i in (0, 1, 3, 4))
    assert made.probe(7.0) is None


def test_a_server_that_fails_quickly_is_marked():
    """One of five servers fails two in five requests immediately while its health
    checks succeed. By its latency it looks best, and would attract ever more
    requests."""
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


def test_a_server_ejected_for_the_failures_of_all_nodes_gets_no_work_and_no_probe():
    """Other nodes report a failing server to which this node has sent hardly anything.
    Each probe would be one more failed request of a caller."""
    made = detector([0.1] * 5)
    made.ejection = ClusterEjection()
    made.ejection.receive("b", {"s2": 9}, 1.5)
    made.ejection.receive("c", {"s2": 9}, 1.5)
    made.update_outliers(2.0)
    assert "s2" not in made.servers.available[Tier.WITHIN_SHARE].positions
    assert made.probe(4.5) is None
    made.update_outliers(2.0 + BASE_EJECTION_S + 0.1)
    assert "s2" in made.servers.available[Tier.WITHIN_SHARE].positions


def test_marks_of_different_causes_leave_a_server_that_gets_work():
    """A node refused all requests although its servers were idle: those marked before
    two others restarted, and those ejected, were all that there were."""
    made = detector([0.1, 0.4, 0.1])
    assert [server.id for server in made.slow] == ["s1"]
    made.ejection = SimpleNamespace(ejected=lambda servers, now: {"s0", "s2"})
    for server in made.servers.servers.values():
        server.samples = 0
    for second in range(2, 9):
        made.update_outliers(float(second))
        available = made.servers.available[Tier.WITHIN_SHARE].positions
        assert set(available) == {"s1"}
    made.ejection = SimpleNamespace(ejected=lambda servers, now: {"s0"})
    made.update_outliers(9.0)
    assert set(available) == {"s1", "s2"}
