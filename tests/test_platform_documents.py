import json

import pytest
from endive_core.exceptions import SettingsError
from endive_core.routing import RouteKind
from endive_gateway.exceptions import UndecodableError
from endive_gateway.file_watching import FileWatcher
from endive_gateway.interfaces import Machine, ServerState
from endive_platform.configuration import decode_configuration
from endive_platform.entries import decode_server
from endive_platform.settings import (
    read_settings,
    to_gateway_settings,
)


def route(**options):
    return {
        "name": "r",
        "host": "A.example",
        "path_prefix": "/a/",
        "kind": "streaming",
        "service": "s",
        "timeout_ms": 3000,
        "can_resume": True,
        "sticky": True,
    } | options


def document(**options):
    values = {
        "version": 7,
        "routes": [route()],
        "services": [
            {
                "name": "s",
                "max_conns": 300,
                "engine": {"slots": 48, "kv_capacity": 5, "stride": 3, "moves": True},
                "autoscale": {
                    "min_replicas": 1,
                    "max_replicas": 6,
                    "boot_s": 4.0,
                    "spot_price": 0.2,
                    "zone_prices": {"a": 0.85},
                },
            }
        ],
        "limits": {"max_header_bytes": 100, "idle_timeout_ms": 15000},
        "tenants": [
            {
                "name": "o",
                "api_keys": ["k1", "k2"],
                "unit": "tokens",
                "plain_tokens": 200,
                "rate_per_s": 10,
                "burst": 20,
                "priority": 1,
            }
        ],
    }
    return json.dumps(values | options).encode()


def test_all_fields_of_a_configuration_are_decoded():
    table = decode_configuration(document())
    found = table.match("a.example", "/a/b")
    assert (found.kind, found.timeout_s, found.resumable) == (RouteKind.STREAM, 3, True)
    assert found.choose(0.5) == "s"
    assert table.keys == {"k1": "o", "k2": "o"}
    organisation_limits = table.organisations["o"]
    assert (
        organisation_limits.rate,
        organisation_limits.burst,
        organisation_limits.counts_tokens,
    ) == (10, 20, True)
    service = table.services["s"]
    assert service.engine.tokens_per_event == 3
    assert not service.engine.can_fetch
    assert service.scaling.zone_prices == {"a": 0.85}
    assert table.limits.idle_timeout_s == 15


@pytest.mark.parametrize(
    ("missing", "transfers"),
    [({}, True), ({"moves": False}, False), ({"link_mbps": 0}, False)],
)
def test_transfers_between_engines_need_all_their_figures(missing, transfers):
    """A transfer whose time is not known can't be compared with a prefill."""
    figures = {"moves": True, "kv_token_bytes": 18_432, "link_mbps": 550_000}
    service = {"name": "s", "engine": {"kv_capacity": 9} | figures | missing}
    engine = decode_configuration(document(services=[service])).services["s"].engine
    assert engine.can_fetch == transfers
    assert engine.kv_bytes_per_token == 18_432
    assert engine.kv_capacity_tokens == 9
    if transfers:
        assert engine.link_bytes_per_s == 550e9 / 8


def test_without_tenants_no_key_is_needed():
    assert decode_configuration(document(tenants=None)).organisations is None


def test_splits_and_unknown_kinds_are_decoded():
    split = [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]
    routes = [route(traffic_split=split, service=None, kind="new")]
    (found,) = decode_configuration(document(routes=routes)).routes
    assert [s.service for s in found.splits] == ["s", "t"]
    assert found.kind is RouteKind.NON_IDEMPOTENT


@pytest.mark.parametrize(
    "value",
    [b"", b"{", b"[]", b"\xff\xfe", document(version="x"), document(routes=[{}])],
)
def test_an_undecodable_configuration_is_rejected(value):
    with pytest.raises(UndecodableError):
        decode_configuration(value)


def entry(**options):
    values = {
        "service": "s",
        "address": "10.0.0.1:80",
        "zone": "z",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 4,
    }
    return json.dumps(values | options).encode()


def test_all_fields_of_an_entry_are_decoded():
    value = entry(spot=True, leaves_ms=2500, state="draining", born=1700000000000)
    found = decode_server("i-1", value)
    assert found.state is ServerState.LEAVING
    assert found.reclaimable
    assert found.leaves_in_s == 2.5
    assert (found.incarnation, found.sequence) == (1700000000000, 4)
    assert found.software_version == "v1"


@pytest.mark.parametrize(
    "version", ["", None, 1, 1.5, ["v1"], {"v": 1}, "v" * 5000, "v\n1"]
)
def test_an_entry_without_a_readable_version_is_that_of_a_server_all_the_same(version):
    found = decode_server("i-1", entry(version=version))
    assert found.software_version is None
    other = decode_server("i-2", entry(version=version))
    assert found.software_version_label != other.software_version_label


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\x00\xff",
        b"null",
        b'"ready"',
        entry(state="asleep"),
        entry(address="nowhere"),
        entry(address="a.example:80"),
        entry(slots=0),
        entry(slots="8"),
        entry(sequence="4"),
        entry(sequence=1.5),
        entry(born="x"),
        entry(born=1.5),
        entry(service=None),
        json.dumps({"service": "s"}).encode(),
    ],
)
def test_an_entry_of_another_writer_names_no_server(value):
    with pytest.raises(UndecodableError):
        decode_server("i-1", value)


def settings(**options):
    values = {
        "node_name": "front-a-1",
        "ip": "10.1.0.14",
        "zone": "a",
        "zones": {"a": "r", "b": "r"},
        "listen": {"front": "10.1.0.14:8221", "ready_addr": "10.1.0.14:8224"},
        "port_range": [7600, 7615],
        "seeds": ["10.2.0.4:8229"],
        "bounds": {
            "drain_ms": 2000,
            "config_ms": 1500,
            "new_bound": 1,
            "fetch_bytes_per_s": 0,
        },
        "platform": {"address": "10.200.1.7:8225", "form": "log"},
        "cloud": {"address": "10.200.0.35:8225", "duties": ["usage", "scale"]},
        "unknown": {"x": 1},
    }
    return values | options


def test_settings_are_decoded_and_unknown_fields_are_ignored(tmp_path):
    path = tmp_path / "local.json"
    path.write_text(json.dumps(settings()))
    found = to_gateway_settings(read_settings(str(path)))
    assert found.location.caller_port == 8221
    assert found.location.peer_port == 7600
    assert found.location.seeds == ("10.2.0.4",)
    assert found.bounds.drain_s == 2.0
    assert found.bounds.config_s == 1.5
    assert found.bounds.fetch_bytes_per_s == 0
    assert found.duties == {"usage", "scale"}


@pytest.mark.parametrize(
    ("options", "pools"), [({}, True), ({"pools_slots": False}, False)]
)
def test_operators_switch_pools_of_slots_off(tmp_path, options, pools):
    path = tmp_path / "local.json"
    path.write_text(json.dumps(settings(**options)))
    assert to_gateway_settings(read_settings(str(path))).pools_slots is pools


@pytest.mark.parametrize(
    "value", ["", "{", "[]", json.dumps(settings(port_range="x")), "{}"]
)
def test_bad_settings_say_what_is_wrong(tmp_path, value):
    path = tmp_path / "local.json"
    path.write_text(value)
    with pytest.raises(SettingsError, match=r"local\.json: ."):
        read_settings(str(path))


@pytest.mark.parametrize(
    "address", ["", "10.1.0.14", "10.1.0.14:", "10.1.0.14:x", "10.1.0.14:0"]
)
def test_an_address_without_a_port_is_an_error_of_the_settings(tmp_path, address):
    """Other errors end the greenlet that watches the file, so that the corrected file
    is not read."""
    path = tmp_path / "local.json"
    listen = {"front": "10.1.0.14:8221", "ready_addr": address}
    path.write_text(json.dumps(settings(listen=listen)))
    with pytest.raises(SettingsError, match=r"local\.json: .*listen"):
        to_gateway_settings(read_settings(str(path)))


def test_missing_settings_name_the_environment_variable(monkeypatch):
    monkeypatch.delenv("ENDIVESTACK_BOOT", raising=False)
    with pytest.raises(SettingsError, match="ENDIVESTACK_BOOT"):
        read_settings()


def test_a_changed_settings_file_is_reported_once(tmp_path):
    path = tmp_path / "local.json"
    path.write_text("1")
    watcher = FileWatcher(str(path))
    assert not watcher.has_changed()
    path.write_text("22")
    assert watcher.has_changed()
    assert not watcher.has_changed()
    path.unlink()
    assert not watcher.has_changed()


@pytest.mark.parametrize(
    ("limits", "machine"),
    [
        ({"memory_mb": 200, "max_fds": 1_000}, Machine(200_000_000, 800)),
        ({"memory_mb": 0, "max_fds": 100}, Machine()),
        ({"memory_mb": None, "cpu_cores": 2}, Machine()),
    ],
)
def test_the_limits_of_the_machine_are_read(tmp_path, limits, machine):
    path = tmp_path / "local.json"
    path.write_text(json.dumps(settings(limits=limits)))
    assert to_gateway_settings(read_settings(str(path))).machine == machine
