"""The ids of the requests that a connection to a server has carried."""


class CarriedIds:
    """The ids of the requests that a connection has carried.

    A few bytes of each are kept, so an id may be taken for another that was carried.
    """

    DIGEST_BYTES = 8

    def __init__(self) -> None:
        self.digests = bytearray()

    def __len__(self) -> int:
        return len(self.digests) // self.DIGEST_BYTES

    def __contains__(self, request_id: str) -> bool:
        return self._digest(request_id) in self.digests

    def add(self, request_id: str) -> None:
        """Add an id."""
        self.digests += self._digest(request_id)

    def _digest(self, request_id: str) -> bytes:
        return hash(request_id).to_bytes(self.DIGEST_BYTES, "little", signed=True)
