"""Builder of a fleet in simulated time before servers of which some ask for rest."""

from collections import defaultdict

from endive_core.exceptions import EndiveError, RetryReason
from endive_gateway.interfaces import ResponseMetadata
from limit_simulation import LimitedFleet

TURNED_AWAY_S = 0.005
ALLOWED_AFTER_S = 0.5
ALLOWED = 2
MAX_ATTEMPTS = 2


class RestingFleet(LimitedFleet):
    """Nodes before servers that turn everybody away for some time.

    Attributes
    ----------
    shedding : dict of str to float
        By server that turns requests away, the rest that it asks for, seconds.
    asked : dict of (str, str) to list of (float, float)
        By node and server, when a rest was asked for, and its end.
    received : dict of (str, str) to list of float
        By node and server, when requests arrived.
    turned_away, served : list of float
        When requests were turned away, and served.
    """

    def __init__(self, monkeypatch, nodes, servers, seed=1):
        self.shedding = {}
        self.asked = defaultdict(list)
        self.received = defaultdict(list)
        self.turned_away = []
        self.served = []
        monkeypatch.setattr("gevent.sleep", lambda *seconds: None)
        super().__init__(monkeypatch, nodes, dict.fromkeys(servers), seed)

    def arrived(self, node, ticket, server):
        self.received[node.address, server].append(self.clock.now)
        rest_s = self.shedding.get(server)
        if rest_s is None:
            super().arrived(node, ticket, server)
        else:
            self.turned_away.append(self.clock.now)
            at = self.clock.now + TURNED_AWAY_S
            self.at(at, self.turn_away, node, ticket, server, rest_s)

    def turn_away(self, node, ticket, server, rest_s):
        now = self.clock.now
        self.asked[node.address, server].append((now, now + rest_s))
        placer = node.context.placer
        rests = node.context.server_rests
        rests.observe(server, 503, ResponseMetadata(rest_s=rest_s, not_run=True), "")
        if ticket not in placer.ticket_schedulers:
            return
        try:
            placer.failed(
                ticket,
                RetryReason.SERVER_RESTING,
                started=False,
                max_attempts=MAX_ATTEMPTS,
            )
        except EndiveError as error:
            placer.end(ticket)
            self.refused.append((now, error, 0.0))
        else:
            self.wait_for_server(node, ticket, now)

    def answer(self, node, ticket, server, sent_at, limit):
        placer = node.context.placer
        if ticket in placer.ticket_schedulers:
            placer.started(ticket)
        super().answer(node, ticket, server, sent_at, limit)
        self.served.append(self.clock.now)

    def breaches(self):
        """Return the nodes and servers with more requests in a rest than allowed."""
        return [
            key
            for key, rests in self.asked.items()
            for asked_at, end in rests
            if sum(asked_at + ALLOWED_AFTER_S < at < end for at in self.received[key])
            > ALLOWED
        ]

    def most_within(self, server, seconds, since):
        """Return the most requests that a server received in any span of `seconds`."""
        times = self.received_since(server, since)
        return max(
            (sum(at <= other < at + seconds for other in times) for at in times),
            default=0,
        )
