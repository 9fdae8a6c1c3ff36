"""The node: the central object that holds every part and is started and stopped."""

import gevent
from gevent.event import Event

from endive_node.backends import BackendClients
from endive_node.callers import CallerApi
from endive_node.claiming import NoClaims
from endive_node.configuration import Configuration
from endive_node.dispatching import Dispatcher
from endive_node.listeners import HttpListener
from endive_node.members import StaticMembers
from endive_node.observing import Observer
from endive_node.operators import OperatorApi
from endive_node.peers import PeerHandler, PeerListener
from endive_node.platform import HttpLog
from endive_node.serving import Serving
from endive_node.settings import Settings
from endive_node.telemetry import Metrics, MonotonicClock, log_event

DRAIN_POLL_S = 0.05
MAX_DRAIN_S = 600.0
"""Longest a planned stop waits for answers under way."""


class Node:
    """One process of endivestack, the same on every instance.

    Users meet it as ``endive-node``; tests make it with :meth:`from_settings` and
    fakes for the platform.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.clock = MonotonicClock()
        self.metrics = Metrics()
        platform = settings.platform
        self.log = HttpLog(platform.log, platform.timeout_s)
        self.configuration = Configuration(self.log, self.clock)
        self.clients = BackendClients.from_settings(settings.backends)
        self.dispatcher = Dispatcher(
            self.configuration.catalogue,
            self.clock,
            self.metrics,
            settings.policy,
            max_attempts=settings.limits.max_attempts,
            is_listening=self.clients.is_listening,
        )
        self.configuration.listeners.append(lambda _: self.dispatcher.refresh())
        self.observer = Observer(
            self.dispatcher, self.clients, settings.backends, self.clock
        )
        self.serving = Serving(
            node_id=settings.node.id,
            catalogue=self.configuration.catalogue,
            dispatcher=self.dispatcher,
            clients=self.clients,
            limits=settings.limits,
            metrics=self.metrics,
            clock=self.clock,
            claims=NoClaims(),
        )
        self.members = StaticMembers.from_settings(settings)
        self._make_listeners()
        self.greenlets: list[gevent.Greenlet] = []
        self.stopped = Event()

    @classmethod
    def from_settings(cls, settings: Settings) -> "Node":
        """Return a node that is not started yet, its ports already bound."""
        return cls(settings)

    def _make_listeners(self) -> None:
        section = self.settings.node
        callers = CallerApi(
            self.serving,
            self.settings.limits.max_body_bytes,
            self.configuration.ready.is_set,
        )
        operators = OperatorApi(self)
        handler = PeerHandler(section.id, self.configuration, self.serving.trails)
        self.callers = HttpListener(callers.app, section.address, section.caller_port)
        self.operators = HttpListener(
            operators.app, section.address, section.operator_port
        )
        self.peers = PeerListener(handler, section.address, section.peer_port)

    def start(self) -> None:
        """Start all listeners and loops."""
        for listener in (self.peers, self.operators, self.callers):
            listener.start()
        for loop in (
            self.configuration.follow,
            self.serving.expire,
            self.dispatcher.pump_often,
            self.observer.follow,
        ):
            self.greenlets.append(gevent.spawn(loop))
        log_event(
            "node_started",
            id=self.settings.node.id,
            zone=self.settings.node.zone,
            callers=self.callers.port,
            operators=self.operators.port,
            peers=self.peers.port,
        )

    def drain(self) -> None:
        """Stop as planned: take nothing new, finish every answer under way."""
        if self.serving.stopping:
            return
        self.serving.stopping = True
        log_event("node_draining", in_flight=len(self.serving.ledger.unfinished()))
        deadline = self.clock.now() + MAX_DRAIN_S
        while self.serving.ledger.unfinished() and self.clock.now() < deadline:
            gevent.sleep(DRAIN_POLL_S)
        self.stop()

    def stop(self) -> None:
        """Stop at once what still runs."""
        self.callers.stop(timeout_s=1.0)
        self.operators.stop(timeout_s=1.0)
        self.peers.stop()
        gevent.killall(self.greenlets)
        log_event("node_stopped", id=self.settings.node.id)
        self.stopped.set()
