"""Tests of the holder of the duties: stages and outcomes of rollouts in the store."""

import time

import pytest
from endive_core.rollouts import StageKind
from endive_gateway import duties as duties_module
from endive_gateway import peers as peers_module
from endive_gateway import rollout_control, rollouts
from endive_gateway.autoscaling import Autoscaler
from endive_gateway.duties import LEASE_MARGIN_S, LEASE_S, Duties
from endive_gateway.exceptions import StoreError, StoreOutcomeUnknownError
from endive_gateway.interfaces import Topic
from endive_gateway.peers import Peers
from endive_gateway.rollouts import KEPT_S
from gateway_builders import SERVICE, freeze_time, make_context, make_entry, make_table
from rollout_builders import NEW, OLD, allow_rollouts, order
from store_builders import MemoryStore, RecordingCloud, store_down

WALL = 1_000_000.0
OFFSET = 7
DURATION_S = 12.0
STEP_S = 0.25


class Fleet:
    """Nodes that share a store; one of them holds the duties.

    Attributes
    ----------
    time : float
        Seconds on all clocks.
    """

    def __init__(self, monkeypatch, names=("a", "b")):
        self.time = time.monotonic()
        self.start = self.time
        for module in (duties_module, peers_module, rollout_control):
            if hasattr(module, "boot_time"):
                monkeypatch.setattr(module, "boot_time", lambda: self.time)
        for module in (duties_module, rollout_control, rollouts):
            monkeypatch.setattr(module.time, "monotonic", lambda: self.time)
        self.store = MemoryStore()
        self.nodes = {name: self.make_node(name) for name in names}

    def make_node(self, name):
        """Return a node that knows servers of both versions."""
        context = make_context(
            make_table(), store=self.store, cloud=RecordingCloud(), node=name
        )
        context.started_at -= 3600
        allow_rollouts(context)
        peers = Peers(context)
        duties = Duties(context, peers, Autoscaler(context, peers))
        for server, version in (("i-old", OLD), ("i-new", NEW)):
            context.registry.put(make_entry(server, software_version=version))
        context.registry.notify_listeners()
        context.rollouts.is_holder = lambda: True
        freeze_time(context, WALL)
        return duties

    def order(self, **options):
        """Let the order arrive at all nodes."""
        for duties in self.nodes.values():
            freeze_time(duties.context, WALL + self.time - self.start)
            values = {"offset": OFFSET, "duration_s": DURATION_S, **options}
            duties.context.rollouts.learn_order(order(**values))

    def step(self, name, *, responses=10, failures=0):
        """Let a node act once; it has had some responses of each version since."""
        duties = self.nodes[name]
        freeze_time(duties.context, WALL + self.time - self.start)
        rollout = duties.context.rollouts.rollouts.get(SERVICE)
        if rollout is not None:
            self.count(rollout, responses, failures)
        try:
            duties.step()
        except StoreError as error:
            return error
        return None

    def count(self, rollout, responses, failures):
        """Add responses to a node's own totals."""
        own = rollout.evidence.own
        own.requests += 100
        share = duties_share(rollout.applied)
        counts = own.route("r")
        counts.base.responses += responses
        counts.base.times[3] += responses
        if share:
            own.exposed += int(100 * share)
            counts.candidate.responses += responses
            counts.candidate.times[3] += responses
            counts.candidate.failures += failures

    def run(self, name, seconds, **options):
        """Let a node act several times."""
        for _ in range(int(seconds / STEP_S)):
            self.time += STEP_S
            self.step(name, **options)

    def statuses(self):
        """Return the outcomes in the store, in their order."""
        return [r.value.decode() for r in self.store.topics[Topic.STATUS]]

    def stage(self, name):
        """Return the stage that a node applies."""
        return self.nodes[name].context.rollouts.stage(SERVICE).kind

    def expire_lease(self):
        """Let the holder's lease end."""
        self.time += LEASE_S + LEASE_MARGIN_S + 0.1


def duties_share(stage):
    """Return the share of a stage."""
    return 0.0 if stage.kind is StageKind.ROLLED_BACK else stage.share


@pytest.fixture
def fleet(monkeypatch):
    return Fleet(monkeypatch)


def test_a_good_version_is_completed_within_the_duration(fleet):
    """The outcome comes after the operator has given up."""
    fleet.step("a")
    fleet.order()
    fleet.run("a", DURATION_S)
    assert fleet.statuses() == [f"serving {NEW}", f"completed {NEW}"]
    assert fleet.stage("a") is StageKind.COMPLETED


def test_a_bad_version_is_rolled_back(fleet):
    """A version that fails half of its requests is served to all."""
    fleet.step("a")
    fleet.order()
    fleet.run("a", DURATION_S, failures=5)
    assert fleet.statuses() == [f"serving {NEW}", f"rolled_back {NEW}"]
    total = fleet.nodes["a"].context.rollouts.rollouts[SERVICE].evidence.total()
    assert total.exposed <= 0.1 * total.requests + 50


def test_a_version_without_servers_is_rolled_back(fleet):
    """The order names a version that no server has."""
    fleet.step("a")
    fleet.order(to="v9")
    fleet.run("a", DURATION_S)
    assert fleet.statuses() == ["rolled_back v9"]


@pytest.mark.parametrize("kept_writes", range(8))
@pytest.mark.parametrize("failures", [0, 5])
def test_the_holder_dies_after_any_write(fleet, kept_writes, failures):
    """A decision is in the store, but its effect is not, or not at all nodes."""
    fleet.step("a")
    fleet.order()
    appended, limit = fleet.store.calls, kept_writes + count_writes(fleet.store)

    def die(name):
        if name in ("append", "put") and count_writes(fleet.store) > limit:
            raise StoreError("the holder is dead")

    fleet.store.fault = die
    while count_writes(fleet.store) <= limit and fleet.time < fleet.start + DURATION_S:
        fleet.time += STEP_S
        fleet.step("a", failures=failures)
    assert appended is fleet.store.calls
    fleet.store.fault = None
    fleet.expire_lease()
    fleet.run("b", 2 * DURATION_S, failures=failures)
    expected = f"rolled_back {NEW}" if failures else f"completed {NEW}"
    assert fleet.statuses()[-1] == expected
    assert len({s for s in fleet.statuses() if not s.startswith("serving")}) == 1


def count_writes(store):
    """Return the number of writes so far."""
    return sum(name in ("append", "put") for name in store.calls)


@pytest.mark.parametrize("number", range(10))
def test_answers_to_appends_are_lost(fleet, number):
    """The holder takes a decision that is in the log for one that isn't."""
    fleet.step("a")
    fleet.order()
    fleet.store.lost = []
    fleet.run("a", number * STEP_S)
    fleet.store.lost = [StoreOutcomeUnknownError("lost")] * 2
    fleet.run("a", DURATION_S)
    assert fleet.statuses()[-1] == f"completed {NEW}"
    assert set(fleet.statuses()) == {f"serving {NEW}", f"completed {NEW}"}


@pytest.mark.parametrize("at_s", [0.0, 2.0, 5.0, 8.0, 10.0])
def test_the_store_is_silent_for_seconds(fleet, at_s):
    """The outcome is never written if the store is away when it is decided."""
    fleet.step("a")
    fleet.order()
    fleet.run("a", at_s)
    fleet.store.fault = store_down
    fleet.run("a", 4.0)
    fleet.store.fault = None
    fleet.run("a", 2 * DURATION_S)
    assert fleet.statuses()[-1] == f"completed {NEW}"


def test_a_late_write_of_a_former_holder_is_corrected(fleet):
    """A holder's write of ``serving`` arrives after the successor's outcome."""
    fleet.step("a")
    fleet.order()
    fleet.run("a", DURATION_S)
    fleet.store.put(Topic.STATUS, f"outcome/{SERVICE}", f"serving {NEW}".encode())
    fleet.run("a", 2.0)
    assert fleet.statuses()[-1] == f"completed {NEW}"


def test_a_second_order_for_another_version_ends_the_first(fleet):
    """The first version's servers wait for an outcome that never comes."""
    fleet.step("a")
    fleet.order()
    fleet.run("a", 3.0)
    fleet.order(offset=9, to="v3")
    fleet.run("a", 2.0)
    assert f"rolled_back {NEW}" in fleet.statuses()


def test_the_same_order_again_changes_nothing(fleet):
    """An operator whose append was answered with an error repeats it."""
    fleet.step("a")
    fleet.order()
    fleet.run("a", 3.0)
    fleet.order(offset=9)
    fleet.run("a", DURATION_S - 3.0)
    assert fleet.statuses() == [f"serving {NEW}", f"completed {NEW}"]


def test_a_successor_that_reads_only_the_repeated_order_begins_no_rollout(fleet):
    """The store keeps the newest record of an order only. A successor that started
    later took it for a new one, and rolled out a version that had been rolled back."""
    fleet.step("a")
    fleet.order()
    fleet.run("a", 2.0)
    fleet.nodes["a"].context.rollouts.learn_order(order(9, duration_s=DURATION_S))
    fleet.run("a", DURATION_S, failures=5)
    before = fleet.statuses()
    assert before == [f"serving {NEW}", f"rolled_back {NEW}"]
    fleet.time += 3 * KEPT_S
    fleet.nodes = {"c": fleet.make_node("c")}
    fleet.order(offset=9)
    fleet.run("c", 2 * DURATION_S)
    assert fleet.stage("c") is StageKind.ROLLED_BACK
    assert fleet.statuses() == before


def test_an_isolated_holder_completes_nothing(fleet):
    """A holder that receives no messages judges by its own requests alone."""
    fleet.step("a")
    fleet.order()
    context = fleet.nodes["a"].context
    context.rollouts.has_peers = lambda: True
    context.rollouts.last_heard_at = lambda: fleet.start - 10.0
    fleet.run("a", DURATION_S)
    assert f"completed {NEW}" not in fleet.statuses()
