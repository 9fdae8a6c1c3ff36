"""Claims of non-idempotent requests, decided by the order of the log.

A claim is sent to the node that writes its key's shard. That node appends it to the log
in a batch, reads it back, and decides it with
:class:`endive_core.claims.ClaimTable`. Which node writes a shard matters only for
batching: if two nodes write one, the result is still correct, since the log orders
their records.
"""

import contextlib
import time
import uuid

import gevent
from endive_core.claims import (
    Claimant,
    ClaimOutcome,
    ClaimState,
    ClaimVerdict,
    claim_shard,
)
from endive_core.exceptions import EndiveError, ErrorKind
from endive_core.hashing import rendezvous_order
from endive_core.members import Member
from endive_core.messages import Request
from endive_core.records import Claim, Release, decode, encode

from endive_node.interfaces import (
    Clock,
    LogService,
    Members,
)
from endive_node.logs import log_event
from endive_node.peers import IDL, PeerConnection, PeerUnavailableError
from endive_node.settings import ClaimsSection
from endive_node.shards import ShardWriter, log_unavailable
from endive_node.telemetry import Metrics

WRITER_BACKOFF_S = 2.0
"""Seconds for which a writer that did not respond is skipped, so that a stalled node
costs one claim a time-out and not every claim."""

OWN_RELEASE_RETRY_S = 0.1
MAX_IDLE_CONNECTIONS = 8
MAX_REMOTE_WRITERS = 2
"""Other nodes that are tried before a node appends its claim itself."""

CLOCK_SKEW_S = 60.0
"""Seconds by which a caller's clock may be wrong in the time of a key's first use."""


class LogClaims:
    """Implements :class:`endive_node.interfaces.Claims` with the log.

    Callers see its errors as ``duplicate_request``, ``key_reused``, ``key_expired``
    and ``log_unavailable``.

    Attributes
    ----------
    writers : dict
        This node's shard writers, by shard.
    backoff_until : dict
        By node id, the time until which the node is not tried as a writer.
    connections : dict
        Idle connections by peer address.
    """

    def __init__(
        self,
        node_id: str,
        log: LogService,
        members: Members,
        clock: Clock,
        settings: ClaimsSection,
        metrics: Metrics,
    ) -> None:
        self.node_id = node_id
        self.log = log
        self.members = members
        self.clock = clock
        self.settings = settings
        self.metrics = metrics
        self.writers: dict[int, ShardWriter] = {}
        self.backoff_until: dict[str, float] = {}
        self.connections: dict[str, list[PeerConnection]] = {}
        self.wall_time = time.time
        self.won = metrics.counter("endive_claims_won")
        self.lost = metrics.counter("endive_claims_lost")
        self.withdrawn = metrics.counter("endive_claims_withdrawn")
        self.unreleased = metrics.counter("endive_claims_not_released")
        self.wait = metrics.meter.create_histogram("endive_claim_seconds", unit="s")

    # Claims of this node's own requests

    def check_age(self, request: Request) -> None:
        """Refuse a key that was first sent longer ago than claims are kept.

        Raises
        ------
        EndiveError
            ``key_expired``: it is no longer known whether the request ran.
        """
        if request.key_time is None:
            return
        age = self.wall_time() - request.key_time
        if age + CLOCK_SKEW_S > self.settings.window_s:
            raise EndiveError(
                ErrorKind.KEY_EXPIRED,
                f"the key was first sent {age:.0f} s ago; claims are kept for "
                f"{self.settings.window_s:.0f} s",
            )

    def acquire(self, request: Request, continues: int = 0) -> Claimant:
        """See :meth:`endive_node.interfaces.Claims.acquire`."""
        started = self.clock.now()
        deadline = started + self.settings.timeout_s
        if request.deadline is not None:
            deadline = min(deadline, request.deadline)
        key = claim_key(request, continues)
        while True:
            claimant = self._attempt(request, key, deadline)
            if claimant.state is ClaimState.HELD:
                self.won.add(1)
                self.wait.record(self.clock.now() - started)
                return claimant
            holder = claimant.holder
            own = holder is not None and holder.request_id == request.request_id
            if not own or self.clock.now() + OWN_RELEASE_RETRY_S > deadline:
                self.lost.add(1)
                log_event(
                    "claim_lost",
                    request_id=request.request_id,
                    key=key,
                    holder_request_id=holder.request_id if holder else "",
                    holder_node=holder.node if holder else "",
                )
                raise claim_lost_error(request, holder)
            # An earlier claim of this same request was withdrawn, here or at the node
            # that handed it over, and its release is not in the log yet.
            gevent.sleep(OWN_RELEASE_RETRY_S)

    def _attempt(self, request: Request, key: str, deadline: float) -> Claimant:
        claimant = Claimant(
            Claim(
                claim_id=uuid.uuid4().hex,
                key=key,
                node=self.node_id,
                request_id=request.request_id,
                fingerprint=request.fingerprint,
            )
        )
        try:
            outcome = self._decide(claimant.claim, deadline)
        except BaseException:
            # RunPaused during a handover included: the claim may be in the log, or
            # still arrive there, and must never be used.
            self.withdraw(claimant)
            raise
        release = claimant.settle(outcome)
        if release is not None:
            self._spawn_release(release)
        return claimant

    def withdraw(self, claimant: Claimant) -> None:
        """Withdraw an unused claim, and release its key for the next claim."""
        if claimant.state not in (ClaimState.PENDING, ClaimState.HELD):
            return
        release = claimant.withdraw()
        self.withdrawn.add(1)
        self._spawn_release(release)

    def _decide(self, claim: Claim, deadline: float) -> ClaimOutcome:
        shard = claim_shard(claim.key)
        for member in self._candidates(shard):
            remaining_s = deadline - self.clock.now()
            if remaining_s <= 0:
                break
            if member.id == self.node_id:
                return self.writer(shard).decide(claim, remaining_s)
            try:
                return self._decide_remotely(
                    member, claim, min(remaining_s, self.settings.peer_timeout_s)
                )
            except PeerUnavailableError as error:
                log_event("claim_writer_silent", peer=member.id, error=error)
                self.backoff_until[member.id] = self.clock.now() + WRITER_BACKOFF_S
        raise log_unavailable("no node appended the claim to the log in time")

    def _candidates(self, shard: int) -> list[Member]:
        """Return the nodes to try: the shard's writer, the next one, then this node."""
        now = self.clock.now()
        live = {member.id: member for member in self.members.live()}
        candidates: list[Member] = []
        for name in rendezvous_order(f"claims {shard}", live):
            if name == self.node_id or len(candidates) == MAX_REMOTE_WRITERS:
                break
            if self.backoff_until.get(name, 0.0) <= now:
                candidates.append(live[name])
        return [*candidates, Member(self.node_id, "", "")]

    def _decide_remotely(
        self, member: Member, claim: Claim, timeout_s: float
    ) -> ClaimOutcome:
        try:
            reply = self._call(member, "claim", timeout_s, encode(claim))
        except IDL.PeerError as error:
            raise log_unavailable(error.message) from None
        holder = decode(reply.holder) if reply.holder else None
        return ClaimOutcome(claim.claim_id, ClaimVerdict(reply.verdict), holder)

    def _call(self, member: Member, method: str, timeout_s: float, *arguments):
        """Call `method` over an idle connection, or a new one.

        The peer may have closed an idle connection, which shows only when it is used.
        Claims and releases may be sent twice, so the call is repeated on the next one.
        """
        idle = self.connections.setdefault(member.peer_address, [])
        with time_limit(timeout_s):
            while idle:
                with contextlib.suppress(PeerUnavailableError):
                    return self._call_on(idle.pop(), idle, method, arguments)
            connection = PeerConnection(member.peer_address, self.settings.timeout_s)
            return self._call_on(connection, idle, method, arguments)

    def _call_on(self, connection: PeerConnection, idle, method: str, arguments):
        usable = False
        try:
            reply = connection.call(method, *arguments)
            usable = True
            return reply
        except IDL.PeerError:
            usable = True
            raise
        finally:
            if usable and len(idle) < MAX_IDLE_CONNECTIONS:
                idle.append(connection)
            else:
                connection.close()

    def _spawn_release(self, release: Release) -> None:
        gevent.spawn(self._release, release)

    def _release(self, release: Release) -> None:
        """Append the release through the shard's writer, or else at this node."""
        shard = claim_shard(release.key)
        for member in self._candidates(shard):
            if member.id == self.node_id:
                self.writer(shard).release(release)
                return
            try:
                timeout_s = self.settings.peer_timeout_s
                self._call(member, "release", timeout_s, encode(release))
                return
            except (PeerUnavailableError, IDL.PeerError) as error:
                log_event("release_writer_silent", peer=member.id, error=error)
                self.backoff_until[member.id] = self.clock.now() + WRITER_BACKOFF_S

    # Claims of other nodes

    def writer(self, shard: int) -> ShardWriter:
        """Return this node's writer of `shard`, creating it if there is none."""
        if shard not in self.writers:
            self.writers[shard] = ShardWriter(
                shard, self.log, self.clock, self.settings, self.metrics
            )
        return self.writers[shard]

    def take_claim(self, record: str):
        """Decide the claim that another node sent; return an ``IDL.ClaimAnswer``."""
        claim = decode(record)
        writer = self.writer(claim_shard(claim.key))
        try:
            outcome = writer.decide(claim, self.settings.timeout_s)
        except EndiveError as error:
            raise IDL.PeerError(kind=str(error.kind), message=error.message) from None
        holder = encode(outcome.holder) if outcome.holder else ""
        return IDL.ClaimAnswer(verdict=str(outcome.verdict), holder=holder)

    def take_release(self, record: str) -> None:
        """Append the release that another node sent."""
        release = decode(record)
        self.writer(claim_shard(release.key)).release(release)


@contextlib.contextmanager
def time_limit(seconds: float):
    """Raise PeerUnavailableError in the block once `seconds` have passed."""
    timeout = gevent.Timeout(seconds)
    try:
        with timeout:
            yield
    except gevent.Timeout as error:
        if error is not timeout:
            raise
        raise PeerUnavailableError(f"no response within {seconds} s") from None


def claim_key(request: Request, continues: int) -> str:
    """Return the key to claim; a continued request has a key of its own.

    The first sender used the claim of the key itself, so that claim is held
    permanently. Continuing after a server confirmed that it stopped needs a claim of
    its own, which again only one node can hold.
    """
    key = f"{request.organisation}/{request.key}"
    return f"{key}#{continues}" if continues else key


def claim_lost_error(request: Request, holder: Claim | None) -> EndiveError:
    """Return the error for a request whose key another one holds."""
    if holder is not None and holder.fingerprint != request.fingerprint:
        return EndiveError(
            ErrorKind.KEY_REUSED,
            "the idempotency key was already used for a different request",
        )
    holder_id = holder.request_id if holder else ""
    return EndiveError(
        ErrorKind.DUPLICATE_REQUEST,
        "another request holds the idempotency key; read its response with "
        "GET /v1/requests/ID",
        details={"holder_request_id": holder_id},
    )
