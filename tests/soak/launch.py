"""Starts a gateway with an adjustable wall clock and, if asked for, a mutant.

The offset of the wall clock, in seconds, is read from a file, and so is how connections
to servers fail while the node is cut off from them. Each mutant makes the gateway
violate one invariant, to show that the soak detects the violation.
"""

import json
import os
import signal
import sys
import time

# As the program does in its first line, which comes later here.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

import gevent  # noqa: E402
from gevent import socket as gsocket  # noqa: E402

EARLIER_BUILD = "lists-nothing"
"""As in :mod:`soak.fleet`, which starts threads and must not be imported here."""

real_time = time.time
real_connect = gsocket.socket.connect
offset_path = os.environ["SOAK_CLOCK"]
cut_path = os.environ["SOAK_CUT"]
servers = os.environ["SOAK_SERVERS"]


def skewed_time():
    """Return the wall clock's time plus the offset in the file."""
    try:
        with open(offset_path) as file:
            return real_time() + float(file.read() or 0)
    except (OSError, ValueError):
        return real_time()  # not written yet, or half written


time.time = skewed_time


def cut_mode():
    """Return how connections to servers fail; empty if they don't."""
    try:
        with open(cut_path) as file:
            return file.read()
    except OSError:
        return ""  # not written yet


def connect(sock, address):
    """Connect from the node's own address, by which a server's link knows the node.

    The kernel accepts each connection on loopback, so hanging ones hang here.
    """
    if not address[0].startswith(servers):
        return real_connect(sock, address)
    mode = cut_mode()
    if mode == "hang":
        gevent.sleep(sock.gettimeout() or 60.0)
        raise TimeoutError("timed out")
    if mode:
        raise ConnectionRefusedError("refused")
    sock.bind((own_address, 0))
    return real_connect(sock, address)


with open(os.environ["ENDIVESTACK_BOOT"]) as settings:
    own_address = json.load(settings)["ip"]
gsocket.socket.connect = connect


def disable_limit_sharing():
    """Let each node spend the whole of every limit, whatever the others spend."""
    from endive_core.shared_limits import SharedLimits

    SharedLimits.receive = lambda self, *args, **options: None
    SharedLimits.apply_update = lambda self, *args, **options: 0.0
    SharedLimits.reachable_share = lambda self, now: 1.0


def report_not_run():
    """Let a node report requests that may have run as not run."""
    from endive_gateway import statuses

    real_status = statuses.status_of

    def status(error, may_have_run):
        status_code = real_status(error, may_have_run)
        return 503 if status_code >= 500 else status_code

    statuses.status_of = status


def claim_without_lease_check():
    """Let a node claim the duties while another node's lease may still be valid."""
    from endive_core.leases import DutyLog
    from endive_gateway.duties import Duties

    Duties._should_claim = lambda self: True
    DutyLog.may_claim = lambda self, node, now: True


def treat_silence_as_current():
    """Let a node treat an unanswered read as proof that nothing has changed."""
    from endive_gateway.configuration import ConfigurationFollower

    ConfigurationFollower.check = lambda self: 60.0


def ignore_crashes_elsewhere():
    """Let a node count only the crashes of servers that it has seen itself."""
    from endive_gateway.crash_exchange import CrashExchange

    CrashExchange.learn = lambda self, *message: None


def ignore_part_crashes_elsewhere():
    """Let a node know only of the crashes under parts that it has seen itself."""
    from endive_gateway.part_exchange import PartExchange

    PartExchange.learn = lambda self, *message: None


def clear_no_parts():
    """Let a node refuse each part that was under two crashes, answered or not."""
    from endive_core.part_crashes import PartTable

    PartTable.add_answer = lambda self, answer: None
    PartTable._explanations = lambda self, found, prompt: {}


def serve_an_even_share_only():
    """Let a node refuse what exceeds its part of the connections of all nodes."""
    from endive_core.exceptions import EndiveError, ErrorKind
    from endive_gateway.forwarding import ForwardedRequest

    real_admit = ForwardedRequest._admit
    real_finish = ForwardedRequest._finish
    under_way = set()

    def admit(self):
        if len(under_way) >= 3:
            raise EndiveError(ErrorKind.OVERLOADED, "over this node's part")
        under_way.add(self)
        real_admit(self)

    def finish(self):
        under_way.discard(self)
        real_finish(self)

    ForwardedRequest._admit, ForwardedRequest._finish = admit, finish


def keep_server_limits_alone():
    """Let each node send a limited server as much as if it were the only node."""
    from endive_gateway import limit_sharing

    real_share = limit_sharing.share_of
    limit_sharing.share_of = lambda node, sharing, report, **options: real_share(
        node, {node}, report, **options
    )


def ignore_rests():
    """Let a node send requests to servers that have asked it for rest."""
    from endive_gateway.server_rests import ServerRests

    ServerRests.observe = lambda self, *response: None


def ignore_departures():
    """Let a node know of leaving servers by their entries alone."""
    from endive_gateway.leaving_servers import LeavingServers

    LeavingServers.observe = lambda self, *response: None


def stop_at_unreadable_records():
    """Let a node end its read of the store at a record that can't be applied."""
    from endive_gateway.following import Follower

    Follower.apply = lambda self, record: self.apply_record(record)


def forward_whatever_ends_with_a_blank_line():
    """Let a node take each block of bytes before a blank line for an event."""
    from endive_gateway.events import EventSplitter

    real_check = EventSplitter._check

    def check(self, block):
        real_check(self, block)
        return ""

    EventSplitter._check = check


def trust_orderly_ends():
    """Let a node take each stream for complete that its server ends in an orderly way.

    It then also sends what follows the last complete event.
    """
    from endive_gateway.attempts import Attempt

    Attempt._check_stream_complete = lambda self, message, events: None


def carry_no_connections():
    """Let no node carry connections to servers for others."""
    from endive_gateway.transit_port import TransitPort

    TransitPort.offer = lambda self: -1


def lease_no_slots():
    """Let each node send to brittle servers what it takes for free there."""
    from endive_gateway.slot_leasing import SlotLeasing

    SlotLeasing.ask = lambda self, view, **options: None


def pool_no_slots():
    """Let each node place requests by its own view of servers with few slots."""
    from endive_gateway.slot_pooling import SlotPooling

    SlotPooling.is_pooled = lambda self, service: False


def give_up_silent_servers():
    """Let a node close a connection on which nothing comes for half a second."""
    from endive_gateway.exceptions import ConnectionBrokenError
    from endive_gateway.tcp import TcpStream

    real_recv = TcpStream.recv

    def recv(self, size):
        silence = ConnectionBrokenError("silent", sent=True)
        with gevent.Timeout(0.5, silence):
            return real_recv(self, size)

    TcpStream.recv = recv


def forget_where_streams_began():
    """Let a node bind no stream to the software version that began it."""
    from endive_gateway.forwarding import ForwardedRequest

    ForwardedRequest.stream_begins = lambda self, server, entry: None
    ForwardedRequest._choose_service = lambda self, call: (
        self.route.choose(self.context.random.random()),
        call,
    )


def list_no_origins():
    """Let a node do as those of a build that keeps no origins in the store."""
    from endive_gateway import state_messages
    from endive_gateway.origin_recorder import Finding, OriginRecorder
    from endive_gateway.origin_records import OriginRecords

    OriginRecords.begin = lambda self, *stream: None
    OriginRecords.receive = lambda self, *message: None
    OriginRecords.look_up = lambda self, *stream: Finding(source="unknown")
    OriginRecorder.run = lambda self: gevent.sleep(3600.0)
    real_message = state_messages.StateMessage

    def message(**fields):
        return real_message(**fields | {"records_origins": False})

    from endive_gateway import peers

    peers.StateMessage = message


def guess_a_version():
    """Let a node take the newest server's version for one that nobody knows."""
    from endive_core.stream_origins import StreamOrigin
    from endive_gateway.origin_recorder import Finding
    from endive_gateway.origin_records import OriginRecords

    def look_up(self, key, host, path, within_s):
        servers = self.view.registry.servers.values()
        engines = [s.entry for s in servers if s.entry.service == "engine"]
        newest = max(engines, key=lambda entry: entry.incarnation)
        origin = StreamOrigin(newest.service, newest.software_version)
        return Finding(origin, "certain", 1)

    OriginRecords.look_up = look_up


def trust_entries():
    """Let a node take the version of a stream from its server's entry at once."""
    from endive_gateway.server_processes import Writer

    Writer.is_proven = property(lambda self: True)


def expect_early_registration():
    """Let any later read of the servers tell which process a connection leads to."""
    from endive_gateway.server_processes import ServerProcesses

    real_init = ServerProcesses.__init__

    def init(self, registry, heartbeat_s):
        real_init(self, registry, heartbeat_s=0.0)

    ServerProcesses.__init__ = init


def release_at_once():
    """Let a node give up the duties while a call of it may be on its way."""
    from endive_core.leases import Lease
    from endive_gateway.duties import Duties
    from gevent.lock import DummySemaphore

    real_release = Duties.release

    def release(self):
        self.acting = DummySemaphore()
        real_release(self)

    Duties.release = release
    Lease.is_settled = lambda self, now, log: True


def keep_what_is_skipped():
    """Let a node keep the bodies of responses that nobody reads."""
    from endive_gateway.response_parser import ResponseParser

    def on_body(self, data):
        self.overhead_bytes = 0
        self.current.body.append(data)

    ResponseParser.on_body = on_body


def blame_servers_for_versions():
    """Let a node take a server without the expected version for another server."""
    from endive_gateway.attempts import Attempt

    Attempt._check_version_expected = lambda self, message, metadata: None


def forget_resets():
    """Let a node take the end of a connection for orderly if no read was told why."""
    from endive_gateway.tcp import TcpStream

    real_recv = TcpStream.recv

    def recv(self, size):
        gsocket.wait_read(self.sock.fileno())
        self.is_idle()  # any other call may be told before the read
        self.failure = None
        return real_recv(self, size)

    TcpStream.recv = recv


def accept_odd_heads():
    """Let a node take for a response whatever its parser accepts."""
    from endive_gateway.response_parser import ResponseParser

    ResponseParser._validate_head = lambda self, message, values, *, framed: None


def send_ids_again():
    """Let a node send an id over the connection that has carried it before."""
    from endive_gateway.connections import CarriedIds

    CarriedIds.__contains__ = lambda self, request_id: False


def take_late_requests():
    """Let a node that stops send requests whatever time it has left."""
    from endive_core.planned_stop import PlannedStop

    PlannedStop.can_answer = lambda self, route, left_s, now: True


def hold_all_bodies():
    """Let a node hold the bodies of requests whatever memory they take together."""
    from endive_gateway.memory_budget import RequestMemory

    RequestMemory.fits = lambda self, size, share=1.0: True


def accept_all_connections():
    """Let a node accept any number of callers' connections."""
    from endive_gateway.callers import CallerListener

    CallerListener._has_room = lambda self: True


def never_end_turns():
    """Let a connection that always has bytes keep the event loop from polling."""
    from endive_gateway import turns

    turns.MAX_TURN_S = float("inf")


def wait_in_one_queue():
    """Let each kind of work wait for its turn behind all others."""
    from endive_gateway.turns import TurnScheduler, WorkKind

    real_wait = TurnScheduler.wait
    TurnScheduler.wait = lambda self, kind: real_wait(self, WorkKind.CALLERS)


def trust_all_sources():
    """Let a node name servers as sources however late its requests become."""
    from endive_core.source_trust import SourceTrust

    SourceTrust.may_name = lambda self, source, now: True


def ignore_speeds():
    """Let a node take each server to work as usual, whatever it states."""
    from endive_core.server_speed import ServerSpeeds

    ServerSpeeds.state = lambda self, *statement: False


def take_candidates_for_ordinary():
    """Let a node use the servers of an ordered version as any others."""
    from endive_gateway.rollouts import Rollouts

    Rollouts.is_enabled = property(lambda self: False)


def serve_in_order_of_arrival():
    """Let a node neither refuse nor order requests by the demand of all nodes."""
    from endive_core.contention import Contention

    Contention.active = property(lambda self: False)


def watch_partition(path):
    """Drop the datagrams from and to other nodes while the file has content."""
    from endive_gateway.datagrams import DatagramPort

    real_send, real_handle = DatagramPort.send, DatagramPort._handle_datagram

    def is_partitioned():
        return os.path.exists(path) and os.path.getsize(path) > 0

    def send(self, message, addresses):
        if not is_partitioned():
            real_send(self, message, addresses)

    def handle(self, *datagram):
        if not is_partitioned():
            real_handle(self, *datagram)

    DatagramPort.send, DatagramPort._handle_datagram = send, handle


def shorten_streams(age_s):
    """Let a node assume that a stream is taken up within `age_s` seconds."""
    from endive_core import possible_origins
    from endive_gateway import origin_recorder

    possible_origins.MAX_STREAM_AGE_S = age_s
    origin_recorder.MAX_STREAM_AGE_S = age_s


MUTANTS = {
    "limit": disable_limit_sharing,
    "not-run": report_not_run,
    "holder": claim_without_lease_check,
    "silence": treat_silence_as_current,
    "crashes": ignore_crashes_elsewhere,
    "part-crashes": ignore_part_crashes_elsewhere,
    "parts-not-cleared": clear_no_parts,
    "even-share": serve_an_even_share_only,
    "server-limits": keep_server_limits_alone,
    "rests": ignore_rests,
    "leaving": ignore_departures,
    "unreadable-ends": stop_at_unreadable_records,
    "foreign-bytes": forward_whatever_ends_with_a_blank_line,
    "broken-streams": trust_orderly_ends,
    "silence-ends": give_up_silent_servers,
    "no-leases": lease_no_slots,
    "no-pools": pool_no_slots,
    "no-transit": carry_no_connections,
    "no-distrust": trust_all_sources,
    "no-affinity": forget_where_streams_began,
    "guessed-version": guess_a_version,
    "trusted-entries": trust_entries,
    "early-registration": expect_early_registration,
    "early-release": release_at_once,
    "no-connection-limit": accept_all_connections,
    "kept-bodies": keep_what_is_skipped,
    "no-turns": never_end_turns,
    "one-queue": wait_in_one_queue,
    "no-budget": hold_all_bodies,
    "blamed-versions": blame_servers_for_versions,
    "forgotten-resets": forget_resets,
    "odd-heads": accept_odd_heads,
    "ids-again": send_ids_again,
    "late-requests": take_late_requests,
    EARLIER_BUILD: list_no_origins,
    "no-speeds": ignore_speeds,
    "no-contention": serve_in_order_of_arrival,
    "no-rollouts": take_candidates_for_ordinary,
}

if __name__ == "__main__":
    mutant = os.environ.get("SOAK_MUTANT")
    if mutant:
        MUTANTS[mutant]()
    if "SOAK_PARTITION" in os.environ:
        watch_partition(os.environ["SOAK_PARTITION"])
    if "SOAK_STREAM_AGE_S" in os.environ:
        shorten_streams(float(os.environ["SOAK_STREAM_AGE_S"]))
    from endive_platform import __main__ as program

    sys.argv = ["endive-platform", "gateway"]
    program.main()
