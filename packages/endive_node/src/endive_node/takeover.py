"""Takes over requests of nodes under a reclaim notice; holds them until they resume."""

import gevent
import msgspec
from endive_core.exceptions import EndiveError, ErrorKind
from endive_core.handover import AnswerTransfer, RequestTransfer, request_of

from endive_node.backends import PlainResponse
from endive_node.logs import log_event
from endive_node.peers import IDL
from endive_node.request_registry import RequestRecord
from endive_node.runs import Run
from endive_node.serving import Serving


class Takeover:
    """Receives the requests and answers that leaving nodes transfer."""

    def __init__(self, serving: Serving) -> None:
        self.serving = serving
        self.requests_taken = serving.metrics.counter("endive_handover_requests_taken")

    def take_requests(self, sender: str, encoded: list[bytes]) -> list[str]:
        """Store requests that `sender` transfers; return the ids of those accepted."""
        if self.serving.stopping:
            raise IDL.PeerError(kind="stopping", message="this node is stopping too")
        accepted = []
        for data in encoded:
            transfer = msgspec.msgpack.decode(data, type=RequestTransfer)
            self._accept_transfer(transfer)
            accepted.append(transfer.head.request_id)
        log_event("handover_requests_taken", sender=sender, requests=len(accepted))
        return accepted

    def _accept_transfer(self, transfer: RequestTransfer) -> None:
        registry, clock = self.serving.registry, self.serving.clock
        known = registry.get(transfer.head.request_id)
        if known is not None and not known.moved:
            return
        now = clock.now()
        remaining_s = transfer.deadline_in_s
        request = request_of(
            transfer, None if remaining_s is None else now + remaining_s
        )
        record = RequestRecord(
            request,
            now - transfer.age_s,
            attempt=transfer.attempt,
        )
        run = self.serving.add_transferred(record, sent_before=transfer.dispatched)
        self.requests_taken.add(1)
        if transfer.stopped:
            run.resume(in_background=True)
        else:
            gevent.spawn_later(transfer.starts_in_s, self.sender_gone, run)

    def sender_gone(self, run: Run) -> None:
        """Resume or end a request whose sender never confirmed that it had stopped.

        An idempotent request starts here. A non-idempotent one may have been sent to
        a server just before the sender was killed, so it must not run again.
        """
        if not run.paused or run.record.ended:
            return
        if run.record.request.non_idempotent:
            run.end_unknown()
        else:
            # The sender may have sent it to a server after it had sent the record.
            run.sent_before = True
            run.resume(in_background=True)

    def take_answers(self, sender: str, encoded: list[bytes]) -> list[str]:
        """Continue from the answers so far; return the ids of requests that do."""
        if self.serving.stopping:
            raise IDL.PeerError(kind="stopping", message="this node is stopping too")
        taken = []
        for data in encoded:
            transfer = msgspec.msgpack.decode(data, type=AnswerTransfer)
            run = self.serving.registry.get(transfer.request_id)
            if run is not None and not run.moved:
                self._continue(run, transfer)
                taken.append(transfer.request_id)
        return taken

    def _continue(self, run: Run, transfer: AnswerTransfer) -> None:
        record = run.record
        if not run.paused or record.ended:
            return
        record.tokens[:] = transfer.tokens
        record.attempt = transfer.attempt
        run.sent_before = run.sent_before or transfer.dispatched
        run.continues = transfer.continues
        if transfer.status:
            record.plain_response = PlainResponse(
                transfer.status, transfer.content_type, transfer.data
            )
        if transfer.finish_reason:
            run.end_complete(transfer.finish_reason)
        elif transfer.error:
            run.end_failed(EndiveError(ErrorKind(transfer.error), transfer.message))
        else:
            run.resume(in_background=True)
