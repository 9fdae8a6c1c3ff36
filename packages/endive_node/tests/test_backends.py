import io

import gevent
import urllib3
from endive_node.backends import BackendClients
from endive_node.settings import BackendSection


class Pool:
    """A connection pool whose requests end as scripted."""

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


def test_server_that_is_still_closing_its_sockets_counts_as_crashed():
    """A dying process closes its sockets one after the other: the stream breaks, a
    pooled connection is reset, and only then is the port refused. If the server counts
    as alive after the reset, its crash is not counted against the request, which then
    crashes another server."""
    assert not clients(reset(), reset(), refused()).is_listening("127.0.0.1:1")


def test_server_that_responds_or_hangs_did_not_crash():
    response = urllib3.HTTPResponse(io.BytesIO(b"{}"), preload_content=False)
    assert clients(reset(), response).is_listening("127.0.0.1:1")
    hangs = [urllib3.exceptions.ReadTimeoutError(None, "", "slow") for _ in range(9)]
    assert clients(*hangs).is_listening("127.0.0.1:1")


class Response:
    """A complete response whose end arrives after `seconds`."""

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


def release_events(response, *, finished=True):
    engine = clients().engine("127.0.0.1:1")
    engine.response = response
    engine._release_connection(finished)
    assert "released" not in response.done
    gevent.sleep(0.2)
    return response.done


def test_connection_is_drained_before_it_is_pooled():
    """If the end of a response stays unread on a pooled connection, the next request
    drops the connection, and every request opens a new one."""
    assert release_events(Response(0.0)) == ["drained", "released"]


def test_connection_of_a_server_that_is_slow_to_end_a_response_is_closed():
    assert release_events(Response(5.0)) == ["closed"]
    assert release_events(Response(0.0), finished=False) == ["closed"]
