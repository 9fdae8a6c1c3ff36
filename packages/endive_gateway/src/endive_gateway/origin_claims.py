"""What a stream's origin is taken for until it is known which process began it.

The node that begins a stream at a process which it doesn't know for certain tells the
owners which entry the process is taken to have. They hold that against their own reads
of the servers, since that node may be lost before it has read them.

Load: streams over first connections to servers, at nodes that are lost or cut off right
after they began.
"""

from collections.abc import Callable
from dataclasses import dataclass

from endive_core.stream_origins import StreamOrigin


@dataclass(frozen=True, slots=True)
class OriginClaim:
    """An origin that a stream has if a server's entry is that of its process.

    Attributes
    ----------
    server_id, incarnation : str, int
        The server's entry as it was known before the connection was begun.
    """

    origin: StreamOrigin
    server_id: str
    incarnation: int


class OriginClaims:
    """The claims that one node has been told, and those that it has found to be true.

    Attributes
    ----------
    open : dict of bytes to (OriginClaim or None, float)
        By stream, a claim, and when it was told, seconds on the monotonic clock. The
        connection was open by then. ``None`` if there were several claims.
    settled : dict of bytes to OriginClaim
        By stream.
    """

    def __init__(self) -> None:
        self.open: dict[bytes, tuple[OriginClaim | None, float]] = {}
        self.settled: dict[bytes, OriginClaim] = {}

    def add(self, key: bytes, claim: OriginClaim, now: float) -> None:
        """Keep a claim until it is known whether it is true."""
        known, told_at = self.open.setdefault(key, (claim, now))
        if known != claim:
            self.open[key] = (None, told_at)

    def discard(self, key: bytes) -> None:
        """Forget what was claimed of a stream."""
        self.open.pop(key, None)
        self.settled.pop(key, None)

    def get(self, key: bytes) -> OriginClaim | None:
        """Return the claim of a stream whose origin is not known yet."""
        return self.open.get(key, (None, 0.0))[0]

    def settle(
        self, is_true: Callable[[OriginClaim, float], bool]
    ) -> list[tuple[bytes, StreamOrigin]]:
        """Return key and origin of each stream whose claim turns out to be true.

        Parameters
        ----------
        is_true : callable
            Returns whether a claim is certain to be true, given a time at which the
            connection was open.
        """
        found = {
            key: claim
            for key, (claim, told_at) in self.open.items()
            if claim is not None and is_true(claim, told_at)
        }
        for key, claim in found.items():
            del self.open[key]
            self.settled[key] = claim
        return [(key, claim.origin) for key, claim in found.items()]

    def forget_unless(self, is_kept: Callable[[bytes], bool]) -> None:
        """Forget the claims of streams whose origins aren't kept any more."""
        for claims in (self.open, self.settled):
            for key in [key for key in claims if not is_kept(key)]:
                del claims[key]
