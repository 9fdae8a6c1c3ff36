import http.client
import time

import gevent
import pytest
from endive_standins.batching import completion_token
from endive_standins.engine import Engine

FAST = {"decode_tokens_per_s": 1e6, "prefill_tokens_per_s": 1e9}
COMPLETIONS = "/v1/completions"
CHAT = "/v1/chat/completions"
CALL = {"request_id": "r1", "prompt": "hello", "max_tokens": 6}


@pytest.fixture
def build():
    """Return a function that builds engines and starts their schedulers."""
    engines = []

    def start(**settings):
        engines.append(Engine.from_config(**{**FAST, **settings}))
        engines[-1].start()
        return engines[-1]

    yield start
    for engine in engines:
        engine.stop()


def tokens(prompt, *indexes):
    return [completion_token(prompt, index) for index in indexes]


def texts(events):
    return [event["choices"][0]["text"] for event in events]


def test_complete_response_has_the_usual_fields(call, build):
    _, body = call(build(), "POST", COMPLETIONS, {**CALL, "model": "quotes"})
    assert (body["object"], body["model"]) == ("text_completion", "quotes")
    text = "".join(tokens("hello", *range(6)))
    choice = {"index": 0, "text": text, "finish_reason": "length"}
    assert body["choices"] == [choice]
    counts = {"prompt_tokens": 2, "completion_tokens": 6, "cached_tokens": 0}
    assert body["usage"] == {**counts, "total_tokens": 8}


def test_chat_is_a_prompt_of_joined_messages(call, build):
    messages = [{"role": "system", "content": "a"}, {"role": "user", "content": "b"}]
    _, body = call(build(), "POST", CHAT, {"messages": messages, "max_tokens": 1})
    message = {"role": "assistant", "content": completion_token("a\nb", 0)}
    assert body["choices"][0]["message"] == message


def test_stream_has_the_documented_format(call, build):
    body = {**CALL, "max_tokens": 2, "attempt": 3, "stream": True}
    _, text = call(build(), "POST", COMPLETIONS, body)
    first, second = tokens("hello", 0, 1)
    head = 'data: {"id": "r1", "attempt": 3, "index": %d, "choices": [{"index": 0, '
    usage = '{"prompt_tokens": 2, "completion_tokens": 2, "cached_tokens": 0}'
    assert text == (
        f'{head % 0}"text": "{first}", "finish_reason": null}}]}}\n\n'
        f'{head % 1}"text": "{second}", "finish_reason": "length"}}], '
        f'"usage": {usage}}}\n\n'
        "data: [DONE]\n\n"
    )


def test_resumed_stream_continues_after_the_given_tokens(stream, build):
    resume = {"tokens": tokens("hello", 0, 1)}
    events = stream(build(), COMPLETIONS, {**CALL, "resume": resume})
    assert [event["index"] for event in events] == [2, 3, 4, 5]
    assert texts(events) == tokens("hello", 2, 3, 4, 5)


def test_resume_of_a_finished_completion_ends_at_once(stream, build):
    resume = {"tokens": tokens("hello", *range(6))}
    (event,) = stream(build(), CHAT, {"max_tokens": 6, "resume": resume})
    choice = {"index": 0, "delta": {"content": ""}, "finish_reason": "length"}
    assert event["choices"] == [choice]


def test_completion_takes_the_time_of_its_decode_rate(call, build):
    engine = build(decode_tokens_per_s=100)
    start = time.monotonic()
    _, body = call(engine, "POST", COMPLETIONS, {**CALL, "max_tokens": 21})
    assert 0.19 < time.monotonic() - start < 1
    assert body["usage"]["completion_tokens"] == 21


def test_full_engine_refuses_without_executing(call, build):
    engine = build(max_batch=1, max_waiting=0, decode_tokens_per_s=1)
    gevent.spawn(call, engine, "POST", COMPLETIONS, CALL)
    gevent.sleep(0.05)
    status, body = call(engine, "POST", COMPLETIONS, {**CALL, "request_id": "r2"})
    assert (status, body) == (503, {"error": {"code": "busy", "executed": "no"}})
    assert call(engine, "GET", "/stats")[1]["executions"] == {"r1": 1}


def test_cancelled_request_stops_and_returns_its_tokens(call, stream, build):
    engine = build(decode_tokens_per_s=50)
    caller = gevent.spawn(stream, engine, COMPLETIONS, {**CALL, "max_tokens": 999})
    gevent.sleep(0.1)
    _, first = call(engine, "POST", "/cancel", {"request_id": "r1"})
    gevent.sleep(0.1)
    _, again = call(engine, "POST", "/cancel", {"request_id": "r1"})
    assert first == again
    assert first["stopped"]
    assert first["tokens"] == tokens("hello", *range(len(first["tokens"])))
    assert caller.get()[-1]["choices"][0]["finish_reason"] == "cancelled"


def test_cancel_of_an_unknown_request_says_so(call, build):
    answer = call(build(), "POST", "/cancel", {"request_id": "r9"})
    assert answer == (200, {"stopped": False, "known": False})


def test_exported_sequence_continues_on_another_engine_without_prefill(call, build):
    source, target = build(decode_tokens_per_s=100), build()
    gevent.spawn(call, source, "POST", COMPLETIONS, {**CALL, "max_tokens": 99})
    gevent.sleep(0.1)
    _, export = call(source, "POST", "/kv/export", {"request_id": "r1"})
    _, imported = call(target, "POST", "/kv/import", {"blob": export["blob"]})
    moved = {**CALL, "max_tokens": 99, "attempt": 1, **imported}
    moved["resume"] = {"tokens": export["tokens"]}
    _, body = call(target, "POST", COMPLETIONS, moved)
    assert body["choices"][0]["text"] == "".join(tokens("hello", *range(99)))
    stats = call(target, "GET", "/stats")[1]
    made_here = 99 - len(export["tokens"])
    assert stats["computed_tokens"] == stats["decoded_tokens"] == made_here
    assert stats["recomputed_tokens"] == 0


def test_load_is_reported_late(call, build):
    engine = build(decode_tokens_per_s=0.2, report_lag_s=1.0)
    started = time.monotonic()
    gevent.spawn(call, engine, "POST", COMPLETIONS, CALL)
    gevent.sleep(0.05)
    assert call(engine, "GET", "/load")[1]["running"] == 0
    with gevent.Timeout(20):
        while (load := call(engine, "GET", "/load")[1])["running"] == 0:
            gevent.sleep(0.02)
    assert time.monotonic() - started >= 1.0
    assert (load["running"], load["waiting"], load["capacity"]) == (1, 0, 16)


def test_cache_events_name_the_stored_blocks(call, build):
    engine = build(block_tokens=1)
    call(engine, "POST", COMPLETIONS, {**CALL, "max_tokens": 1})
    _, view = call(engine, "GET", "/cache/events?from=0")
    blocks = [block for event in view["events"] for block in event["blocks"]]
    assert blocks == list(reversed(engine.cache.blocks))
    assert len(blocks) == 3


@pytest.mark.parametrize(
    ("checks_fencing", "status", "version"), [(True, 409, "new"), (False, 200, "old")]
)
def test_order_with_an_old_fencing_token(call, build, checks_fencing, status, version):
    """A process pauses, loses its lease meanwhile, and then sends its order."""
    engine = build(checks_fencing=checks_fencing)
    new = {"order_id": "o2", "fence": 2, "desired": {"version": "new"}}
    old = {"order_id": "o1", "fence": 1, "desired": {"version": "old"}}
    assert call(engine, "POST", "/orders", new) == (200, {"applied": True})
    assert call(engine, "POST", "/orders", old)[0] == status
    assert call(engine, "GET", "/state")[1]["desired"]["version"] == version


def test_prompt_that_matches_the_crash_fault_ends_the_server(call, serve, over_socket):
    """A request crashes every server that runs it, and other responses are lost."""
    engine = Engine.from_config(**FAST)
    port = serve(engine).port
    call(engine, "POST", "/faults", {"crash_on": "ell"})
    assert over_socket(port, "POST", COMPLETIONS, {"prompt": "fine"})[0] == 200
    with pytest.raises(http.client.RemoteDisconnected):
        over_socket(port, "POST", COMPLETIONS, CALL)
    with pytest.raises(ConnectionRefusedError):
        over_socket(port, "GET", "/load")


def test_dropped_stream_is_cut_off(call, serve, over_socket):
    engine = Engine.from_config(**FAST)
    port = serve(engine).port
    call(engine, "POST", "/faults", {"drop_after": 2})
    streamed = {**CALL, "stream": True}
    with pytest.raises(http.client.IncompleteRead) as caught:
        over_socket(port, "POST", COMPLETIONS, streamed)
    assert caught.value.partial.count(b"data: ") == 2
    _, text = over_socket(port, "POST", COMPLETIONS, streamed)
    assert text.endswith(b"data: [DONE]\n\n")


def test_sequence_of_a_disconnected_client_is_cancelled(serve):
    engine = Engine.from_config(decode_tokens_per_s=20)
    port = serve(engine).port
    body = b'{"prompt": "hello", "max_tokens": 999}'
    client = gevent.socket.create_connection(("127.0.0.1", port))
    head = f"POST {COMPLETIONS} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}"
    client.sendall(head.encode() + b"\r\n\r\n" + body)
    with gevent.Timeout(5):
        while not engine.batch.running:
            gevent.sleep(0.01)
        client.close()
        while engine.batch.running:
            gevent.sleep(0.01)


def test_frozen_engine_generates_no_token_until_the_freeze_ends(call, build):
    engine = build(decode_tokens_per_s=100)
    caller = gevent.spawn(call, engine, "POST", COMPLETIONS, {**CALL, "max_tokens": 31})
    gevent.sleep(0.1)
    call(engine, "POST", "/faults", {"freeze_s": 0.3})
    made = engine.batch.counts.decoded_tokens
    gevent.sleep(0.2)
    assert engine.batch.counts.decoded_tokens - made <= 1
    assert caller.get()[1]["usage"]["completion_tokens"] == 31


def test_slow_engine_takes_longer(call, build):
    engine = build(decode_tokens_per_s=100)
    call(engine, "POST", "/faults", {"slow_factor": 3})
    start = time.monotonic()
    call(engine, "POST", COMPLETIONS, {**CALL, "max_tokens": 11})
    assert time.monotonic() - start > 0.28


@pytest.mark.parametrize(
    ("garble", "indexes"),
    [
        ({"repeat": 3}, [0, 1, 2, 2, 3, 4, 5, 5]),
        ({"reorder": 3}, [0, 1, 3, 2, 4, 5]),
        ({"foreign": 3}, [0, 1, 2, 2, 3, 4, 5, 5]),
    ],
)
def test_stream_faults(call, stream, build, garble, indexes):
    """Events arrive twice, out of order, or from another request."""
    engine = build()
    call(engine, "POST", "/faults", {"garble": garble})
    events = stream(engine, COMPLETIONS, CALL)
    assert [event["index"] for event in events] == indexes
    own = {event["index"]: event for event in events if event["id"] == "r1"}
    assert texts([own[index] for index in range(6)]) == tokens("hello", *range(6))
    strangers = [event for event in events if event["id"] != "r1"]
    assert len(strangers) == (2 if "foreign" in garble else 0)
    assert not set(texts(strangers)) & set(tokens("hello", *range(6)))
