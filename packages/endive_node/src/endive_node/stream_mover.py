"""Moves streams off backend servers that are under a reclaim notice."""

from collections.abc import Iterator

import gevent
from endive_core.messages import Endpoint, ServerView
from endive_core.stream_moves import MoveMethod
from gevent.pool import Pool

from endive_node.dispatching import Dispatcher
from endive_node.logs import log_event
from endive_node.notices import Notice, NoticeTable
from endive_node.pending_moves import PendingMove
from endive_node.runs import Run
from endive_node.serving import Serving

MAX_CONCURRENT_EXPORTS = 8
"""For each server. Exports share the server's network, so more of them at once would
delay the one that is most expensive to recompute."""


class StreamMover:
    """Moves streams off servers that are being reclaimed.

    The streams that cost most to recompute go first. Without a move, the server is
    killed and each of its streams is recomputed from the prompt on, at other servers
    that are already short of capacity.
    """

    def __init__(
        self, serving: Serving, dispatcher: Dispatcher, notices: NoticeTable
    ) -> None:
        self.serving = serving
        self.dispatcher = dispatcher
        self.notices = notices
        metrics = serving.metrics
        self.exported = metrics.counter("endive_streams_exported")
        self.resumed = metrics.counter("endive_streams_resumed")
        notices.listeners.append(self.on_notice)

    def on_notice(self, notice: Notice) -> None:
        """Exclude the servers that `notice` reclaims, and move their streams.

        A node that is itself being reclaimed moves no streams: exports would delay its
        handover, which stops the streams and continues them at other nodes anyway.
        """
        for server in self.mark_leaving_servers():
            if self.serving.handing_over:
                continue
            if self.notices.notice_for(server.id, server.zone) is notice:
                gevent.spawn(self.move_streams, server, notice)

    def mark_leaving_servers(self) -> list[ServerView]:
        """Exclude all servers under notice from placement; return them."""
        found = []
        for server in list(self._servers()):
            if self.notices.notice_for(server.id, server.zone) is not None:
                self.dispatcher.exclude_server(server.id)
                found.append(server)
        return found

    def _servers(self) -> Iterator[ServerView]:
        for views in self.dispatcher.servers.values():
            yield from views.values()

    def move_streams(self, server: ServerView, notice: Notice) -> None:
        """Move the streams that run at `server`; the body of a greenlet."""
        left_s = notice.ends_at - self.serving.clock.now()
        runs = {
            run.ticket: run
            for run in self.serving.registry.unfinished()
            if is_streaming_from(run, server)
        }
        for ticket, run in runs.items():
            ticket.tokens = len(run.record.tokens)
        moves = self.dispatcher.plan_moves(server, seconds_left=left_s)
        to_stop = [s for s in moves if s.method is not MoveMethod.FINISH]
        log_event(
            "server_leaving", server=server.id, streams=len(runs), moving=len(to_stop)
        )
        pool = Pool(MAX_CONCURRENT_EXPORTS)
        for move in to_stop:
            if move.ticket in runs:
                pool.spawn(self.move_stream, runs[move.ticket], server, move.method)
        pool.join()

    def move_stream(self, run: Run, server: ServerView, method: MoveMethod) -> None:
        """Stop one stream at `server`; its driver continues it elsewhere."""
        if not is_streaming_from(run, server):
            return
        pending_move = run.pending_move = PendingMove()
        request_id = run.record.request.request_id
        exported = None
        if method is MoveMethod.EXPORT:
            exported = run.backend.export_kv(request_id)
        if exported is not None:
            self.exported.add(1)
            pending_move.set_result(*exported)
        else:
            self.resumed.add(1)
            pending_move.set_result(run.backend.cancel(request_id))
        log_event(
            "stream_moved", request_id=request_id, tokens=len(pending_move.tokens)
        )


def is_streaming_from(run: Run, server: ServerView) -> bool:
    """Return whether an engine's attempt of `run` is under way at `server`."""
    return (
        run.driving
        and run.ticket is not None
        and run.backend is not None
        and run.server is not None
        and run.server.id == server.id
        and run.record.request.endpoint is not Endpoint.SERVICE
    )
