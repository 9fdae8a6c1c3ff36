import heapq
import itertools
import random
from types import SimpleNamespace

import pytest
from endive_core.call_pacing import MAX_PROBE_GAP_S, MAX_WINDOW, CallPacing
from endive_core.response_times import MAX_TIMEOUT_S, ResponseTimes

TIMEOUT_S = 1.5
NEEDED_CALLS = 3
"""Calls that each node needs a response to before it can serve."""

START_S = 0.3
"""Time within which all nodes start, seconds."""


def time_out_calls(pacing, count, now, timeout_s=1.5):
    for _ in range(count):
        pacing.start(now)
    for _ in range(count):
        pacing.time_out(now, now + timeout_s)


def test_calls_start_freely_while_they_are_answered():
    pacing = CallPacing()
    for _ in range(MAX_WINDOW):
        assert pacing.may_start(0.0)
        pacing.start(0.0)
    assert not pacing.may_start(0.0)
    pacing.answer()
    assert pacing.may_start(0.0)


def test_after_a_timeout_calls_start_one_by_one():
    """If each loop of each node sent its call again, the queue that made them time out
    would never become shorter."""
    pacing = CallPacing()
    time_out_calls(pacing, 4, 0.0)
    assert pacing.probes == 1
    pacing.start(2.0)
    assert not pacing.may_start(2.1)
    assert pacing.may_start(2.0 + 1.01 * pacing.probe_gap_s())


def test_probes_become_rarer_and_never_stop():
    """A silent service is noticed soon after its return, however long that took."""
    pacing = CallPacing()
    for number in range(20):
        time_out_calls(pacing, 1, 2.0 * number)
    assert pacing.probe_gap_s() == MAX_PROBE_GAP_S


def test_the_window_grows_with_each_response():
    pacing = CallPacing()
    time_out_calls(pacing, 2, 0.0)
    pacing.start(2.0)
    pacing.answer()
    assert pacing.window == 2
    pacing.start(2.1)
    assert pacing.may_start(2.1)
    pacing.start(2.1)
    assert not pacing.may_start(2.1)


def test_a_late_response_ends_the_probing_but_not_the_caution():
    pacing = CallPacing()
    time_out_calls(pacing, 3, 0.0)
    pacing.answer_late()
    assert not pacing.is_probing
    pacing.start(1.6)
    assert not pacing.may_start(1.7)


class Platform:
    """Nodes in simulated time before a service that handles one call at a time, also
    those that have been given up.

    Attributes
    ----------
    calls : int
        Calls sent so far.
    unanswered : int
        Calls to which the nodes still need a response.
    """

    def __init__(self, nodes, service_s, *, silent_s=0.0):
        self.service_s = service_s
        self.silent_s = silent_s
        self.rng = random.Random(1)
        self.queue, self.order = [], itertools.count()
        self.now = self.free_at = 0.0
        self.calls = 0
        self.unanswered = nodes * NEEDED_CALLS
        self.nodes = [Node() for _ in range(nodes)]
        for node in self.nodes:
            for _ in range(NEEDED_CALLS):
                self.at(self.rng.uniform(0, START_S), self.attempt, node, 0)

    def at(self, when, act, *arguments):
        heapq.heappush(self.queue, (when, next(self.order), act, arguments))

    def run(self, limit_s):
        """Run until each node has all its responses; return the time that took."""
        while self.unanswered and self.queue[0][0] < limit_s:
            self.now, _, act, arguments = heapq.heappop(self.queue)
            act(*arguments)
        return self.now

    def retry(self, node, attempts):
        delay_s = min(1.0, 0.25 * 2**attempts) * self.rng.uniform(0.7, 1.0)
        self.at(self.now + delay_s, self.attempt, node, attempts + 1)

    def attempt(self, node, attempts):
        if not node.pacing.may_start(self.now):
            self.retry(node, attempts)
            return
        node.pacing.start(self.now)
        self.calls += 1
        call = SimpleNamespace(
            node=node, attempts=attempts, sent_at=self.now, ended_at=None
        )
        if self.now >= self.silent_s:
            self.free_at = max(self.free_at, self.now) + self.service_s
            self.at(self.free_at, self.answer, call)
        self.check_timeout(call)

    def answer(self, call):
        node, taken_s = call.node, self.now - call.sent_at
        if call.ended_at is None:
            call.ended_at = self.now
            self.unanswered -= 1
            node.times.record(taken_s)
            node.pacing.answer()
        elif node.late_call is call and self.now - call.ended_at < MAX_TIMEOUT_S:
            node.times.record(taken_s)
            node.pacing.answer_late()

    def check_timeout(self, call):
        if call.ended_at is not None:
            return
        node = call.node
        left_s = call.sent_at + node.times.timeout_s(TIMEOUT_S) - self.now
        if left_s > 1e-6:
            self.at(self.now + left_s, self.check_timeout, call)
            return
        call.ended_at = self.now
        node.pacing.time_out(call.sent_at, self.now)
        late = node.late_call
        if late is None or self.now - late.ended_at > MAX_TIMEOUT_S:
            node.late_call = call
        self.retry(node, call.attempts)


class Node:
    def __init__(self):
        self.pacing = CallPacing()
        self.times = ResponseTimes()
        self.late_call = None


@pytest.mark.parametrize("nodes", [30, 100, 200, 375])
@pytest.mark.parametrize("service_s", [0.003, 0.006])
def test_nodes_that_start_together_get_their_responses(nodes, service_s):
    """The queue of the first calls becomes longer than their time-out. If all were sent
    again ever after, no node would serve again."""
    platform = Platform(nodes, service_s)
    least_s = nodes * NEEDED_CALLS * service_s
    assert platform.run(limit_s=60.0) <= 2.5 * least_s + TIMEOUT_S
    assert platform.unanswered == 0
    assert platform.calls <= 2.5 * nodes * NEEDED_CALLS


@pytest.mark.parametrize("nodes", [30, 100, 200, 375])
def test_nodes_that_start_in_a_silence_get_their_responses_after_it(nodes):
    platform = Platform(nodes, 0.003, silent_s=4.0)
    least_s = nodes * NEEDED_CALLS * 0.003
    assert platform.run(limit_s=60.0) <= 4.0 + 2.5 * least_s + MAX_PROBE_GAP_S
    assert platform.unanswered == 0
