"""Builders for tests of a node's parts, with fakes for what is outside the node."""

from endive_core.catalogue import Catalogue
from endive_core.claims import Claimant, ClaimOutcome, ClaimVerdict
from endive_core.exceptions import RetryReason
from endive_core.messages import Endpoint, Piece, Request
from endive_core.records import Claim
from endive_core.resources import BackendServerService, Deployment
from endive_node.dispatching import Dispatcher
from endive_node.interfaces import BackendError
from endive_node.serving import Serving
from endive_node.settings import LimitsSection
from endive_node.telemetry import Metrics


class FakeClock:
    """A clock that changes only when a test sets its time."""

    def __init__(self):
        self.time = 1000.0

    def now(self):
        return self.time


class FakeEngines:
    """Backend clients whose engines follow a script, one entry for each attempt.

    An entry is the number of tokens to generate before the connection is lost, a
    BackendError to raise at once, or ``None`` for a complete answer.
    """

    def __init__(self, *script):
        self.script = list(script)
        self.sent = []

    def engine(self, address):
        self.address = address
        return self

    def run(self, request, attempt, tokens, *, priority=0):
        entry = self.script.pop(0)
        self.sent.append((self.address, attempt, list(tokens)))
        if isinstance(entry, BackendError):
            raise entry
        return self.pieces(request, attempt, len(tokens), entry)

    def pieces(self, request, attempt, start, entry):
        stop = request.max_tokens if entry is None else start + entry
        for index in range(start, stop):
            last = index == request.max_tokens - 1
            yield [
                Piece(
                    request.request_id,
                    attempt,
                    index,
                    f"t{index} ",
                    "length" if last else "",
                )
            ]
        if entry is not None:
            raise BackendError(
                "connection lost", started=True, reason=RetryReason.SERVER_FAILED
            )


class AlwaysWonClaims:
    """Claims that are always granted."""

    def check_age(self, request):
        pass

    def acquire(self, request, continues=0):
        claimant = Claimant(Claim("c", request.key, "node-1", request.request_id))
        claimant.settle(ClaimOutcome("c", ClaimVerdict.WON))
        return claimant

    def withdraw(self, claimant):
        pass


def not_started():
    """Return the error of an attempt whose connection failed."""
    return BackendError(
        "connection refused", started=False, reason=RetryReason.CONNECT_FAILED
    )


def catalogue(servers=3):
    """Return a catalogue with one deployment over `servers` engines."""
    listed = [
        {"id": f"engine-{i}", "address": f"127.0.0.1:{9000 + i}", "zone": "brest"}
        for i in range(servers)
    ]
    result = Catalogue()
    result.services["engines"] = BackendServerService(servers=listed)
    result.deployments["chat"] = Deployment(model="chat", service="engines")
    result.by_model["chat"] = "chat"
    return result


def serving(engines, *, claims=None, servers=3, **limits):
    """Return the request path of a node with fake engines."""
    test_catalogue = catalogue(servers)
    clock, metrics = FakeClock(), Metrics()
    settings = LimitsSection(**limits)
    dispatcher = Dispatcher(
        test_catalogue, clock, metrics, seed=1, max_attempts=settings.max_attempts
    )
    dispatcher.refresh()
    return Serving(
        node_id="node-1",
        catalogue=test_catalogue,
        dispatcher=dispatcher,
        clients=engines,
        limits=settings,
        metrics=metrics,
        clock=clock,
        claims=claims or AlwaysWonClaims(),
    )


def request(serving, *, max_tokens=4, **fields):
    """Return a completion request."""
    return Request(
        request_id=serving.new_request_id(),
        organisation="kerloch",
        priority="default",
        model="chat",
        endpoint=Endpoint.COMPLETIONS,
        body={"model": "chat", "prompt": "x"},
        prompt="x",
        max_tokens=max_tokens,
        **fields,
    )
