"""Other writers of the list of servers, and departures that only the list tells."""

import random

import gevent
from odd_documents import ODD_ENTRIES, ODD_SERVER_IDS, entry

from soak.invariants import CONTACT_S, DRAIN_S
from soak.standins import SERVERS

MAX_KEY_BYTES = 255
MAX_CHANGE_GAP_S = 0.4
ODD_KEYS = ("odd-1", "odd-2", "odd-3")
IMPOSSIBLE_IDS = [key for key in ODD_SERVER_IDS if len(key.encode()) <= MAX_KEY_BYTES]
"""Keys that no server can have. The store takes none that is longer."""


def odd_entries(fleet, fault):
    """Leave several entries that name no server in the list, and change them.

    Some can't be read, and others are sound but for their keys. The last ones stay
    there, also after the fault.
    """
    rng = random.Random(fault.target)
    service = rng.choice((b'"plain"', b'"engine"'))
    ends_at = fleet.clock() + CONTACT_S + fault.for_s
    while fleet.clock() < ends_at:
        for key in rng.sample(ODD_KEYS, 2):
            odd = rng.choice(list(ODD_ENTRIES.values()))
            fleet.store.put(SERVERS, key, odd.replace(b'"s"', service))
        backend = rng.choice(fleet.backends)
        sound = entry(service=backend.service, address=backend.link.address)
        fleet.store.put(SERVERS, rng.choice(IMPOSSIBLE_IDS), sound)
        gevent.sleep(rng.uniform(0.0, MAX_CHANGE_GAP_S))


def server_leaves_by_its_entry(fleet, fault):
    """Let a server leave, and only its entry say so."""
    backend = fleet.backends[fault.target % len(fleet.backends)]
    backend.leave(DRAIN_S + 1.0 + fault.for_s, only_by_entry=True)
