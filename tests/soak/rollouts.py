"""Orders of rollouts in a soak run, servers of the new version, and the rules."""

import json
import time

import gevent

from soak.fleet import Backend
from soak.standins import CONFIGURATION, STATUS

DURATION_S = 10.0
EXPOSURE_SHARE, EXPOSURE_SLACK = 0.1, 50
BAD_RESPONSES, ROLLBACK_S, UNSTABLE_S = 50, 5.0, 6.0
SERVERS = 3
START_S = 0.6
"""Time after the order after which servers of the new version start, seconds."""

DRAIN_S = 2.0
"""Time after a roll-back after which they leave, seconds."""

LEASE_SLACK_S, NEW_HOLDER_S = 1.0, 4.0
"""Lag with which a holder keeps its lease, and time in which another node claims the
duties, seconds."""

POLL_S = 0.05
HEALTHY_S = 3.0
"""Time for which the store must have had no fault before a deadline that counts,
seconds."""


class OrderedRollout:
    """One order, the servers of its version, and what they receive.

    Attributes
    ----------
    failing : float
        Part of the new version's responses that are failures; 0 for a good one.
    total, exposed : int
        Requests that reached the service before the end of the duration, and those of
        them that reached the new version.
    bad_at : list of float
        When its bad responses were made, seconds since the beginning.
    """

    def __init__(self, fleet, service, version, failing):
        self.fleet = fleet
        self.service = service
        self.version = version
        self.failing = failing
        self.total = self.exposed = 0
        self.bad_at = []
        self.last_at = 0.0
        self.outcome = ""
        self.was_stable = True
        self.ordered_at = fleet.clock()
        self.lag_before_s = self._lag_s()

    def run(self):
        """Order, start the servers, carry out the outcome, and check the rules."""
        fleet = self.fleet
        old = [b for b in fleet.backends if b.service == self.service]
        fleet.rollouts[self.service] = self
        order = {"service": self.service, "to": self.version, "duration_s": DURATION_S}
        key = f"rollout/{self.service}"
        fleet.store.put(CONFIGURATION, key, json.dumps(order).encode())
        gevent.sleep(START_S)
        new = self._start()
        end = self.ordered_at + DURATION_S
        late_end = end + DURATION_S
        while not self.outcome and fleet.clock() < late_end and not fleet.closed:
            gevent.sleep(POLL_S)
            self._note_store()
            self.outcome = self._read_outcome(key)
            is_over = fleet.clock() > end + self.allowed_lag_s()
            if not self.outcome and is_over and self.was_stable:
                break
        decided_at = fleet.clock()
        if self.outcome == "completed":
            for backend in old:
                backend.retire()
        gevent.sleep(max(DRAIN_S, end - fleet.clock()))
        if self.outcome != "completed":
            for backend in new:
                backend.retire()
        self._check(decided_at)
        del fleet.rollouts[self.service]

    def _lag_s(self):
        """Return for how long this process or a node has lacked a processor."""
        waited_s = max(node.processor_wait_s() for node in self.fleet.nodes)
        return max(waited_s, self.fleet.lag.stalled_s)

    def allowed_lag_s(self):
        """Return by how much the outcome may be late, seconds.

        A holder that lacked a processor for its lease is replaced, which takes longer.
        """
        lag_s = self._lag_s() - self.lag_before_s
        return lag_s + NEW_HOLDER_S if lag_s > LEASE_SLACK_S else 0.0

    def _start(self):
        backends = []
        for _ in range(SERVERS):
            if self.fleet.closed:
                break
            backend = Backend(
                self.fleet,
                next(self.fleet.backend_numbers),
                self.service,
                version=self.version,
            )
            backend.failing = self.failing
            self.fleet.backends.append(backend)
            backend.send_heartbeat()
            backends.append(backend)
        return backends

    def _note_store(self):
        """Note whether the store has been in order for as long as is needed."""
        store = self.fleet.store
        if time.monotonic() - store.fault_ended_at < HEALTHY_S:
            self.was_stable = False
        if not all(node.is_connected(self.ordered_at) for node in self.fleet.nodes):
            self.was_stable = False

    def _read_outcome(self, key):
        name = key.encode()
        for record in reversed(self.fleet.store.topics.get(STATUS, ())):
            if record[1 : 1 + record[0]] == name:
                status = json.loads(record[1 + record[0] :])
                final = status["state"] in ("completed", "rolled_back")
                return status["state"] if final and status["to"] == self.version else ""
        return ""

    # What servers receive

    def received(self, backend):
        """Count a request that reaches a server of the service."""
        now = self.fleet.clock()
        is_new = backend.version == self.version
        if now < self.ordered_at + DURATION_S:
            self.total += 1
            self.exposed += is_new
        if is_new:
            self.last_at = now

    def failed(self):
        """Count a bad response."""
        self.bad_at.append(self.fleet.clock())

    # Rules

    def _check(self, decided_at):
        checker = self.fleet.checker
        took_s = decided_at - self.ordered_at
        told = f"{self.service} to {self.version}, {self.failing:.2f} failing: "
        if self.failing:
            bound = EXPOSURE_SHARE * self.total + EXPOSURE_SLACK
            if self.exposed > bound:
                checker.record_violation(
                    "rollout", told + f"{self.exposed} of {self.total} exposed"
                )
            late_s = ROLLBACK_S + (0.0 if self.was_stable else UNSTABLE_S)
            many = len(self.bad_at) >= BAD_RESPONSES
            if many and self.last_at > self.bad_at[BAD_RESPONSES - 1] + late_s:
                checker.record_violation(
                    "rollout", told + f"still sent at {self.last_at:.1f} s"
                )
        expected = "rolled_back" if self.failing else "completed"
        is_late = took_s > DURATION_S + self.allowed_lag_s()
        if self.was_stable and (self.outcome != expected or is_late):
            checker.record_violation(
                "rollout",
                told + f"{self.outcome or 'no outcome'} after {took_s:.1f} s,"
                f" {self.exposed} of {self.total} exposed",
            )
