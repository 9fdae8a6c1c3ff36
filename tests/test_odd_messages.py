"""Messages between nodes with values that no node can mean."""

import math
import time
from types import SimpleNamespace

import msgspec
import pytest
from endive_gateway import (
    bootstrap,
    origin_messages,
    prompts,
    rollout_messages,
    slot_messages,
    spending_messages,
    state_messages,
    stated_values,
)
from endive_gateway.decoding import decode_msgpack
from endive_gateway.exceptions import UndecodableError
from endive_gateway.header_values import parse_rate
from endive_gateway.interfaces import ServerDelta
from endive_gateway.nodes import Peer
from endive_gateway.peers import Peers
from endive_gateway.quantities import MAX_NUMBER, MAX_OFFSET
from endive_gateway.server_following import ServerFollower
from endive_platform.rollouts import OrderDocument
from endive_platform.wire import PlatformWire
from gateway_builders import make_context, make_table
from odd_documents import ODD_ADDRESSES, ODD_ENTRIES, entry, state_message

OUT_OF_RANGE = [-5, 2**60]
OUT_OF_RANGE_FLOATS = [math.nan, math.inf, -math.inf, 1e300]
NEGATIVE = [-1e-3, -1e9]


def decode(message, decoder=state_messages.DECODER):
    """Encode a message, and decode it as its receiver does."""
    return decode_msgpack(msgspec.msgpack.encode(message), decoder)


@pytest.fixture
def peers():
    context = make_context(make_table())
    context.wire = PlatformWire()
    peers = Peers(context)
    peers.send_state = lambda *_peers, **_options: None
    peers.servers = ServerFollower(context, peers)
    return peers


def pull(peers, monkeypatch, document):
    """Let a starting node take a snapshot, whatever its bytes are."""
    monkeypatch.setattr(bootstrap, "receive_document", lambda *_address: document)
    source = Peer("127.0.0.2", node="n2")
    peers.bootstrap_exchange._pull_from(source, 1, 1.0)


def snapshot(*servers, addresses=(), next_offset=9, age_s=0.1, read=1):
    """Return the bytes of a snapshot."""
    fields = (list(addresses), list(servers), next_offset, age_s, read)
    return msgspec.msgpack.encode(fields)


def report(**options):
    """Return a report of rollouts with the fields of one order."""
    fields = {"service": "s", "to": "v2", "duration_s": 9.0, "offset": 1, "at": 1.0}
    order = rollout_messages.OrderReport(**(fields | options))
    return rollout_messages.RolloutReport(1, orders=[order])


@pytest.mark.parametrize("odd", OUT_OF_RANGE)
@pytest.mark.parametrize(
    "field",
    ["incarnation", "sequence", "wall_ms", "version", "fence", "reported", "proof"],
)
def test_a_count_out_of_range_is_not_taken_from_a_message(field, odd):
    """A node that took one believed no later message, or reported no more usage."""
    with pytest.raises(UndecodableError):
        decode(state_message(**{field: odd}))


@pytest.mark.parametrize("odd", [2**53 + 1, 2**64 - 1])
def test_a_claim_of_an_impossible_start_is_not_taken_from_a_message(odd):
    """An owner could not pass it on with the origins that it hands over."""
    note = origin_messages.OriginNote([], [(b"k", "s", "v1", "i-1", odd)])
    with pytest.raises(UndecodableError):
        decode(note, origin_messages.DECODER)


@pytest.mark.parametrize("odd", [2**53 + 1, -(2**62), 2**64 - 1])
@pytest.mark.parametrize(
    "fields",
    [
        lambda odd: {"demand": {"s": ([(odd, 0, 0)], [])}},
        lambda odd: {"demand": {"s": ([(0, 0, odd)], [(0, "o", 1)])}},
        lambda odd: {"demand": {"s": ([], [(0, "o", odd)])}},
        lambda odd: {"late_prompts": {"s": [(odd, 0)]}},
        lambda odd: {"prompt_work": {"s": [0, odd]}},
    ],
)
def test_a_figure_out_of_range_is_not_taken_from_a_message(fields, odd):
    """The sum of all nodes' figures stayed wrong after the message was replaced."""
    with pytest.raises(UndecodableError):
        decode(state_message(**fields(odd)))


@pytest.mark.parametrize("odd", [*OUT_OF_RANGE_FLOATS, *NEGATIVE])
@pytest.mark.parametrize(
    "fields",
    [
        lambda odd: {"age_s": odd},
        lambda odd: {"crashes": [("f", "i-1", odd)]},
        lambda odd: {"successes": [("f", odd)]},
        lambda odd: {"part_crashes": [("i-1", 1, (1,), odd, 0.0)]},
        lambda odd: {"part_answers": [(1, odd)]},
        lambda odd: {"leaving_servers": [("i-1", 1, odd)]},
        lambda odd: {"server_limits": [("i-1", 1.0, odd, 1)]},
        lambda odd: {"server_limits": [("i-1", odd, 1.0, 1)]},
        lambda odd: {"brittle_servers": [("i-1", 1.0, odd, 1)]},
        lambda odd: {"rests": [("i-1", odd, "")]},
        lambda odd: {"shedding_servers": [("i-1", odd, 1)]},
        lambda odd: {"slow_sources": [("i-1", 1, odd)]},
        lambda odd: {"server_delta": ServerDelta(0, 0, b"", odd)},
    ],
)
def test_an_impossible_age_is_not_taken_from_a_message(fields, odd):
    """What happens in the future never grew old: a server never got a request again."""
    with pytest.raises(UndecodableError):
        decode(state_message(**fields(odd)))


@pytest.mark.parametrize("odd", OUT_OF_RANGE)
def test_an_offset_out_of_range_is_not_taken_from_a_message(odd):
    """No later change of the servers was applied at the nodes that took it."""
    for delta in (ServerDelta(odd, 1, b""), ServerDelta(0, odd, b"")):
        with pytest.raises(UndecodableError):
            decode(state_message(server_delta=delta))
    with pytest.raises(UndecodableError):
        decode(state_message(rollouts=report(offset=odd)))


@pytest.mark.parametrize("odd", OUT_OF_RANGE_FLOATS)
@pytest.mark.parametrize(
    ("decoder", "build"),
    [
        (state_messages.DECODER, lambda odd: state_message(spent={"o": odd})),
        (state_messages.DECODER, lambda odd: state_message(work={"s": odd})),
        (
            state_messages.DECODER,
            lambda odd: state_message(pending_prompt_tokens={"i-1": odd}),
        ),
        (state_messages.DECODER, lambda odd: state_message(rollouts=report(at=odd))),
        (
            spending_messages.DECODER,
            lambda odd: spending_messages.SpendingReport(
                [spending_messages.NodeSpending("127.0.0.2", 1, 1, 1.0, "o", odd)]
            ),
        ),
        (spending_messages.DECODER, lambda odd: spending_messages.GrantReply(1, odd)),
        (spending_messages.DECODER, lambda odd: spending_messages.UnitsLeft("o", odd)),
        (
            slot_messages.DECODER,
            lambda odd: slot_messages.SlotRequest(1, "i-1", 0, odd, 1.0),
        ),
        (
            slot_messages.DECODER,
            lambda odd: slot_messages.PoolSlotRequest(1, "s", 0, "", 1.0, odd),
        ),
        (
            origin_messages.DECODER,
            lambda odd: origin_messages.OriginNote([(b"k", "s", "v", odd)]),
        ),
        (
            msgspec.msgpack.Decoder(prompts.PromptAnnouncement),
            lambda odd: prompts.PromptAnnouncement("i-1", odd),
        ),
    ],
)
def test_a_quantity_that_is_no_number_is_not_taken_from_a_message(decoder, build, odd):
    """One made every sum that it entered useless: a limit or a backlog, for good."""
    with pytest.raises(UndecodableError):
        decode(build(odd), decoder)


@pytest.mark.parametrize("value", [b"1e300", b"nan", b"inf", b"%d" % (2 * MAX_NUMBER)])
def test_a_rate_that_a_message_cannot_hold_is_not_taken_from_a_server(value):
    """The nodes that passed one on would not be heard any more."""
    assert parse_rate(value) is None


def test_a_rollout_that_lasts_longer_than_a_message_can_say_is_refused():
    """The nodes that passed one on would not be heard any more."""
    with pytest.raises(msgspec.ValidationError):
        msgspec.convert({"service": "s", "to": "v", "duration_s": 1e300}, OrderDocument)


def test_a_node_reads_its_own_message():
    """A node whose messages are out of range is not heard by any other."""
    peers = Peers(make_context(make_table()))
    assert decode(peers._state_message(gone=False)).node == "n1"


@pytest.mark.parametrize(
    "fields",
    [
        {"server_limits": [("i-1", 1.0, MAX_NUMBER, 1)]},
        {"brittle_servers": [("i-1", 1.0, MAX_NUMBER, 1)]},
        {"rollouts": report(offset=MAX_NUMBER)},
        {"rollouts": report(repeated=MAX_NUMBER)},
        {"rollouts": report(offset=MAX_OFFSET)},
    ],
)
def test_a_value_at_the_limit_of_its_range_silences_no_node(peers, fields, monkeypatch):
    """Passed on, it was out of range, and no node heard that one any more."""
    message = msgspec.msgpack.encode(state_message(**fields))
    peers.context.registry.put(peers.context.wire.decode_server("i-1", entry()))
    peers.datagrams._handle_datagram(message, "127.0.0.2")
    later = time.monotonic() + 10
    clock = SimpleNamespace(monotonic=lambda: later)
    monkeypatch.setattr(stated_values, "time", clock)
    assert decode(peers._state_message(gone=False)).node == "n1"


@pytest.mark.parametrize(
    "document",
    [
        b"",
        b"\xc1",
        b"\x96\x90\x90\x09\x00\x01" + b"\x91" * 60_000,
        snapshot(next_offset=2**60),
        snapshot(next_offset=-1),
        snapshot(age_s=-1e9),
        snapshot(age_s=math.nan),
        snapshot(read=2**63),
        snapshot((-1, "i-1", entry())),
    ],
)
def test_a_snapshot_that_cannot_be_read_is_not_taken(peers, monkeypatch, document):
    """A node that started beside one followed no change of the servers."""
    pull(peers, monkeypatch, document)
    assert peers.lacks_bootstrap()
    assert not peers.context.registry.servers
    pull(peers, monkeypatch, snapshot((1, "i-2", entry())))
    assert set(peers.context.registry.servers) == {"i-2"}


@pytest.mark.parametrize("odd", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_an_odd_entry_in_a_snapshot_is_neither_taken_nor_passed_on(
    peers, monkeypatch, odd
):
    """One odd entry spread from node to node, past the store."""
    pull(peers, monkeypatch, snapshot((1, "odd", odd), (2, "i-2", entry())))
    assert set(peers.context.registry.servers) == {"i-2"}
    assert [key for _, key, _ in peers.bootstrap().servers] == ["i-2"]


def test_an_odd_address_in_a_snapshot_is_neither_taken_nor_passed_on(
    peers, monkeypatch
):
    """Each message was sent to it too, after a question to the resolver."""
    addresses = [*ODD_ADDRESSES, "127.0.0.3"]
    pull(peers, monkeypatch, snapshot(addresses=addresses))
    assert set(peers.known) == {"127.0.0.3"}
    assert peers.bootstrap().addresses == ["127.0.0.3"]
