"""Plays seeds: ``python -m soak.play --seed 7``, or ``--seeds 50`` for fresh ones.

Each prints a line, and the broken promises with where the nodes' logs lie.
"""

import random
import tempfile
import time
from collections import Counter
from dataclasses import dataclass

import fire
import gevent

from soak.callers import Caller, Prober
from soak.faults import FAULTS, plan
from soak.fleet import ORGANISATIONS, Fleet

NODES = 6
CALLERS = 18
START_S = 20.0
CALM_S = 2.0
FAULTS_S = 12.0
SETTLE_S = 9.0
"""Time after the last fault by which all is well again, seconds: the longest stop, then
a start, a silent server's pause and a successor to the duties."""

MOST_SETTLE_S = 30.0
"""The same at most on a machine so busy that the soak itself is held up, seconds."""

LAST_S = 2.0
LOOK_S = 0.1
LEAST_SERVED = 0.9
"""Part of the requests of the organisation without a limit that must be served in the
last seconds."""


@dataclass
class Outcome:
    """What became of a seed."""

    seed: int
    broken: list
    counts: dict
    faults: Counter
    directory: str
    held_up_s: float = 0.0

    @property
    def line(self):
        served = sum(n for end, n in self.counts.items() if end.endswith(" 200"))
        total = sum(self.counts.values())
        verdict = "broken" if self.broken else "kept"
        held_up = f", held up for {self.held_up_s:.1f} s" if self.held_up_s > 1 else ""
        return f"seed {self.seed}: {verdict}, {served} of {total} served{held_up}"


def play(seed, *, slot=11, mutant="", nodes=NODES, faults_s=FAULTS_S, kinds=()):
    """Play one seed; return its :class:`Outcome`."""
    chance = random.Random(seed)
    directory = tempfile.mkdtemp(prefix=f"soak-{seed}-")
    faults = plan(chance, faults_s, kinds)
    fleet = Fleet(directory, slot, nodes=nodes, mutant=mutant)
    loops = []
    try:
        _wait_ready(fleet)
        loops = [gevent.spawn(loop) for loop in _loops(fleet, chance)]
        _until_broken(fleet, CALM_S)
        _inflict(fleet, faults, faults_s)
        _recover(fleet)
    finally:
        gevent.killall(loops)
        fleet.close()
    promises = fleet.promises
    kinds = Counter(fault.kind for fault in faults)
    return Outcome(
        seed,
        promises.broken,
        dict(promises.counts),
        kinds,
        directory,
        fleet.lag.lost_s,
    )


def _loops(fleet, chance):
    callers = [
        Caller(fleet, random.Random(chance.random()), name)
        for name in ORGANISATIONS
        for _ in range(CALLERS // len(ORGANISATIONS))
    ]
    prober = Prober(fleet, random.Random(chance.random()), "")
    return [fleet.lag.run, fleet.beat, prober.run, *(caller.run for caller in callers)]


def _wait_ready(fleet):
    end = time.monotonic() + START_S
    while not fleet.is_ready():
        if time.monotonic() > end:
            raise TimeoutError(f"the nodes didn't start: {fleet.directory}")
        for backend in fleet.backends:
            backend.beat()
        gevent.sleep(0.2)
    gevent.sleep(0.5)


def _until_broken(fleet, seconds):
    """Let time pass, but no longer than until a promise is broken."""
    end = time.monotonic() + seconds
    while time.monotonic() < end and not fleet.promises.broken:
        gevent.sleep(min(LOOK_S, max(0.0, end - time.monotonic())))


def _until_settled(fleet):
    """Let the nodes have `SETTLE_S`, without the time that the soak stood still."""
    end, lost_s = time.monotonic() + MOST_SETTLE_S, fleet.lag.lost_s
    left_s = SETTLE_S
    while left_s > 0 and time.monotonic() < end and not fleet.promises.broken:
        _until_broken(fleet, left_s)
        left_s, lost_s = fleet.lag.lost_s - lost_s, fleet.lag.lost_s


def _inflict(fleet, faults, faults_s):
    begun = time.monotonic()
    acts = []
    for fault in faults:
        _until_broken(fleet, begun + fault.at - time.monotonic())
        if fleet.promises.broken:
            break
        acts.append(gevent.spawn(FAULTS[fault.kind], fleet, fault))
    _until_broken(fleet, begun + faults_s - time.monotonic())
    gevent.joinall(acts)


def _recover(fleet):
    """End all faults, and ask for service as before a little later."""
    fleet.heal()
    for node in fleet.nodes:
        node.start()
    _until_settled(fleet)
    before = Counter(fleet.promises.counts)
    _until_broken(fleet, LAST_S)
    ends = Counter(fleet.promises.counts) - before
    served = sum(n for end, n in ends.items() if end.endswith(" 200"))
    refused = sum(n for end, n in ends.items() if end.endswith(" 429"))
    owed = sum(ends.values()) - refused
    if not fleet.promises.broken and served < LEAST_SERVED * max(1, owed):
        fleet.promises.break_("recovery", f"{served} of {owed} served: {dict(ends)}")


def main(seed=None, seeds=1, slot=11, mutant="", nodes=NODES, faults_s=FAULTS_S):
    """Play one seed, or fresh ones; the exit code is that of the worst.

    Parameters
    ----------
    seed
        The seed to play; without it `seeds` fresh ones are drawn.
    slot
        Second number of the loopback addresses, so that several can run at once.
    """
    chosen = [seed] if seed is not None else random.sample(range(10**6), seeds)
    worst = 0
    for number in chosen:
        outcome = play(number, slot=slot, mutant=mutant, nodes=nodes, faults_s=faults_s)
        print(outcome.line, flush=True)
        for line in outcome.broken:
            print(f"  {line}", flush=True)
        if outcome.broken:
            print(f"  {dict(sorted(outcome.counts.items()))}", flush=True)
            print(f"  {dict(outcome.faults)}\n  logs: {outcome.directory}", flush=True)
            worst = 1
    raise SystemExit(worst)


if __name__ == "__main__":
    fire.Fire(main)
