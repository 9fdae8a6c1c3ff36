import msgspec
import pytest
from endive_core.leases import DutyKind, DutyRecord
from endive_gateway.autoscaling import Autoscaler
from endive_gateway.configuration import CONFIGURATION_KEY, ConfigurationFollower
from endive_gateway.duties import Duties
from endive_gateway.exceptions import StoreError
from endive_gateway.interfaces import Topic
from endive_gateway.peers import Peers
from endive_gateway.server_following import ServerFollower
from endive_gateway.store_reading import read_to_end
from gateway_builders import make_context
from store_builders import MemoryStore, write


def test_a_configuration_is_not_confirmed_by_a_page_that_ends_before_the_newest():
    """A page may hold less than the topic; what it lacks may be the newest version."""
    store = MemoryStore(page_records=1)
    context = make_context(store=store)
    follower = ConfigurationFollower(context)
    write(store, Topic.CONFIGURATION, CONFIGURATION_KEY, 1)
    follower.step()
    for version in (2, 3):
        write(store, Topic.CONFIGURATION, CONFIGURATION_KEY, version)
    follower.step()
    assert context.version == 3


def test_servers_are_not_known_as_of_a_read_that_ended_before_the_newest():
    """A node would tell the others that it knows all servers, though one has left."""
    store = MemoryStore(page_records=1)
    context = make_context(store=store)
    follower = ServerFollower(context)
    server = {"service": "s", "address": "127.0.0.1:1", "zone": "z", "slots": 8}
    write(store, Topic.SERVERS, "i-1", server)
    follower.step()
    write(store, Topic.SERVERS, "i-2", server)
    write(store, Topic.SERVERS, "i-1", None)
    follower.step()
    assert set(context.registry.servers) == {"i-2"}


def test_the_duties_are_not_claimed_after_a_part_of_their_log():
    """The part that is missing may say that another node holds them."""
    store = MemoryStore(page_records=1)
    context = make_context(store=store, node="n2")
    peers = Peers(context)
    for number, node in enumerate(("n0", "n1")):
        record = DutyRecord(DutyKind.CLAIM, node, number + 1, 0, -1, {})
        store.append(Topic.DUTIES, msgspec.json.encode(record))
    duties = Duties(context, peers, Autoscaler(context, peers))
    duties._read()
    assert duties.log.tenure.holder == "n1"


def test_a_page_without_records_before_the_end_is_an_error():
    store = MemoryStore(page_records=0)
    write(store, Topic.SERVERS, "i-1", None)
    with pytest.raises(StoreError, match="no records before offset 1"):
        read_to_end(store, Topic.SERVERS, 0)
