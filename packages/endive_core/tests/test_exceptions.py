from endive_core.exceptions import (
    ERROR_RESPONSES,
    REFUSAL_KINDS,
    EndiveError,
    ErrorKind,
)


def test_every_kind_has_a_response():
    assert set(ERROR_RESPONSES) == set(ErrorKind)


def test_body_names_code_and_whether_it_ran():
    error = EndiveError(ErrorKind.OVERLOADED, "try later", retry_after_s=2.5)
    body = error.to_body("r-1")["error"]
    assert body["code"] == "overloaded"
    assert body["executed"] == "no"
    assert body["request_id"] == "r-1"
    assert body["retry_after_s"] == 2.5


def test_refusals_are_error_statuses():
    assert all(ERROR_RESPONSES[kind].status >= 400 for kind in REFUSAL_KINDS)
