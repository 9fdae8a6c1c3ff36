import pytest
from endive_core.claims import ClaimState
from endive_core.exceptions import EndiveError, ErrorKind, Executed, RetryReason
from endive_node.interfaces import BackendError
from node_builders import FakeEngines, not_started, request, serving

ALL_TOKENS = ["t0 ", "t1 ", "t2 ", "t3 "]


def all_tokens(run):
    """Return all tokens of a response."""
    return [token for batch in run.read() for token in batch]


def error_of(run):
    with pytest.raises(EndiveError) as caught:
        all_tokens(run)
    return caught.value


def test_response_continues_at_another_server_with_the_tokens_so_far():
    """A server dies in the middle of a response. The caller sees no gap and no token
    twice, and the second server is sent the tokens of the first one."""
    engines = FakeEngines(2, None)
    path = serving(engines)
    assert all_tokens(path.accept(request(path))) == ALL_TOKENS
    (first, _, _), (second, attempt, tokens) = engines.sent
    assert first != second
    assert (attempt, tokens) == (1, ["t0 ", "t1 "])


def test_attempt_that_did_not_start_is_sent_elsewhere_even_if_non_idempotent():
    """No connection could be made, so nothing can have run; a non-idempotent request
    may be sent to the next server."""
    path = serving(FakeEngines(not_started(), None))
    run = path.accept(request(path, key="k", non_idempotent=True))
    assert all_tokens(run) == ALL_TOKENS


def test_non_idempotent_attempt_that_was_lost_is_not_sent_again():
    """The server died after it was sent a non-idempotent request. Whether it ran is
    not known: the caller is told so, and no other server is sent the request."""
    engines = FakeEngines(0, None)
    path = serving(engines)
    error = error_of(path.accept(request(path, key="k", non_idempotent=True)))
    assert error.kind is ErrorKind.OUTCOME_UNKNOWN
    assert len(engines.sent) == 1


def test_no_server_left_after_a_lost_attempt_is_not_reported_as_not_run():
    """One server dies while it runs a request and there is no other. If the caller
    were told "not run", it would wrongly conclude that nothing was executed."""
    path = serving(FakeEngines(0), servers=1)
    error = error_of(path.accept(request(path)))
    assert error.executed is Executed.UNKNOWN


def test_all_servers_refusing_before_start_is_reported_as_not_run():
    path = serving(FakeEngines(not_started(), not_started()), servers=2)
    error = error_of(path.accept(request(path)))
    assert (error.kind, error.executed) == (ErrorKind.NO_SERVER, Executed.NO)


def test_same_key_joins_the_running_response_and_another_body_is_refused():
    engines = FakeEngines(None)
    path = serving(engines)
    first = path.accept(request(path, key="k"))
    reader = first.read()
    assert next(reader) == ["t0 "]
    assert path.accept(request(path, key="k")) is first
    assert all_tokens(first) == ALL_TOKENS
    assert len(engines.sent) == 1
    other = request(path, key="k")
    other.prompt = "another"
    with pytest.raises(EndiveError) as caught:
        path.accept(other)
    assert caught.value.kind is ErrorKind.KEY_REUSED


def test_request_that_was_not_run_may_be_sent_again_with_its_key():
    path = serving(FakeEngines(not_started(), None), servers=1)
    assert error_of(path.accept(request(path, key="k"))).executed is Executed.NO
    assert all_tokens(path.accept(request(path, key="k"))) == ALL_TOKENS


def test_request_that_its_server_rejects_is_reported_as_not_run_and_sent_nowhere_else():
    """An engine responds with 400 before it starts. Another one would do the same, and
    the caller may correct the request and send it again with its key."""
    rejected = BackendError(
        "the server responded with status 400",
        started=False,
        reason=RetryReason.SERVER_FAILED,
        final_status=400,
    )
    engines = FakeEngines(rejected, None)
    path = serving(engines)
    run = path.accept(request(path, key="k", non_idempotent=True))
    error = error_of(run)
    assert (error.kind, error.executed) == (ErrorKind.BACKEND_REJECTED, Executed.NO)
    assert len(engines.sent) == 1
    assert run.claim.state is ClaimState.HELD
