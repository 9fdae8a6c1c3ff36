"""Builders for tests of the gateway: an in-memory store and a recording cloud."""

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
    """An in-memory store with fault injection.

    Attributes
    ----------
    kept_from : dict of Topic to int
        Oldest offset retained in each topic.
    fault : callable or None
        Called with the name of each call; an exception that it raises fails the call.
    lost : list
        For each entry one append is done although its answer is lost.
    calls : list of str
        Names of the calls so far.
    page_records : int or None
        Most records in one page of a read.
    stale : dict of Topic to int
        End of each topic as reads tell it, if they are stale.
    """

    def __init__(self, page_records=None):
        self.stale = {}
        self.page_records = page_records
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
        newest, known = {}, self._known(topic)
        for record in known:
            newest[record.key] = record
        records = [r for r in newest.values() if r.value is not None]
        return Page(0, len(known), records)

    def _known(self, topic):
        return self.topics[topic][: self.stale.get(topic)]

    def read(self, topic, start, *, wait_s=0.0):
        self._begin("read")
        first = self.kept_from[topic]
        if start < first:
            raise StoreOffsetOutOfRangeError(first)
        records = self._known(topic)
        return Page(first, len(records), records[start:][: self.page_records])

    def append(self, topic, value, *, at=None):
        self._begin("append")
        return self._append(topic, "", value, at)

    def put(self, topic, key, value, *, at=None):
        self._begin("put")
        return self._append(topic, key, value, at)

    def _append(self, topic, key, value, at):
        offset = len(self.topics[topic])
        if at is not None and at != offset:
            raise StoreConflictError(offset)
        self.topics[topic].append(Record(offset, key, value))
        if self.lost:
            self.lost.pop()
            raise StoreOutcomeUnknownError("the answer was lost")
        return offset


def write(store, topic, key, value):
    records = store.topics[topic]
    value = None if value is None else json.dumps(value).encode()
    records.append(Record(len(records), key, value))


def store_down(_name):
    raise StoreError("down")


def call_without_answer(_holder):
    raise CloudError("no answer", sent=True)


class NonReader:
    """Readers as a node of a large fleet sees them that isn't a reader itself."""

    def is_reader(self):
        return False

    def every_node_reads(self):
        return False

    def await_first_configuration(self):
        return True

    def rank(self):
        return 9

    def live_node_count(self):
        return 100

    def is_isolated(self):
        return False

    def broadcast_soon(self):
        self.broadcast_requested = True


class RecordingCloud:
    """A cloud that records its calls.

    Attributes
    ----------
    on_call : callable or None
        Called with the holder's name before a call arrives; what it raises fails the
        call.
    """

    def __init__(self):
        self.on_call = None
        self.usage = []
        self.orders = []
        self.empty = set()
        self.down = False

    def _begin(self, holder):
        if self.down:
            raise CloudError("down")
        if self.on_call is not None:
            self.on_call(holder)

    def report_usage(self, holder, fence, window, counts):
        self._begin(holder)
        self.usage.append((holder, fence, window, dict(counts)))

    def order(self, holder, fence, order):
        self._begin(holder)
        if order.reclaimable and order.zone in self.empty:
            raise CloudCapacityError("none")
        self.orders.append((holder, fence, order))
