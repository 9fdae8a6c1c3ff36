"""Builder of requests at a node in simulated time, with the product's decisions."""

from endive_core.exceptions import EndiveError, ErrorKind, RetryReason
from endive_core.pooled_servers import Outcome
from endive_gateway.attempts import SLOT_WAIT_FRACTION
from endive_gateway.exceptions import SlotDeclinedError
from endive_gateway.failed_attempts import MAX_SLOT_REQUESTS
from endive_gateway.interfaces import ResponseMetadata
from endive_gateway.slot_leasing import REPLY_MARGIN_S
from endive_gateway.slot_pooling import MAX_COORDINATORS
from gateway_builders import SERVICE

POLL_S = 0.002


class SimulatedRequest:
    """A request at one node."""

    def __init__(self, fleet, node, ticket, arrival, *, retryable=True):
        self.arrival = arrival
        self.work_s = arrival.work_s
        self.returns = 0
        self.retryable = retryable
        self.fleet = fleet
        self.node = node
        self.placer = node.context.placer
        self.ticket = ticket
        self.received_at = fleet.clock.now
        self.leasing = node.context.slot_leasing
        self.workload = fleet.workload
        self.pooling = node.context.slot_pooling
        self.server = None
        self.lease = None
        self.pool_lease = None
        self.declined = self.silent = self.runs = 0
        self.asked_at = self.sent_at = self.wait_s = 0.0

    def wait_for_server(self):
        """Send the request once a server is assigned; queues are polled each 10 ms."""
        if self.ticket.pooled:
            self.ask_pool()
            return
        result = self.placer.waiting.get(self.ticket)
        if result is None:
            return
        if not result.ready():
            for scheduler in self.placer.schedulers.values():
                self.placer.dispatch_queued(scheduler)
        if not result.ready():
            self.fleet.at(self.fleet.clock.now + 0.01, self.wait_for_server)
            return
        try:
            view = result.get()
        except EndiveError as error:
            self.end_with(error)
            return
        self.server = self.fleet.servers[view.id]
        self.asked_at = self.fleet.clock.now
        left_s = self.workload.target_s - (self.asked_at - self.received_at)
        self.wait_s = max(0.02, SLOT_WAIT_FRACTION * left_s)
        self.lease = self.leasing.ask(
            view, priority=5, wait_s=self.wait_s, lease_s=self.workload.deadline_s
        )
        self.wait_for_slot()

    def wait_for_slot(self):
        """Send the request once a slot of a brittle server is leased."""
        now = self.fleet.clock.now
        if self.lease is None:
            self.send()
        elif self.lease.granted.ready():
            if self.lease.granted.get():
                self.send()
            else:
                self.slot_declined()
        elif now - self.asked_at > self.wait_s + REPLY_MARGIN_S:
            self.leasing.give_up(self.lease)
            self.slot_declined()
        else:
            self.fleet.at(now + POLL_S, self.wait_for_slot)

    def slot_declined(self):
        self.lease = None
        self.declined += 1
        is_late = self.fleet.clock.now - self.received_at >= self.workload.target_s
        if is_late or self.declined == MAX_SLOT_REQUESTS:
            retry_after_s = self.workload.target_s
            error = EndiveError(
                ErrorKind.OVERLOADED, "no slot", retry_after_s=retry_after_s
            )
            self.end_with(error)
        else:
            reason = SlotDeclinedError("no slot").reason
            self.retry(reason, started=False, extra=self.declined)

    # A slot of any server

    def ask_pool(self):
        """Ask the coordinator of the service's slots for one."""
        now = self.fleet.clock.now
        spent_s = now - self.received_at
        self.pool_lease = self.pooling.ask(
            SERVICE,
            priority=5,
            organisation=self.ticket.call.organisation,
            due_s=self.workload.target_s - spent_s,
            lease_s=self.workload.deadline_s - spent_s,
            avoid=self.ticket.avoid,
        )
        self.node.pool_requests[self.pool_lease.number] = self
        if not self.check_pool(self.pool_lease):
            self.fleet.at(self.pool_lease.reply_by + 1e-6, self.check_silence)

    def check_pool(self, lease):
        """Send the request, or end it, once the coordinator has decided."""
        if lease is not self.pool_lease or not lease.granted.ready():
            return False
        self.node.pool_requests.pop(lease.number, None)
        if not lease.server:
            self.pool_lease = None
            self.end_with(self.pooling.declined(lease.granted.get()))
        elif self.placer.assign(self.ticket, lease.server) is None:
            self.release()
            self.leave_pool()
        else:
            self.server = self.fleet.servers[lease.server]
            self.send()
        return True

    def check_silence(self):
        """Ask another coordinator if this one has not replied in time."""
        lease, now = self.pool_lease, self.fleet.clock.now
        if lease is None or lease.granted.ready():
            return
        if now < lease.reply_by:
            self.fleet.at(lease.reply_by + 1e-6, self.check_silence)
            return
        self.pooling.give_up(lease)
        self.node.pool_requests.pop(lease.number, None)
        self.pool_lease = None
        self.silent += 1
        if self.silent < MAX_COORDINATORS:
            self.ask_pool()
        else:
            self.leave_pool()

    def leave_pool(self):
        self.placer.leave_pool(self.ticket)
        self.wait_for_server()

    # At the server

    def send(self):
        self.sent_at = self.fleet.clock.now
        self.fleet.at(self.sent_at + self.workload.one_way_s, self.server.arrive, self)

    def metadata(self):
        return ResponseMetadata(
            running=self.server.running,
            waiting=len(self.server.waiting),
            slots=self.workload.slots,
            brittle_rejections=self.server.brittle,
            slowdown=self.server.slowdown if self.workload.states_speed else None,
        )

    def observe(self, *, not_run):
        metadata = self.metadata()
        metadata.not_run = not_run
        self.placer.report(self.server.id, metadata.running, metadata.waiting)
        if metadata.slowdown is not None:
            self.pooling.states_speed(self.server.id)
        load = metadata.running + metadata.waiting
        self.leasing.report(self.lease, load)
        if self.pool_lease is not None:
            self.pool_lease.load = load
            self.pool_lease.slowdown = metadata.slowdown
        self.node.context.brittle_services.observe(
            self.server.id, metadata, self.sent_at, is_success=not not_run
        )

    def release(self):
        self.leasing.release(self.lease)
        self.pooling.release(self.pool_lease)
        self.lease = self.pool_lease = None

    def answer(self):
        self.fleet.at(self.fleet.clock.now + self.workload.one_way_s, self.answered)

    def answered(self):
        if self.ticket in self.placer.ticket_schedulers:
            self.observe(not_run=False)
            if self.pool_lease is not None:
                self.pool_lease.outcome = Outcome.ANSWERED
            self.release()
            self.placer.started(self.ticket)
            self.placer.finished(self.ticket, 1)
            self.placer.end(self.ticket)
            waited_s = self.fleet.clock.now - self.received_at
            self.fleet.ends.append((self.received_at, "ok", waited_s))

    def reject(self):
        self.fleet.at(self.fleet.clock.now + self.workload.one_way_s, self.rejected)

    def rejected(self):
        self.observe(not_run=True)
        self.retry(RetryReason.SERVER_BUSY, started=False)

    def fail(self, reason, *, started):
        due = self.fleet.clock.now + self.workload.one_way_s
        self.fleet.at(due, self.retry, reason, started)

    def retry(self, reason, started, extra=0):
        if self.pool_lease is not None:
            self.pool_lease.failed(reason)
        self.release()
        if started and not self.retryable:
            self.placer.count_final_failure(self.ticket, reason, started=started)
            self.end_with(EndiveError(ErrorKind.OUTCOME_UNKNOWN, "not sent again"))
            return
        if self.ticket not in self.placer.ticket_schedulers:
            return
        try:
            self.placer.failed(
                self.ticket,
                reason,
                started=started,
                max_attempts=self.workload.max_attempts + extra,
            )
        except EndiveError as error:
            self.end_with(error)
        else:
            self.wait_for_server()

    def end_with(self, error):
        self.placer.end(self.ticket)
        if error.kind is ErrorKind.OVERLOADED:
            arrival, returns = self.arrival, self.returns
            self.fleet.refused(error, arrival, self.received_at, returns)
            return
        held_s = self.fleet.clock.now - self.received_at
        self.fleet.ends.append((self.received_at, str(error.kind), held_s))
