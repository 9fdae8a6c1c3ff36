import pytest
from endive_gateway.exceptions import BadHeaderError
from endive_gateway.header_values import MAX_PARTS
from endive_gateway.interfaces import ForwardingMetadata, RequestMetadata
from endive_platform.headers import decode_request, decode_response, encode_request


def headers(**values):
    pairs = {"Request_Id": "r1"} | values
    return [(n.replace("_", "-").encode(), v.encode()) for n, v in pairs.items()]


def test_all_headers_of_a_request_are_decoded():
    metadata = decode_request(
        headers(
            Deadline_Ms="1500",
            Authorization="Bearer k",
            Model="m",
            Token_Counts="1460,80",
            Prompt_Prefix="5c1e07a2:800,91bd3f06:410",
            Last_Event_Id="7",
            Resumes="r0",
            Expect_Version="4",
        )
    )
    assert metadata.id == "r1"
    assert metadata.budget_s == 1.5
    assert metadata.key == "k"
    assert (metadata.prompt_tokens, metadata.max_tokens) == (1460, 80)
    assert [(p.id, p.tokens) for p in metadata.parts] == [
        (0x5C1E07A2, 800),
        (0x91BD3F06, 410),
    ]
    assert metadata.shared_parts == (0x5C1E07A2,)
    assert metadata.last_event_id == "7"
    assert metadata.resumes == "r0"
    assert metadata.expects_version


@pytest.mark.parametrize(
    ("prefix", "expected"),
    [
        ("", ()),
        ("a:1", ()),
        ("a:1,b:2,c:3", (0xA, 0xB)),
        ("0A:5, 00b : 7 ,c:3", (0xA, 0xB)),
        ("a:1,b:2,a:9,c:3", (0xA, 0xB)),
        ("a:x,b,c:3,", (0xA, 0xB)),
        (",".join(["a:1"] * 5000), (0xA,)),
    ],
)
def test_the_shared_parts_of_a_prompt_have_one_key_in_all_spellings(prefix, expected):
    assert decode_request(headers(Prompt_Prefix=prefix)).shared_parts == expected


def test_parts_with_very_long_or_other_names_have_keys_of_64_bits():
    names = ("f" * 5000, "g-h", "-1")
    prefix = ",".join(f"{name}:1" for name in (*names, "1"))
    parts = decode_request(headers(Prompt_Prefix=prefix)).shared_parts
    assert len(parts) == 3 and all(0 <= part < 2**64 for part in parts)


@pytest.mark.parametrize(
    "bad",
    [
        {"Request_Id": ""},
        {"Deadline_Ms": "soon"},
        {"Deadline_Ms": "-1"},
        {"Deadline_Ms": "nan"},
        {"Deadline_Ms": "1e400"},
        {"Token_Counts": "12"},
        {"Token_Counts": "1,-2"},
        {"Token_Counts": "100000001,1"},
        {"Token_Counts": "1," + "9" * 400},
        {"Token_Counts": "9" * 5000 + ",1"},
    ],
)
def test_a_bad_header_is_refused(bad):
    with pytest.raises(BadHeaderError):
        decode_request(headers(**bad))


@pytest.mark.parametrize(
    "name",
    [b"Request-Id", b"authorization", b"DEADLINE-MS", b"Last-Event-Id", b"Resumes"],
)
def test_a_header_that_counts_may_come_once_only(name):
    """A request with two ids or two keys is rejected: the gateway could act on one of
    them and the server on the other."""
    twice = [*headers(), (name, b"5"), (name.lower(), b"6")]
    with pytest.raises(BadHeaderError):
        decode_request(twice)


@pytest.mark.parametrize(
    "prefix", ["x:y", "a:5,b:-5", "a:100000001", "a:" + "9" * 5000, "f" * 4000 + ":5"]
)
def test_an_invalid_prompt_list_is_ignored(prefix):
    """A negative length lets later parts end before earlier ones, and thousands of
    digits are no number for Python."""
    assert decode_request(headers(Prompt_Prefix=prefix)).parts == ()


def test_reserved_headers_are_removed_or_replaced():
    sent = dict(
        encode_request(
            headers(
                Tenant="other",
                Expect_Instance="i-9",
                Deadline_Ms="99999",
                Authorization="Bearer k",
                Hold="h",
                Pin_Ms="5",
                Kv_Backup="1.2.3.4:5",
                Kv_From="1.2.3.4:5/x",
                Kv_Fetch="1.2.3.4:5",
                Request_Priority="0",
                X_Own="kept",
            ),
            RequestMetadata("r1", prompt_tokens=5),
            ForwardingMetadata("i-1", "o", 0.25, server_priority=3),
        )
    )
    assert sent == {
        b"Request-Id": b"r1",
        b"X-Own": b"kept",
        b"Deadline-Ms": b"250",
        b"Expect-Instance": b"i-1",
        b"Tenant": b"o",
        b"Request-Priority": b"3",
    }


def test_a_resumed_stream_names_its_last_event_and_kv_source():
    forwarding = ForwardingMetadata(
        "i-1", "", 1.0, last_event_id="12", kv_source="1.2.3.4:5/h"
    )
    sent = dict(encode_request(headers(), RequestMetadata("r1"), forwarding))
    assert sent[b"Last-Event-Id"] == b"12"
    assert sent[b"Kv-From"] == b"1.2.3.4:5/h"
    assert b"Tenant" not in sent


def test_a_request_names_the_server_from_which_to_fetch():
    """Without the header the server would prefill what another one has."""
    forwarding = ForwardingMetadata("i-1", "", 1.0, fetch_source="1.2.3.4:5")
    sent = encode_request(
        headers(Kv_Fetch="9.9.9.9:9"), RequestMetadata("r1"), forwarding
    )
    assert [v for n, v in sent if n == b"Kv-Fetch"] == [b"1.2.3.4:5"]


def test_all_headers_of_a_response_are_decoded():
    metadata = decode_response(
        headers(Response_Seal="3e", Not_Run="1", Server_Load="3,1,8", Instance_Id="i-1")
    )
    assert metadata.request_id == "r1"
    assert metadata.signed
    assert metadata.not_run
    assert (metadata.running, metadata.waiting, metadata.slots) == (3, 1, 8)
    assert metadata.server_id == "i-1"


@pytest.mark.parametrize(
    "load",
    [
        "",
        "3",
        "3,1",
        "a,b,c",
        "-1,0,8",
        "-1,0,8,100",
        "3,1,1000001",
        "3,1," + "9" * 400,
        "9" * 5000 + ",1,8",
    ],
)
def test_an_invalid_load_is_none_and_kept_for_the_log(load):
    """A load of hundreds of digits fails computations with it, and one of thousands
    failed the response that stated it."""
    metadata = decode_response(headers(Server_Load=load))
    assert (metadata.running, metadata.waiting, metadata.slots) == (None, None, None)
    assert (metadata.slowdown, metadata.invalid_load) == (None, load[:40])


@pytest.mark.parametrize("load", ["3,1,8", "0" * 5000 + "3,01,008"])
def test_zeros_may_precede_the_figures_of_a_load(load):
    """A bound on the digits must not reject a small figure that is written long."""
    metadata = decode_response(headers(Server_Load=load))
    assert (metadata.running, metadata.waiting, metadata.slots) == (3, 1, 8)


@pytest.mark.parametrize(
    ("load", "slowdown"),
    [("3,1,8", None), ("3,1,8,100", 1.0), ("3, 1, 8, 250", 2.5), ("3,1,8,40.5", 0.405)],
)
def test_a_load_of_three_or_four_figures_is_decoded(load, slowdown):
    metadata = decode_response(headers(Server_Load=load))
    assert (metadata.running, metadata.waiting, metadata.slots) == (3, 1, 8)
    assert (metadata.slowdown, metadata.invalid_load) == (slowdown, "")


@pytest.mark.parametrize(
    "rest", ["", "0", "-1", "nan", "inf", "slow", "1" * 99, "10001", "100,7"]
)
def test_an_invalid_fourth_figure_leaves_the_other_three(rest):
    """Guards against a server whose load counts as unknown for one bad figure."""
    metadata = decode_response(headers(Server_Load=f"3,1,8,{rest}"))
    assert (metadata.running, metadata.waiting, metadata.slots) == (3, 1, 8)
    assert metadata.slowdown is None
    assert metadata.invalid_load == f"3,1,8,{rest}"[:40]


@pytest.mark.parametrize(("value", "limit"), [("1", 1.0), (" 0.5 ", 0.5), ("0", 0.0)])
def test_a_servers_limit_is_decoded(value, limit):
    assert decode_response(headers(Server_Limit=value)).request_limit == limit


@pytest.mark.parametrize(("value", "number"), [("5", 5.0), (" 0.5 ", 0.5), ("0", 0.0)])
def test_what_a_brittle_server_tolerates_is_decoded(value, number):
    metadata = decode_response(headers(Server_Brittle=value))
    assert metadata.brittle_rejections == number


@pytest.mark.parametrize("value", ["", "very", "-1", "nan", "inf", "x" * 99])
def test_an_invalid_brittleness_is_none_and_kept_for_the_log(value):
    metadata = decode_response(headers(Server_Brittle=value))
    assert metadata.brittle_rejections is None
    assert metadata.invalid_brittleness == value[:40]


@pytest.mark.parametrize("value", ["", "soon", "-1", "nan", "inf", "1e999", "x" * 99])
def test_an_invalid_limit_is_none_and_kept_for_the_log(value):
    metadata = decode_response(headers(Server_Limit=value))
    assert metadata.request_limit is None
    assert metadata.invalid_limit == value[:40]


@pytest.mark.parametrize(
    ("value", "rest_s"), [("3", 3.0), (" 0.25 ", 0.25), ("0", 0.0), ("86400", 86400.0)]
)
def test_the_rest_that_a_server_asks_for_is_decoded(value, rest_s):
    assert decode_response(headers(Retry_After=value)).rest_s == rest_s


@pytest.mark.parametrize(
    "value",
    [
        "",
        "soon",
        "-1",
        "nan",
        "inf",
        "86401",
        "Fri, 04 Dec 2026 03:00:00 GMT",
        "9" * 99,
    ],
)
def test_an_invalid_rest_is_none_and_kept_for_the_log(value):
    metadata = decode_response(headers(Retry_After=value))
    assert metadata.rest_s is None
    assert metadata.invalid_rest == value[:40]


@pytest.mark.parametrize(
    ("value", "leaving"), [("1", True), (" 1 ", True), ("0", False)]
)
def test_a_servers_word_that_it_leaves_is_decoded(value, leaving):
    metadata = decode_response(headers(Server_Leaving=value))
    assert (metadata.leaving, metadata.invalid_leaving) == (leaving, "")


@pytest.mark.parametrize("value", ["yes", "2", "-1", "x" * 99])
def test_an_invalid_word_of_leaving_is_kept_for_the_log(value):
    metadata = decode_response(headers(Server_Leaving=value))
    assert (metadata.leaving, metadata.invalid_leaving) == (False, value[:40])


def test_parts_beyond_the_first_ones_do_not_count():
    """A list of thousands of parts took many times its bytes while its request ran."""
    prefix = b",".join(b"%x:1" % number for number in range(2_000))
    found = decode_request(headers(Prompt_Prefix=prefix.decode()))
    assert [part.id for part in found.parts] == list(range(MAX_PARTS))
    assert len(found.shared_parts) < MAX_PARTS
