from endive_core.quotas import Quota
from endive_core.resources import Organisation


def test_each_node_enforces_its_part_of_the_rate():
    quota = Quota(Organisation(tokens_per_s=1000))
    assert quota.wait_s(400, 0.0, nodes=5) == 0
    quota.spend(400)
    wait = quota.wait_s(400, 0.0, nodes=5)
    assert wait == 2.0
    assert quota.wait_s(400, wait, nodes=5) == 0


def test_calls_in_flight_are_bounded():
    quota = Quota(Organisation(max_in_flight=10))
    for _ in range(2):
        assert quota.wait_s(1, 0.0, nodes=5) == 0
        quota.spend(1)
    assert quota.wait_s(1, 0.0, nodes=5) > 0
