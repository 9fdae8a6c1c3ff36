"""Builders of nodes with duties, and of records that no holder of the duties writes."""

import json
import time

from endive_gateway import duties as duties_module
from endive_gateway import peers as peers_module
from endive_gateway.autoscaling import Autoscaler
from endive_gateway.duties import Duties
from endive_gateway.exceptions import StoreError
from endive_gateway.peers import Peers
from gateway_builders import freeze_time, make_context, make_table

WALL = 1_000_000.0
WINDOW_S = 5.0

DEEP = 100_000
LONG_NUMBER = "9" * 400


class Clock:
    """The boot clock and the monotonic clock of the duties, advanced by a test."""

    def __init__(self):
        self.time = time.monotonic()

    @classmethod
    def installed(cls, monkeypatch):
        """Return a clock that the duties of all nodes use."""
        made = cls()
        monkeypatch.setattr(duties_module, "boot_time", made.now)
        monkeypatch.setattr(duties_module.time, "monotonic", made.now)
        monkeypatch.setattr(peers_module, "boot_time", made.now)
        return made

    def now(self):
        return self.time


class Node:
    """One node's duties with a shared store and cloud."""

    def __init__(self, name, store, cloud):
        self.context = make_context(make_table(), store=store, cloud=cloud, node=name)
        self.context.started_at -= 3600
        self.peers = Peers(self.context)
        self.duties = Duties(
            self.context, self.peers, Autoscaler(self.context, self.peers)
        )
        self.at(WALL)

    def at(self, wall):
        freeze_time(self.context, wall)

    def step(self):
        try:
            self.duties.step()
        except StoreError as error:
            return error
        return None

    @property
    def holds(self):
        return self.duties._is_holder()


def begin(node, window, count, organisation="o"):
    """Count requests that began in a usage window at a node."""
    for _ in range(count):
        node.context.meter.begin(organisation, window * WINDOW_S + 1)


def odd_duty_records(holder, incarnation, fence):
    """Return records that can't be taken for one of a holder, by what is wrong."""
    sound = {
        "kind": "usage",
        "holder": holder,
        "incarnation": incarnation,
        "fence": fence,
        "reported": -1,
        "body": {"window": 200_000, "counts": {"o": 1}},
    }

    def with_body(**body):
        return json.dumps({**sound, "body": body}).encode()

    def with_number(field, number):
        text = json.dumps({**sound, field: "NUMBER"})
        return text.replace('"NUMBER"', number).encode()

    nested = "[" * DEEP + "]" * DEEP
    return {
        "nothing": b"",
        "no document": b"\xff\x00",
        "nested lists": nested.encode(),
        "nested objects": b'{"a":' * DEEP + b"1" + b"}" * DEEP,
        "a nested body": with_number("body", '{"a":' + nested + "}"),
        "no kind": json.dumps({**sound, "kind": "other"}).encode(),
        "a fence ahead": with_number("fence", "1000"),
        "a long fence": with_number("fence", LONG_NUMBER),
        "a negative fence": with_number("fence", "-1"),
        "a long incarnation": with_number("incarnation", LONG_NUMBER),
        "a decided window ahead": with_number("reported", str(2**52)),
        "a long decided window": with_number("reported", LONG_NUMBER),
        "an infinite decided window": with_number("reported", "1e999"),
        "a window ahead": with_body(window=2**52, counts={}),
        "a long window": with_body(window=int(LONG_NUMBER), counts={}),
        "a window of letters": with_body(window="x", counts={}),
        "no window": with_body(counts={}),
        "no counts": with_body(window=200_000),
        "counts that are a list": with_body(window=200_000, counts=[1]),
        "a negative count": with_body(window=200_000, counts={"o": -1}),
        "a long count": with_body(window=200_000, counts={"o": int(LONG_NUMBER)}),
        "rollouts that are a list": with_body(
            window=200_000, counts={}, rollouts=[1, 2]
        ),
    }
