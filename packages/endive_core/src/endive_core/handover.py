"""Which node takes over a request, and in which order requests leave.

The load this is for: a node holds thousands of unfinished requests when its zone is
reclaimed, with about three seconds to give them away, and a second zone goes while
the first is still draining. Every node must be able to work out, without asking a
directory, which node took a request over.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any

from endive_core.hashing import fingerprint, rendezvous_order
from endive_core.members import Member, MemberState
from endive_core.messages import Endpoint, Request

ROUTE_CHARACTERS = 16
CANDIDATES = 3
"""Members asked first: the best one, and two more because views differ by a node or
two that has just come or gone."""


@dataclass(frozen=True)
class RequestHead:
    """What any node needs of a request to pass its answer on."""

    request_id: str
    organisation: str
    model: str
    endpoint: Endpoint
    prompt_tokens: int
    stream: bool = False
    key: str = ""
    fingerprint: str = ""


@dataclass(frozen=True)
class RequestTransfer:
    """One unfinished request as it goes from one node to another.

    Attributes
    ----------
    age_s, deadline_in_s : float
        Seconds, since the clocks of two nodes can't be compared.
    attempt : int
        Attempts so far; the next holder counts on from it.
    dispatched : bool
        Whether a server may have run anything of it.
    stopped : bool
        The sender has given the request up for good: nothing of it runs any more and
        nothing will be sent on its behalf.
    starts_in_s : float
        Seconds after which the receiver may take the sender for dead and start an
        idempotent request without having been told that it stopped.
    claim : dict
        State of the claim of a non-idempotent request, as the claims keep it.
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
    """The answer so far of a request that was handed over; the sender has stopped.

    Attributes
    ----------
    continues : int
        For a non-idempotent request that a server ran and confirmed to have stopped,
        one more than that attempt; 0 if the sender's claim was not used.
    finish_reason, error : str
        Set if the answer ended at the sender after all; ``error`` is an error kind.
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
    """Return the part of a request id that decides which node takes it over.

    For a request with an idempotency key it follows from the key, so that a caller
    who has only the key is led to the same node as one who has the id.
    """
    text = f"{organisation}\0{key}" if key else unique
    return fingerprint(text)[:ROUTE_CHARACTERS]


def request_id_for(node_id: str, organisation: str, key: str, unique: str) -> str:
    """Return ``node.route-unique``: who accepted it, and where it goes from there."""
    return f"{node_id}.{route_of(organisation, key, unique)}-{unique}"


def route_in(request_id: str) -> str:
    """Return the route that a request id carries."""
    return request_id.rpartition(".")[2].partition("-")[0]


def origin_in(request_id: str) -> str:
    """Return the id of the node that accepted the request."""
    return request_id.rpartition(".")[0]


def targets(
    route: str,
    members: Iterable[Member],
    *,
    zones_under_notice: frozenset[str] = frozenset(),
    without: frozenset[str] = frozenset(),
) -> list[Member]:
    """Return the members that may hold a request, the best first.

    Members in a zone under notice come last, as they go next; leaving ones do not
    come at all. Rendezvous hashing moves a request only when its holder leaves: a
    second zone's notice changes the choice for none that sits outside both zones.
    """
    taking = {
        member.id: member
        for member in members
        if member.state is MemberState.LIVE and member.id not in without
    }
    order = [taking[name] for name in rendezvous_order(route, taking)]
    return sorted(order, key=lambda member: member.zone in zones_under_notice)


@dataclass(frozen=True)
class Departure:
    """What the order of leaving depends on, for one request."""

    request_id: str
    level: int
    size: int
    waiting: bool


def departure_order(departures: Iterable[Departure]) -> list[str]:
    """Return request ids in the order in which their records leave.

    The node may be killed before the time it was told, so what leaves first survives.
    Waiting requests have no answer yet that a caller could go on from, and a record
    of megabytes would hold up hundreds: so by priority, then the small ones.
    """
    ranked = sorted(departures, key=lambda d: (-d.level, d.size, d.request_id))
    return [departure.request_id for departure in ranked]


def batches(sizes: Sequence[int], max_bytes: int, max_records: int) -> list[slice]:
    """Return slices of records, each under both limits or a single record.

    One call for each record spends the notice on round trips; one call for all of
    them leaves nothing acknowledged if the node dies in the middle.
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
    """Return the record of `request` that goes to another node."""
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
    """Return what any node needs of `request` to pass its answer on."""
    return RequestHead(
        request_id=request.request_id,
        organisation=request.organisation,
        model=request.model,
        endpoint=request.endpoint,
        prompt_tokens=request.prompt_tokens,
        stream=request.stream,
        key=request.key,
        fingerprint=request.fingerprint,
    )


def request_of(transfer: RequestTransfer, deadline: float | None) -> Request:
    """Return the request that `transfer` carries, its deadline on this node's clock."""
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
    )
