import pytest
from endive_gateway.exceptions import BadMessageError
from endive_gateway.http import RequestParser, end_to_end
from endive_gateway.response_parser import ResponseParser

HEAD = b"POST /a HTTP/1.1\r\nHost: x\r\n"


def feed(*pieces, max_header=1000, max_body=1000):
    parser = RequestParser(max_header, max_body)
    for piece in pieces:
        parser.feed(piece)
    return parser.messages


@pytest.mark.parametrize(
    "data",
    [
        HEAD + b"Content-Length: 2\r\nContent-Length: 2\r\n\r\nab",
        HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
        HEAD + b"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n0\r\n\r\n",
        HEAD + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        HEAD + b"Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
        HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        HEAD + b"Content-Length : 2\r\n\r\nab",
        HEAD + b"X: a\r\n b\r\n\r\n",
        HEAD + b"X: a\rb\r\n\r\n",
        HEAD + b"X: a\0b\r\n\r\n",
        HEAD + b"Content-Length: -1\r\n\r\n",
        HEAD + b"Content-Length: +2\r\n\r\nab",
        HEAD + b"Content-Length: 2, 2\r\n\r\nab",
        HEAD + b"Content-Length: 99999999999999999999999\r\n\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n0x2\r\nab\r\n0\r\n\r\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\nab\n0\n\n",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nabX0\r\n\r\n",
        HEAD + b"Host: y\r\n\r\n",
        b"GET /a HTTP/1.1\nHost: x\n\n",
        b"GET /a HTTP/1.1\r\n\r\n",
        b"GET http://x/a HTTP/1.1\r\nHost: x\r\n\r\n",
        b"OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n",
        b"CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n",
        b"GET /a b HTTP/1.1\r\nHost: x\r\n\r\n",
        b"GET /a HTTP/2.0\r\nHost: x\r\n\r\n",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc",
        HEAD + b"Upgrade: h2c\r\nConnection: Upgrade\r\nContent-Length: 2\r\n\r\nab",
    ],
)
def test_what_two_readers_may_understand_differently_is_refused(data):
    """Request smuggling: if this node and a server disagree where a request ends, the
    server takes the bytes between for another caller's request."""
    with pytest.raises(BadMessageError):
        feed(data)


def test_a_head_of_the_largest_size_is_accepted_however_many_lines_it_has():
    """A head within the limit was refused if its lines had no space after the colon."""
    head = HEAD + b"a:\r\n" * 200 + b"\r\n"
    (message,) = feed(head, max_header=len(head))
    assert message.complete
    with pytest.raises(BadMessageError):
        feed(head, max_header=len(HEAD) + 150 * len(b"a:\r\n"))


def test_pieces_make_the_same_message_wherever_they_are_cut():
    data = (
        HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + b"3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: x\r\n\r\n"
    )
    for cut in range(1, len(data)):
        (message,) = feed(data[:cut], data[cut:])
        assert b"".join(message.body) == b"abcde"
        assert message.complete
        assert (b"T", b"x") not in message.headers


def test_pipelined_requests_stay_apart():
    messages = feed(HEAD + b"Content-Length: 2\r\n\r\nab" + HEAD + b"\r\n")
    assert [b"".join(m.body) for m in messages] == [b"ab", b""]


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (HEAD + b"X: " + b"a" * 2000 + b"\r\n\r\n", 431),
        (HEAD + b"X: " + b"a" * 2000, 431),
        (HEAD + b"Content-Length: 1001\r\n\r\n", 413),
        (
            HEAD
            + b"Transfer-Encoding: chunked\r\n\r\n"
            + b"1f4\r\n"
            + b"a" * 500
            + b"\r\n1f5\r\n"
            + b"a" * 501
            + b"\r\n0\r\n\r\n",
            413,
        ),
    ],
)
def test_limits_have_their_own_status(data, status):
    with pytest.raises(BadMessageError) as caught:
        feed(data)
    assert caught.value.status == status


def test_requests_at_the_limits_pass():
    (message,) = feed(HEAD + b"Content-Length: 1000\r\n\r\n" + b"a" * 1000)
    assert len(b"".join(message.body)) == 1000


def test_a_change_of_protocol_is_answered_in_this_one():
    (message,) = feed(
        b"GET /a HTTP/1.1\r\nHost: x\r\nUpgrade: h2c\r\nConnection: Upgrade\r\n\r\n"
    )
    assert message.complete
    assert not message.keep_alive


def parse_response(*pieces):
    parser = ResponseParser()
    for piece in pieces:
        parser.feed(piece)
    return parser.messages


def test_an_answer_without_a_length_ends_with_its_connection():
    (message,) = parse_response(b"HTTP/1.1 200 OK\r\nA: b\r\n\r\nabc", b"def")
    assert message.ends_with_connection
    assert not message.complete
    assert message.take_body() == b"abcdef"


@pytest.mark.parametrize(
    "data",
    [
        b"junk\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
    ],
)
def test_an_ambiguous_answer_is_refused(data):
    with pytest.raises(BadMessageError):
        parse_response(data)


def test_headers_of_one_connection_go_no_further():
    headers = [
        (b"Connection", b"close, X-Hop, Id"),
        (b"X-Hop", b"1"),
        (b"Keep-Alive", b"timeout=5"),
        (b"Id", b"7"),
        (b"X-Kept", b"1"),
    ]
    assert end_to_end(headers, frozenset({b"id"})) == [(b"Id", b"7"), (b"X-Kept", b"1")]


def test_trailers_without_end_are_refused_after_as_many_as_headers():
    """Parsing 128 KB of short trailers held up the other requests for half a second."""
    parser = ResponseParser()
    parser.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n")
    parser.feed(b"A: b\r\n" * 256)
    with pytest.raises(BadMessageError):
        parser.feed(b"A: b\r\n" * 2)
