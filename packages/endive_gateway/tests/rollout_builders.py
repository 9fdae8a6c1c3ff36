"""Builders for tests of rollouts: a gateway before servers of two versions."""

from dataclasses import replace

import gevent
from endive_core.rollouts import RolloutOrder, Stage, StageKind
from endive_core.version_admission import PROOF_MARGIN_S
from endive_gateway.clocks import boot_time
from gateway_builders import (
    LONG_S,
    SERVICE,
    RunningGateway,
    make_entry,
    make_route,
    make_table,
)
from server_builders import ScriptedServer, ok

OLD, NEW = "v1", "v2"
DURATION_S = 60.0


def order(offset=7, *, to=NEW, at=0.0, duration_s=DURATION_S, service=SERVICE):
    """Return an order."""
    return RolloutOrder(service, to, duration_s, offset, at)


def allow_rollouts(context):
    """Let a context's settings list rollouts among the contracts."""
    settings = replace(context.settings, contracts=frozenset({"rollout"}))
    context.apply_settings(settings)
    context.registry.notify_listeners()


def prove(context, *, end=0, margin_s=1.0):
    """Confirm that no order is newer than `end`, some time after now."""
    context.rollouts.prove(end, boot_time() + margin_s)


def put_server(context, server, version):
    """Register a scripted server with a software version."""
    context.registry.put(
        make_entry(server.id, address=server.address, software_version=version)
    )
    context.registry.notify_listeners()


class TwoVersions:
    """A gateway before one old and one new server, with rollouts allowed.

    Attributes
    ----------
    old, new : ScriptedServer
    """

    def __init__(self, *, old=ok, new=ok, **route):
        self.old = ScriptedServer(server_id="i-old")
        self.new = ScriptedServer(server_id="i-new")
        self.old.answer_rest, self.new.answer_rest = old, new
        self.running = RunningGateway(
            table=make_table(make_route(**{"max_attempts": 1, **route}))
        )
        self.running.servers = (self.old, self.new)
        self.context = self.running.context
        allow_rollouts(self.context)
        put_server(self.context, self.old, OLD)
        prove(self.context, margin_s=PROOF_MARGIN_S + 0.01)
        gevent.sleep(0.02)
        put_server(self.context, self.new, NEW)
        self.context.version_division.used_since[self.new.id] = -LONG_S

    def begin(self, offset=7):
        """Let the order arrive."""
        self.context.rollouts.learn_order(order(offset))

    def stage(self, kind, number, *, share=0.0, servers=0, offset=7):
        """Let a stage arrive."""
        self.context.rollouts.set_stage(
            SERVICE, offset, Stage(StageKind(kind), number, share, servers)
        )

    def in_use(self):
        """Return the ids of the servers that count as the service's ordinary ones."""
        return set(self.context.placer.schedulers[SERVICE].servers.servers)

    def send(self, count):
        """Send requests one by one; return how many each server got."""
        before = len(self.old.received), len(self.new.received)
        for _ in range(count):
            self.running.call()
        return (
            len(self.old.received) - before[0],
            len(self.new.received) - before[1],
        )

    def __enter__(self):
        return self

    def __exit__(self, *_exc_info):
        self.running.__exit__()
