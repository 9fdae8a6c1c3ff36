"""Gossip of heartbeats and facts over UDP, around ``endive_core.membership``."""

import random
import socket
import time
from pathlib import Path

import gevent
import thriftpy2
from endive_core.facts import Fact, FactKind, FactTable
from endive_core.members import Digest, Heartbeat, Member, MemberState
from endive_core.membership import Membership, Timings
from gevent.socket import wait_read
from thriftpy2.protocol import TCompactProtocolFactory
from thriftpy2.utils import deserialize, serialize

from endive_node.interfaces import Clock, InstanceList
from endive_node.logs import log_event
from endive_node.settings import Settings
from endive_node.sockets import listen_udp
from endive_node.telemetry import Metrics

IDL = thriftpy2.load(
    str(Path(__file__).with_name("gossip.thrift")), module_name="gossip_thrift"
)
PROTOCOL = TCompactProtocolFactory()
STATES = (MemberState.STARTING, MemberState.LIVE, MemberState.LEAVING)
MAX_DATAGRAM_BYTES = 65_535
MAX_RECEIVED_AT_ONCE = 64
"""Datagrams processed before the node's other work goes on."""

HEADER_BYTES = 28
"""IP and UDP headers, counted with every datagram because the network carries them."""

INSTANCE_LIST_POLL_S = 10.0
NODE_ROLE = "node"
LEAVING = "leaving"

ANNOUNCE_RECEIVERS = 16
"""Receivers of a change that can't wait for the next rounds, such as this node's
leaving. They pass it on: with 16 receivers among 370 nodes, the others receive it
within a few rounds."""

REPLIES_PER_S = 20.0
REPLY_BURST = 40.0
"""Token bucket for datagrams sent as replies: its rate in datagrams per second and its
size. Forged or garbled requests must not make a node send without limit. A new node
needs about thirty replies to learn of 370 others."""


class DatagramError(Exception):
    """A datagram that is not a valid digest; it is counted and dropped."""


class Gossip:
    """Sends and receives the gossip datagrams of one node.

    Other parts of the node use :attr:`members` and :attr:`facts`.

    Attributes
    ----------
    members : Membership
        The known nodes and their states.
    facts : FactTable
        Notices and crashes that are spread to all nodes.
    """

    def __init__(
        self,
        me: Member,
        udp: socket.socket,
        clock: Clock,
        *,
        datagrams_per_s: float,
        timings: Timings,
        seeds: set[str],
        instance_list: InstanceList | None = None,
        seed: int | None = None,
    ) -> None:
        udp.setblocking(False)
        self.socket = udp
        self.clock = clock
        self.round_s = 1.0 / datagrams_per_s
        self.random = random.Random(seed)
        self.facts = FactTable(clock.now)
        self.members = Membership(
            me, self.facts, clock.now, self.random, timings, self.round_s
        )
        self.members.seeds = seeds
        self.members.state_listeners.append(self.announce)
        self.instance_list = instance_list
        self.sent_bytes = 0
        self.received_bytes = 0
        self.rejected = 0
        self.reply_tokens = REPLY_BURST
        self.refilled_at = clock.now()
        self.greenlets: list[gevent.Greenlet] = []

    @classmethod
    def from_settings(
        cls,
        settings: Settings,
        clock: Clock,
        instance_list: InstanceList | None = None,
    ) -> "Gossip":
        """Return the gossip of the node in `settings`, with its port already bound."""
        section = settings.node
        udp = listen_udp(section.address, section.gossip_port)
        me = Member(
            id=section.id,
            zone=section.zone,
            region=section.region,
            peer_address=f"{section.address}:{section.peer_port}",
            gossip_address=f"{section.address}:{udp.getsockname()[1]}",
            state=MemberState.STARTING,
            incarnation=int(time.time()),
        )
        membership = settings.membership
        return cls(
            me,
            udp,
            clock,
            datagrams_per_s=membership.datagrams_per_s,
            timings=Timings(
                suspect_after_s=membership.suspect_after_s,
                remove_after_s=membership.remove_after_s,
            ),
            seeds={peer.gossip_address for peer in settings.peers},
            instance_list=instance_list,
        )

    def start(self) -> None:
        """Start the loops."""
        loops = [self.send_rounds, self.receive_all]
        if self.instance_list is not None:
            loops.append(self.follow_instance_list)
        self.greenlets = [gevent.spawn(loop) for loop in loops]

    def stop(self) -> None:
        """Stop the loops and close the port."""
        gevent.killall(self.greenlets)
        self.socket.close()

    def register_metrics(self, metrics: Metrics) -> None:
        """Register gauges of members, traffic, rejected datagrams, dropped facts."""
        members = self.members
        metrics.gauge("endive_members_live", lambda: len(members.live()))
        metrics.gauge("endive_members_suspected", lambda: len(members.suspected()))
        metrics.gauge("endive_gossip_sent_bytes", lambda: self.sent_bytes)
        metrics.gauge("endive_gossip_received_bytes", lambda: self.received_bytes)
        metrics.gauge("endive_gossip_rejected", lambda: self.rejected)
        metrics.gauge("endive_facts_dropped", lambda: self.facts.dropped)

    def send_rounds(self) -> None:
        """Send one datagram per round in an endless loop; runs in a greenlet."""
        while True:
            self.members.tick()
            receiver = self.members.receiver()
            if receiver is not None:
                self.send(self.members.digest(), receiver)
            gevent.sleep(self.round_s * self.random.uniform(0.9, 1.1))

    def receive_all(self) -> None:
        """Receive datagrams in an endless loop; runs in a greenlet."""
        while True:
            wait_read(self.socket.fileno())
            if not self.receive_pending():
                gevent.sleep(self.round_s)

    def receive_pending(self) -> bool:
        """Process the datagrams that have arrived; return false if the port fails.

        A caller may send a request that crashed servers at another node here at once.
        Its connection and that node's datagram then wait to be read together.
        """
        for _ in range(MAX_RECEIVED_AT_ONCE):
            try:
                data, source = self.socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                break
            except OSError as error:
                log_event("gossip_receive_failed", error=error)
                return False
            self.receive(data, source)
        return True

    def receive(self, data: bytes, source: tuple[str, int]) -> None:
        """Process one datagram; reply if either side lacks members."""
        self.received_bytes += len(data) + HEADER_BYTES
        try:
            digest = decode_digest(data, self.clock.now())
        except DatagramError as error:
            self.rejected += 1
            log_event("datagram_rejected", source=source[0], error=error)
            return
        if self.members.receive(digest) and self._may_reply():
            reply = self.members.digest(wanted=digest.wanted)
            self.send(reply, digest.sender.gossip_address)

    def _may_reply(self) -> bool:
        now = self.clock.now()
        refill = (now - self.refilled_at) * REPLIES_PER_S
        self.reply_tokens = min(REPLY_BURST, self.reply_tokens + refill)
        self.refilled_at = now
        if self.reply_tokens < 1:
            return False
        self.reply_tokens -= 1
        return True

    def send(self, digest: Digest, receiver: str) -> None:
        """Send one datagram; if it is lost, the next rounds send the same state."""
        data = encode_digest(digest, self.clock.now())
        host, port = receiver.rsplit(":", 1)
        try:
            self.socket.sendto(data, (host, int(port)))
        except (OSError, ValueError, OverflowError) as error:
            log_event("gossip_send_failed", receiver=receiver, error=error)
            return
        self.sent_bytes += len(data) + HEADER_BYTES

    def announce(self) -> None:
        """Send the digest to several nodes at once, after a change that can't wait.

        The receivers include nodes that are known only by their address, because a
        node serves callers before every other one has received its heartbeat. If they
        were left out, a request that has crashed two servers at this node could crash
        two more at a node that has just started, since callers retry within 0.2 s. With
        three nodes started together this happened in one run of three.
        """
        addresses = [member.gossip_address for member in self.members.reachable()]
        addresses += self.members.unknown_addresses()
        self.random.shuffle(addresses)
        for address in addresses[:ANNOUNCE_RECEIVERS]:
            self.send(self.members.digest(), address)

    def follow_instance_list(self) -> None:
        """Read addresses of nodes from the platform's list; runs in a greenlet.

        The list lags behind, so it only adds addresses to contact. Whether a node is
        alive is decided by its heartbeats.
        """
        configured = set(self.members.seeds)
        while True:
            try:
                instances = self.instance_list.instances()
            except Exception as error:  # any adapter's; the list is optional
                log_event("instance_list_failed", error=error)
            else:
                self.members.seeds = configured | self._listed_addresses(instances)
            gevent.sleep(INSTANCE_LIST_POLL_S)

    def _listed_addresses(self, instances: list[dict]) -> set[str]:
        port = self.members.me.gossip_address.rsplit(":", 1)[1]
        return {
            address if ":" in address else f"{address}:{port}"
            for address in (
                str(instance["address"])
                for instance in instances
                if instance.get("role") == NODE_ROLE
                and instance.get("state") != LEAVING
                and instance.get("address")
            )
        }


def encode_digest(digest: Digest, now: float) -> bytes:
    """Return the datagram that holds `digest`.

    Parameters
    ----------
    now : float
        Seconds on this node's clock. Facts are sent with their remaining time, since
        the nodes' clocks differ.
    """
    datagram = IDL.Datagram(
        sender=_encode_member(digest.sender),
        highest_offset=digest.highest_offset,
        beats=IDL.Beats(
            members=[beat.member for beat in digest.beats],
            heartbeats=[beat.heartbeat for beat in digest.beats],
            states=bytes(STATES.index(beat.state) for beat in digest.beats),
            offsets=[beat.configuration_offset for beat in digest.beats],
        ),
        members=[_encode_member(member) for member in digest.members],
        facts=[_encode_fact(fact, now) for fact in digest.facts],
        wanted=digest.wanted,
    )
    return serialize(datagram, PROTOCOL)


def decode_digest(data: bytes, now: float) -> Digest:
    """Return the digest that a datagram holds.

    Raises
    ------
    DatagramError
        If the bytes are anything else. Any host that reaches the port can send to it,
        and the codec raises errors of many types on garbled bytes.
    """
    try:
        datagram = deserialize(IDL.Datagram(), data, PROTOCOL)
        return Digest(
            sender=_decode_member(datagram.sender),
            highest_offset=int(datagram.highest_offset),
            beats=_decode_beats(datagram.beats),
            members=[_decode_member(entry) for entry in datagram.members],
            facts=[_decode_fact(entry, now) for entry in datagram.facts],
            wanted=[int(key) for key in datagram.wanted],
        )
    except Exception as error:
        raise DatagramError(repr(error)[:200]) from None


def _encode_member(member: Member):
    return IDL.Member(
        member.id,
        member.zone,
        member.region,
        member.peer_address,
        member.gossip_address,
        STATES.index(member.state),
        member.incarnation,
        member.heartbeat,
        member.configuration_offset,
    )


def _decode_member(entry) -> Member:
    texts = (entry.id, entry.zone, entry.region, entry.peer_address)
    if not all(isinstance(text, str) and text for text in texts):
        raise DatagramError("member without id, zone, region or peer address")
    _, port = entry.gossip_address.rsplit(":", 1)
    int(port)
    return Member(
        id=entry.id,
        zone=entry.zone,
        region=entry.region,
        peer_address=entry.peer_address,
        gossip_address=entry.gossip_address,
        state=STATES[entry.state],
        incarnation=int(entry.incarnation),
        heartbeat=int(entry.heartbeat),
        configuration_offset=int(entry.offset),
    )


def _decode_beats(beats) -> list[Heartbeat]:
    columns = (beats.members, beats.heartbeats, beats.states, beats.offsets)
    return [
        Heartbeat(int(member), int(heartbeat), STATES[state], int(offset))
        for member, heartbeat, state, offset in zip(*columns, strict=True)
    ]


def _encode_fact(fact: Fact, now: float):
    milliseconds_left = max(0, int((fact.until - now) * 1000))
    return IDL.Fact(
        int(fact.kind), fact.subject, fact.origin, fact.value, milliseconds_left
    )


def _decode_fact(entry, now: float) -> Fact:
    return Fact(
        FactKind(entry.kind),
        str(entry.subject),
        str(entry.origin or ""),
        int(entry.value),
        now + int(entry.milliseconds_left) / 1000,
    )
