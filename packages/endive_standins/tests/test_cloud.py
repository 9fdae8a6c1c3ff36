import time

import pytest
from endive_standins.cloud import Cloud

LAUNCH = {"client_token": "t1", "zone": "zone-a", "machine_class": "small"}


@pytest.fixture
def cloud():
    return Cloud.from_config(seed=3)


def launch(call, cloud, token, **fields):
    body = {**LAUNCH, "client_token": token, **fields}
    return call(cloud, "POST", "/instances", body)


def listed(call, cloud, query=""):
    instances = call(cloud, "GET", f"/instances{query}")[1]["instances"]
    return [instance["id"] for instance in instances]


def test_prices_differ_by_pool_and_follow_the_seed(call, cloud):
    prices = call(cloud, "GET", "/prices")[1]["prices"]
    assert prices == Cloud.from_config(seed=3).prices
    assert len(prices) == 12
    assert len({price["price"] for price in prices}) > 6


def test_same_client_token_launches_one_instance(call, cloud):
    """The response to a launch is lost, and the caller retries."""
    call(cloud, "POST", "/faults", {"lose_answers": 1})
    with pytest.raises(BrokenPipeError):
        launch(call, cloud, "t1")
    _, answer = launch(call, cloud, "t1")
    assert listed(call, cloud) == [answer["id"]]


def test_list_filters_by_tag(call, cloud):
    launch(call, cloud, "t1", tags=["quotes"])
    _, second = launch(call, cloud, "t2", tags=["courts"])
    assert listed(call, cloud, "?tag=courts") == [second["id"]]


def test_refused_pool_has_no_capacity_until_refusals_are_lifted(call, cloud):
    call(cloud, "POST", "/faults", {"refuse": {"zone": "zone-a"}})
    status, body = launch(call, cloud, "t1")
    assert (status, body["error"]["code"]) == (409, "no_capacity")
    assert launch(call, cloud, "t2", zone="zone-b")[0] == 200
    call(cloud, "POST", "/faults", {"refuse": None})
    assert launch(call, cloud, "t1")[0] == 200


def test_terminated_instance_is_removed_from_the_list(call, cloud):
    _, answer = launch(call, cloud, "t1")
    assert call(cloud, "DELETE", f"/instances/{answer['id']}")[0] == 200
    assert listed(call, cloud) == []
    assert call(cloud, "DELETE", f"/instances/{answer['id']}")[0] == 404


def test_zone_reclaim_gives_notice_and_terminates_reclaimable_instances(call, cloud):
    _, reclaimed = launch(call, cloud, "t1")
    _, kept = launch(call, cloud, "t2", reclaimable=False)
    _, elsewhere = launch(call, cloud, "t3", zone="zone-b")
    call(cloud, "POST", "/notices", {"zone": "zone-a", "seconds": 0.1})
    notices = call(cloud, "GET", "/notices")[1]["notices"]
    assert [(n["instance"], n["zone"]) for n in notices] == [
        (reclaimed["id"], "zone-a"),
        (None, "zone-a"),
    ]
    assert all(0 < n["seconds_left"] <= 0.1 for n in notices)
    time.sleep(0.11)
    assert listed(call, cloud) == [kept["id"], elsewhere["id"]]
    assert call(cloud, "GET", "/notices")[1] == {"notices": []}


def test_instance_that_the_cloud_did_not_launch_can_be_reclaimed(call, cloud):
    call(cloud, "POST", "/notices", {"instance": "node-1", "seconds": 30})
    (notice,) = call(cloud, "GET", "/notices")[1]["notices"]
    assert (notice["instance"], notice["zone"]) == ("node-1", None)
