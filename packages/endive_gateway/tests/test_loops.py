import gevent
from endive_gateway import loops
from endive_gateway.configuration import ConfigurationFollower
from endive_gateway.following import Follower
from endive_gateway.interfaces import Topic
from endive_gateway.loops import keep_running
from endive_gateway.peers import Peers
from endive_gateway.server_following import ServerFollower
from gateway_builders import make_context
from store_builders import MemoryStore, write


def test_a_failing_loop_is_named_by_the_class_that_runs_it(monkeypatch, caplog):
    """Both followers inherit the loop that failed, and the log named neither."""
    monkeypatch.setattr(loops, "LOOP_RESTART_S", 1.0)

    def fail(_self):
        raise RecursionError("too deep")

    monkeypatch.setattr(Follower, "step", fail)
    follower = ConfigurationFollower(make_context())
    running = [gevent.spawn(keep_running, super(ConfigurationFollower, follower).run)]
    running.append(gevent.spawn(keep_running, ServerFollower(make_context()).run))
    gevent.sleep(0.01)
    gevent.killall(running)
    assert "loop=ConfigurationFollower.run" in caplog.text
    assert "loop=ServerFollower.run" in caplog.text


def test_a_record_that_can_not_be_applied_is_named_in_the_log(monkeypatch, caplog):
    """The log of a follower that failed did not say at which record."""
    store = MemoryStore()
    context = make_context(store=store)

    def fail(_id, _value):
        raise RecursionError("too deep")

    monkeypatch.setattr(context.wire, "decode_server", fail)
    write(store, Topic.SERVERS, "i-odd", [])
    keep = gevent.spawn(keep_running, ServerFollower(context).run)
    gevent.sleep(0.01)
    keep.kill()
    assert "event=record_failed topic=servers key=i-odd offset=0" in caplog.text
    assert context.metrics.events["record_failed"] == 1


def test_a_failing_read_of_the_nodes_is_tried_again(monkeypatch):
    """One unexpected failure ended the reads of the list of nodes for good."""
    monkeypatch.setattr(loops, "LOOP_RESTART_S", 0.01)
    peers = Peers(make_context())
    steps = []

    def fail():
        steps.append(1)
        raise RecursionError("too deep")

    monkeypatch.setattr(peers.node_list, "follow", fail)
    monkeypatch.setattr(peers, "_broadcast_loop", fail)
    for part in (
        peers.datagrams,
        peers.configuration_exchange,
        peers.bootstrap_exchange,
    ):
        monkeypatch.setattr(part, "start", lambda *_address: None)
    peers.start()
    gevent.sleep(0.1)
    gevent.killall(peers.loops)
    assert len(steps) > 4
