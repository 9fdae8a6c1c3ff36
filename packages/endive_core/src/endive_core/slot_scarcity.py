"""Whether the slots of a service are so scarce that leases of them pay.

A lease costs each request a round trip to the coordinator. It gains where a request
would else queue at a full server beside free slots. Nodes whose view is old choose
servers as if at random, so a server has a Poisson number of requests.
"""

import functools
import math

FULL_SHARE = 0.08
"""Part of the requests that would come to a full server, from which leases pay: they
would wait there for half of a mean time of work, and a lease costs a twenty-fifth of
it (2.8 ms of 69 ms)."""

END_FRACTION = 0.6
"""Part of the utilisation at which leases begin, down to which they go on: a burst must
not be over for each node that hears of one idle server."""


@functools.lru_cache(maxsize=256)
def scarce_utilisation(slots: int) -> float:
    """Return the utilisation from which servers with `slots` slots are often full."""
    low, high = 0.0, 1.0
    for _ in range(20):
        middle = (low + high) / 2
        if _full_share(middle * slots, slots) < FULL_SHARE:
            low = middle
        else:
            high = middle
    return high


def _full_share(mean: float, slots: int) -> float:
    """Return how often a Poisson number of this mean is `slots` or more."""
    term, below = math.exp(-mean), 0.0
    for number in range(slots):
        below += term
        term *= mean / (number + 1)
    return 1.0 - below


class SlotScarcity:
    """Whether the slots of each service are scarce, as one node knows.

    Attributes
    ----------
    scarce : set of str
        Services with scarce slots.
    """

    def __init__(self) -> None:
        self.scarce: set[str] = set()

    def is_scarce(self, service: str, utilisation: float, slots: int) -> bool:
        """Return whether a service's slots are scarce at this utilisation.

        Parameters
        ----------
        slots : int
            Slots of one server.
        """
        threshold = scarce_utilisation(max(1, slots))
        if service in self.scarce:
            threshold *= END_FRACTION
        if utilisation > threshold:
            self.scarce.add(service)
        else:
            self.scarce.discard(service)
        return service in self.scarce
