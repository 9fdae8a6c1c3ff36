"""Builders for tests of the gateway: a store and a cloud in memory."""

import json
from collections import defaultdict

from endive_gateway.exceptions import (
    CloudCapacityError,
    CloudError,
    StoreConflictError,
    StoreError,
    StoreOffsetOutOfRangeError,
    StoreOutcomeUnknownError,
)
from endive_gateway.interfaces import Page, Record


class MemoryStore:
    """The platform's store, with faults to order.

    Attributes
    ----------
    fault : callable or None
        Called with the name of each call; may raise what the call then raises.
    lost : list
        Appends are done and their answers lost while it holds entries.
    """

    def __init__(self):
        self.topics = defaultdict(list)
        self.kept_from = defaultdict(int)
        self.fault = None
        self.lost = []
        self.calls = []

    def _begin(self, name):
        self.calls.append(name)
        if self.fault is not None:
            self.fault(name)

    def newest(self, topic):
        self._begin("newest")
        newest = {}
        for record in self.topics[topic]:
            newest[record.key] = record
        records = [r for r in newest.values() if r.value is not None]
        return Page(0, len(self.topics[topic]), records)

    def read(self, topic, start, *, wait_s=0.0):
        self._begin("read")
        first = self.kept_from[topic]
        if start < first:
            raise StoreOffsetOutOfRangeError(first)
        records = self.topics[topic]
        return Page(first, len(records), records[start:])

    def append(self, topic, value, *, at=None):
        self._begin("append")
        offset = len(self.topics[topic])
        if at is not None and at != offset:
            raise StoreConflictError(offset)
        self.topics[topic].append(Record(offset, "", value))
        if self.lost:
            self.lost.pop()
            raise StoreOutcomeUnknownError("the answer was lost")
        return offset

    def put(self, topic, key, value):
        self._begin("put")
        offset = len(self.topics[topic])
        self.topics[topic].append(Record(offset, key, value))


def write(store, topic, key, value):
    records = store.topics[topic]
    value = None if value is None else json.dumps(value).encode()
    records.append(Record(len(records), key, value))


def store_down(_name):
    raise StoreError("down")


class FewReaders:
    """Readers among which a node is not."""

    def is_reader(self):
        return False

    def reads_alone(self):
        return False

    def await_first_configuration(self):
        return True

    def rank(self):
        return 9

    def live_nodes(self):
        return 100

    def hasten(self):
        self.hastened = True


class RecordingCloud:
    """The platform's calls, recorded."""

    def __init__(self):
        self.usage = []
        self.orders = []
        self.empty = set()
        self.down = False

    def report_usage(self, holder, fence, window, counts):
        if self.down:
            raise CloudError("down")
        self.usage.append((holder, fence, window, dict(counts)))

    def order(self, holder, fence, order):
        if self.down:
            raise CloudError("down")
        if order.reclaimable and order.zone in self.empty:
            raise CloudCapacityError("none")
        self.orders.append((holder, fence, order))
