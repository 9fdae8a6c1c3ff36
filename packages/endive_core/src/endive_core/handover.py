"""Selects the nodes that take over requests, and the order of the transfers.

When its zone is reclaimed, a node may hold thousands of unfinished requests and have
about three seconds to hand them over. A second zone may be reclaimed while the first
is still draining. Every node must be able to compute, without a directory, which node
took over a request, so the choice is made by rendezvous hashing.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from endive_core.hashing import fingerprint, rendezvous_order
from endive_core.members import Member, MemberState
from endive_core.messages import Endpoint, Request

ROUTE_CHARACTERS = 16
LOOKUP_CANDIDATES = 3
"""Number of members that are asked first: the best one and two more, since the member
lists of two nodes may differ by one or two nodes that have just joined or left."""


@dataclass(frozen=True)
class RequestHead:
    """The fields of a request that a node needs to relay its answer."""

    request_id: str
    organisation: str
    model: str
    endpoint: Endpoint
    prompt_tokens: int
    stream: bool = False
    key: str = ""
    fingerprint: str = ""
    include_usage: bool = False


@dataclass(frozen=True)
class RequestTransfer:
    """One unfinished request as it is sent from one node to another.

    Attributes
    ----------
    age_s, deadline_in_s : float
        Seconds relative to now, since the clocks of two nodes cannot be compared.
    attempt : int
        Number of attempts so far; the next holder continues to count from it.
    dispatched : bool
        Whether a server may have run any part of the request.
    stopped : bool
        Whether the sender has stopped the request for good: no part of it runs any
        more and the sender will not send it again.
    starts_in_s : float
        Seconds after which the receiver may consider the sender dead and start an
        idempotent request without confirmation that the sender has stopped it.
    claim : dict
        State of the claim of a non-idempotent request.
    """

    head: RequestHead
    priority: str
    body: dict[str, Any]
    prompt: str
    max_tokens: int
    path: str = ""
    method: str = "POST"
    data: bytes = b""
    non_idempotent: bool = False
    age_s: float = 0.0
    deadline_in_s: float | None = None
    attempt: int = 0
    dispatched: bool = False
    stopped: bool = False
    starts_in_s: float = 0.0
    claim: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True)
class AnswerTransfer:
    """The answer so far of a request that was handed over and stopped by the sender.

    Attributes
    ----------
    continues : int
        For a non-idempotent request that a server ran and confirmed to have stopped,
        one more than that attempt; 0 if the sender's claim was not used.
    finish_reason, error : str
        Set if the answer ended on the sender after all; ``error`` is an error kind.
    status : int
        Set with ``content_type`` and ``data`` for a plain service's whole answer.
    """

    request_id: str
    tokens: list[str]
    attempt: int
    dispatched: bool
    stopped: bool = True
    continues: int = 0
    finish_reason: str = ""
    error: str = ""
    message: str = ""
    status: int = 0
    content_type: str = ""
    data: bytes = b""


def route_of(organisation: str, key: str, unique: str) -> str:
    """Return the part of a request id that determines which node takes it over.

    For a request with an idempotency key it is derived from the key, so that a caller
    who knows only the key is routed to the same node as one who knows the id.
    """
    text = f"{organisation}\0{key}" if key else unique
    return fingerprint(text)[:ROUTE_CHARACTERS]


def request_id_for(node_id: str, organisation: str, key: str, unique: str) -> str:
    """Return ``node.route-unique``: the accepting node and the handover route."""
    return f"{node_id}.{route_of(organisation, key, unique)}-{unique}"


def route_in(request_id: str) -> str:
    """Return the route contained in a request id."""
    return request_id.rpartition(".")[2].partition("-")[0]


def origin_in(request_id: str) -> str:
    """Return the id of the node that accepted the request."""
    return request_id.rpartition(".")[0]


def handover_targets(
    route: str,
    members: Iterable[Member],
    *,
    zones_under_notice: frozenset[str] = frozenset(),
    without: frozenset[str] = frozenset(),
) -> list[Member]:
    """Return the members that may take over a request, the best first.

    Members in a zone under notice come last, since they are about to leave; members
    that are leaving are left out. With rendezvous hashing a request moves only when its
    holder leaves: a notice for a second zone does not change the choice for a request
    that is held outside both zones.
    """
    taking = {
        member.id: member
        for member in members
        if member.state is MemberState.LIVE and member.id not in without
    }
    order = [taking[name] for name in rendezvous_order(route, taking)]
    return sorted(order, key=lambda member: member.zone in zones_under_notice)


@dataclass(frozen=True)
class PendingTransfer:
    """The properties of one request that determine the order of the transfers."""

    request_id: str
    level: int
    size: int
    waiting: bool


def transfer_order(departures: Iterable[PendingTransfer]) -> list[str]:
    """Return request ids in the order in which their records are sent.

    The node may be killed earlier than announced, so the records sent first are the
    safest. They are ordered by priority, then by size, since one record of several
    megabytes would delay hundreds of others. A waiting request has no partial answer
    from which its caller could continue.
    """
    ranked = sorted(departures, key=lambda d: (-d.level, d.size, d.request_id))
    return [departure.request_id for departure in ranked]


def batches(sizes: Sequence[int], max_bytes: int, max_records: int) -> list[slice]:
    """Return slices of records, each within both limits or a single record.

    One call for each record would spend the notice period on round trips. One call for
    all of them would leave nothing acknowledged if the node dies during the call.
    """
    found = []
    start = total = 0
    for index, size in enumerate(sizes):
        full = index - start >= max_records or total + size > max_bytes
        if index > start and full:
            found.append(slice(start, index))
            start, total = index, 0
        total += size
    if start < len(sizes):
        found.append(slice(start, len(sizes)))
    return found


def transfer_of(request: Request, **state) -> RequestTransfer:
    """Return the record of `request` that is sent to another node."""
    body = {k: v for k, v in request.body.items() if k != "data"}
    return RequestTransfer(
        head=head_of(request),
        priority=request.priority,
        body=body,
        prompt="" if request.endpoint is Endpoint.SERVICE else request.prompt,
        max_tokens=request.max_tokens,
        path=request.path,
        method=request.method,
        data=request.body.get("data", b""),
        non_idempotent=request.non_idempotent,
        **state,
    )


def head_of(request: Request) -> RequestHead:
    """Return the fields of `request` that a node needs to relay its answer."""
    return RequestHead(
        request_id=request.request_id,
        organisation=request.organisation,
        model=request.model,
        endpoint=request.endpoint,
        prompt_tokens=request.prompt_tokens,
        stream=request.stream,
        key=request.key,
        fingerprint=request.fingerprint,
        include_usage=request.include_usage,
    )


def request_of(transfer: RequestTransfer, deadline: float | None) -> Request:
    """Return the request in `transfer`, with its deadline on this node's clock."""
    head = transfer.head
    body, prompt = transfer.body, transfer.prompt
    if head.endpoint is Endpoint.SERVICE:
        body = body | {"data": transfer.data}
        prompt = transfer.data.decode("utf-8", "replace")
    return Request(
        request_id=head.request_id,
        organisation=head.organisation,
        priority=transfer.priority,
        model=head.model,
        endpoint=head.endpoint,
        body=body,
        prompt=prompt,
        max_tokens=transfer.max_tokens,
        stream=head.stream,
        deadline=deadline,
        key=head.key,
        non_idempotent=transfer.non_idempotent,
        path=transfer.path,
        method=transfer.method,
        fingerprint=head.fingerprint,
        include_usage=head.include_usage,
    )
