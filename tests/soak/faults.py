"""What goes wrong while a seed is played, and when."""

import signal
import time
from collections import Counter
from dataclasses import dataclass

import gevent

SERIES_SHARE = 0.35
MOST_IN_SERIES = 4
GAP_S = 0.9
"""Mean time between two faults, seconds: several are under way at most times."""


@dataclass(frozen=True)
class Fault:
    """One fault.

    Attributes
    ----------
    at : float
        Seconds after the first fault could come.
    target : int
        Which of the nodes or servers, modulo their number.
    for_s : float
        How long, where it has a length.
    x : float
        How strong, 0 to 1.
    """

    at: float
    kind: str
    target: int
    for_s: float
    x: float


def plan(random, duration_s, kinds=()):
    """Return the faults of a seed; some come in series on different targets.

    Parameters
    ----------
    kinds : tuple of str
        The kinds to choose from; all if there are none.
    """
    found, at = [], random.expovariate(1 / GAP_S)
    while at < duration_s:
        kind = random.choice(sorted(kinds or FAULTS))
        series = random.random() < SERIES_SHARE and random.randint(2, MOST_IN_SERIES)
        for _ in range(series or 1):
            target, for_s = random.randrange(1000), random.uniform(0.2, 3.0)
            found.append(Fault(at, kind, target, for_s, random.random()))
            at += random.uniform(0.05, 0.6) if series else 0.0
        at += random.expovariate(1 / GAP_S)
    return [fault for fault in found if fault.at < duration_s]


def node_of(fleet, fault):
    return fleet.nodes[fault.target % len(fleet.nodes)]


def backend_of(fleet, fault):
    return fleet.backends[fault.target % len(fleet.backends)]


def restart(fleet, fault):
    node_of(fleet, fault).restart()


def kill(fleet, fault):
    node = node_of(fleet, fault)
    node.kill()
    gevent.sleep(fault.x * 0.5)
    node.start()


def kill_all(fleet, fault):
    for node in fleet.nodes:
        node.kill()
    gevent.sleep(fault.x)
    for node in fleet.nodes:
        node.start()


def pause(fleet, fault):
    node_of(fleet, fault).pause(fault.for_s)


def reload(fleet, fault):
    node = node_of(fleet, fault)
    node.write_settings(grace_s=4 + fault.x)
    node.signal(signal.SIGHUP)


def step_clock(fleet, fault):
    node = node_of(fleet, fault)
    node.clock_file.write_text(str((fault.x - 0.5) * 60))
    gevent.sleep(fault.for_s)
    node.clock_file.write_text("0")


def change_configuration(fleet, fault):
    fleet.configure()


def set_for(thing, attribute, value, seconds):
    """Give an attribute of `thing` another value for a while.

    Of faults that overlap, the last to come decides, and the last to end restores what
    was before them all. If each restored what it found, one that came while another
    lasted would put that one's value back, and the fault would never end.
    """
    under_way = thing.__dict__.setdefault("faults_under_way", Counter())
    thing.faulty_at = float("inf")
    usual = thing.__dict__.setdefault("usual_values", {})
    if not under_way[attribute]:
        usual[attribute] = getattr(thing, attribute)
    under_way[attribute] += 1
    setattr(thing, attribute, value)
    gevent.sleep(seconds)
    under_way[attribute] -= 1
    if not under_way[attribute]:
        setattr(thing, attribute, usual[attribute])
    if not under_way.total():
        thing.faulty_at = time.monotonic()


def store_down(fleet, fault):
    set_for(fleet.store, "down", True, fault.for_s)


def store_loses(fleet, fault):
    set_for(fleet.store, "losing", True, fault.for_s)


def store_silent(fleet, fault):
    set_for(fleet.store, "silent", True, fault.for_s)


def links_fall_silent(fleet, fault):
    """Let nothing more through on connections to the store, or to a server."""
    if fault.x < 0.5:
        link = node_of(fleet, fault).store_link
    else:
        link = backend_of(fleet, fault).link
    link.deafen()
    link.healed_at = fleet.clock()


def cloud_down(fleet, fault):
    set_for(fleet.cloud, "down", True, fault.for_s)


def cloud_loses(fleet, fault):
    set_for(fleet.cloud, "losing", True, fault.for_s)


def disturb(fleet, link, fault):
    """Delay, silence one way, refuse or reset a link for a while."""
    if fault.x < 0.25:
        link.delay_s = fault.x
    elif fault.x < 0.45:
        link.silent_out = True
    elif fault.x < 0.65:
        link.silent_back = True
    elif fault.x < 0.85:
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
    disturb(fleet, node.store_link, fault)


def cloud_link(fleet, fault):
    node = node_of(fleet, fault)
    fleet.promises.thawed[node.name] = float("inf")
    disturb(fleet, node.cloud_link, fault)
    fleet.promises.thawed[node.name] = fleet.clock()


def caller_link(fleet, fault):
    node = node_of(fleet, fault)
    with node.harmed():
        disturb(fleet, node.link, fault)


def server_link(fleet, fault):
    disturb(fleet, backend_of(fleet, fault).link, fault)


def server_crash(fleet, fault):
    backend_of(fleet, fault).crash(fault.for_s)


def server_leaves(fleet, fault):
    backend_of(fleet, fault).leave(0.5 + fault.x * 2)


def server_errs(fleet, fault):
    server = backend_of(fleet, fault).server
    if server is not None:  # between a crash and the next start there is none
        set_for(server, "erring", fault.x, fault.for_s)


def server_slow(fleet, fault):
    server = backend_of(fleet, fault).server
    if server is not None:
        set_for(server, "work_s", fault.x, fault.for_s)


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
    )
}
