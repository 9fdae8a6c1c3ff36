"""The gateway processes, links and stand-ins of one soak run."""

import itertools
import json
import os
import resource
import signal
import subprocess
import sys
import time
from contextlib import contextmanager
from pathlib import Path

import gevent

from soak.callers import HOST, KINDS, MAX_STALL_S, PLAIN_UNITS
from soak.invariants import CONTACT_S, LIMIT_WINDOW_S, InvariantChecker, Limit
from soak.lag import Lag, process_state, processor_wait_s
from soak.network import Link
from soak.standins import (
    CONFIGURATION,
    SERVERS,
    SLOTS,
    FakeCloud,
    FakeServer,
    FakeStore,
)

EARLIER_BUILD = "lists-nothing"
ZONES = ("a", "b", "c")
PORT = 7100
MEMORY_MB = 300
DESCRIPTORS = 800
RESERVED_FOR_FILES = 200
"""Memory and descriptors of each node, and descriptors of these that are for files."""

HEARTBEAT_S = 0.8
MISSED_HEARTBEATS_S = 2.4
GRACE_S = 5.0
EXIT_SLACK_S = 1.0
CRASH_DOWNTIME_S = 0.5
RESTART_S = 0.3
RESUME_CATCH_UP_S = 0.5
"""Time after a pause in which a process handles what arrived meanwhile, seconds."""

LIMITS = {"limited": Limit(rate=400.0, burst=400.0, slack=800.0)}
ORGANISATIONS = ("limited", "free")


class NodeProcess:
    """A gateway process, and the links to and from it.

    Attributes
    ----------
    active_faults : int
        Number of current faults during which it doesn't have to respond.
    recovered_at : float
        When the last of them ended, seconds since the beginning.
    starts : int
        How often it was started.
    started_at : float
        When it was last started, seconds since the beginning.
    busy : bool
        Whether it is being restarted or is paused.
    was_ended : bool
        Whether the soak has ended the process since its last start.
    mutant : str
        What it does other than it should; empty if nothing.
    is_cut : bool
        Whether it is cut off from all servers.
    cut_ended_at : float
        When it was last cut off, seconds since the beginning.
    long_prompts_start : int or None
        Number of the start since which callers have sent it long prompts.
    """

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.name = f"node-{number}"
        self.ip = fleet.ip(0, number)
        self.zone = ZONES[number % len(ZONES)]
        clock = fleet.clock
        self.link = Link(fleet.ip(3, number), PORT, f"{self.ip}:{PORT}", clock)
        self.store_link = Link(fleet.ip(1, number), PORT, fleet.store.address, clock)
        self.cloud_link = Link(fleet.ip(4, number), PORT, fleet.cloud.address, clock)
        self.settings = fleet.directory / f"{self.name}.json"
        self.clock_file = fleet.directory / f"{self.name}.clock"
        self.cut_file = fleet.directory / f"{self.name}.cut"
        self.partition_file = fleet.directory / f"{self.name}.partition"
        self.output = fleet.directory / f"{self.name}.log"
        self.active_faults = 0
        self.long_prompts_start = None
        self.recovered_at = 0.0
        self.starts = 0
        self.started_at = 0.0
        self.process = None
        self.was_ended = False
        self.busy = False
        self.is_cut = False
        self.cut_ended_at = float("-inf")
        self.mutant = fleet.mutant
        self.write_settings()
        self.clock_file.write_text("0")
        self.cut_file.write_text("")

    def write_settings(self, grace_s=GRACE_S):
        document = {
            "node_name": self.name,
            "ip": self.ip,
            "zone": self.zone,
            "zones": dict.fromkeys(ZONES, "here"),
            "bootstrap": self.starts <= 1,
            "listen": {
                "front": f"{self.ip}:{PORT}",
                "ready_addr": f"{self.ip}:{PORT + 1}",
            },
            "port_range": [PORT + 10, PORT + 20],
            "platform": {"address": self.store_link.address},
            "cloud": {
                "address": self.cloud_link.address,
                "duties": ["usage", "scale"],
            },
            "bounds": {
                "grace_s": grace_s,
                "drain_ms": 1000,
                "quota_slack": LIMITS["limited"].slack,
                "usage_window_s": 2,
            },
        }
        document["limits"] = {"memory_mb": MEMORY_MB, "max_fds": DESCRIPTORS}
        if self.fleet.contracts:
            document["contracts"] = list(self.fleet.contracts)
        self.settings.write_text(json.dumps(document))

    def start(self):
        """Start the process unless it is running."""
        if self.process is not None and self.process.poll() is None:
            return
        self.check_process()
        self.was_ended = False
        self.starts += 1
        self.write_settings()
        self.started_at = self.fleet.clock()
        paths = [str(Path(__file__).parents[1]), os.environ.get("PYTHONPATH", "")]
        environment = os.environ | {
            "ENDIVESTACK_BOOT": str(self.settings),
            "SOAK_CLOCK": str(self.clock_file),
            "SOAK_CUT": str(self.cut_file),
            "SOAK_PARTITION": str(self.partition_file),
            "SOAK_SERVERS": self.fleet.ip(5, 0).rpartition(".")[0] + ".",
            "SOAK_MUTANT": self.mutant,
            "PYTHONPATH": os.pathsep.join(paths),
        }
        if self.fleet.stream_age_s is not None:
            environment["SOAK_STREAM_AGE_S"] = str(self.fleet.stream_age_s)
        with self.output.open("ab") as output:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "soak.launch"],
                env=environment,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        limit = (DESCRIPTORS, DESCRIPTORS)
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, limit)

    def signal(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    def begin_kill(self):
        """Send SIGKILL without waiting for the end of the process."""
        self.check_process()
        self.was_ended = True
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)

    def kill(self):
        """Kill the process with SIGKILL."""
        with self.under_fault():
            self.begin_kill()
            self._wait(EXIT_SLACK_S)

    def restart(self):
        """Stop the process with SIGTERM, as the platform does, and start it again."""
        if self.busy:
            return
        self.check_process()
        self.busy = self.was_ended = True
        self.signal(signal.SIGTERM)
        if not self._wait(GRACE_S + EXIT_SLACK_S):
            state = process_state(self.process.pid)
            self.fleet.checker.record_violation(
                "stop", f"{self.name} still runs after its grace period, {state}"
            )
            self.kill()
        self.busy = False
        self.start()

    def pause(self, for_s):
        """Suspend the process for some seconds, unless it is being restarted."""
        if self.busy:
            return
        self.busy = True
        with self.under_fault():
            self.fleet.checker.resumed_at[self.name] = float("inf")
            self.signal(signal.SIGSTOP)
            gevent.sleep(for_s)
            self.signal(signal.SIGCONT)
            self.fleet.checker.resumed_at[self.name] = self.fleet.clock()
            gevent.sleep(RESUME_CATCH_UP_S)
        self.busy = False

    def cut_from_servers(self, mode):
        """Cut the links to all servers; see :meth:`Link.cut_source` for `mode`."""
        self.is_cut = True
        self.cut_file.write_text("hang" if mode == "hang" else "refused")
        for backend in self.fleet.backends:
            backend.link.cut_source(self.ip, mode)

    def rejoin_servers(self):
        """End the cut from all servers."""
        self.cut_file.write_text("")
        for backend in self.fleet.backends:
            backend.link.rejoin_source(self.ip)
        if self.is_cut:
            self.is_cut, self.cut_ended_at = False, self.fleet.clock()

    def leave_peers(self):
        """Drop all datagrams from and to other nodes."""
        self.partition_file.write_text("cut")

    def rejoin_peers(self):
        """Let datagrams from and to other nodes pass again."""
        self.partition_file.write_text("")

    def was_cut(self, since):
        """Return whether this node was cut off from servers at any time since."""
        return self.is_cut or self.cut_ended_at >= since

    def processor_wait_s(self):
        """Return for how long the process has waited for a processor, seconds."""
        return processor_wait_s(self.process.pid)

    def check_process(self):
        """Check that the process hasn't ended by itself."""
        ended = self.process is not None and self.process.poll() is not None
        if ended and not self.was_ended:
            self.was_ended = True
            self.fleet.checker.record_violation(
                "process", f"{self.name} ended with {self.process.returncode}"
            )

    def _wait(self, seconds):
        """Wait for the end of the process, whatever is started meanwhile."""
        process, end = self.process, time.monotonic() + seconds
        while process.poll() is None and time.monotonic() < end:
            gevent.sleep(0.02)
        return process.poll() is not None

    @contextmanager
    def under_fault(self):
        """Count a fault during which this node doesn't have to respond."""
        self.active_faults += 1
        try:
            yield
        finally:
            self.active_faults -= 1
            self.recovered_at = self.fleet.clock()

    def was_healthy(self, since):
        """Return whether this node had to respond from `since` until now."""
        return not self.active_faults and self.recovered_at < since

    def is_connected(self, since):
        """Return whether this node could read the store from `since` until now."""
        store = self.fleet.store
        healthy_s = time.monotonic() - store.fault_ended_at
        return (
            self.was_healthy(since)
            and not self.busy
            and self.started_at < since
            and self.store_link.is_healthy
            and self.store_link.healed_at < since
            and self.fleet.clock() - healthy_s < since
        )

    def close(self):
        self.check_process()
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        for link in (self.link, self.store_link, self.cloud_link):
            link.stop()


class Backend:
    """Runs one backend server after another behind one link.

    Attributes
    ----------
    version : str
        Version of the software of the servers that start from now on.
    failing : float
        Part of the responses of that version that are failures.
    is_retired : bool
        Whether no further servers start here.
    holds_entry : bool
        Whether the server writes no entries now.
    """

    def __init__(self, fleet, number, service, *, version="v1"):
        self.fleet = fleet
        self.number = number
        self.failing = 0.0
        self.is_retired = False
        self.service = service
        self.zone = ZONES[number % len(ZONES)]
        self.starts = 0
        self.state, self.leaves_s = "ready", None
        self.server = None
        self.silent = False
        self.brittle = None
        self.uneven = None
        self.version = version
        self.holds_entry = False
        self.few_slots = None
        self._start()
        address = self.server.address
        self.link = Link(fleet.ip(5, number), PORT, address, fleet.clock)

    def _start(self, server_id=""):
        self.starts += 1
        self.started_at = self.fleet.clock()
        self.state, self.leaves_s = "ready", None
        self.server = FakeServer(
            self.fleet.ip(2, self.number),
            PORT,
            server_id=server_id or f"i-{self.number}-{self.starts}",
            service=self.service,
            born=int(time.time() * 1000),
            checker=self.fleet.checker,
            backend=self,
        )

    @property
    def usual_slots(self):
        """Slots of the servers that start from now on."""
        special = self.brittle or self.few_slots
        if special is None and self.service == "engine":
            special = self.fleet.demand
        return special.slots if special else SLOTS

    def set_brittle(self, brittle):
        """Let the servers here fail if they reject much, or be sound again."""
        self.brittle = brittle
        if self.server is not None:
            self.server.slots = self.usual_slots

    def set_few_slots(self, few_slots):
        """Let the servers here have few slots, or the usual number again."""
        self.few_slots = few_slots
        if self.server is not None:
            self.server.slots = self.usual_slots

    def crash_soon(self):
        """End the server after its present work, and start another one."""
        gevent.spawn(self.crash, CRASH_DOWNTIME_S)

    def is_sound(self, since):
        """Return whether the server had no fault since then but silence."""
        return (
            self.server is not None
            and self.server.error_share == 0
            and self.state == "ready"
            and self.link.accepting
            and self.link.reset_at < since
        )

    def runs_once(self):
        """Return whether the server runs a request that may run only once."""
        requests = self.fleet.checker.requests
        running = self.server.running_ids if self.server is not None else ()
        return any(requests[name].max_runs == 1 for name in running)

    def is_undisturbed(self, node_name):
        """Return whether a node and this server's link had no fault recently."""
        since = self.fleet.clock() - LIMIT_WINDOW_S - CONTACT_S
        node = next(n for n in self.fleet.nodes if n.name == node_name)
        return (
            node.was_healthy(since)
            and not node.busy
            and node.started_at < since
            and self.link.is_healthy
            and self.link.healed_at < since
        )

    def restart_under(self, server_id, *, holds_entry, down_s=RESTART_S):
        """End the server and start it again under its id.

        Parameters
        ----------
        holds_entry : bool
            Whether it writes no entry until that is changed.
        down_s : float
            Time until it has started, seconds.
        """
        self.holds_entry = holds_entry
        server, self.server = self.server, None
        server.stop()
        self.link.close_port()
        gevent.sleep(down_s)
        if self.fleet.closed or self.is_retired:
            return
        self._start(server_id)
        self.link.listen()
        self.send_heartbeat()

    def send_heartbeat(self):
        """Write the server's entry in the store, as a real server does."""
        if self.server is not None and not self.holds_entry:
            entry = self.server.entry(
                self.link.address, self.zone, self.state, self.leaves_s
            )
            self.fleet.store.put(SERVERS, self.server.id, entry)

    def crash(self, downtime_s):
        """End the server; its entry expires later, and another server starts."""
        if self.server is None:
            return
        server, self.server = self.server, None
        server.stop()
        self.link.close_port()
        gevent.spawn_later(MISSED_HEARTBEATS_S, self.expire_entry, server.id)
        gevent.sleep(downtime_s)
        if self.fleet.closed or self.is_retired:
            return
        self._start()
        self.link.listen()
        self.send_heartbeat()

    def retire(self):
        """Stop the server at once, as at the end of a rollout; start no other one."""
        self.is_retired = True
        if self in self.fleet.backends:
            self.fleet.backends.remove(self)
        self.fleet.retired.append(self)
        gevent.spawn(self.crash, 0.0)

    def leave(self, notice_s, *, only_by_entry=False):
        """Announce the server's reclaim, and end the server after `notice_s`.

        Parameters
        ----------
        only_by_entry : bool
            Whether the server's responses don't say that it leaves.
        """
        if self.server is None or self.state != "ready":
            return
        server = self.server
        self.state, self.leaves_s = "draining", notice_s
        server.says_state = not only_by_entry
        self.send_heartbeat()
        server.drained_at = self.fleet.clock()
        gevent.sleep(notice_s)
        if self.server is server:
            self.crash(0.5)

    def expire_entry(self, server_id):
        """Delete the entry of a server that is gone."""
        self.fleet.store.put(SERVERS, server_id, b"")


class Fleet:
    """All processes, links and stand-ins of one soak run.

    Attributes
    ----------
    crashing_parts : dict of str to CrashingPart
        By its id, each part of a prompt on which servers crash.
    favoured : NodeProcess or None
        The node that gets most new connections.
    engine : dict
        Properties of the engines in the configuration.
    hanging_fetches : HangingFetches or None
        Set once servers don't reach each other.
    demand : DemandBurst or None
        Set while demand exceeds what the engines begin.
    contracts : tuple of str
        The contracts in the nodes' settings.
    stream_age_s : float or None
        Age up to which the nodes assume that streams are taken up, seconds; ``None``
        for the usual one.
    versions_change : bool
        Whether a fault is under way in which servers get another version.
    rollouts : dict of str to OrderedRollout
        Those that run, by service.
    retired : list of Backend
        Where no servers run any more.
    """

    def __init__(
        self,
        directory,
        slot,
        *,
        nodes,
        mutant="",
        store_call_s=0.0,
        contracts=(),
        stream_age_s=None,
        earlier=0,
    ):
        self.directory = Path(directory)
        self.slot = slot
        self.mutant = mutant
        self.version = 0
        self.configured_at = 0.0
        self.closed = False
        self.crashing_parts = {}
        self.favoured = None
        self.late_senders = False
        self.engine = {"slots": 6}
        self.hanging_fetches = None
        self.demand = None
        self.contracts = contracts
        self.stream_age_s = stream_age_s
        self.versions_change = False
        self.rollouts = {}
        self.retired = []
        self.started = time.monotonic()
        self.checker = InvariantChecker(self.clock, LIMITS)
        self.lag = Lag()
        self.store = FakeStore(self.ip(6, 0), PORT, call_s=store_call_s)
        self.cloud = FakeCloud(self.ip(6, 1), PORT, self.checker)
        self.configure()
        services = ("plain", "plain", "plain", "engine", "engine", "engine")
        self.backends = [Backend(self, *pair) for pair in enumerate(services)]
        self.backend_numbers = itertools.count(len(services))
        self.nodes = [NodeProcess(self, number) for number in range(nodes)]
        for backend in self.backends:
            backend.send_heartbeat()
        for node in self.nodes[:earlier]:
            node.mutant = EARLIER_BUILD
        for node in self.nodes:
            node.start()

    def clock(self):
        """Return the seconds since the beginning."""
        return time.monotonic() - self.started

    def is_connected(self, node_name, since):
        """Return whether the node of that name was in contact since then."""
        return any(
            node.name == node_name and node.is_connected(since) for node in self.nodes
        )

    def is_in_contact(self, node_name):
        """Return whether a node could read the store, and this process kept up."""
        return self.lag.stalled_within(CONTACT_S) < MAX_STALL_S and self.is_connected(
            node_name, self.clock() - CONTACT_S
        )

    def ip(self, purpose, number):
        """Return a loopback address that belongs to this fleet's slot."""
        return f"127.{self.slot}.{purpose}.{number + 1}"

    def send_heartbeats(self):
        """Let all servers write their entries until killed; the body of a greenlet."""
        while True:
            gevent.sleep(HEARTBEAT_S)
            for backend in self.backends:
                backend.send_heartbeat()

    def configure(self):
        """Write the next version of the configuration to the store."""
        self.version += 1
        urgency = self.demand.urgency if self.demand is not None else {}
        routes = [_route(k.path, k) | urgency.get(k.name, {}) for k in KINDS]
        routes.append(_route(f"/version-{self.version}/", KINDS[0], public=True))
        document = {
            "version": self.version,
            "routes": routes,
            "services": [_service("plain", None), _service("engine", self.engine)],
            "limits": {},
            "tenants": [_organisation(name) for name in ORGANISATIONS],
        }
        value = json.dumps(document).encode()
        self.store.put(CONFIGURATION, "config", value)
        self.configured_at = self.clock()

    def starting_nodes(self):
        """Return the nodes that have not yet logged that they know their peers."""
        return [n for n in self.nodes if "event=peers" not in n.output.read_text()]

    def heal(self):
        """End all current faults."""
        for part in (self.store, self.cloud):
            part.down = part.losing_responses = False
        self.store.silent = False
        for backend in self.backends:
            backend.link.heal()
        for node in self.nodes:
            node.signal(signal.SIGCONT)
            node.clock_file.write_text("0")
            node.rejoin_servers()
            for link in (node.link, node.store_link, node.cloud_link):
                link.heal()

    def close(self):
        self.closed = True
        for node in self.nodes:
            node.close()
        for backend in (*self.backends, *self.retired):
            backend.link.stop()
            if backend.server is not None:
                backend.server.stop()
        self.store.stop()
        self.cloud.stop()


def _route(prefix, kind, *, public=False):
    return {
        "name": prefix.strip("/"),
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind.route_kind,
        "service": "engine" if kind.streams else "plain",
        "timeout_ms": 3000,
        "target_latency_ms": 300,
        "max_attempts": 3,
        "public": public,
        "sticky": kind.streams,
        "can_resume": kind.resumable,
    }


def _service(name, engine):
    service = {"name": name, "health_path": "/health", "max_conns": 200}
    if engine:
        scale = {"min_replicas": 1, "max_replicas": 4, "spot_price": 0.3}
        scale["zone_prices"] = dict.fromkeys(ZONES, 1.0)
        service |= {"engine": engine, "autoscale": scale}
    return service


def _organisation(name):
    limit = LIMITS.get(name)
    return {
        "name": name,
        "api_keys": [f"key-{name}"],
        "unit": "tokens",
        "plain_tokens": PLAIN_UNITS,
        "rate_per_s": limit.rate if limit else 0,
        "burst": limit.burst if limit else 0,
    }
