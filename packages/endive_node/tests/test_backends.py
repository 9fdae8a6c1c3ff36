import gevent
import urllib3
from endive_node.backends import BackendClients
from endive_node.settings import BackendSection


class Pool:
    """A connection pool whose calls end as scripted."""

    def __init__(self, *script):
        self.script = list(script)

    def request(self, *_args, **_options):
        outcome = self.script.pop(0)
        if isinstance(outcome, Exception):
            raise outcome
        return outcome


def clients(*script):
    made = BackendClients.from_settings(BackendSection())
    made.pool = Pool(*script)
    return made


def refused():
    return urllib3.exceptions.NewConnectionError(None, "refused")


def reset():
    return urllib3.exceptions.ProtocolError("connection reset")


def test_server_that_is_still_closing_its_sockets_is_seen_as_crashed():
    """A process dies and its sockets close one after the other: the stream breaks, a
    kept connection is reset, and only then is the port refused. Taken for alive at
    the second, the server's crash is not counted against the request, which takes
    another server down."""
    assert not clients(reset(), reset(), refused()).is_listening("127.0.0.1:1")


def test_server_that_answers_or_hangs_did_not_crash():
    answer = urllib3.HTTPResponse(body=b"{}", status=200)
    assert clients(reset(), answer).is_listening("127.0.0.1:1")
    hangs = [urllib3.exceptions.ReadTimeoutError(None, "", "slow") for _ in range(9)]
    assert clients(*hangs).is_listening("127.0.0.1:1")


class Response:
    """A whole answer whose end takes `seconds` to come."""

    def __init__(self, seconds):
        self.seconds = seconds
        self.done = []

    def drain_conn(self):
        gevent.sleep(self.seconds)
        self.done.append("drained")

    def release_conn(self):
        self.done.append("released")

    def close(self):
        self.done.append("closed")


def given_back(response, *, finished=True):
    engine = clients().engine("127.0.0.1:1")
    engine.response = response
    engine._release_connection(finished)
    assert "released" not in response.done
    gevent.sleep(0.2)
    return response.done


def test_connection_is_drained_before_it_is_kept():
    """The end of an answer stayed unread on a kept connection, so that the next call
    dropped it: every call connected anew."""
    assert given_back(Response(0.0)) == ["drained", "released"]


def test_server_that_is_slow_to_end_an_answer_loses_its_connection():
    assert given_back(Response(5.0)) == ["closed"]
    assert given_back(Response(0.0), finished=False) == ["closed"]
