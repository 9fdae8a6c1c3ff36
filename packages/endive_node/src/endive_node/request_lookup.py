"""Lookup of the node that holds a request, and relay of its response."""

from collections.abc import Iterator

import gevent
import msgspec
from endive_core.exceptions import EndiveError, ErrorKind, Executed
from endive_core.handover import (
    LOOKUP_CANDIDATES,
    RequestHead,
    handover_targets,
    origin_in,
    route_in,
    route_of,
)

from endive_node.backends import PlainResponse
from endive_node.interfaces import Clock, Members
from endive_node.notices import NoticeTable
from endive_node.peers import IDL, PeerClient, PeerConnection, PeerUnavailableError
from endive_node.request_registry import RequestRecord, read_tokens

LOOKUP_TIMEOUT_S = 0.5
"""Seconds. A lookup queries nodes that may be dead; a live one responds in
milliseconds."""

MORE_LOOKUP_CANDIDATES = 8
"""Nodes queried when the first candidates do not know the request: after all nodes of a
zone have been replaced, more than two new ones may precede the holder in the order."""

PAGE_WAIT_S = 1.0
HOLDER_SEARCH_TIMEOUT_S = 4.0
"""Seconds for which a new holder is searched after the known one stopped responding;
a reclaim notice lasts a few seconds."""

HOLDER_SEARCH_PAUSE_S = 0.1


class Locator:
    """Finds requests that other nodes hold, by id or by idempotency key.

    It serves callers that resume a response at a node that did not accept the request.
    """

    def __init__(
        self, node_id: str, members: Members, notices: NoticeTable, clock: Clock
    ) -> None:
        self.node_id = node_id
        self.members = members
        self.notices = notices
        self.clock = clock

    def find_id(self, organisation: str, request_id: str) -> "RemoteRun | None":
        """Return the run of `request_id` at another node, or ``None``."""
        return self._find(Lookup(organisation, request_id, route_in(request_id)))

    def find_key(self, organisation: str, key: str) -> "RemoteRun | None":
        """Return the run that was started with `key`, if it may have moved.

        Nodes are queried only after a recent reclaim notice: otherwise each request
        with a key would cost a round trip to three nodes.
        """
        if not self.notices.has_recent():
            return None
        route = route_of(organisation, key, "")
        return self._find(Lookup(organisation, "", route, key))

    def _find(self, lookup: "Lookup") -> "RemoteRun | None":
        found = self.find_holder(lookup)
        return None if found is None else RemoteRun(self, lookup, *found)

    def find_holder(self, lookup: "Lookup"):
        """Return (address, first page) of the node that holds the request, or ``None``.

        All candidates are queried at once, since a dead one costs a time-out.
        """
        order = self._candidates(lookup)
        for addresses in (
            order[: LOOKUP_CANDIDATES + 1],
            order[LOOKUP_CANDIDATES + 1 :],
        ):
            found = self._query_all(addresses[:MORE_LOOKUP_CANDIDATES], lookup)
            if found is not None:
                return found
        return None

    def _candidates(self, lookup: "Lookup") -> list[str]:
        live = self.members.live()
        own = frozenset({self.node_id})
        order = handover_targets(
            lookup.route,
            live,
            zones_under_notice=self.notices.zones(),
            without=own,
        )
        origin = origin_in(lookup.request_id)
        # Even if it is leaving: it still holds the response, or knows who does.
        known = None if origin == self.node_id else self.members.get(origin)
        first = [] if known is None else [known]
        addresses = [member.peer_address for member in first + order]
        return list(dict.fromkeys(addresses))

    def _query_all(self, addresses: list[str], lookup: "Lookup"):
        jobs = [gevent.spawn(self._query, address, lookup) for address in addresses]
        for job in gevent.iwait(jobs):
            if job.value is not None:
                gevent.killall(jobs, block=False)
                return job.value
        return None

    def _query(self, address: str, lookup: "Lookup"):
        queried = set()
        while address and address not in queried:
            queried.add(address)
            client = PeerClient(address, LOOKUP_TIMEOUT_S)
            try:
                page = client.call("read_answer", *lookup.arguments(0, 0.0))
            except (PeerUnavailableError, IDL.PeerError):
                return None
            if page.known and not page.moved_to:
                return address, page
            address = page.moved_to
        return None


class Lookup:
    """Keys by which a request is looked up."""

    def __init__(
        self, organisation: str, request_id: str, route: str, key: str = ""
    ) -> None:
        self.organisation = organisation
        self.request_id = request_id
        self.route = route
        self.key = key

    def arguments(self, start: int, wait_s: float) -> tuple:
        """Return the arguments of ``read_answer``; it waits up to `wait_s` seconds."""
        return (self.organisation, self.request_id, self.key, start, wait_s)


class RemoteRun:
    """A request that another node drives; read like a run of this node.

    Attributes
    ----------
    record : RequestRecord
        Copy of the response so far; its ``request`` holds only the request's metadata.
    """

    moved = False

    def __init__(self, locator: Locator, lookup: Lookup, address: str, page) -> None:
        self.locator = locator
        self.lookup = lookup
        self.address = address
        self.connection: PeerConnection | None = None
        head = msgspec.msgpack.decode(page.head, type=RequestHead)
        lookup.request_id = head.request_id
        lookup.route = route_in(head.request_id)
        self.record = RequestRecord(head, locator.clock.now())
        self._append_page(page)

    @property
    def not_run(self) -> bool:
        """Whether the request ended without any server having run it."""
        error = self.record.error
        return error is not None and error.executed is Executed.NO

    def read(self, start: int = 0) -> Iterator[list[str]]:
        """Yield the response's tokens from index `start` as they arrive.

        Raises
        ------
        EndiveError
            If the response ends in an error, or no node holds it any more.
        """
        try:
            yield from read_tokens(self.record, start, self._read_next_page)
        finally:
            self._close_connection()

    def _read_next_page(self) -> None:
        """Append the next page from the holder, or search for a new holder."""
        arguments = self.lookup.arguments(len(self.record.tokens), PAGE_WAIT_S)
        try:
            self.connection = self.connection or PeerConnection(self.address)
            page = self.connection.call("read_answer", *arguments)
        except (PeerUnavailableError, IDL.PeerError):
            page = None
        if page is not None and page.known and not page.moved_to:
            self._append_page(page)
            return
        self._close_connection()
        self._find_new_holder()

    def _close_connection(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def _find_new_holder(self) -> None:
        """Search for a new holder, as the known one was reclaimed or has died."""
        deadline = self.locator.clock.now() + HOLDER_SEARCH_TIMEOUT_S
        while (found := self.locator.find_holder(self.lookup)) is None:
            if self.locator.clock.now() > deadline:
                raise EndiveError(
                    ErrorKind.UNKNOWN_REQUEST,
                    "the node that held the request is lost; send the request again",
                )
            gevent.sleep(HOLDER_SEARCH_PAUSE_S)
        self.address = found[0]

    def _append_page(self, page) -> None:
        record = self.record
        record.tokens += page.tokens
        record.finish_reason = page.finish_reason
        if page.status:
            record.plain_response = PlainResponse(
                page.status, page.content_type, page.body
            )
        if page.error_kind:
            record.error = EndiveError(ErrorKind(page.error_kind), page.error_message)


def answer_page(run, start: int, moved_to: str = ""):
    """Return a run's response from index `start` on, as an ``IDL.AnswerPage``."""
    record = run.record
    response, error = record.plain_response, record.error
    head = b"" if start else msgspec.msgpack.encode(run.head())
    return IDL.AnswerPage(
        known=True,
        moved_to=moved_to,
        head=head,
        tokens=record.tokens[start:],
        finish_reason=record.finish_reason,
        error_kind=str(error.kind) if error else "",
        error_message=error.message if error else "",
        status=response.status if response else 0,
        content_type=response.content_type if response else "",
        body=response.body if response else b"",
    )
