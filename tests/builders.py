"""Builders of test data, and of separate processes on loopback."""

import hashlib
import itertools
import os
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import urllib3
import xxhash

CALLER_KEY = "demo"
OPERATOR_TOKEN = "operator-token"
ZONES = ("brest", "quimper", "lannion")
PORTS_PER_WORKER = 400
FIRST_PORT = int(os.environ.get("ENDIVE_TEST_PORT_BASE", "27000"))
START_TIMEOUT_S = 45.0

_worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
_offsets = itertools.count()
http = urllib3.PoolManager(maxsize=64, retries=False)


def sha256(text):
    """Return the hex SHA-256 of `text`."""
    return hashlib.sha256(text.encode()).hexdigest()


def free_port():
    """Return an unused port from the range of this test worker."""
    while True:
        offset = next(_offsets) % PORTS_PER_WORKER
        port = FIRST_PORT + _worker * PORTS_PER_WORKER + offset
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port


def expected_tokens(prompt, count):
    """Return the tokens that an engine stand-in generates for `prompt`."""
    return [
        xxhash.xxh3_64_hexdigest(f"{prompt}\0{index}".encode())[:6] + " "
        for index in range(count)
    ]


def call(method, url, body=None, headers=None, **options):
    """Send one request with a JSON body; return urllib3's response."""
    return http.request(
        method,
        url,
        body=None if body is None else msgspec.json.encode(body),
        headers={"Content-Type": "application/json"} | (headers or {}),
        timeout=options.pop("timeout", 30.0),
        **options,
    )


def wait_until(condition, what, timeout_s=START_TIMEOUT_S):
    """Wait until `condition()` is true; fail with `what` after `timeout_s`."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, f"timed out after {timeout_s} s: {what}"
        time.sleep(0.02)


def tail(output, lines=20):
    """Return the last lines of a process's output."""
    return "\n".join(output.read_text(errors="replace").splitlines()[-lines:])


def responds_ok(url):
    """Return whether a GET of `url` returns 200 within two seconds."""
    try:
        return http.request("GET", url, timeout=2.0).status == 200
    except urllib3.exceptions.HTTPError:
        return False


@dataclass
class Service:
    """A started process, and the port that it serves on."""

    name: str
    process: subprocess.Popen
    port: int
    output: Path

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    @property
    def url(self):
        return f"http://{self.address}"

    def assert_running(self):
        """Fail with the process's output if it has ended."""
        code = self.process.poll()
        assert code is None, f"{self.name} ended with {code}: {tail(self.output)}"

    def is_ready(self):
        """Return whether the process has logged that it listens."""
        self.assert_running()
        return "ready port=" in self.output.read_text()

    def faults(self, **order):
        """Inject faults into a stand-in."""
        assert call("POST", f"{self.url}/faults", order).status == 200

    def stats(self):
        """Return a stand-in's statistics."""
        return call("GET", f"{self.url}/stats").json()

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        """Kill the process with SIGKILL, as the end of a reclaim notice does."""
        self.process.kill()
        self.process.wait()


@dataclass
class NodeProcess(Service):
    """An ``endive-node`` process."""

    node_id: str = ""
    zone: str = ""
    operator_port: int = 0
    peer_port: int = 0
    gossip_port: int = 0
    settings_path: Path | None = None

    @property
    def operator_url(self):
        return f"http://127.0.0.1:{self.operator_port}"

    def is_ready(self):
        """Return whether the node has a configuration."""
        self.assert_running()
        return responds_ok(self.url + "/healthz")

    def post(self, path, body, **headers):
        """Send a caller's request; underscores in header names become hyphens."""
        named = {key.replace("_", "-"): value for key, value in headers.items()}
        return call(
            "POST",
            self.url + path,
            body,
            {"Authorization": f"Bearer {CALLER_KEY}"} | named,
        )

    def operate(self, method, path, body=None, token=OPERATOR_TOKEN):
        """Send a request to the administration API."""
        return call(
            method,
            self.operator_url + path,
            body,
            {"Authorization": f"Bearer {token}"},
        )


@dataclass
class Cluster:
    """The separate processes of one test; :meth:`stop` ends them all."""

    folder: Path
    services: list = field(default_factory=list)
    nodes: list = field(default_factory=list)
    log: Service | None = None
    cloud: Service | None = None
    operators: list = field(default_factory=list)

    def start(self, name, command, port, kind=Service, **fields):
        """Start `command` with its output in a file, to be ended by :meth:`stop`."""
        output = self.folder / f"{name}.out"
        with output.open("ab") as sink:
            process = subprocess.Popen(command, stdout=sink, stderr=sink)
        service = kind(name, process, port, output, **fields)
        self.services.append(service)
        return service

    def standin(self, module, name, **options):
        """Start a stand-in; :meth:`wait_ready` waits until it listens."""
        port = free_port()
        flags = [f"--{key}={value}" for key, value in options.items()]
        command = [
            sys.executable,
            "-m",
            f"endive_standins.{module}",
            f"--port={port}",
            *flags,
        ]
        return self.start(name, command, port)

    def with_log(self, **options):
        """Start the log stand-in."""
        self.log = self.standin("log", "log", **options)
        return self.log

    def with_cloud(self, **options):
        """Start the cloud stand-in, for reclaim notices."""
        self.cloud = self.standin("cloud", "cloud", **options)
        return self.cloud

    def engine(self, name, **options):
        """Start an engine stand-in."""
        return self.standin("engine", name, id=name, **options)

    def plain(self, name, **options):
        """Start a plain service's stand-in."""
        return self.standin("plain", name, id=name, **options)

    def add_nodes(self, count=2, *, ready=True, **sections):
        """Start `count` nodes, round-robin over the zones, and wait until ready."""
        first = len(self.nodes)
        plans = [self._plan(first + index) for index in range(count)]
        known = [node_plan(node) for node in self.nodes] + plans
        for plan in plans:
            self.nodes.append(self._start_node(plan, known, sections))
        if ready:
            self.wait_ready()
        return self.nodes[first:]

    def wait_ready(self):
        """Wait until every node has a configuration."""
        for node in self.nodes:
            if node.process.poll() is None:
                wait_until(
                    lambda url=node.url: responds_ok(url + "/healthz"), node.name
                )

    def _plan(self, index):
        return {
            "id": f"node-{index + 1}",
            "zone": ZONES[index % len(ZONES)],
            "caller_port": free_port(),
            "operator_port": free_port(),
            "peer_port": free_port(),
            "gossip_port": free_port(),
        }

    def _start_node(self, plan, known, sections):
        path = self.folder / f"{plan['id']}.toml"
        path.write_text(settings_toml(plan, known, self, sections))
        command = [sys.executable, "-m", "endive_node.cli", "run", f"--settings={path}"]
        return self.start(
            plan["id"],
            command,
            plan["caller_port"],
            NodeProcess,
            node_id=plan["id"],
            zone=plan["zone"],
            operator_port=plan["operator_port"],
            peer_port=plan["peer_port"],
            gossip_port=plan["gossip_port"],
            settings_path=path,
        )

    def start_stopped(self, node):
        """Start a stopped node with the same settings; it has no other state."""
        command = [
            sys.executable,
            "-m",
            "endive_node.cli",
            "run",
            f"--settings={node.settings_path}",
        ]
        with node.output.open("ab") as sink:
            node.process = subprocess.Popen(command, stdout=sink, stderr=sink)

    def restart(self, node):
        """Start a stopped node again and wait until it has a configuration."""
        self.start_stopped(node)
        wait_until(lambda: responds_ok(node.url + "/healthz"), node.name)

    def apply(self, *resources, node=None):
        """Apply resources through a node's administration API."""
        node = node or self.nodes[0]
        for resource in resources:
            path = f"/v1/resources/{resource['kind']}/{resource['name']}"
            response = node.operate("PUT", path, resource)
            assert response.status == 200, response.data

    def wait_in_force(self, node, model="chat"):
        """Wait until `node` serves `model`."""
        body = {"model": model, "prompt": "x", "max_tokens": 1}
        wait_until(
            lambda: node.post("/v1/completions", body).status == 200,
            f"{model} on {node.name}",
        )

    def stop(self):
        """End every process of this cluster."""
        for service in self.services:
            if service.process.poll() is None:
                service.process.send_signal(signal.SIGCONT)
                service.process.kill()
        for service in self.services:
            service.process.wait()


def node_plan(node):
    """Return the part of a running node's plan that its peers need."""
    return {
        "id": node.node_id,
        "zone": node.zone,
        "peer_port": node.peer_port,
        "gossip_port": node.gossip_port,
    }


def settings_toml(plan, known, cluster, sections):
    """Return the text of a node's settings file."""
    platform = {"log": cluster.log.url, "timeout_s": 1.0}
    if cluster.cloud:
        platform |= {"cloud": cluster.cloud.url, "notice_poll_s": 0.1}
    given = {"node": plan, "platform": platform}
    lines = []
    for section in given | sections:
        values = given.get(section, {}) | sections.get(section, {})
        lines += [
            f"[{section}]",
            *(f"{k} = {toml_value(v)}" for k, v in values.items()),
        ]
    for peer in known:
        if peer["id"] != plan["id"]:
            lines += [
                "[[peers]]",
                f'id = "{peer["id"]}"',
                f'zone = "{peer["zone"]}"',
                f'peer_address = "127.0.0.1:{peer["peer_port"]}"',
                f'gossip_address = "127.0.0.1:{peer["gossip_port"]}"',
            ]
    admin = {
        "name": "admin",
        "token_hash": sha256(OPERATOR_TOKEN),
        "organisation": "*",
    }
    for operator in (admin, *cluster.operators):
        pairs = (f"{key} = {toml_value(value)}" for key, value in operator.items())
        lines += ["[[operators]]", *pairs]
    return "\n".join(lines) + "\n"


def toml_value(value):
    """Return `value` as a TOML value."""
    if isinstance(value, bool):
        return str(value).lower()
    return f'"{value}"' if isinstance(value, str) else str(value)


def resource(kind, name, owner="kerloch", **spec):
    """Return a resource body."""
    return {"kind": kind, "name": name, "owner": owner, "spec": spec}


def organisation(name="kerloch", key=CALLER_KEY, **spec):
    """Return an organisation whose callers use `key`."""
    hashes = [sha256(key)]
    return resource("organisation", name, name, caller_key_hashes=hashes, **spec)


def service(name, servers, kind="engine", **spec):
    """Return a service of running stand-ins, round-robin over the zones."""
    listed = [
        {
            "id": server.name,
            "address": server.address,
            "zone": ZONES[index % len(ZONES)],
        }
        for index, server in enumerate(servers)
    ]
    return resource("backend-server-service", name, type=kind, servers=listed, **spec)


def deployment(model="chat", service="engines", **spec):
    """Return a deployment of `model`."""
    return resource("deployment", model, model=model, service=service, **spec)
