"""Polls the load reports and cache events of backend servers, and counts the nodes."""

import time

import gevent
import msgspec
import urllib3
from endive_core.messages import ServerView
from endive_core.resources import ServiceType
from endive_core.scheduler import Scheduler
from gevent.pool import Pool

from endive_node.backends import BackendClients
from endive_node.dispatching import Dispatcher
from endive_node.interfaces import Clock, Members
from endive_node.settings import BackendSection

MAX_CONCURRENT_READS = 16
"""Most reads at a time, so that one server that hangs does not delay the others."""

CACHE_EVENT_ROUNDS = 2
"""Number of rounds of load reports for each round of cache events. Cache events are
late anyway, and the next turn of a conversation follows only seconds later."""

READ_ERRORS = (
    urllib3.exceptions.HTTPError,
    msgspec.DecodeError,
    KeyError,
    TypeError,
    ValueError,
)
"""Errors after which a report is skipped. The last report and the requests sent since
then still count, and failing requests show whether the server is there."""


class ServerPoller:
    """Polls the load and the cache events of all servers.

    The rate is bounded by the setting `max_report_polls_per_s`: with many servers each
    one is polled less often, so that the cost for a node stays the same.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        clients: BackendClients,
        settings: BackendSection,
        clock: Clock,
        members: Members | None = None,
    ) -> None:
        self.dispatcher = dispatcher
        self.clients = clients
        self.settings = settings
        self.clock = clock
        self.members = members
        self.pool = Pool(MAX_CONCURRENT_READS)
        self.round = 0
        self.next_event_seq: dict[str, int] = {}

    def follow(self) -> None:
        """Poll all servers in an endless loop; runs in a greenlet."""
        while True:
            started_at = self.clock.now()
            self.round += 1
            if self.members is not None:
                self.dispatcher.set_nodes(max(1, len(self.members.live())))
            count = 0
            for scheduler in list(self.dispatcher.schedulers.values()):
                for server in list(scheduler.servers.servers.values()):
                    self.pool.spawn(self.read, scheduler, server.view)
                    count += 1
            round_s = max(
                self.settings.report_poll_s,
                count / self.settings.max_report_polls_per_s,
            )
            gevent.sleep(max(0.0, started_at + round_s - self.clock.now()))

    def read(self, scheduler: Scheduler, view: ServerView) -> None:
        """Read one server's load report and, for an engine, its cache events."""
        try:
            self._read_load(scheduler, view)
            if scheduler.service_type is ServiceType.ENGINE and self._is_event_round():
                self._read_events(scheduler, view)
        except READ_ERRORS:
            return
        self.dispatcher.dispatch_queued(scheduler)

    def _is_event_round(self) -> bool:
        return self.round % CACHE_EVENT_ROUNDS == 0

    def _read_load(self, scheduler: Scheduler, view: ServerView) -> None:
        sent_at = self.clock.now()
        body = self.clients.fetch_json(view.address, "/load")
        # The report's state is as old as its time says, and at least as old as this
        # call. If the server's clock is ahead, requests that this node has sent since
        # would otherwise count as included in the report.
        age = max(0.0, time.time() - float(body.get("time", time.time())))
        as_of = min(sent_at, self.clock.now() - age)
        scheduler.report(
            view.id, int(body["running"]), int(body.get("waiting", 0)), as_of=as_of
        )

    def _read_events(self, scheduler: Scheduler, view: ServerView) -> None:
        start = self.next_event_seq.get(view.id, 0)
        body = self.clients.fetch_json(view.address, f"/cache/events?from={start}")
        if body["next"] < start:
            # After a restart the sequence starts at 0 again, with an empty cache.
            scheduler.placement.prefixes.forget_server(view.id)
        for event in body["events"]:
            scheduler.cache_event(
                view.id,
                event["seq"],
                stored=event["kind"] == "stored",
                blocks=[int(block, 16) for block in event["blocks"]],
            )
        self.next_event_seq[view.id] = body["next"]
