import gevent
import pytest
from endive_standins.plain import Plain


def test_call_is_echoed_and_counted(call):
    plain = Plain.from_config(id="p1")
    call(plain, "GET", "/")
    _, echo = call(plain, "PUT", "/courts/7", {"at": 9}, HTTP_X_REQUEST_ID="r1")
    assert echo == {
        "server": "p1",
        "method": "PUT",
        "path": "/courts/7",
        "body": '{"at": 9}',
        "request_id": "r1",
        "count": 2,
    }


def test_executions_exclude_refused_requests(call):
    plain = Plain.from_config()
    call(plain, "POST", "/faults", {"reject_next": 1})
    status, body = call(plain, "POST", "/book", HTTP_X_REQUEST_ID="r1")
    assert (status, body) == (503, {"error": {"code": "busy", "executed": "no"}})
    call(plain, "POST", "/book", HTTP_X_REQUEST_ID="r1")
    assert call(plain, "GET", "/stats")[1] == {"executions": {"r1": 1}}


def test_request_with_a_lost_response_counts_as_executed(call):
    plain = Plain.from_config()
    call(plain, "POST", "/faults", {"lose_answers": 1})
    with pytest.raises(BrokenPipeError):
        call(plain, "POST", "/book", HTTP_X_REQUEST_ID="r1")
    assert plain.executions == {"r1": 1}


def test_load_is_reported_after_the_delay(call):
    plain = Plain.from_config(service_s=0.2, report_lag_s=0.1)
    gevent.spawn(call, plain, "POST", "/book")
    gevent.sleep(0.05)
    assert call(plain, "GET", "/load")[1]["running"] == 0
    gevent.sleep(0.1)
    assert call(plain, "GET", "/load")[1]["running"] == 1
