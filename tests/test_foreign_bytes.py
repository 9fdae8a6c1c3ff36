"""Any bytes as what another writer or node may send, beside what is sound."""

import msgspec
import pytest
from endive_gateway import bootstrap, state_messages
from endive_gateway.decoding import decode_msgpack, is_ip_address
from endive_gateway.interfaces import Record, ServerDelta, Topic
from endive_gateway.listing import NodeList
from endive_gateway.nodes import Peer
from endive_gateway.peers import Peers
from endive_gateway.server_following import MAX_BOOTSTRAP_AGE_S, ServerFollower
from endive_platform.store import _decode_page
from endive_platform.wire import PlatformWire
from gateway_builders import make_context, make_table
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from odd_documents import entry, node_entry, state_message
from store_builders import MemoryStore

seeded = settings(
    derandomize=True,
    deadline=None,
    max_examples=300,
    suppress_health_check=[HealthCheck.too_slow],
)

numbers = st.integers(-(2**63), 2**64 - 1) | st.floats()
values = st.recursive(
    st.none() | st.booleans() | numbers | st.text(max_size=9) | st.binary(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=5), inner, max_size=4)
    ),
    max_leaves=8,
)
pieces = st.sampled_from(
    [b"[", b"]", b"{", b"}", b'"', b"9", b"\xff", b"\x00", b"\x91"]
)
runs = st.builds(lambda piece, count: piece * count, pieces, st.integers(1, 20_000))


@st.composite
def altered(draw, document):
    """Return a document with a part of it replaced by other bytes."""
    first = draw(st.integers(0, len(document)))
    last = draw(st.integers(first, len(document)))
    return document[:first] + draw(st.binary(max_size=8) | runs) + document[last:]


def of_type(info, *, in_range=True):
    """Return a strategy for values of a type, as `msgspec.inspect` describes it.

    Parameters
    ----------
    in_range : bool
        Whether numbers are within the ranges that the type names.
    """

    def inner(info):
        return of_type(info, in_range=in_range)

    match info:
        case msgspec.inspect.IntType() if not in_range:
            return st.integers(-(2**63), 2**64 - 1)
        case msgspec.inspect.FloatType() if not in_range:
            return st.floats()
        case msgspec.inspect.IntType(ge=least, le=most):
            least = -(2**62) if least is None else least
            return st.integers(least, 2**62 if most is None else most)
        case msgspec.inspect.FloatType(ge=least, le=most):
            return st.floats(least, most, allow_nan=False)
        case msgspec.inspect.StrType():
            return st.sampled_from(["i-1", "i-2", "s", "o", "127.0.0.2"]) | st.text()
        case msgspec.inspect.BytesType():
            return st.binary(max_size=9)
        case msgspec.inspect.BoolType():
            return st.booleans()
        case msgspec.inspect.NoneType():
            return st.none()
        case msgspec.inspect.UnionType(types=types):
            return st.one_of(map(inner, types))
        case msgspec.inspect.ListType(item_type=item):
            return st.lists(inner(item), max_size=3)
        case msgspec.inspect.VarTupleType(item_type=item):
            return st.lists(inner(item), max_size=3)
        case msgspec.inspect.TupleType(item_types=items):
            return st.tuples(*map(inner, items))
        case msgspec.inspect.DictType(key_type=key, value_type=value):
            return st.dictionaries(inner(key), inner(value), max_size=3)
        case msgspec.inspect.StructType(fields=fields):
            return st.tuples(*(inner(field.type) for field in fields))
        case msgspec.inspect.DataclassType(fields=fields):
            return st.fixed_dictionaries(
                {field.encode_name: inner(field.type) for field in fields}
            )
    raise TypeError(info)


MESSAGE_TYPE = msgspec.inspect.type_info(state_messages.StateMessage)
DELTA_TYPE = msgspec.inspect.type_info(ServerDelta)
sound_messages = of_type(MESSAGE_TYPE).map(msgspec.msgpack.encode)
odd_deltas = of_type(DELTA_TYPE, in_range=False).map(
    lambda delta: msgspec.msgpack.encode(
        [*message_fields(age_s=1.0)[:12], delta | {"changes": b""}]
    )
)


def message_fields(**options):
    """Return the fields of a state message, in their order."""
    fields = msgspec.structs.astuple(state_message(**options))
    return [msgspec.to_builtins(field) for field in fields]


@st.composite
def state_fields(draw):
    """Return the bytes of a state message with some fields of any value."""
    fields = message_fields(sequence=5)
    changes = st.dictionaries(st.integers(0, len(fields) - 1), values, max_size=3)
    for number, value in draw(changes).items():
        fields[number] = value
    return msgspec.msgpack.encode(fields)


SNAPSHOT = msgspec.msgpack.encode(
    (["127.0.0.3"], [(1, "i-2", entry())], 2, 0.1, 1),
)
entries = st.binary(max_size=64) | altered(entry()) | runs
node_entries = (
    st.binary(max_size=64)
    | altered(node_entry())
    | runs
    | st.builds(node_entry, address=st.text(max_size=9))
)
messages = (
    odd_deltas | state_fields() | altered(msgspec.msgpack.encode(state_message()))
)
odd_snapshots = of_type(
    msgspec.inspect.type_info(bootstrap.Bootstrap), in_range=False
).map(msgspec.msgpack.encode)
snapshots = odd_snapshots | st.binary(max_size=64) | altered(SNAPSHOT)


def make_peers(store):
    """Return a node that sends nothing, and reads entries of the platform."""
    context = make_context(make_table(), store=store)
    context.wire = PlatformWire()
    peers = Peers(context)
    peers.send_state = lambda *_peers, **_options: None
    for exchange in (peers.bootstrap_exchange, peers.configuration_exchange):
        exchange.pull = lambda *_port, **_options: None
    peers.bootstrap_exchange.refresh = lambda _port: None
    peers.servers = ServerFollower(context, peers)
    return peers


def leave(store, server_id):
    """Append the record with which a server says that it leaves."""
    store.put(Topic.SERVERS, server_id, entry(state="draining", sequence=2))


@seeded
@given(odd=entries, key=st.text(max_size=9))
def test_no_entry_hides_a_departure_or_another_server(odd, key):
    """One entry kept all nodes from every later change of the servers."""
    store = MemoryStore()
    store.put(Topic.SERVERS, "i-1", entry())
    servers = make_peers(store).servers
    servers.step()
    store.put(Topic.SERVERS, f"odd {key}", odd)
    store.put(Topic.SERVERS, f"odd-{key}", odd)
    leave(store, "i-1")
    store.put(Topic.SERVERS, "i-2", entry())
    servers.step()
    assert not servers.context.registry.get("i-1").usable
    assert servers.context.registry.get("i-2").usable


@seeded
@given(odd=node_entries)
def test_no_entry_hides_another_node(odd):
    """One entry kept all nodes from finding each other."""
    store = MemoryStore()
    nodes = NodeList(make_context(store=store), lambda _addresses: None)
    store.put(Topic.NODES, "n-1", node_entry(address="127.0.0.2"))
    store.put(Topic.NODES, "odd", odd)
    store.put(Topic.NODES, "n-2", node_entry(address="127.0.0.3"))
    nodes.read()
    assert nodes.addresses[0] == "127.0.0.2"
    assert nodes.addresses[-1] == "127.0.0.3"
    assert all(map(is_ip_address, nodes.addresses))


@seeded
@given(odd=messages)
def test_no_message_hides_a_departure(odd):
    """One message kept a node from every later one, or from the store's changes."""
    store = MemoryStore()
    for server_id in ("i-1", "i-2"):
        store.put(Topic.SERVERS, server_id, entry())
    peers = make_peers(store)
    peers.servers.step()
    peers.datagrams._handle_datagram(odd, "127.0.0.2")
    assert peers.servers.next_offset == 2
    peers.receive(state_message(sequence=1), "127.0.0.3")
    assert peers.known["127.0.0.3"].sequence == 1
    leave(store, "i-1")
    peers.servers.step()
    assert not peers.context.registry.get("i-1").usable
    assert peers.context.registry.get("i-2").usable


@settings(seeded, max_examples=40, phases=[Phase.generate])
@given(odd=sound_messages)
def test_every_message_that_is_decoded_can_be_handled_and_answered(odd):
    """What a handler failed at was lost with all that stood beside it, or spread."""
    store = MemoryStore()
    for server_id in ("i-1", "i-2"):
        store.put(Topic.SERVERS, server_id, entry())
    peers = make_peers(store)
    peers.servers.step()
    peers.receive(decode_msgpack(odd, state_messages.DECODER), "127.0.0.2")
    peers.context.server_statements.refresh()
    own = msgspec.msgpack.encode(peers._state_message(gone=False))
    assert decode_msgpack(own, state_messages.DECODER).node == "n1"


@seeded
@given(changes=st.binary(max_size=64) | st.lists(st.tuples(st.just(2), entries)))
def test_no_relayed_change_hides_a_departure(changes):
    """One change kept a node from all that was relayed or read later."""
    store = MemoryStore()
    store.put(Topic.SERVERS, "i-1", entry())
    servers = make_peers(store).servers
    servers.step()
    if not isinstance(changes, bytes):
        records = [Record(offset - 1, "odd", value) for offset, value in changes]
        changes = state_messages.pack_changes(records)
    servers.apply_delta(ServerDelta(1, 2, changes, 0.1, 1))
    store.put(Topic.SERVERS, "odd", b"{")
    leave(store, "i-1")
    servers.step()
    assert not servers.context.registry.get("i-1").usable


@seeded
@given(odd=snapshots)
def test_no_snapshot_keeps_a_node_from_a_sound_one(odd):
    """A node that started beside an odd one ended its pull, or believed it for good."""
    peers = make_peers(MemoryStore())
    with pytest.MonkeyPatch.context() as patch:
        for document in (odd, SNAPSHOT):
            patch.setattr(bootstrap, "receive_document", lambda *_to, d=document: d)
            source = Peer("127.0.0.2", node="n2")
            peers.bootstrap_exchange._pull_from(source, 1, 1.0)
    assert not peers.lacks_bootstrap()
    assert 0 <= peers.servers.age_s() <= MAX_BOOTSTRAP_AGE_S + 1
    passed_on = msgspec.msgpack.encode(peers.bootstrap())
    assert decode_msgpack(passed_on, bootstrap.DECODER).next_offset >= 0


@seeded
@given(odd=st.binary(max_size=64) | runs)
def test_no_record_moves_the_border_of_the_next(odd):
    """What a record holds must not change what the next one is read as."""
    sound = b"\x03i-2{}"
    contents = (odd, sound)
    data = bytes(7) + b"\x02" + bytes(8)
    data += b"".join(len(c).to_bytes(4, "big") + c for c in contents)
    page = _decode_page(data, 0, keyed=True)
    assert page.records[1] == Record(1, "i-2", b"{}")
    assert page.records[0].value is not None or odd[0] == len(odd) - 1
