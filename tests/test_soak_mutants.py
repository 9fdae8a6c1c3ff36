import os

import pytest
from soak.mixes import (
    CRASHES,
    CUT_ANSWERS,
    DEMAND,
    DEPARTING,
    ENDLESS,
    FETCHES,
    FEW_SLOTS,
    FLOODS,
    FOREIGN_BYTES,
    LATE_SENDERS,
    LIMITED_SERVERS,
    LONG_PROMPTS,
    NO_ANSWERS,
    ODD_CALLERS,
    ODD_ENTRIES,
    ODD_VERSIONS,
    ORDERED,
    PARTS,
    REJOINED,
    RESTS,
    ROLLOUTS,
    SECOND_REFUSALS,
    SERVERS_CUT,
    SILENCES,
    SILENT,
    SPEEDS,
    STARTED_AGAIN,
    STOPPING_HOLDERS,
    UNEVEN,
    UNFRAMED,
)
from soak.play import run_seed

WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
SLOT = 60 + WORKER
"""Number of the loopback addresses that only this test worker uses."""

MUTANTS = {
    "limit": ("limit", 1, ("reload",)),
    "not-run": ("not run", 1, ("server_crash",)),
    "holder": ("one holder", 1, ("reload",)),
    "early-release": ("one holder", 1, STOPPING_HOLDERS),
    "silence": ("configuration in time", 8, SILENCES),
    "crashes": ("crashing request", 1, CRASHES),
    "part-crashes": ("crashing part", 1, PARTS),
    "parts-not-cleared": ("sound requests", 1, PARTS),
    "even-share": ("uneven", 1, UNEVEN),
    "server-limits": ("server limit", 1, LIMITED_SERVERS),
    "rests": ("rest", 1, RESTS),
    "leaving": ("leaving", 1, DEPARTING),
    "unreadable-ends": ("drain", 4, ODD_ENTRIES),
    "foreign-bytes": ("foreign piece", 1, FOREIGN_BYTES),
    "broken-streams": ("wrong response", 1, UNFRAMED),
    "kept-bodies": ("memory", 1, ENDLESS),
    "no-turns": ("others wait", 1, FLOODS),
    "one-queue": ("deadline", 25502, ODD_CALLERS),
    "no-budget": ("memory", 1, LONG_PROMPTS),
    "no-connection-limit": ("descriptors", 1, ODD_CALLERS),
    "blamed-versions": ("sound requests", 1, ODD_VERSIONS),
    "silence-ends": ("silence", 1, SILENT),
    "no-leases": ("brittle", 87, ("servers_brittle",)),
    "no-pools": ("idle slots", 2, FEW_SLOTS),
    "no-transit": ("cut off", 1, SERVERS_CUT),
    "no-distrust": ("fetch", 1, FETCHES),
    "no-affinity": ("software version", 1, ROLLOUTS),
    "no-speeds": ("slow server", 1, SPEEDS),
    "no-contention": ("priority", 1, DEMAND),
    "no-rollouts": ("rollout", 5, ORDERED),
    "forgotten-resets": ("wrong response", 1, CUT_ANSWERS),
    "odd-heads": ("wrong response", 1, NO_ANSWERS),
    "ids-again": ("not run", 1, SECOND_REFUSALS),
    "late-requests": ("late request", 1, LATE_SENDERS),
}
"""By mutant: the rule that it violates, the seed, and the kinds of faults to inject."""


@pytest.mark.parametrize("mutant", MUTANTS)
def test_mutants_are_detected(mutant):
    """The soak detects each mutant within the fault phase of one seed: a limit that
    each node applies alone, "not run" reported for a request that a server ran, duties
    claimed while another node holds them, duties released before the end of the last
    call, an unanswered read of the store treated as proof that nothing has changed,
    crashes that nodes do not tell each other, of whole requests and of parts of
    prompts, parts that answers do not clear, nodes that serve an even share only,
    limits of servers that are not shared, rests and departures that are not read, reads
    of the store that end at an unreadable record, bytes in a stream that are no event
    of it and are forwarded, streams that are complete as soon as they end, bodies that
    nobody reads and that are kept, connections that always have bytes and that keep the
    event loop, connections that are accepted behind the work for open ones, bodies of
    any size that are held, any number of connections that are
    accepted, servers that lack a version and that
    are taken for others, requests that end with a server's silence, brittle servers
    without leases, few slots that no node coordinates, nodes that carry no connections
    for others, sources of fetches that are named although they hang, streams that go on
    at any software version, requests for servers that state to be slow, requests that
    are admitted and sent without regard to the demand of all nodes, nodes that use
    the servers of an ordered version as any others, resets that another call than a
    read is told of and that are forgotten, heads that are taken for those of answers,
    ids that are sent again over a connection, and late requests that are taken whatever
    time is left."""
    rule, seed, kinds = MUTANTS[mutant]
    outcome = run_seed(seed, slot=SLOT, mutant=mutant, kinds=kinds)
    assert outcome.violations, outcome.counts
    assert f" s: {rule}: " in outcome.violations[0]


@pytest.mark.parametrize(
    ("mutant", "seed", "kinds"),
    [
        ("guessed-version", 1, REJOINED),
        ("trusted-entries", 5, STARTED_AGAIN),
        ("early-registration", 1, STARTED_AGAIN),
    ],
)
def test_a_guessed_version_is_detected_in_the_text(mutant, seed, kinds):
    """Nodes that return after the loss of all guess a version where nobody knows it, or
    nodes take it from the entry of a server that has started again under its id, or
    from one that they read before a heartbeat has passed; callers then hold text of
    two."""
    outcome = run_seed(seed, slot=SLOT, mutant=mutant, kinds=kinds, only="joined text")
    assert outcome.violations, outcome.counts
