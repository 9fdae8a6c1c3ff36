"""Holders of the duties that stop while a report of theirs is on its way."""

import gevent
from gevent.event import AsyncResult

REPORT_WAIT_S = 4.0
"""Longest wait for a usage report, seconds: nodes send one for each window of 2 s."""

LATE_S = 1.4
"""Delay of a report one of whose packets was lost, seconds."""


class LateReport:
    """A usage report that arrives late, and the node that sent it."""

    def __init__(self):
        self.holder = AsyncResult()

    def receive(self, holder):
        """Delay a report of `holder` if it is the first one."""
        if not self.holder.ready():
            self.holder.set(holder)
            gevent.sleep(LATE_S)


def holder_stops_amid_its_call(fleet, fault):
    """Stop the holder of the duties while a report is on its way, and start it again.

    The rule is that of all calls of holders: the order in which they arrive.
    """
    if fleet.cloud.late_report is not None:
        return
    report = fleet.cloud.late_report = LateReport()
    try:
        name = report.holder.get(timeout=REPORT_WAIT_S)
    except gevent.Timeout:
        fleet.cloud.late_report = None
        return
    holder = next(node for node in fleet.nodes if node.name == name)
    stop = gevent.spawn(holder.restart)
    gevent.sleep(LATE_S)
    fleet.cloud.late_report = None
    stop.join()
