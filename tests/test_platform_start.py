"""The start of a gateway, as seen by callers."""

import json
import os
import signal
import socket
import subprocess
import sys
import time

import gevent
from endive_gateway.callers import CallerListener
from endive_gateway.context import START_WAIT_S
from endive_gateway.forwarding import Forwarder
from endive_platform import listening
from gateway_builders import Caller, make_context, make_entry, make_table
from server_builders import ScriptedServer

WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
ADDRESS = f"127.{120 + WORKER}.0.1"
"""Loopback address that only this test worker uses."""

CALLER_PORT, READY_PORT, FIRST_PORT, UNUSED_PORT = 8221, 8224, 7600, 8229
"""Ports outside the range from which the system chooses those of connections."""


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def write_settings_file(tmp_path, monkeypatch, content):
    path = tmp_path / "local.json"
    path.write_text(content)
    monkeypatch.setenv(listening.SETTINGS_PATH_VARIABLE, str(path))


def serve(context, listener):
    found = CallerListener(
        listener,
        Forwarder(context),
        context.caller_limits,
        context.request_memory,
        context.settings.machine.caller_connections,
        context.refusals,
    )
    found.start()
    return found


def register_server(context, server):
    context.registry.put(make_entry(server.id, address=server.address))
    context.registry.is_loaded = True
    context.registry.notify_listeners()


def test_a_caller_that_connects_while_libraries_load_is_served(tmp_path, monkeypatch):
    """All nodes restart after a power failure. A caller that connects before a node's
    libraries are loaded must not be refused, since that would use up its only retry."""
    address = f"127.0.0.1:{free_port()}"
    write_settings_file(
        tmp_path, monkeypatch, json.dumps({"listen": {"front": address}, "x": 1})
    )
    listener = listening.open_caller_socket()
    caller = Caller(listener.getsockname()[1])
    caller.send()
    server = ScriptedServer()
    context = make_context(make_table())
    register_server(context, server)
    serving = serve(context, listener)
    assert caller.receive().status == 200
    serving.stop_accepting()
    server.stop()


def test_a_request_waits_until_a_starting_node_knows_routes_and_servers():
    """A request arrives 30 ms before the store's responses. A refusal would use up the
    caller's only retry."""
    server = ScriptedServer()
    context = make_context()
    serving = serve(context, listening.listen_tcp("127.0.0.1", 0))
    caller = Caller(serving.port)
    caller.send()
    gevent.sleep(0.05)
    context.configure(make_table(), b"", "test")
    gevent.sleep(0.05)
    register_server(context, server)
    assert caller.receive().status == 200
    serving.stop_accepting()
    server.stop()


def test_a_node_without_a_store_refuses_at_once_after_the_start_wait():
    """The store is unavailable for long. A caller that waited half a second in
    vain could have tried another node that much sooner."""
    context = make_context()
    context.started_at -= START_WAIT_S
    serving = serve(context, listening.listen_tcp("127.0.0.1", 0))
    caller = Caller(serving.port)
    caller.sock.settimeout(START_WAIT_S / 2)
    caller.send()
    assert caller.receive().status == 503
    serving.stop_accepting()


def test_unusable_settings_open_no_socket(tmp_path, monkeypatch):
    for content in ("", "[]", "{}", '{"listen": {"front": 5}}', '{"listen": []}'):
        write_settings_file(tmp_path, monkeypatch, content)
        assert listening.open_caller_socket() is None
    monkeypatch.delenv(listening.SETTINGS_PATH_VARIABLE)
    assert listening.open_caller_socket() is None


def test_the_port_opens_before_the_large_libraries_load():
    """Callers are refused for as long as libraries load before the port is open."""
    large = ("gevent", "msgspec", "absl", "urllib3")
    assert loaded_by("endive_platform.listening", large) == "[]"


def test_a_gateway_loads_no_unneeded_library():
    """All nodes restart after a power failure, and callers wait until the libraries are
    loaded. That takes 150 ms of processor time with urllib3, absl and their imports,
    and 105 ms without (medians of three starts each)."""
    large = ("urllib3", "absl", "ssl", "email", "argparse", "pydantic", "thrift")
    assert loaded_by("endive_platform.__main__", large) == "[]"


def loaded_by(module, names):
    """Return which modules of `names` are loaded by importing `module`."""
    program = (
        f"import sys, {module};print([name for name in {names} if name in sys.modules])"
    )
    done = subprocess.run(
        [sys.executable, "-c", program],
        capture_output=True,
        text=True,
        env={**os.environ},
        check=True,
    )
    return done.stdout.strip()


def test_a_change_of_settings_during_the_start_does_not_end_the_process(tmp_path):
    """A process that got SIGHUP before it had a handler ended, with its callers."""
    path = tmp_path / "local.json"
    nowhere = f"{ADDRESS}:{UNUSED_PORT}"
    document = {
        "node_name": "n1",
        "ip": ADDRESS,
        "zone": "z",
        "listen": {
            "front": f"{ADDRESS}:{CALLER_PORT}",
            "ready_addr": f"{ADDRESS}:{READY_PORT}",
        },
        "port_range": [FIRST_PORT, FIRST_PORT + 15],
        "platform": {"address": nowhere},
        "cloud": {"address": nowhere},
    }
    path.write_text(json.dumps(document))
    process = subprocess.Popen(
        [sys.executable, "-m", "endive_platform", "gateway"],
        env={**os.environ, listening.SETTINGS_PATH_VARIABLE: str(path)},
        stdout=subprocess.DEVNULL,
    )
    try:
        is_open = False
        while process.poll() is None and not (is_open and answers(READY_PORT)):
            is_open = is_open or accepts(CALLER_PORT)
            if is_open:
                process.send_signal(signal.SIGHUP)
            time.sleep(0.005)
        assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
    finally:
        process.kill()
        process.wait()


def answers(port):
    """Return whether a probe of a port of this worker's address is answered."""
    with socket.socket() as sock:
        sock.settimeout(0.1)
        try:
            sock.connect((ADDRESS, port))
            sock.sendall(b"GET /ready HTTP/1.1\r\n\r\n")
            return sock.recv(12) == b"HTTP/1.1 503"
        except OSError:
            return False


def accepts(port):
    """Return whether a connection to a port of this worker's address opens."""
    with socket.socket() as sock:
        return sock.connect_ex((ADDRESS, port)) == 0
