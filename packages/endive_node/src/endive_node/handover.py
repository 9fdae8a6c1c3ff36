"""Transfers the unfinished requests of a node under a reclaim notice to others."""

from dataclasses import dataclass, field

import gevent
import msgspec
from endive_core.handover import (
    AnswerTransfer,
    PendingTransfer,
    RequestTransfer,
    batches,
    handover_targets,
    route_in,
    transfer_of,
    transfer_order,
)
from endive_core.messages import Endpoint

from endive_node.interfaces import Members
from endive_node.logs import log_event
from endive_node.notices import Notice, NoticeTable
from endive_node.peers import (
    IDL,
    PeerClient,
    PeerUnavailableError,
    PeerUnreachableError,
)
from endive_node.request_lookup import answer_page
from endive_node.runs import Run
from endive_node.serving import Serving
from endive_node.settings import NodeSection
from endive_node.takeover import Takeover

BATCH_RECORDS = 200
BATCH_BYTES = 262_144
"""Largest batch of one call, in bytes and records. A call takes a few milliseconds; if
the node is killed in the middle of it, at most one batch is lost."""

CALL_TIMEOUT_S = 1.0
"""Time-out of one call, seconds. A slower target is skipped: the notice lasts about
three seconds, and the next target needs part of them."""

START_MARGIN_S = 0.5
"""Margin around the end of the notice, seconds. This long after the end, a target
assumes that the sender is dead. From this long before the end, the sender also stops
and transfers running non-idempotent requests and calls to plain services."""

ROUND_PAUSE_S = 0.1
ROUNDS_AFTER_NOTICE_S = 30.0
"""How long a node that is still alive after its notice continues, seconds."""

encode = msgspec.msgpack.encode


class Handover:
    """Transfers this node's unfinished requests when it gets a reclaim notice.

    The node is killed about three seconds after its notice. Without a transfer every
    waiting and running request would be lost with it: callers would see broken
    connections, and no node would hold their answers. The records of all requests are
    sent first, then the answers generated so far. A request is stopped here before it
    may start at the target, so that it has one owner at a time.

    Attributes
    ----------
    holders : dict
        Peer address of the new holder by request id, for each transferred request.
    """

    def __init__(
        self,
        serving: Serving,
        section: NodeSection,
        members: Members,
        notices: NoticeTable,
    ) -> None:
        self.serving = serving
        self.section = section
        self.members = members
        self.notices = notices
        self.holders: dict[str, str] = {}
        self.started = False
        self.takeover = Takeover(serving)
        self.take_requests = self.takeover.take_requests
        self.take_answers = self.takeover.take_answers
        metrics = serving.metrics
        self.requests_given = metrics.counter("endive_handover_requests_given")
        self.calls_declined = metrics.counter("endive_handover_calls_declined")
        notices.listeners.append(self.on_notice)

    def on_notice(self, notice: Notice) -> None:
        """Start the handover if `notice` reclaims this node."""
        if self.started:
            return
        if self.notices.notice_for(self.section.id, self.section.zone) is notice:
            self.started = self.serving.handing_over = True
            gevent.spawn(self.run, notice)

    def run(self, notice: Notice) -> None:
        """Transfer all unfinished requests; runs in a greenlet."""
        clock = self.serving.clock
        started_at = clock.now()
        self.serving.leaving = self.serving.stopping = True
        self.members.leave()
        count = len(self.serving.registry.unfinished())
        log_event("handover_started", in_flight=count)
        rounds = HandoverRounds(self, notice)
        until = notice.ends_at + ROUNDS_AFTER_NOTICE_S
        while rounds.has_unfinished() and clock.now() < until:
            rounds.send_records(rounds.owned_runs())
            if rounds.first_pass_s is None:
                rounds.first_pass_s = clock.now() - started_at
                log_event(
                    "handover_records_acknowledged",
                    requests=len(rounds.acknowledged),
                    in_flight=count,
                    seconds=rounds.first_pass_s,
                )
            rounds.send_answers()
            if rounds.has_unfinished():
                gevent.sleep(ROUND_PAUSE_S)
        log_event(
            "handover_finished",
            given=len(self.holders),
            seconds=clock.now() - started_at,
        )

    # Called by other nodes

    def read_answer(
        self, organisation: str, request_id: str, key: str, start: int, wait_s: float
    ):
        """Return a page of an answer, or the address of the node that holds it now."""
        registry = self.serving.registry
        run = registry.get(request_id) if request_id else None
        if run is None and key:
            run = registry.by_idempotency_key(organisation, key)
        if run is None or run.record.request.organisation != organisation:
            return IDL.AnswerPage(known=False, moved_to="")
        if run.moved:
            return answer_page(run, start, self.holders[run.record.request.request_id])
        if run.paused and not self.started and not run.record.request.non_idempotent:
            run.resume(in_background=True)
        if len(run.record.tokens) <= start and not run.record.ended:
            run.record.progressed.wait(timeout=wait_s)
        return answer_page(run, start)


@dataclass
class HandoverRounds:
    """The rounds of one handover: each sends records first, then answers.

    Attributes
    ----------
    acknowledged : dict
        Target address by request id, for the requests whose record a target holds
        and which this node still owns.
    failed_targets : set of str
        Ids of the nodes that declined a call or did not respond.
    first_pass_s : float or None
        Seconds from the start of the handover until all records were sent once.
    """

    handover: Handover
    notice: Notice
    acknowledged: dict[str, str] = field(default_factory=dict)
    failed_targets: set[str] = field(default_factory=set)
    first_pass_s: float | None = None

    def owned_runs(self) -> list[Run]:
        """Return the runs that this node still owns."""
        return [r for r in self.handover.serving.registry.unfinished() if not r.moved]

    def has_unfinished(self) -> bool:
        """Return whether any record or answer is still to be sent."""
        return bool(self.acknowledged or self.owned_runs())

    def send_records(self, runs: list[Run]) -> None:
        """Send the records of `runs` that no target holds yet."""
        for run in runs:
            request = run.record.request
            if request.non_idempotent and not run.dispatched:
                run.pause()
        gevent.sleep(0)
        by_id = {run.record.request.request_id: run for run in runs}
        order = transfer_order(
            self._pending_transfer(run)
            for name, run in by_id.items()
            if self._is_unacknowledged(name)
        )
        groups: dict[tuple[str, str], list[Run]] = {}
        for name in order:
            target = self._target(name)
            if target is not None:
                groups.setdefault((target.id, target.peer_address), []).append(
                    by_id[name]
                )
        jobs = [
            gevent.spawn(self._send_records_to, peer_id, address, group)
            for (peer_id, address), group in groups.items()
        ]
        gevent.joinall(jobs)

    def _is_unacknowledged(self, request_id: str) -> bool:
        return request_id not in self.acknowledged

    def _pending_transfer(self, run: Run) -> PendingTransfer:
        request = run.record.request
        level = self.handover.serving.catalogue.priority(request.priority).level
        size = len(request.prompt)
        return PendingTransfer(request.request_id, level, size, not run.dispatched)

    def _target(self, request_id: str):
        handover = self.handover
        excluded = {handover.section.id} | handover.notices.instances()
        order = handover_targets(
            route_in(request_id),
            handover.members.live(),
            zones_under_notice=handover.notices.zones(),
            without=frozenset(excluded),
        )
        # A target that failed once is still better than none.
        not_failed = [
            member for member in order if member.id not in self.failed_targets
        ]
        return (not_failed or order or [None])[0]

    def _transfer(self, run: Run) -> RequestTransfer:
        now = self.handover.serving.clock.now()
        record, request = run.record, run.record.request
        remaining_s = None if request.deadline is None else request.deadline - now
        return transfer_of(
            request,
            age_s=now - record.accepted_at,
            deadline_in_s=remaining_s,
            attempt=record.attempt,
            dispatched=run.dispatched,
            stopped=False,
            starts_in_s=max(0.0, self.notice.ends_at - now) + START_MARGIN_S,
        )

    def _send_records_to(self, peer_id: str, address: str, runs: list[Run]) -> None:
        encoded = [encode(self._transfer(run)) for run in runs]
        for run in runs:
            run.mark_offered()
        taken, _ = self._send("take_requests", peer_id, address, encoded)
        for request_id in taken:
            self.acknowledged[request_id] = address

    def _send(
        self, method: str, peer_id: str, address: str, encoded: list[bytes]
    ) -> tuple[list[str], bool]:
        """Send in batches; return the ids of the requests that the peer accepted.

        The second value tells whether a response was lost, so that the peer may have
        accepted more.
        """
        client = PeerClient(address, CALL_TIMEOUT_S)
        taken: list[str] = []
        sizes = [len(data) for data in encoded]
        for part in batches(sizes, BATCH_BYTES, BATCH_RECORDS):
            try:
                taken += client.call(method, self.handover.section.id, encoded[part])
            except (PeerUnavailableError, IDL.PeerError) as error:
                self.handover.calls_declined.add(1)
                self.failed_targets.add(peer_id)
                log_event("handover_declined", peer=peer_id, error=error)
                certain = isinstance(error, IDL.PeerError | PeerUnreachableError)
                return taken, not certain
        return taken, False

    def send_answers(self) -> None:
        """Stop the requests whose records targets hold, and send the answers so far.

        The longest answers are sent first. A request whose answer is not sent before
        the node is killed starts again from its prompt, which costs nothing if it was
        still waiting.
        """
        registry = self.handover.serving.registry
        groups: dict[str, list[Run]] = {}
        for request_id, address in list(self.acknowledged.items()):
            run = registry.get(request_id)
            if run is None or run.moved:
                del self.acknowledged[request_id]
            elif self._may_transfer(run):
                groups.setdefault(address, []).append(run)
        for runs in groups.values():
            runs.sort(key=lambda run: len(run.record.tokens), reverse=True)
        peers = {m.peer_address: m.id for m in self.handover.members.live()}
        jobs = [
            gevent.spawn(self._send_answers_to, peers.get(address, ""), address, runs)
            for address, runs in groups.items()
        ]
        gevent.joinall(jobs)

    def _may_transfer(self, run: Run) -> bool:
        """Return whether a run may be stopped and transferred now.

        A non-idempotent request that a server may be running is transferred only if
        it ends here first or its server confirms that it stopped. A call to a plain
        service has no partial answer from which another node could continue, and it
        is short, so it is left running until the notice is about to end.
        """
        record = run.record
        if record.ended or not run.dispatched:
            return True
        if record.request.non_idempotent:
            return self._is_notice_ending() and run.stop_at_server()
        return (
            self._is_notice_ending() or record.request.endpoint is not Endpoint.SERVICE
        )

    def _is_notice_ending(self) -> bool:
        now = self.handover.serving.clock.now()
        return self.notice.ends_at - now < START_MARGIN_S

    def _send_answers_to(self, peer_id: str, address: str, runs: list[Run]) -> None:
        for start in range(0, len(runs), BATCH_RECORDS):
            self._send_answer_batch(
                peer_id, address, runs[start : start + BATCH_RECORDS]
            )

    def _send_answer_batch(self, peer_id: str, address: str, runs: list[Run]) -> None:
        for run in runs:
            run.pause()
        gevent.sleep(0)
        for run in runs:
            run.hand_over()
        encoded = [encode(answer_of(run)) for run in runs]
        taken, uncertain = self._send("take_answers", peer_id, address, encoded)
        for run in runs:
            request = run.record.request
            self.acknowledged.pop(request.request_id, None)
            if request.request_id in taken:
                self.handover.holders[request.request_id] = address
                self.handover.requests_given.add(1)
                run.end_moved()
            elif uncertain and request.non_idempotent:
                # The target may have started it although its response was lost.
                run.end_unknown()
            else:
                run.cancel_handover(uncertain=uncertain)


def answer_of(run: Run) -> AnswerTransfer:
    """Return the answer of a stopped run so far, as a transfer."""
    record = run.record
    error, plain = record.error, record.plain_response
    return AnswerTransfer(
        request_id=record.request.request_id,
        tokens=record.tokens,
        attempt=record.attempt,
        dispatched=run.dispatched,
        continues=run.claim_continues,
        finish_reason=record.finish_reason,
        error=str(error.kind) if error else "",
        message=error.message if error else "",
        status=plain.status if plain else 0,
        content_type=plain.content_type if plain else "",
        data=plain.body if plain else b"",
    )
