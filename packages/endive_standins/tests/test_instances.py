import time

from endive_standins.instances import Instances

ENTRY = {"address": "127.0.0.1:1", "zone": "neihu", "role": "draft"}


def test_list_shows_changes_after_the_delay(call):
    instances = Instances.from_config(lag_s=0.1)
    call(instances, "PUT", "/instances/i1", ENTRY)
    assert call(instances, "GET", "/instances")[1] == {"instances": []}
    time.sleep(0.11)
    call(instances, "DELETE", "/instances/i1")
    entry = {"id": "i1", **ENTRY, "state": "live"}
    assert call(instances, "GET", "/instances")[1] == {"instances": [entry]}
    time.sleep(0.11)
    assert call(instances, "GET", "/instances")[1] == {"instances": []}


def test_unknown_state_is_rejected(call):
    instances = Instances.from_config()
    status, _ = call(instances, "PUT", "/instances/i1", {**ENTRY, "state": "gone"})
    assert status == 400
