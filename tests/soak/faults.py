"""Plans and injects the faults of a soak run."""

import random
import signal
import time
from collections import Counter
from dataclasses import dataclass

import gevent

from soak.callers import DEADLINE_S, CrashingCaller, CrashingPartCaller
from soak.demand import demand_burst
from soak.endless_bodies import server_sends_without_end
from soak.expected_versions import callers_expect_versions
from soak.faulty_servers import (
    server_cuts_answers,
    server_refuses_twice,
    server_sends_no_answers,
)
from soak.fetches import fetches_hang
from soak.few_slots import FewSlots
from soak.floods import callers_flood, callers_send_long_prompts
from soak.invariants import (
    CONTACT_S,
    DRAIN_S,
    BrittleTime,
    CrashingPart,
    ServersCut,
    UnevenConnections,
    UnevenSpeeds,
)
from soak.late_senders import late_senders_at_a_stop
from soak.odd_callers import odd_callers
from soak.other_writers import odd_entries, server_leaves_by_its_entry
from soak.restarts import server_starts_again
from soak.rollouts import OrderedRollout
from soak.stopping_holders import holder_stops_amid_its_call

SERIES_SHARE = 0.35
MAX_IN_SERIES = 4
SILENCE_WAIT_S = 1.0
ROLLOUT_PAUSE_S = 0.5
LEARNED_S, SLOW_EVENT_S, TAKEN_UP_S = 1.2, 0.2, 4.0
"""Time in which nodes learn of servers and streams of them begin, time between events
then, and time in which streams are taken up, seconds."""

BROKEN_OFF = 12
SLOWDOWN = 6.0
MEAN_PHASE_S = 1.2
MEAN_GAP_S = 0.9
"""Mean time between two faults, seconds: short enough that most of them overlap."""


@dataclass(frozen=True)
class Fault:
    """One fault.

    Attributes
    ----------
    at : float
        Seconds after the beginning of the fault phase.
    kind : str
        Name of the function in `FAULTS` that injects it.
    target : int
        Index of the node or server, modulo their number.
    for_s : float
        Duration of the kinds that last, seconds.
    strength : float
        Size of the fault, 0 to 1; its meaning depends on the kind.
    """

    at: float
    kind: str
    target: int
    for_s: float
    strength: float


def plan(rng, duration_s, kinds=()):
    """Draw the faults of a run; some form a series on different targets.

    Parameters
    ----------
    kinds : tuple of str
        The kinds to draw from; all if empty.
    """
    faults, at = [], rng.expovariate(1 / MEAN_GAP_S)
    while at < duration_s:
        kind = rng.choice(sorted(kinds or FAULTS))
        series = rng.random() < SERIES_SHARE and rng.randint(2, MAX_IN_SERIES)
        for _ in range(series or 1):
            target, for_s = rng.randrange(1000), rng.uniform(0.2, 3.0)
            faults.append(Fault(at, kind, target, for_s, rng.random()))
            at += rng.uniform(0.05, 0.6) if series else 0.0
        at += rng.expovariate(1 / MEAN_GAP_S)
    return [fault for fault in faults if fault.at < duration_s]


def node_of(fleet, fault):
    return fleet.nodes[fault.target % len(fleet.nodes)]


def backend_of(fleet, fault):
    return fleet.backends[fault.target % len(fleet.backends)]


def restart(fleet, fault):
    node_of(fleet, fault).restart()


def kill(fleet, fault):
    node = node_of(fleet, fault)
    node.kill()
    gevent.sleep(fault.strength * 0.5)
    node.start()


def kill_all(fleet, fault):
    for node in fleet.nodes:
        node.kill()
    gevent.sleep(fault.strength)
    for node in fleet.nodes:
        node.start()


def pause(fleet, fault):
    node_of(fleet, fault).pause(fault.for_s)


def reload(fleet, fault):
    node = node_of(fleet, fault)
    node.write_settings(grace_s=4 + fault.strength)
    node.signal(signal.SIGHUP)


def step_clock(fleet, fault):
    node = node_of(fleet, fault)
    node.clock_file.write_text(str((fault.strength - 0.5) * 60))
    gevent.sleep(fault.for_s)
    node.clock_file.write_text("0")


def change_configuration(fleet, fault):
    fleet.configure()


def set_temporarily(target, attribute, value, seconds):
    """Set an attribute of `target` to another value for some seconds.

    Of overlapping calls the latest one sets the value, and the last one to end restores
    the normal value. If each call restored the value that it found, a call that began
    during another one would restore that one's value, and the fault would never end.
    """
    under_way = target.__dict__.setdefault("faults_under_way", Counter())
    target.fault_ended_at = float("inf")
    normal = target.__dict__.setdefault("usual_values", {})
    if not under_way[attribute]:
        normal[attribute] = getattr(target, attribute)
    under_way[attribute] += 1
    setattr(target, attribute, value)
    gevent.sleep(seconds)
    under_way[attribute] -= 1
    if not under_way[attribute]:
        setattr(target, attribute, normal[attribute])
    if not under_way.total():
        target.fault_ended_at = time.monotonic()


def store_down(fleet, fault):
    set_temporarily(fleet.store, "down", True, fault.for_s)


def store_loses(fleet, fault):
    set_temporarily(fleet.store, "losing_responses", True, fault.for_s)


def store_silent(fleet, fault):
    set_temporarily(fleet.store, "silent", True, fault.for_s)


def links_fall_silent(fleet, fault):
    """Drop all further bytes of the open connections to the store or to a server."""
    if fault.strength < 0.5:
        link = node_of(fleet, fault).store_link
    else:
        link = backend_of(fleet, fault).link
    link.black_hole()
    link.healed_at = fleet.clock()


def cloud_down(fleet, fault):
    set_temporarily(fleet.cloud, "down", True, fault.for_s)


def cloud_loses(fleet, fault):
    set_temporarily(fleet.cloud, "losing_responses", True, fault.for_s)


def impair(fleet, link, fault):
    """Delay, stall in one direction, refuse or reset a link for some seconds."""
    if fault.strength < 0.25:
        link.delay_s = fault.strength
    elif fault.strength < 0.45:
        link.silent_out = True
    elif fault.strength < 0.65:
        link.silent_back = True
    elif fault.strength < 0.85:
        link.accepting = False
        link.reset()
    else:
        link.reset()
    gevent.sleep(fault.for_s)
    if link.silent_out or link.silent_back:
        link.reset()
    link.heal()


def store_link(fleet, fault):
    node = node_of(fleet, fault)
    impair(fleet, node.store_link, fault)


def cloud_link(fleet, fault):
    node = node_of(fleet, fault)
    fleet.checker.resumed_at[node.name] = float("inf")
    impair(fleet, node.cloud_link, fault)
    fleet.checker.resumed_at[node.name] = fleet.clock()


def caller_link(fleet, fault):
    node = node_of(fleet, fault)
    with node.under_fault():
        impair(fleet, node.link, fault)


def server_link(fleet, fault):
    impair(fleet, backend_of(fleet, fault).link, fault)


def server_crash(fleet, fault):
    backend_of(fleet, fault).crash(fault.for_s)


def server_leaves(fleet, fault):
    backend_of(fleet, fault).leave(0.5 + fault.strength * 2)


def server_errs(fleet, fault):
    server = backend_of(fleet, fault).server
    if server is not None:  # None between a crash and the next start
        set_temporarily(server, "error_share", fault.strength, fault.for_s)


def server_silent(fleet, fault):
    """Hold back all bytes from and to a sound server for a second or so.

    It begins while the server runs a request that may run only once, if one comes soon.
    """
    backend = backend_of(fleet, fault)
    with gevent.Timeout(SILENCE_WAIT_S, False):
        while not backend.runs_once():
            gevent.sleep(0.005)
    if backend.server is None or not backend.link.is_healthy:
        return
    backend.silent = backend.link.silent_out = backend.link.silent_back = True
    gevent.sleep(0.8 + fault.strength)
    backend.silent = backend.link.silent_out = backend.link.silent_back = False


def server_slow(fleet, fault):
    server = backend_of(fleet, fault).server
    if server is not None:
        set_temporarily(server, "work_s", fault.strength, fault.for_s)


def server_limited(fleet, fault):
    """Let a server name a limit, long enough that nodes in contact must keep it."""
    server = backend_of(fleet, fault).server
    if server is not None:
        limit = 0.5 + 4 * fault.strength
        set_temporarily(server, "limit", limit, fault.for_s + 6.0)


def server_rests(fleet, fault):
    """Let a server, or all of its service, turn requests away and ask for rest."""
    first = backend_of(fleet, fault)
    backends = [b for b in fleet.backends if b.service == first.service]
    if fault.strength < 0.7:
        backends = [first]
    resting = [
        gevent.spawn(
            set_temporarily, b.server, "rest_s", 1.0 + 2 * fault.strength, fault.for_s
        )
        for b in backends
        if b.server is not None
    ]
    gevent.joinall(resting)


def server_says_it_leaves(fleet, fault):
    """Let a server say that it leaves, while its entry says that it is ready."""
    backend = backend_of(fleet, fault)
    server = backend.server
    if server is None:
        return
    server.leaving = True
    gevent.sleep(DRAIN_S + 1.0 + fault.for_s)
    if backend.server is server:
        backend.crash(0.5)


def server_unframed(fleet, fault):
    """Let a server's responses end with their connection, some inside an event."""
    server = backend_of(fleet, fault).server
    if server is not None:
        for_s = fault.for_s + 3.0
        share = gevent.spawn(
            set_temporarily, server, "broken_share", fault.strength, for_s
        )
        set_temporarily(server, "unframed", True, for_s)
        share.join()


def server_writes_foreign_bytes(fleet, fault):
    """Let a server write bytes into many of its streams that are no part of them."""
    server = backend_of(fleet, fault).server
    if server is not None:
        share = 0.3 + 0.7 * fault.strength
        set_temporarily(server, "foreign_share", share, fault.for_s + 1.0)


def nodes_cut_from_servers(fleet, fault):
    """Cut some or most nodes off from all servers, and check how they serve callers.

    At least one node still reaches the servers.
    """
    first = int(fault.strength * len(fleet.nodes))
    count = 1 + fault.target % (len(fleet.nodes) - 1)
    reaching = [node for node in fleet.nodes if not node.is_cut]
    nodes = [n for n in fleet.nodes[first:] + fleet.nodes[:first] if n in reaching]
    nodes = nodes[: min(count, len(reaching) - 1)]
    cut = ServersCut(fleet, nodes)
    for node in nodes:
        node.cut_from_servers(("hang", "reset", "live")[fault.target % 3])
    gevent.sleep(CONTACT_S + 2.0 + fault.for_s)
    cut.end()
    for node in nodes:
        node.rejoin_servers()
    gevent.sleep(DEADLINE_S)
    cut.check()


def servers_brittle(fleet, fault):
    """Let a service's servers say that they fail if they reject much, and do so."""
    service = backend_of(fleet, fault).service
    backends = [backend for backend in fleet.backends if backend.service == service]
    if any(backend.brittle for backend in backends):
        return
    brittle = BrittleTime(fleet, backends, rejections=1 + int(3 * fault.strength))
    for backend in backends:
        backend.set_brittle(brittle)
    gevent.sleep(CONTACT_S + 4.0 + fault.for_s)
    for backend in backends:
        backend.set_brittle(None)
    brittle.end()


def servers_uneven(fleet, fault):
    """Let the servers of the plain service become slow in turn, and state that."""
    backends = [backend for backend in fleet.backends if backend.service == "plain"]
    if any(backend.uneven for backend in backends):
        return
    uneven = UnevenSpeeds(fleet, backends)
    for backend in backends:
        backend.uneven = uneven
    rng = random.Random(fault.target)
    ends_at = fleet.clock() + CONTACT_S + 4.0 + fault.for_s
    while fleet.clock() < ends_at:
        server = rng.choice(backends).server
        if server is not None:
            server.slowdown = SLOWDOWN
            gevent.sleep(rng.uniform(0.5, 1.5) * MEAN_PHASE_S)
            server.slowdown = 1.0
        gevent.sleep(rng.uniform(0.5, 1.5) * MEAN_PHASE_S / 2)
    for backend in backends:
        backend.uneven = None
    uneven.end()


def few_slots(fleet, fault):
    """Let the plain servers have fewer slots together than there are nodes."""
    backends = [backend for backend in fleet.backends if backend.service == "plain"]
    if any(backend.few_slots or backend.brittle for backend in backends):
        return
    few = FewSlots(fleet, backends)
    for backend in backends:
        backend.set_few_slots(few)
    gevent.sleep(CONTACT_S + 6.0 + fault.for_s)
    for backend in backends:
        backend.set_few_slots(None)
    few.end()


def rollout(fleet, fault):
    """Let the engines' servers be of two versions, and break streams off meanwhile.

    Every second server is replaced by one of another version.
    """
    backends = [b for b in fleet.backends if b.service == "engine"]
    for backend in backends[fault.target % 2 :: 2]:
        backend.version = f"v{1 + fault.target % 3}"
        gevent.spawn(backend.crash, 0.2)
        gevent.sleep(0.2)
    gevent.sleep(ROLLOUT_PAUSE_S)
    for number in range(BROKEN_OFF):
        backends[(fault.target + number) % len(backends)].link.reset()
        gevent.sleep(0.2 + 0.2 * fault.strength)


def lost_amid_versions(fleet, fault):
    """Kill all nodes at once while streams of two software versions run."""
    if fleet.versions_change:
        return
    fleet.versions_change = True
    backends = [b for b in fleet.backends if b.service == "engine"]
    for backend in backends[fault.target % 2 :: 2]:
        backend.version = f"v{1 + int(backend.version[1:])}"
        gevent.spawn(backend.crash, 0.2)
    gevent.sleep(LEARNED_S)
    for backend in backends:
        if backend.server is not None:
            backend.server.event_gap_s = SLOW_EVENT_S
    gevent.sleep(LEARNED_S)
    kill_all(fleet, fault)
    gevent.sleep(TAKEN_UP_S)
    fleet.versions_change = False


def ordered_rollout(fleet, fault):
    """Order that a service be shifted to a version that is started now, good or bad."""
    service = ("plain", "engine")[fault.target % 2]
    if service in fleet.rollouts:
        return
    failing = 0.0 if fault.strength < 0.5 else fault.strength - 0.2
    version = f"v{10 + int(fleet.clock() * 10)}"
    OrderedRollout(fleet, service, version, failing).run()


def crashing_request(fleet, fault):
    """Send a request that crashes each server that runs it to all nodes in turn."""
    content = f"{fault.target}-{fault.strength}"
    CrashingCaller(fleet, random.Random(content), content).run_for(fault.for_s + 8.0)


def connections_at_one_node(fleet, fault):
    """Hand most new connections to one node, of which callers open more than usual.

    Halfway that node may be stopped, and another one gets them.
    """
    if fleet.favoured is not None:
        return
    uneven = UnevenConnections(fleet)
    fleet.favoured = node_of(fleet, fault)
    gevent.sleep(CONTACT_S + 2.0)
    if fault.strength < 0.3:
        stopped = fleet.favoured
        fleet.favoured = fleet.nodes[(fault.target + 1) % len(fleet.nodes)]
        stopped.restart()
    gevent.sleep(2.0 + fault.for_s)
    uneven.end()
    fleet.favoured = None
    gevent.sleep(DEADLINE_S)
    uneven.check()


def crashing_part(fleet, fault):
    """Send requests to all nodes that share a part of a prompt which crashes servers.

    Meanwhile sound requests come that share their caller and their first part.
    """
    name = f"bad{fault.target:03x}"
    if name in fleet.crashing_parts:
        return
    part = fleet.crashing_parts[name] = CrashingPart(fleet)
    caller = CrashingPartCaller(fleet, random.Random(name), name)
    caller.run_for(fault.for_s + 3 * CONTACT_S)
    part.end()
    gevent.sleep(DEADLINE_S)
    part.check()


FAULTS = {
    action.__name__: action
    for action in (
        restart,
        kill,
        kill_all,
        pause,
        reload,
        step_clock,
        change_configuration,
        store_down,
        store_loses,
        store_silent,
        links_fall_silent,
        cloud_down,
        cloud_loses,
        store_link,
        cloud_link,
        caller_link,
        server_link,
        server_crash,
        server_leaves,
        server_errs,
        server_slow,
        crashing_request,
        crashing_part,
        connections_at_one_node,
        server_limited,
        server_rests,
        server_says_it_leaves,
        server_unframed,
        server_silent,
        servers_brittle,
        servers_uneven,
        few_slots,
        nodes_cut_from_servers,
        rollout,
        lost_amid_versions,
        fetches_hang,
        ordered_rollout,
        demand_burst,
        odd_entries,
        server_leaves_by_its_entry,
        server_writes_foreign_bytes,
        server_starts_again,
        holder_stops_amid_its_call,
        server_sends_without_end,
        callers_flood,
        callers_expect_versions,
        callers_send_long_prompts,
        odd_callers,
        server_cuts_answers,
        server_sends_no_answers,
        server_refuses_twice,
        late_senders_at_a_stop,
    )
}
