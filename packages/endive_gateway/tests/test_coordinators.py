import gevent
import pytest
from endive_gateway.coordinators import CHOICE_INTERVAL_S, COORDINATOR_BACKOFF_S
from gateway_builders import SERVICE, connected_peers

RESTARTED_S = CHOICE_INTERVAL_S + 0.3
ASK = {"priority": 5, "organisation": "org", "due_s": 1.0, "lease_s": 1.0}


@pytest.fixture(params=[2, 6, 40])
def peers(request):
    """Nodes that choose among each other."""
    nodes = connected_peers(request.param)
    for node in nodes:
        node.context.slot_leasing.address = node.address
        node.context.slot_leasing.datagrams.send = lambda *message: None
    for node in nodes:
        node.send_state()
    return nodes


def chosen(nodes):
    """Return the nodes that are chosen as coordinators of the service's pool."""
    return {node.context.slot_pooling.choice.coordinator(SERVICE) for node in nodes}


def give_up(nodes):
    """Let nodes ask their coordinator, and give it up without a reply."""
    for node in nodes:
        pooling = node.context.slot_pooling
        pooling.give_up(pooling.ask(SERVICE, **ASK))


def start_again(node):
    """Let the others receive the first message of a node's next start."""
    node.context.incarnation += 1
    node.send_state()


def coordinator_and_others(nodes):
    (address,) = chosen(nodes)
    coordinator = next(node for node in nodes if node.address == address)
    return coordinator, [node for node in nodes if node is not coordinator]


def test_a_coordinator_that_starts_again_is_the_only_one(peers):
    """Guards against two nodes that lease the same slots for seconds."""
    coordinator, others = coordinator_and_others(peers)
    give_up(others)
    assert coordinator.address not in chosen(others)
    start_again(coordinator)
    assert RESTARTED_S < COORDINATOR_BACKOFF_S
    gevent.sleep(RESTARTED_S)
    assert chosen(peers) == {coordinator.address}


def test_a_request_to_the_former_process_tells_nothing_of_the_next_one(peers):
    """Guards against a sound coordinator that is skipped, since it came too late."""
    coordinator, others = coordinator_and_others(peers)
    leases = [node.context.slot_pooling.ask(SERVICE, **ASK) for node in others]
    start_again(coordinator)
    for node, lease in zip(others, leases, strict=True):
        node.context.slot_pooling.give_up(lease)
    assert chosen(peers) == {coordinator.address}


def test_a_silent_coordinator_is_skipped_while_it_runs_on(peers):
    """Messages about its state arrive, those about slots do not."""
    coordinator, others = coordinator_and_others(peers)
    give_up(others)
    coordinator.send_state()
    gevent.sleep(RESTARTED_S)
    assert coordinator.address not in chosen(others)
