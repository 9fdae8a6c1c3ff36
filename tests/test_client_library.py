"""Requests of the client library that callers use, with the fields that it sends."""

import builders
import openai
import pytest
from reclaims import reclaim, running_installation

MESSAGES = [{"role": "user", "content": "Is court 3 free at six?"}]
TOKENS = 9


@pytest.fixture(scope="module")
def installation(tmp_path_factory):
    """Start three nodes in three zones, and engines."""
    folder = tmp_path_factory.mktemp("client-library")
    with running_installation(folder) as (cluster, _):
        yield cluster


def client_of(node):
    return openai.OpenAI(
        base_url=f"{node.url}/v1", api_key=builders.CALLER_KEY, max_retries=0
    )


def create(node, **fields):
    body = {"model": "chat", "messages": MESSAGES, "max_tokens": TOKENS} | fields
    return client_of(node).chat.completions.create(**body)


def counts_of(usage):
    return usage.completion_tokens, usage.total_tokens - usage.prompt_tokens


@pytest.mark.processes
def test_a_stream_ends_with_its_usage_if_asked(installation):
    """The library's callers count tokens by it; the field was refused as unknown."""
    for node in installation.nodes:
        *chunks, last = create(
            node, stream=True, stream_options={"include_usage": True}
        )
        assert len(chunks) == TOKENS
        assert all(chunk.choices and chunk.usage is None for chunk in chunks)
        assert last.choices == []
        assert counts_of(last.usage) == (TOKENS, TOKENS)
        whole = create(node)
        assert last.usage.prompt_tokens == whole.usage.prompt_tokens


@pytest.mark.processes
@pytest.mark.parametrize("options", [{}, {"stream_options": {"include_usage": False}}])
def test_a_stream_has_no_usage_unless_asked(installation, options):
    chunks = list(create(installation.nodes[0], stream=True, **options))
    assert len(chunks) == TOKENS
    assert all(chunk.choices and chunk.usage is None for chunk in chunks)


@pytest.mark.processes
@pytest.mark.parametrize("taken", [0, 4, TOKENS])
def test_usage_follows_a_stream_that_is_resumed_elsewhere(installation, taken):
    """Also one of which the caller has all tokens, and lacks the usage."""
    first, *others = installation.nodes
    body = {"model": "chat", "prompt": "quote", "max_tokens": TOKENS, "stream": True}
    options = {"stream_options": {"include_usage": True}}
    response = first.post("/v1/completions", body | options)
    request_id = response.headers["X-Request-Id"]
    expected = response.data.split(b"\n\n")[taken:]
    for node in [first, *others]:
        resumed = builders.call(
            "GET",
            f"{node.url}/v1/requests/{request_id}",
            headers={
                "Authorization": f"Bearer {builders.CALLER_KEY}",
                "Last-Event-ID": str(taken),
            },
        )
        assert resumed.data.count(b'"completion_tokens":%d' % TOKENS) == 1
        found = resumed.data.split(b"\n\n")
        assert len(found) == len(expected)
        assert found[-2] == b"data: [DONE]"


@pytest.mark.processes
def test_usage_follows_a_stream_that_was_handed_over(tmp_path):
    """The node that continues it knows what its caller asked for."""
    with running_installation(tmp_path) as (cluster, _):
        first, *others = cluster.nodes
        received = []
        try:
            for chunk in create(
                first,
                max_tokens=150,
                stream=True,
                stream_options={"include_usage": True},
            ):
                if not received:
                    reclaim(cluster, first.zone)
                received.append(chunk)
        except openai.APIError as error:
            moved = error.body
        assert moved["code"] == "moved"
        resumed = builders.call(
            "GET",
            f"{others[0].url}/v1/requests/{moved['request_id']}",
            headers={
                "Authorization": f"Bearer {builders.CALLER_KEY}",
                "Last-Event-ID": str(len(received)),
            },
        )
        assert resumed.data.count(b"id: ") == 150 - len(received)
        assert resumed.data.count(b'"completion_tokens":150') == 1


@pytest.mark.processes
@pytest.mark.parametrize(
    "fields",
    [
        {"n": 1},
        {"stop": "\n"},
        {"stop": ["a", "b"]},
        {"seed": 7},
        {"user": "u-1"},
        {"top_p": 0.9},
        {"temperature": 0.2},
    ],
)
def test_fields_that_the_library_sends_are_accepted(installation, fields):
    assert create(installation.nodes[0], **fields).usage.completion_tokens == TOKENS


@pytest.mark.processes
@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({"n": 2}, "invalid_field"),
        ({"stream_options": {"include_usage": True}}, "invalid_field"),
        ({"stream": True, "stream_options": {"extra": 1}}, "unknown_field"),
        ({"logit_bias": {"1": 2}}, "unknown_field"),
        ({"frequency_penalty": 0.5}, "unknown_field"),
    ],
)
def test_fields_that_are_not_served_are_refused(installation, fields, code):
    """None is ignored: the answer would be another one than was asked for."""
    with pytest.raises(openai.BadRequestError) as refused:
        create(installation.nodes[0], **fields)
    assert refused.value.code == code
