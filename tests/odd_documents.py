"""Builders of documents that another writer may have left among our own."""

import json

from endive_gateway.state_messages import StateMessage

DEEP = 2_000
MANY_DIGITS = "9" * 400


def entry(**options):
    """Return a server's entry in the store."""
    values = {
        "service": "s",
        "address": "127.0.0.1:8000",
        "zone": "z",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 1,
        "born": 1,
    }
    return json.dumps(values | options).encode()


def with_raw(name, value):
    """Return an entry whose field `name` holds the bytes `value`, whatever they are."""
    return entry(**{name: "%RAW"}).replace(b'"%RAW"', value)


def nested(depth=DEEP):
    """Return an array in an array, and so on."""
    return b"[" * depth + b"]" * depth


ODD_ENTRIES = {
    "breaks off in nested arrays": b'{"hosts": ' + b"[" * DEEP,
    "nested arrays": with_raw("hosts", nested()),
    "nested objects": with_raw("hosts", b'{"a":' * DEEP + b"1" + b"}" * DEEP),
    "nested version": with_raw("version", nested()),
    "large slots": with_raw("slots", MANY_DIGITS.encode()),
    "large start time": with_raw("born", MANY_DIGITS.encode()),
    "start time beyond any clock": entry(born=2**50),
    "large sequence": with_raw("sequence", MANY_DIGITS.encode()),
    "negative sequence": entry(sequence=-1),
    "large cold time": with_raw("cold_left_ms", MANY_DIGITS.encode()),
    "large leaving time": with_raw("leaves_ms", MANY_DIGITS.encode()),
    "infinite leaving time": with_raw("leaves_ms", b"1e999"),
    "not UTF-8": b'{"service": "\xff\xfe"}',
    "too long": entry(note="x" * 100_000),
    "port 0": entry(address="127.0.0.1:0"),
    "port 65536": entry(address="127.0.0.1:65536"),
    "port 99999": entry(address="127.0.0.1:99999"),
    "octet 300": entry(address="300.0.0.1:80"),
    "no host": entry(address="0.0.0.0:80"),
    "multicast": entry(address="224.0.0.1:80"),
    "line end": entry(address="127.0.0.1:80\n"),
    "digits of another script": entry(address="127.0.0.1:٨٠٨٠"),
}
"""By name, entries that name no server, though some look like one."""

ODD_SERVER_IDS = ["", "i-1\r\nA: b", "i 1", "i-ж", "i-\x00", "i" * 300]
"""Keys that no server's id can be: a request could not name the server."""

ODD_ADDRESSES = [
    "",
    "name.invalid",
    "300.0.0.1",
    "0.0.0.0",
    "224.0.0.1",
    "127.0.0.1\n",
    "127.0.0.1:80",
    "127.0.0.\u0661",
    "\0",
    "x" * 300,
]
"""Texts that no node's address can be."""


def node_entry(**options):
    """Return a node's entry in the store."""
    return json.dumps({"address": "127.0.0.7", "incarnation": 1} | options).encode()


ODD_NODE_ENTRIES = {
    "empty": b"",
    "nested arrays": b'{"address": ' + nested() + b"}",
    "nested unknown field": node_entry(note=1).replace(b"1}", nested() + b"}"),
    "large incarnation": node_entry(incarnation=10**400),
    "not UTF-8": b'{"address": "\xff\xfe", "incarnation": 1}',
    "too long": node_entry(note="x" * 100_000),
    **{
        f"address {address[:12]!r}": node_entry(address=address)
        for address in ODD_ADDRESSES
    },
}
"""By name, entries that name no node, though some look like one."""


def state_message(**options):
    """Return another node's state message."""
    values = {
        "node": "b",
        "incarnation": 1,
        "sequence": 1,
        "wall_ms": 1_000_000,
        "version": 1,
        "gone": False,
        "spent": {},
        "work": {},
        "windows": {},
        "crashes": [],
        "fence": 0,
        "reported": 4,
    }
    return StateMessage(**(values | options))
