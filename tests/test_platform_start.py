"""The first moments of a gateway, as callers meet them."""

import json
import os
import socket
import subprocess
import sys

import gevent
from endive_gateway.callers import CallerListener
from endive_gateway.context import START_WAIT_S
from endive_gateway.forwarding import Forwarder
from endive_platform import listening
from gateway_builders import Caller, make_context, make_entry, make_table
from server_builders import ScriptedServer


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def settings_file(tmp_path, monkeypatch, content):
    path = tmp_path / "local.json"
    path.write_text(content)
    monkeypatch.setenv(listening.PATH_VARIABLE, str(path))


def serve(context, listener):
    found = CallerListener(listener, Forwarder(context), context.caller_limits)
    found.start()
    return found


def know(context, server):
    context.registry.put(make_entry(server.id, address=server.address))
    context.registry.is_loaded = True
    context.registry.notify_listeners()


def test_a_caller_that_connects_while_libraries_load_is_served(tmp_path, monkeypatch):
    """All nodes lost power and start again. A caller connects before a node's libraries
    are loaded; refused, it would have used up its one further try."""
    address = f"127.0.0.1:{free_port()}"
    settings_file(
        tmp_path, monkeypatch, json.dumps({"listen": {"front": address}, "x": 1})
    )
    listener = listening.open_callers_port()
    caller = Caller(listener.getsockname()[1])
    caller.send()
    server = ScriptedServer()
    context = make_context(make_table())
    know(context, server)
    serving = serve(context, listener)
    assert caller.receive().status == 200
    serving.stop_accepting()
    server.stop()


def test_a_request_waits_until_a_node_that_just_started_is_informed():
    """A caller reaches a node 30 ms before the store's answers do. A refusal would use
    up its one further try."""
    server = ScriptedServer()
    context = make_context()
    serving = serve(context, listening.listen_tcp("127.0.0.1", 0))
    caller = Caller(serving.port)
    caller.send()
    gevent.sleep(0.05)
    context.configure(make_table(), b"", "test")
    gevent.sleep(0.05)
    know(context, server)
    assert caller.receive().status == 200
    serving.stop_accepting()
    server.stop()


def test_a_node_without_a_store_refuses_at_once_after_its_start():
    """The store is away for long. Each caller that waited half a second for nothing
    would have gone to another node sooner."""
    context = make_context()
    context.started_at -= START_WAIT_S
    serving = serve(context, listening.listen_tcp("127.0.0.1", 0))
    caller = Caller(serving.port)
    caller.sock.settimeout(START_WAIT_S / 2)
    caller.send()
    assert caller.receive().status == 503
    serving.stop_accepting()


def test_settings_that_can_not_be_used_open_nothing(tmp_path, monkeypatch):
    for content in ("", "[]", "{}", '{"listen": {"front": 5}}', '{"listen": []}'):
        settings_file(tmp_path, monkeypatch, content)
        assert listening.open_callers_port() is None
    monkeypatch.delenv(listening.PATH_VARIABLE)
    assert listening.open_callers_port() is None


def test_the_port_opens_before_the_large_libraries_load():
    """A library that is loaded first keeps callers out for as long as it takes."""
    large = ("gevent", "msgspec", "absl", "urllib3")
    assert loaded_by("endive_platform.listening", large) == "[]"


def test_a_gateway_loads_no_library_that_it_can_serve_without():
    """All nodes lost power and start again. Until their libraries are loaded callers
    wait: 150 ms of processor time with urllib3 and absl and what these bring, 105 ms
    without, medians of three starts each."""
    large = ("urllib3", "absl", "ssl", "email", "argparse", "pydantic", "thrift")
    assert loaded_by("endive_platform.__main__", large) == "[]"


def loaded_by(module, names):
    """Return which of `names` a program loads together with `module`."""
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
