"""Tells the owners of a stream where it began, and asks them when it is taken up.

For each resumable stream one datagram is sent to each of two nodes, and for one that is
taken up where its origin is not known, a question and a reply with each of them.
"""

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import gevent
from endive_core.stream_origins import (
    AMBIGUOUS,
    UNCONFIRMED,
    Member,
    OriginTable,
    OwnerChoice,
    RecentBeginnings,
    StreamOrigin,
)
from gevent.event import Event

from endive_gateway.datagrams import DatagramPort
from endive_gateway.origin_claims import OriginClaim, OriginClaims
from endive_gateway.origin_messages import (
    DECODER,
    OriginMessage,
    OriginNote,
    OriginQuery,
    OriginReply,
    RecordMessage,
)

KEEP_S = 30.0
"""Time after its deadline for which a stream's origin is kept, seconds."""

REPLY_S = 0.1
QUESTIONS = 3
"""Time for which replies are waited for, seconds, and how often each owner is asked in
it: datagrams may be lost."""

CHOICE_INTERVAL_S = 0.2
"""Time for which the nodes among which owners are chosen stay the same, seconds."""

ORIGINS_PER_NOTE = 100
"""Origins in one datagram, which then has some 6 KB, or 15 KB with their claims."""


@dataclass(eq=False)
class Inquiry:
    """A question to the owners of a stream's origin.

    Attributes
    ----------
    unanswered : set of str
        Addresses of the owners that have not replied.
    origin : StreamOrigin or None
        The origin, once an owner has told it.
    replies : int
        Owners that have replied without knowing it.
    ended : Event
        Set once the origin is known, or all owners have replied.
    """

    unanswered: set[str]
    origin: StreamOrigin | None = None
    replies: int = 0
    ended: Event = field(default_factory=Event)


class OriginExchange:
    """The origins of streams that this node keeps, and the exchange with other nodes.

    Attributes
    ----------
    table : OriginTable
        Origins of the streams that this node began or owns.
    own : OriginTable
        Those that it began.
    recent : RecentBeginnings
        Those that it began lately, by server.
    claims : OriginClaims
        What unconfirmed origins are taken for.
    is_true : callable
        Returns whether a claim is certain to be true, given a time at which the
        connection was open.
    live_members : callable
        Returns the other live nodes by address.
    receive_record : callable
        Called with each message about the store's records, and its sender.
    """

    def __init__(self, address: str, zone: str, incarnation: int) -> None:
        self.address = address
        self.self_member = Member(zone, incarnation)
        self.table = OriginTable()
        self.own = OriginTable()
        self.recent = RecentBeginnings()
        self.claims = OriginClaims()
        self.is_true: Callable[[OriginClaim, float], bool] = lambda *claim: False
        self.choice = OwnerChoice()
        self.choose_at = float("-inf")
        self.live_members: Callable[[], dict[str, Member]] = dict
        self.receive_record: Callable[[RecordMessage, str], None] = lambda *sent: None
        self.inquiries: dict[int, Inquiry] = {}
        self.asked = 0
        self.datagrams = DatagramPort("origins", DECODER, self.receive)

    # Telling

    def tell(
        self,
        key: bytes,
        origin: StreamOrigin,
        left_s: float,
        server: tuple[str, int] = ("", 0),
        claim: OriginClaim | None = None,
    ) -> None:
        """Keep the origin of a stream that begins here, and tell its owners.

        Parameters
        ----------
        left_s : float
            Time until the stream's deadline, seconds.
        server : tuple of (str, int)
            Id and incarnation of the server that begins it.
        claim : OriginClaim or None
            What an unconfirmed origin is taken for.
        """
        now, keep_s = time.monotonic(), max(0.0, left_s) + KEEP_S
        self.recent.add(server, key, now)
        self.own.put(key, origin, now + keep_s, now)
        self._keep(key, origin, keep_s, claim)
        self._send_notes([(key, origin, keep_s)], self._owners(key))

    def doubt(self, server: tuple[str, int]) -> list[bytes]:
        """Let the streams go on nowhere that may have begun after a server's end.

        Returns
        -------
        list of bytes
            Their keys.
        """
        keys = self.recent.take(server, time.monotonic())
        for key in keys:
            self.tell(key, AMBIGUOUS, 0.0)
        return keys

    def _keep(
        self, key: bytes, origin: StreamOrigin, keep_s: float, claim: OriginClaim | None
    ) -> None:
        """Keep an origin, unless a claim of it is known to be true already."""
        now = time.monotonic()
        if origin != UNCONFIRMED:
            self.claims.discard(key)
        elif claim is not None:
            if self.claims.settled.get(key) == claim:
                return
            self.claims.add(key, claim, now)
        self.table.put(key, origin, now + keep_s, now)

    def settle(self) -> None:
        """Take the claims for origins that are certain to be true by now."""
        now, kept = time.monotonic(), self.table
        for key, origin in self.claims.settle(self.is_true):
            known, until = kept.origins.get(key, (None, 0.0))
            if known == UNCONFIRMED:
                kept.put(key, origin, until, now)
        self.claims.forget_unless(kept.origins.__contains__)

    def _send_notes(
        self, origins: list[tuple[bytes, StreamOrigin, float]], addresses: Iterable[str]
    ) -> None:
        others = [address for address in addresses if address != self.address]
        for first in range(0, len(origins) if others else 0, ORIGINS_PER_NOTE):
            part = origins[first : first + ORIGINS_PER_NOTE]
            note = OriginNote(
                [
                    (key, origin.service, origin.version, left_s)
                    for key, origin, left_s in part
                ],
                self._encoded_claims(part),
            )
            self.datagrams.send(note, others)

    def _encoded_claims(
        self, origins: list[tuple[bytes, StreamOrigin, float]]
    ) -> list[tuple[bytes, str, str, str, int]]:
        """Return the claims of those of some origins that are unconfirmed."""
        claims = [
            (key, self.claims.get(key))
            for key, origin, _ in origins
            if origin == UNCONFIRMED
        ]
        return [
            (key, c.origin.service, c.origin.version, c.server_id, c.incarnation)
            for key, c in claims
            if c is not None
        ]

    def _owners(self, key: bytes) -> list[str]:
        now = time.monotonic()
        if now >= self.choose_at:
            self.update_members(now)
        return self.choice.owners(key)

    def update_members(self, now: float) -> None:
        """Choose owners among the nodes that are live now.

        Those of the streams that began here are told again if they are new.
        """
        self.choose_at = now + CHOICE_INTERVAL_S
        before = dict(self.choice.members)
        members = self.live_members() | {self.address: self.self_member}
        if self.choice.set_members(members) and before:
            self._tell_new_owners(before, self.own, now)

    def run(self) -> None:
        """Tell new owners, and settle claims, in an endless loop."""
        while True:
            gevent.sleep(CHOICE_INTERVAL_S)
            self.settle()
            self.update_members(time.monotonic())

    def hand_over(self) -> None:
        """Tell the nodes that own this node's origins once it has stopped."""
        before = dict(self.choice.members)
        members = {a: m for a, m in before.items() if a != self.address}
        if self.choice.set_members(members):
            self._tell_new_owners({}, self.table, time.monotonic())

    def _tell_new_owners(
        self, before: dict[str, Member], table: OriginTable, now: float
    ) -> None:
        """Tell owners that are not `before`, or have started again since."""
        new = {a for a, m in self.choice.members.items() if before.get(a) != m}
        told: dict[str, list[tuple[bytes, StreamOrigin, float]]] = {}
        for key, origin, left_s in table.left(now):
            for address in new.intersection(self.choice.owners(key)):
                told.setdefault(address, []).append((key, origin, left_s))
        for address, origins in told.items():
            self._send_notes(origins, [address])

    # Asking

    def known(self, key: bytes) -> StreamOrigin | None:
        """Return the origin of a stream if this node keeps it."""
        return self.table.get(key, time.monotonic())

    def running(self) -> list[tuple[bytes, StreamOrigin]]:
        """Return key and origin of the streams that began here, while they are kept."""
        left = self.own.left(time.monotonic())
        unknown = (AMBIGUOUS, UNCONFIRMED)
        return [(key, origin) for key, origin, _ in left if origin not in unknown]

    def ask(self, key: bytes) -> Inquiry:
        """Ask the owners of a stream's origin, and wait for their replies."""
        owners = {address for address in self._owners(key) if address != self.address}
        inquiry = Inquiry(owners)
        if not owners:
            return inquiry
        self.asked += 1
        number = self.asked
        self.inquiries[number] = inquiry
        try:
            for _ in range(QUESTIONS):
                question = OriginQuery(number, key, "")
                self.datagrams.send(question, list(inquiry.unanswered))
                if inquiry.ended.wait(REPLY_S / QUESTIONS):
                    break
        finally:
            del self.inquiries[number]
        return inquiry

    # Messages

    def receive(self, message: OriginMessage, address: str) -> None:
        """Handle another node's message."""
        if isinstance(message, OriginNote):
            claims = {
                key: OriginClaim(StreamOrigin(service, version), server_id, incarnation)
                for key, service, version, server_id, incarnation in message.claims
            }
            for key, service, version, left_s in message.origins:
                origin = StreamOrigin(service, version)
                self._keep(key, origin, left_s, claims.get(key))
        elif isinstance(message, OriginQuery):
            self.datagrams.send(self._reply_to(message), [address])
        elif isinstance(message, OriginReply):
            self._handle_reply(message, address)
        else:
            self.receive_record(message, address)

    def _reply_to(self, question: OriginQuery) -> OriginReply:
        origin = self.table.get(question.key, time.monotonic())
        return OriginReply(
            question.number,
            origin.service if origin else "",
            origin.version if origin else "",
            origin is not None,
        )

    def _handle_reply(self, reply: OriginReply, address: str) -> None:
        inquiry = self.inquiries.get(reply.number)
        if inquiry is None or address not in inquiry.unanswered:
            return
        inquiry.unanswered.discard(address)
        if reply.is_known:
            # Another owner may have heard more.
            if inquiry.origin in (None, UNCONFIRMED):
                inquiry.origin = StreamOrigin(reply.service, reply.version)
        else:
            inquiry.replies += 1
        is_final = reply.is_known and inquiry.origin != UNCONFIRMED
        if is_final or not inquiry.unanswered:
            inquiry.ended.set()
