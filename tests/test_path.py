"""The whole path of requests over real sockets and separate processes."""

import json
import subprocess
import sys

import builders
import pytest


@pytest.fixture(scope="module")
def installation(tmp_path_factory):
    """Start a log, two nodes in two zones, two engines and a plain service."""
    folder = tmp_path_factory.mktemp("installation")
    cluster = builders.Cluster(folder)
    try:
        yield declare_resources(cluster, folder)
    finally:
        cluster.stop()


def declare_resources(cluster, folder):
    cluster.with_log()
    engines = [cluster.engine(f"engine-{i}", decode_tokens_per_s=2000) for i in (1, 2)]
    plain = cluster.plain("reservation-1")
    nodes = cluster.add_nodes(2)
    path = folder / "resources.toml"
    path.write_text(resources_toml(engines, plain))
    done = endivectl("apply", "-f", path, node=nodes[0])
    assert done.returncode == 0, done.stderr
    for node in nodes:
        cluster.wait_in_force(node)
    return cluster


def endivectl(*arguments, node):
    return subprocess.run(
        [
            sys.executable,
            "-m",
            "endive_ctl.cli",
            *map(str, arguments),
            f"--server={node.operator_url}",
            f"--token={builders.OPERATOR_TOKEN}",
        ],
        capture_output=True,
        text=True,
    )


def resources_toml(engines, plain):
    """Return the example file with the addresses of running stand-ins."""
    with open("examples/resources.toml") as example:
        text = example.read()
    text = text.replace("127.0.0.1:8091", engines[0].address)
    text = text.replace("127.0.0.1:8092", engines[1].address)
    return text.replace("127.0.0.1:8093", plain.address)


def events(data):
    """Return the data of each server-sent event."""
    return [
        line.removeprefix(b"data: ")
        for line in data.split(b"\n")
        if line.startswith(b"data: ")
    ]


@pytest.mark.processes
def test_completion_whole_and_streamed_byte_for_byte(installation):
    expected = "".join(builders.expected_tokens("Which court is free?", 12))
    body = {"model": "chat", "prompt": "Which court is free?", "max_tokens": 12}
    for node in installation.nodes:
        response = node.post("/v1/completions", body)
        assert response.status == 200
        value = response.json()
        assert value["choices"][0]["text"].encode() == expected.encode()
        assert value["choices"][0]["finish_reason"] == "length"
        assert value["usage"]["completion_tokens"] == 12
        streamed = node.post("/v1/completions", body | {"stream": True})
        *parts, done = events(streamed.data)
        assert done == b"[DONE]"
        texts = [json.loads(part)["choices"][0]["text"] for part in parts]
        assert "".join(texts).encode() == expected.encode()


@pytest.mark.processes
def test_models_are_listed_for_those_with_a_key(installation):
    """Common client libraries list the models before their first request."""
    url = f"{installation.nodes[0].url}/v1/models"
    key = {"Authorization": f"Bearer {builders.CALLER_KEY}"}
    response = builders.call("GET", url, headers=key)
    assert response.status == 200
    assert "chat" in [model["id"] for model in response.json()["data"]]
    assert builders.call("GET", url).status == 401


@pytest.mark.processes
def test_chat_whole_and_streamed_byte_for_byte(installation):
    messages = [
        {"role": "system", "content": "You book courts."},
        {"role": "user", "content": "Tuesday at six?"},
    ]
    expected = "".join(builders.expected_tokens("You book courts.\nTuesday at six?", 7))
    body = {"model": "chat", "messages": messages, "max_tokens": 7}
    for node in installation.nodes:
        value = node.post("/v1/chat/completions", body).json()
        assert value["object"] == "chat.completion"
        assert value["choices"][0]["message"]["content"] == expected
        streamed = node.post("/v1/chat/completions", body | {"stream": True})
        *parts, done = events(streamed.data)
        assert done == b"[DONE]"
        chunks = [json.loads(part) for part in parts]
        assert {chunk["object"] for chunk in chunks} == {"chat.completion.chunk"}
        deltas = [chunk["choices"][0]["delta"]["content"] for chunk in chunks]
        assert "".join(deltas) == expected


@pytest.mark.processes
def test_plain_service_through_the_same_node(installation):
    response = installation.nodes[1].post("/services/reservations/courts/3", {"at": 18})
    assert response.status == 200
    value = response.json()
    assert (value["method"], value["path"]) == ("POST", "/courts/3")
    assert json.loads(value["body"]) == {"at": 18}


@pytest.mark.processes
@pytest.mark.parametrize(
    ("body", "status", "code"),
    [
        ({"model": "none", "prompt": "x"}, 404, "unknown_model"),
        ({"model": "chat", "prompt": "x", "colour": 1}, 400, "unknown_field"),
        ({"model": "chat", "prompt": "x", "max_tokens": 0}, 400, "invalid_field"),
        ({"model": "chat", "prompt": "x" * 4_100_000}, 413, "body_too_large"),
    ],
)
def test_invalid_requests_get_a_specific_error(installation, body, status, code):
    node = installation.nodes[0]
    response = node.post("/v1/completions", body)
    assert response.status == status
    error = response.json()["error"]
    assert (error["code"], error["executed"]) == (code, "no")
    installation.wait_in_force(node)


@pytest.mark.processes
def test_organisation_over_its_limit_gets_a_retry_after(installation):
    """An organisation that exceeds its limit is refused at once with a retry-after, and
    the requests of others are served as before."""
    node = installation.nodes[0]
    small = builders.organisation("small", key="small", tokens_per_s=20)
    node.operate("PUT", "/v1/resources/organisation/small", small)
    body = {"model": "chat", "prompt": "x", "max_tokens": 30}
    responses = []

    def limited():
        responses.append(
            node.post("/v1/completions", body, Authorization="Bearer small")
        )
        return responses[-1].status == 429

    builders.wait_until(limited, "the limit")
    error = responses[-1].json()["error"]
    assert (error["code"], error["executed"]) == ("limit_exceeded", "no")
    assert error["request_id"]
    assert int(responses[-1].headers["Retry-After"]) >= 1
    assert node.post("/v1/completions", body).status == 200
