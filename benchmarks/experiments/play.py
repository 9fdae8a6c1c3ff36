"""Simulation of nodes that dispatch to engines with a gateway's decision objects."""

import heapq
import itertools
from collections.abc import Callable
from random import Random

from endive_core.calls import Ticket

from experiments.attempts import Attempts
from experiments.callers import Callers
from experiments.deployment import Deployment
from experiments.exchange import Exchange
from experiments.fetching import Links
from experiments.nodes import Node, RunningRequest
from experiments.options import Options
from experiments.outcomes import Result
from experiments.servers import Servers

DRAIN_S = 20.0
"""Time after the last arrival in which requests may still end, seconds."""


class Simulation:
    """Event-driven simulation of one deployment under some options.

    Attributes
    ----------
    running : dict of Ticket to RunningRequest
        Requests that a node has admitted and that have not ended.
    """

    def __init__(self, deployment: Deployment, options: Options, seed: int) -> None:
        self.deployment = deployment
        self.options = options
        self.seed = seed
        self.random = Random(seed)
        self.now = 0.0
        self.event_numbers = itertools.count()
        self.events: list = []
        self.result = Result()
        self.nodes = [
            Node(deployment, options, seed, number)
            for number in range(deployment.nodes)
        ]
        self.links = Links(deployment.engines)
        self.running: dict[Ticket, RunningRequest] = {}
        self.servers = Servers(self)
        self.attempts = Attempts(self)
        self.callers = Callers(self)
        self.exchange = Exchange(self)

    def run(self) -> Result:
        """Run the simulation; return the requests' outcomes and the engines' usage."""
        self.servers.add_first()
        self.exchange.begin()
        self.servers.begin()
        self.callers.begin()
        end = self.deployment.seconds + DRAIN_S
        while self.events and self.events[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.servers.end()
        self.result.links = self.links
        return self.result

    def schedule(self, time: float, action: Callable[..., None], *arguments) -> None:
        """Schedule `action` at `time`."""
        heapq.heappush(self.events, (time, next(self.event_numbers), action, arguments))
