"""Messages by which gateways lease slots of backend servers from each other."""

import msgspec

from endive_gateway.quantities import Age, Count, OptionalCount, Quantity


class SlotRequest(msgspec.Struct, array_like=True, tag="ask"):
    """A node's request for a slot of a server.

    Attributes
    ----------
    number : int
        Identifies the request in the reply and in the return.
    priority : int
        0 is served first.
    wait_s : float
        Longest time for which it may wait, seconds.
    lease_s : float
        Time after which the lease ends if it is not returned, seconds.
    """

    number: int
    server: str
    priority: int
    wait_s: Quantity
    lease_s: Quantity


class SlotReply(msgspec.Struct, array_like=True, tag="reply"):
    """The coordinator's reply: whether the slot is leased."""

    number: int
    server: str
    granted: bool


class SlotReturn(msgspec.Struct, array_like=True, tag="return"):
    """The return of a lease."""

    number: int
    server: str


class LoadReport(msgspec.Struct, array_like=True, tag="load"):
    """Requests at a server, running and waiting, as it has just stated."""

    server: str
    load: Count


class PoolSlotRequest(msgspec.Struct, array_like=True, tag="pool_ask"):
    """A node's request for a slot of any server of a service.

    Attributes
    ----------
    number : int
        Identifies the request in the replies and in the return.
    priority : int
        0 is served first.
    due_s : float
        Time until its response is late, seconds.
    lease_s : float
        Time after which the lease ends if it is not returned, seconds.
    avoid : list of str
        Servers that it must not get.
    returned : list of int
        The node's latest returns, in case their messages were lost.
    """

    number: int
    service: str
    priority: int
    organisation: str
    due_s: Quantity
    lease_s: Quantity
    avoid: list[str] = []
    returned: list[int] = []


class PoolSlotReply(msgspec.Struct, array_like=True, tag="pool_reply"):
    """A coordinator's reply; a request that is queued gets another one later.

    Attributes
    ----------
    server : str
        The server whose slot is leased; empty if none is.
    wait_s : float
        Longest time until the next reply, seconds, if the request is queued.
    retry_after_s : float
        Time after which it could be served, seconds, if it is declined; else negative.
    """

    number: int
    service: str
    server: str
    wait_s: Quantity = 0.0
    retry_after_s: Quantity = -1.0


class PoolSlotReturn(msgspec.Struct, array_like=True, tag="pool_return"):
    """The return of a lease, or the end of a request for one.

    Attributes
    ----------
    server : str
        Empty if the node knows of no lease.
    outcome : int
        An :class:`endive_core.pooled_servers.Outcome`.
    load : int
        Requests at the server, running and waiting, as stated with the response; -1 if
        it stated none.
    slowdown : float or None
        Time that work takes there over the usual time, as stated.
    """

    number: int
    service: str
    server: str = ""
    outcome: int = 0
    load: OptionalCount = -1
    slowdown: Age | None = None


SlotMessage = (
    SlotRequest
    | SlotReply
    | SlotReturn
    | LoadReport
    | PoolSlotRequest
    | PoolSlotReply
    | PoolSlotReturn
)

DECODER = msgspec.msgpack.Decoder(SlotMessage)
