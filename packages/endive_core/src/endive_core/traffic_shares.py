"""Division of requests between two versions, so that the shares hold over all nodes."""

from endive_core.servers import Random


class ShareAccumulator:
    """Gives a part of the requests to one side, as evenly as possible.

    Each request adds the share to a credit, and the request that brings it to 1 is
    taken. The credit starts at random: with 375 nodes that each get a few requests, the
    sum over all nodes is then near the share. If all started at 0, it would be far
    below it.
    """

    def __init__(self, random: Random) -> None:
        self.credit = random.random()

    def takes_next(self, share: float) -> bool:
        """Count a request; return whether it belongs to the part of size `share`."""
        self.credit += share
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True

    def give_back(self) -> None:
        """Return the credit of a request that was not sent; the next one is taken."""
        self.credit = min(1.0, self.credit + 1.0)
