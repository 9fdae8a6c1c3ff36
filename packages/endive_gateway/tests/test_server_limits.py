import gevent
from gateway_builders import RunningGateway
from server_builders import ScriptedServer, answer, ok


def test_a_server_that_names_a_limit_gets_no_more_requests():
    """It got as many as all others, though it had asked for one a second."""
    limited = answer(extra="Limit: 1\r\n")
    first = ScriptedServer(*[limited] * 100, server_id="i-1")
    second = ScriptedServer(*[ok] * 100, server_id="i-2")
    with RunningGateway(first, second) as running:
        statuses = []
        for _ in range(60):
            statuses.append(running.call().status)
            gevent.sleep(0.01)
        assert statuses == [200] * 60
        assert len(first.received) <= 1.5 * 4 + 5
