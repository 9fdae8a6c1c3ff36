"""What backend servers state of themselves: read, kept and passed on at one place."""

from typing import Any

from endive_node.logs import log_event

from endive_gateway.brittle_services import BrittleServices
from endive_gateway.interfaces import ResponseMetadata
from endive_gateway.leaving_servers import MISDIRECTED_STATUS, LeavingServers
from endive_gateway.limit_sharing import LimitSharing
from endive_gateway.placing import Placer
from endive_gateway.server_rests import ServerRests
from endive_gateway.slot_leasing import SlotLease, SlotLeasing
from endive_gateway.slot_pooling import PoolLease, SlotPooling
from endive_gateway.speed_exchange import SpeedExchange
from endive_gateway.state_messages import StateMessage


class ServerStatements:
    """The statements of servers, as this node and the others know them.

    Attributes
    ----------
    limits : LimitSharing
        How many requests servers take from all nodes together.
    brittle : BrittleServices
        Which of them fail if they must reject much.
    rests : ServerRests
        Which want no requests from a node for a while.
    leaving : LeavingServers
        Which leave.
    placer : Placer
        Keeps their loads.
    leasing : SlotLeasing
        Passes the loads of brittle servers on to the nodes that lease their slots.
    speeds : SpeedExchange
        How long work takes at them now.
    pooling : SlotPooling
        Is told which servers state how fast they are.
    invalid_loads : set of str
        Servers of whose loads a part can't be read.
    """

    def __init__(
        self,
        limits: LimitSharing,
        brittle: BrittleServices,
        rests: ServerRests,
        leaving: LeavingServers,
        placer: Placer,
        leasing: SlotLeasing,
        speeds: SpeedExchange,
        pooling: SlotPooling,
    ) -> None:
        self.limits = limits
        self.brittle = brittle
        self.rests = rests
        self.leaving = leaving
        self.placer = placer
        self.leasing = leasing
        self.speeds = speeds
        self.pooling = pooling
        self.invalid_loads: set[str] = set()

    def observe(
        self,
        server: str,
        status: int,
        metadata: ResponseMetadata,
        sent_at: float,
        *,
        through: str,
        lease: SlotLease | PoolLease | None = None,
    ) -> None:
        """Apply what a server's response states.

        What another server states than the one that was meant counts for that one only
        where it names itself.

        Parameters
        ----------
        sent_at : float
            When the request was sent, seconds on the monotonic clock.
        through : str
            IP address of the node through which the response came, or empty.
        lease : SlotLease or None
            The lease with which the request was sent.
        """
        self.leaving.observe(server, status, metadata, through)
        if status == MISDIRECTED_STATUS:
            return
        self.rests.observe(server, status, metadata, through)
        is_success = 200 <= status < 300 and metadata.signed
        self.limits.observe(server, metadata, sent_at, is_success=is_success)
        self.brittle.observe(server, metadata, sent_at, is_success=is_success)
        self._log_invalid_load(server, metadata)
        self.speeds.observe(server, metadata)
        if metadata.running is not None:
            waiting = metadata.waiting or 0
            self.placer.report(server, metadata.running, waiting)
            if metadata.slowdown is not None:
                self.pooling.states_speed(server)
            if isinstance(lease, PoolLease):
                lease.load, lease.slowdown = (
                    metadata.running + waiting,
                    metadata.slowdown,
                )
            else:
                self.leasing.report(lease, metadata.running + waiting)

    def _log_invalid_load(self, server: str, metadata: ResponseMetadata) -> None:
        if metadata.invalid_load and server not in self.invalid_loads:
            self.invalid_loads.add(server)
            log_event("server_load_invalid", server=server, found=metadata.invalid_load)

    def refresh(self) -> None:
        """Forget what is over, and servers that are gone."""
        self.invalid_loads &= self.placer.registry.servers.keys()
        for part in (self.limits, self.brittle, self.rests, self.leaving, self.speeds):
            part.refresh()

    def next_fields(self) -> dict[str, Any]:
        """Return the fields of the next state message that pass statements on."""
        return {
            "server_limits": self.limits.next_reports(),
            "brittle_servers": self.brittle.next_reports(),
            "rests": self.rests.next_rests(),
            "shedding_servers": self.rests.next_shedding(),
            "leaving_servers": self.leaving.next_departures(),
            "server_slowdowns": self.speeds.next_reports(),
        }

    def learn(self, message: StateMessage, address: str, *, is_transit: bool) -> None:
        """Apply what another node passes on.

        Parameters
        ----------
        address : str
            IP address of the node.
        is_transit : bool
            Whether connections of this node go through it.
        """
        if message.server_limits:
            self.limits.learn_told(message.node, message.server_limits)
        if message.brittle_servers:
            self.brittle.learn_told(message.node, message.brittle_servers)
        if message.rests:
            self.rests.learn(address, message.rests, is_transit=is_transit)
        if message.leaving_servers:
            self.leaving.learn(message.node, message.leaving_servers)
        if message.shedding_servers:
            self.rests.learn_shedding(message.shedding_servers)
        if message.server_slowdowns:
            self.speeds.learn(message.server_slowdowns)
