"""Callers whose requests end late in a planned stop of their node."""

import random

import gevent

from soak.callers import KINDS, Caller, encode_request
from soak.invariants import CONTACT_S
from soak.standins import SLOW_PATH

SENDERS = 8
BEGIN_S = 2.4
FIRST_END_S, LAST_END_S = 2.6, 4.35
UNFINISHED = 2
"""When requests begin and when bodies end, seconds after the signal to stop, and
callers that never send the rest."""


class LateSender(Caller):
    """Sends the end of a request long after its beginning."""

    def send_late(self, node, kind, begins_at, ends_at):
        """Send one request whose body ends at a time, or never.

        Parameters
        ----------
        begins_at : float
            Seconds on the fleet's clock.
        ends_at : float or None
            The same.
        """
        fleet = self.fleet
        self.node = node
        gevent.sleep(max(0.0, begins_at - fleet.clock()))
        if not self.connect():
            return
        request_id, sent_at = self.register(kind, "free")
        request = encode_request(
            kind, f"{kind.path[:-1]}{SLOW_PATH}", request_id, "free"
        )
        try:
            self.sock.sendall(request[:-1])
        except OSError:
            return
        fleet.checker.late_requests[request_id] = ends_at is not None
        rest = b""
        if ends_at is not None:
            gevent.sleep(max(0.0, ends_at - fleet.clock()))
            rest = request[-1:]
        self.exchange(kind, rest, request_id, sent_at, None)
        self.close()


def late_senders_at_a_stop(fleet, fault):
    """Stop a node as planned while requests to it end late."""
    node = fleet.nodes[fault.target % len(fleet.nodes)]
    if fleet.late_senders or not node.is_connected(fleet.clock() - CONTACT_S):
        return  # only a stop in calm is judged
    fleet.late_senders = True
    rng = random.Random(f"late {fault.at}")
    senders = [LateSender(fleet, rng, "free") for _ in range(SENDERS)]
    for number, sender in enumerate(senders):
        kind = KINDS[number % len(KINDS)]
        sender.call(kind, f"{kind.path[:-1]}{SLOW_PATH}", "free", node)
    began_at, starts = fleet.clock(), node.starts
    stop = gevent.spawn(node.restart)
    step_s = (LAST_END_S - FIRST_END_S) / (SENDERS - UNFINISHED - 1)
    sends = []
    for number, sender in enumerate(senders):
        ends_at = began_at + FIRST_END_S + number * step_s
        kind = KINDS[number % len(KINDS)]
        is_unfinished = number >= SENDERS - UNFINISHED
        send = (node, kind, began_at + BEGIN_S, None if is_unfinished else ends_at)
        sends.append(gevent.spawn(sender.send_late, *send))
    gevent.joinall([stop, *sends])
    was_stopped = node.starts == starts + 1  # not if another fault came first
    is_planned = was_stopped and node.was_healthy(began_at)
    fleet.checker.check_late_requests(is_planned=is_planned)
    fleet.late_senders = False
