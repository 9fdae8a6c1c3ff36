"""Builder of a fleet in simulated time before servers that refuse some requests."""

from collections import Counter

from endive_core.exceptions import EndiveError, RetryReason
from endive_gateway.interfaces import ResponseMetadata
from limit_simulation import LimitedFleet

SLOTS = 8
WORK_S = 0.03
REFUSED_S = 0.003
MAX_ATTEMPTS = 2


class RefusingFleet(LimitedFleet):
    """Nodes before servers that refuse what they have no slot for, and single requests.

    Parameters
    ----------
    tells_load : bool
        Whether each response tells the server's load.

    Attributes
    ----------
    to_refuse : Counter of str
        By server, how many of the next requests it refuses though it has room.
    full : set of str
        Servers that refuse all requests.
    running : Counter of str
        Requests that run, by server.
    served : list of float
        When requests were served.
    refusals : list of (float, str, str)
        When servers refused requests, the node's address and the server.
    """

    def __init__(self, monkeypatch, nodes, servers, *, tells_load, seed=1):
        self.tells_load = tells_load
        self.to_refuse = Counter()
        self.full = set()
        self.running = Counter()
        self.served = []
        self.refusals = []
        monkeypatch.setattr("gevent.sleep", lambda *seconds: None)
        super().__init__(monkeypatch, nodes, dict.fromkeys(servers), seed, SLOTS)

    def arrived(self, node, ticket, server):
        refuses = server in self.full or self.running[server] >= SLOTS
        if self.to_refuse[server]:
            self.to_refuse[server] -= 1
            refuses = True
        if refuses:
            self.refusals.append((self.clock.now, node.address, server))
            self.at(self.clock.now + REFUSED_S, self.refuse, node, ticket, server)
            return
        self.running[server] += 1
        self.at(self.clock.now + WORK_S, self.end, node, ticket, server)

    def report(self, node, server):
        if self.tells_load:
            running = SLOTS if server in self.full else self.running[server]
            node.context.placer.report(server, running, 0)

    def refuse(self, node, ticket, server):
        placer, rests = node.context.placer, node.context.server_rests
        self.report(node, server)
        rests.observe(server, 503, ResponseMetadata(not_run=True), "")
        if ticket not in placer.ticket_schedulers:
            return
        try:
            placer.failed(
                ticket,
                RetryReason.SERVER_BUSY,
                started=False,
                max_attempts=MAX_ATTEMPTS,
            )
        except EndiveError as error:
            placer.end(ticket)
            self.refused.append((self.clock.now, error, 0.0))
        else:
            self.wait_for_server(node, ticket, self.clock.now)

    def end(self, node, ticket, server):
        self.running[server] -= 1
        placer = node.context.placer
        self.report(node, server)
        if ticket in placer.ticket_schedulers:
            placer.started(ticket)
            placer.finished(ticket, 1)
            placer.end(ticket)
            self.served.append(self.clock.now)
