"""Tests of rollout orders, outcomes and settings as the platform writes them."""

import json

import msgspec
import pytest
from endive_core.rollouts import StageKind
from endive_gateway.exceptions import UndecodableError
from endive_gateway.interfaces import Record, Topic
from endive_platform.settings import SettingsDocument, to_gateway_settings
from endive_platform.store import TOPIC_NAMES
from endive_platform.wire import PlatformWire

WIRE = PlatformWire()
ORDER = {"service": "huvo11a", "to": "v2", "duration_s": 12}


def record(key="rollout/huvo11a", value=None, **fields):
    """Return a record of the operators' topic."""
    data = json.dumps(ORDER | fields).encode() if value is None else value
    return Record(7, key, data)


def test_an_order_is_read_as_the_operators_write_it():
    """The names in an order are fixed; one that is misread is never carried out."""
    order = WIRE.decode_rollout(record())
    assert (order.service, order.to, order.duration_s) == ("huvo11a", "v2", 12.0)
    assert order.offset == 7


@pytest.mark.parametrize("key", ["config", "rollout/", "rollouts/huvo11a"])
def test_other_records_are_no_orders(key):
    """The configuration, or what is added beside it later, is taken for an order."""
    assert WIRE.decode_rollout(record(key)) is None


@pytest.mark.parametrize("to", ["v" * 200, "v\n1", "\x00"])
def test_an_order_for_what_can_not_be_a_version_is_none(to):
    """Five orders of 16,000 characters kept a node from sending any state message."""
    with pytest.raises(UndecodableError):
        WIRE.decode_rollout(record(to=to))


def test_a_deleted_order_is_a_withdrawal():
    """A rollout goes on after its order was deleted."""
    assert WIRE.decode_rollout(record(value=b"")).to == ""


@pytest.mark.parametrize(
    "options",
    [
        {"value": b"{"},
        {"value": b"\xff"},
        {"value": b"[]"},
        {"to": ""},
        {"to": 2},
        {"duration_s": 0},
        {"duration_s": -1},
        {"duration_s": None},
        {"service": "another"},
    ],
)
def test_an_unreadable_order_is_rejected(options):
    """An order of another writer ends the reading of the configuration."""
    with pytest.raises(UndecodableError):
        WIRE.decode_rollout(record(**options))


@pytest.mark.parametrize(
    ("kind", "state"),
    [
        (StageKind.SMALL, "serving"),
        (StageKind.ALL, "serving"),
        (StageKind.COMPLETED, "completed"),
        (StageKind.ROLLED_BACK, "rolled_back"),
    ],
)
def test_outcomes_are_written_as_the_operators_read_them(kind, state):
    """The old servers stop at a state that the operators know by name."""
    key, value = WIRE.encode_rollout_status("huvo11a", kind, "v2")
    assert key == "rollout/huvo11a"
    assert json.loads(value) == {"state": state, "to": "v2"}
    assert TOPIC_NAMES[Topic.STATUS] == "keyed.status"


def settings(**fields):
    """Return the gateway's settings of a document with more fields."""
    values = {
        "node_name": "n",
        "ip": "127.0.0.1",
        "zone": "z",
        "listen": {"front": "127.0.0.1:1", "ready_addr": "127.0.0.1:2"},
        "port_range": (3, 9),
        "platform": {"address": "127.0.0.1:4"},
    }
    return to_gateway_settings(msgspec.convert(values | fields, type=SettingsDocument))


def test_bounds_and_contracts_are_read_from_the_settings():
    """The bounds that operators state are not those that are kept."""
    found = settings(
        contracts=["rollout", {"name": "later"}],
        bounds={"exposure_share": 0.2, "exposure_slack": 10, "rollback_ms": 4000},
    )
    assert found.contracts == {"rollout"}
    bounds = found.bounds
    assert (bounds.exposure_share, bounds.exposure_slack) == (0.2, 10)
    assert bounds.rollback_s == 4.0
    assert settings().contracts == frozenset()


def test_the_servers_heartbeat_is_read_from_the_settings():
    """Guards against a node that takes a process for known before it must register."""
    assert settings(heartbeat_ms=600).server_heartbeat_s == 0.6
