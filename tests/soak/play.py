"""Runs the soak: ``python -m soak.play --seed 7``, or ``--seeds 50`` for random seeds.

Prints one line for each seed, with any violations and the directory of the nodes' logs.
"""

import os
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
from soak.lag import processor_wait_s

NODES = 6
CALLERS = 18
START_S = 20.0
"""Time within which all nodes must start, without the time for which they and this
process, which answers them, waited for a processor, seconds."""

MAX_START_S = 60.0
"""Upper bound of the time for the start with that time, seconds."""

WARM_UP_S = 2.0
FAULTS_S = 12.0
RECOVERY_S = 9.0
"""Time after the last fault within which the service must recover, seconds. It covers
the longest stop of a node, its start, the pause of a silent server and a new claim of
the duties."""

MAX_RECOVERY_S = 30.0
"""Upper bound of the time for recovery when lag of the soak itself extends it,
seconds."""

FINAL_WINDOW_S = 2.0
POLL_S = 0.1
MIN_SERVED_SHARE = 0.9
"""Share of the requests not refused with 429 that must be served in the final
window."""


@dataclass
class Outcome:
    """The result of one seed."""

    seed: int
    violations: list
    counts: dict
    faults: Counter
    directory: str
    soak_stalled_s: float = 0.0
    processor_wait_s: float = 0.0

    @property
    def line(self):
        served = sum(n for end, n in self.counts.items() if end.endswith(" 200"))
        total = sum(self.counts.values())
        verdict = "failed" if self.violations else "passed"
        lag = (
            f", soak process lagged by {self.soak_stalled_s:.1f} s, a node waited up to"
            f" {self.processor_wait_s:.1f} s for a processor"
            if max(self.soak_stalled_s, self.processor_wait_s) > 1
            else ""
        )
        return f"seed {self.seed}: {verdict}, {served} of {total} served{lag}"


def run_seed(
    seed,
    *,
    slot=11,
    mutant="",
    nodes=NODES,
    faults_s=FAULTS_S,
    kinds=(),
    store_call_s=0.0,
    only="",
):
    """Run one seed; return its :class:`Outcome`.

    Parameters
    ----------
    kinds : tuple of str
        The kinds of faults to draw from; all if empty.
    store_call_s : float
        Time in which the store handles one call, seconds; 0 for any number at once.
    only : str
        The rule that is checked; all if empty.
    """
    rng = random.Random(seed)
    directory = tempfile.mkdtemp(prefix=f"soak-{seed}-")
    faults = plan(rng, faults_s, kinds)
    contracts = ("rollout",) if "ordered_rollout" in kinds else ()
    fleet = Fleet(
        directory,
        slot,
        nodes=nodes,
        mutant=mutant,
        store_call_s=store_call_s,
        contracts=contracts,
    )
    fleet.checker.only = only
    loops = []
    try:
        wait_until_ready(fleet)
        loops = [gevent.spawn(loop) for loop in _loops(fleet, rng)]
        _wait_unless_violated(fleet, WARM_UP_S)
        _inject_faults(fleet, faults, faults_s)
        _check_recovery(fleet)
    finally:
        gevent.killall(loops)
        waited_s = max(node.processor_wait_s() for node in fleet.nodes)
        fleet.close()
    checker = fleet.checker
    kinds = Counter(fault.kind for fault in faults)
    return Outcome(
        seed,
        checker.violations,
        dict(checker.counts),
        kinds,
        directory,
        fleet.lag.stalled_s,
        waited_s,
    )


def _loops(fleet, rng):
    callers = [
        Caller(fleet, random.Random(rng.random()), name)
        for name in ORGANISATIONS
        for _ in range(CALLERS // len(ORGANISATIONS))
    ]
    prober = Prober(fleet, random.Random(rng.random()), "")
    return [
        fleet.lag.run,
        fleet.send_heartbeats,
        prober.run,
        *(caller.run for caller in callers),
    ]


def wait_until_ready(fleet):
    """Wait until all nodes know their peers; raises TimeoutError."""
    while starting := fleet.starting_nodes():
        elapsed_s = fleet.clock()
        waited_s = min(node.processor_wait_s() for node in starting)
        waited_s += processor_wait_s(os.getpid())
        if elapsed_s - waited_s > START_S or elapsed_s > MAX_START_S:
            raise TimeoutError(
                f"{len(starting)} nodes not ready after {elapsed_s:.0f} s, of which"
                f" {waited_s:.1f} s waiting for a processor, logs: {fleet.directory}"
            )
        for backend in fleet.backends:
            backend.send_heartbeat()
        gevent.sleep(0.2)
    gevent.sleep(0.5)


def _wait_unless_violated(fleet, seconds):
    """Wait for `seconds`, or until an invariant is violated."""
    end = time.monotonic() + seconds
    while time.monotonic() < end and not fleet.checker.violations:
        gevent.sleep(min(POLL_S, max(0.0, end - time.monotonic())))


def _wait_recovery(fleet):
    """Wait for `RECOVERY_S` plus the soak's own lag, `MAX_RECOVERY_S` at most."""
    end, stalled_s = time.monotonic() + MAX_RECOVERY_S, fleet.lag.stalled_s
    left_s = RECOVERY_S
    while left_s > 0 and time.monotonic() < end and not fleet.checker.violations:
        _wait_unless_violated(fleet, left_s)
        left_s, stalled_s = fleet.lag.stalled_s - stalled_s, fleet.lag.stalled_s


def _inject_faults(fleet, faults, faults_s):
    started_at = time.monotonic()
    injections = []
    for fault in faults:
        _wait_unless_violated(fleet, started_at + fault.at - time.monotonic())
        if fleet.checker.violations:
            break
        injections.append(gevent.spawn(FAULTS[fault.kind], fleet, fault))
    _wait_unless_violated(fleet, started_at + faults_s - time.monotonic())
    gevent.joinall(injections)


def _check_recovery(fleet):
    """End all faults, and check that requests are served again after a while."""
    fleet.heal()
    for node in fleet.nodes:
        node.start()
    _wait_recovery(fleet)
    before = Counter(fleet.checker.counts)
    _wait_unless_violated(fleet, FINAL_WINDOW_S)
    ends = Counter(fleet.checker.counts) - before
    served = sum(n for end, n in ends.items() if end.endswith(" 200"))
    refused = sum(n for end, n in ends.items() if end.endswith(" 429"))
    expected = sum(ends.values()) - refused
    if not fleet.checker.violations and served < MIN_SERVED_SHARE * max(1, expected):
        fleet.checker.record_violation(
            "recovery", f"{served} of {expected} served: {dict(ends)}"
        )


def main(
    seed=None,
    seeds=1,
    slot=11,
    mutant="",
    nodes=NODES,
    faults_s=FAULTS_S,
    store_call_s=0.0,
    without="",
):
    """Run one seed, or random ones; exit with 1 if any of them fails.

    Parameters
    ----------
    seed
        The seed to run; without it, `seeds` random ones are drawn.
    slot
        Second number of the loopback addresses, so that several runs can run at once.
    store_call_s
        Time in which the store handles one call, seconds; 0 for any number at once.
    without
        A kind of faults that is not drawn. A seed from before there was a kind draws
        the same faults without it.
    """
    kinds = tuple(sorted(set(FAULTS) - {without})) if without else ()
    chosen = [seed] if seed is not None else random.sample(range(10**6), seeds)
    worst = 0
    for number in chosen:
        outcome = run_seed(
            number,
            slot=slot,
            mutant=mutant,
            nodes=nodes,
            faults_s=faults_s,
            store_call_s=store_call_s,
            kinds=kinds,
        )
        print(outcome.line, flush=True)
        for line in outcome.violations:
            print(f"  {line}", flush=True)
        if outcome.violations:
            print(f"  {dict(sorted(outcome.counts.items()))}", flush=True)
            print(f"  {dict(outcome.faults)}\n  logs: {outcome.directory}", flush=True)
            worst = 1
    raise SystemExit(worst)


if __name__ == "__main__":
    fire.Fire(main)
