"""Runs a node with stand-ins for platform and backend servers in one process.

It is meant for trying out the API and the resources. Nothing is stored beyond the
process.
"""

import time

from endive_core.catalogue import hash_key
from endive_core.records import CONFIGURATION_STREAM, Change, encode
from endive_core.resources import Resource
from endive_standins.engine import Engine
from endive_standins.log import Log
from endive_standins.plain import Plain
from endive_standins.serving import Server, serve

from endive_node.node import Node
from endive_node.settings import Settings

CALLER_KEY = "demo"
OPERATOR_TOKEN = "operator"
OWNER = "demo"
ZONES = ("zone-a", "zone-b")

CURL_LINE = """\
curl -N http://{address}:{port}/v1/chat/completions \\
  -H 'Authorization: Bearer {key}' -H 'Content-Type: application/json' \\
  -d '{{"model": "chat", "stream": true, "max_tokens": 8, \
"messages": [{{"role": "user", "content": "Is court 3 free at six?"}}]}}'"""


def start_embedded() -> Node:
    """Start the stand-ins and a node, and print example commands."""
    log = serve(Log.from_config())
    engines = [serve(Engine.from_config(id=f"engine-{number}")) for number in (1, 2)]
    plain = serve(Plain.from_config(id="reservation-1"))
    node = Node.from_settings(embedded_settings(log))
    for number, resource in enumerate(example_resources(engines, plain)):
        node.log.append(
            CONFIGURATION_STREAM, [encode(creation_change(number, resource))]
        )
    node.start()
    node.configuration.ready.wait()
    print_examples(node)
    return node


def embedded_settings(log: Server) -> Settings:
    """Return the settings of a single node that uses the log stand-in."""
    return Settings.from_config(
        {
            "node": {"id": "node-1", "zone": ZONES[0]},
            "platform": {"log": f"http://127.0.0.1:{log.port}"},
            "operators": [
                {
                    "name": "admin",
                    "token_hash": hash_key(OPERATOR_TOKEN),
                    "organisation": "*",
                }
            ],
        }
    )


def example_resources(engines: list[Server], plain: Server) -> list[Resource]:
    """Return example resources: an organisation, its services and a deployment."""
    bodies = [
        ("organisation", OWNER, {"caller_key_hashes": [hash_key(CALLER_KEY)]}),
        ("priority", "interactive", {"level": 10}),
        ("priority", "bulk", {"level": -10, "bulk": True}),
        ("model-version", "chat-1", {"model": "chat", "weights": "chat/1"}),
        (
            "backend-server-service",
            "engines",
            {"servers": server_entries("engine", engines), "decode_tokens_per_s": 50},
        ),
        (
            "backend-server-service",
            "reservations",
            {"type": "plain", "servers": server_entries("reservation", [plain])},
        ),
        (
            "deployment",
            "chat",
            {"model": "chat", "service": "engines", "version": "chat-1"},
        ),
    ]
    return [
        Resource.from_body({"kind": kind, "name": name, "owner": OWNER, "spec": spec})
        for kind, name, spec in bodies
    ]


def server_entries(name: str, servers: list[Server]) -> list[dict]:
    """Return the server entries of a backend server service."""
    return [
        {
            "id": f"{name}-{number}",
            "address": f"127.0.0.1:{server.port}",
            "zone": ZONES[number % len(ZONES)],
        }
        for number, server in enumerate(servers, 1)
    ]


def creation_change(number: int, resource: Resource) -> Change:
    """Return the change that creates `resource`."""
    return Change(
        change_id=f"embedded-{number}",
        kind=resource.kind,
        name=resource.name,
        operator="embedded",
        body=resource.model_dump(mode="json"),
        at=time.time(),
    )


def print_examples(node: Node) -> None:
    """Print example commands for a request and for listing resources."""
    address = node.settings.node.address
    operators = f"http://{address}:{node.operators.port}"
    print("endive-node runs with stand-ins in this process. Try in another shell:\n")
    print(CURL_LINE.format(address=address, port=node.callers.port, key=CALLER_KEY))
    print(
        f"\n.venv/bin/endivectl --server {operators} --token {OPERATOR_TOKEN} "
        "list deployment\n",
        flush=True,
    )
