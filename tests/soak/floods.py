"""Callers that pipeline requests without end, and what others feel of them."""

import gevent
from flooding import CALLERS, Flood

from soak.endless_bodies import resident_bytes
from soak.fleet import PORT

MAX_PROBE_S = 0.1
"""Time in which a probe of readiness is answered, seconds."""

MANY = 10
LONG_BODIES = 48
MAX_MEMORY = 300 * 10**6
"""Memory that a process may have in all, bytes: that of the smallest machines."""

WATCH_INTERVAL_S = 0.1


class ProbeWatch:
    """Readiness probes of one process, as long as it runs on."""

    def __init__(self, fleet, node, probes):
        self.fleet, self.node, self.probes = fleet, node, probes
        self.start, self.waited_s = node.starts, node.processor_wait_s()

    def run(self):
        """Check how long the probes take until killed; the body of a greenlet.

        The time in which the process waits for a processor does not count.
        """
        while True:
            gevent.sleep(WATCH_INTERVAL_S)
            longest_s = max(self.probes.times_s(), default=0.0)
            if not self._runs_on():
                return
            waited_s = self.node.processor_wait_s() - self.waited_s
            if longest_s > MAX_PROBE_S + waited_s:
                self.fleet.checker.record_violation(
                    "others wait", f"a probe of {self.node.name} took {longest_s:.3f} s"
                )
                return

    def _runs_on(self):
        """Return whether the process is the one that was watched first."""
        node = self.node
        is_same = node.starts == self.start and not node.busy
        return is_same and node.process.poll() is None


def callers_flood(fleet, fault):
    """Let one caller or ten send a node bytes without end."""
    node = fleet.nodes[fault.target % len(fleet.nodes)]
    if node.busy or node.process.poll() is not None:
        return
    kind = sorted(CALLERS)[fault.target % len(CALLERS)]
    count = 1 if fault.strength < 0.5 else MANY
    with (
        Flood("probe", f"{node.ip}:{PORT + 1}", 1) as probes,
        Flood("caller", kind, f"{node.ip}:{PORT}", count),
    ):
        watch = gevent.spawn(ProbeWatch(fleet, node, probes).run)
        gevent.sleep(1.0 + fault.for_s)
        watch.kill()


def callers_send_long_prompts(fleet, fault):
    """Let callers send a node more long bodies at once than its memory could hold."""
    node = fleet.nodes[fault.target % len(fleet.nodes)]
    if node.busy or node.process.poll() is not None:
        return
    node.long_prompts_start = node.starts
    end = fleet.clock() + 1.0 + fault.for_s
    with Flood("caller", "long bodies", f"{node.ip}:{PORT}", LONG_BODIES):
        while fleet.clock() < end:
            held = resident_bytes(node.process.pid)
            if held > MAX_MEMORY:
                fleet.checker.record_violation(
                    "memory", f"{node.name} has {held / 1e6:.0f} MB"
                )
                return
            gevent.sleep(WATCH_INTERVAL_S)
