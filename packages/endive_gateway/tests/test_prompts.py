import gevent
from endive_core.backlogs import Backlogs
from endive_gateway.prompts import NOTED_S, PromptAnnouncer

RATE = 40_000.0
PORT = 47_821


def make_notes(others=("127.0.0.1",)):
    return PromptAnnouncer(Backlogs(), lambda: list(others), lambda: 10.0)


def test_other_nodes_hear_of_a_long_prompt_at_once():
    """A node sends a prompt that takes its server a second. Until the others hear of
    it they send short ones there, which wait behind it."""
    notes = make_notes()
    notes.datagrams.start("127.0.0.1", PORT)
    notes.announce("s1", 40_000.0, 1.0)
    gevent.sleep(0.05)
    notes.datagrams.stop()
    assert notes.backlogs.tokens("s1", 10.0, RATE) == 40_000.0


def test_short_prompts_cost_no_datagram():
    notes = make_notes()
    notes.announce(
        "s1", 1_000.0, 0.9 * NOTED_S
    )  # no port is open, so sending would fail


def test_rubbish_is_dropped():
    notes = make_notes()
    notes.datagrams.start("127.0.0.1", PORT + 1)
    for data in (b"", b"\xc1", b"\x92\x01\x02"):
        notes.datagrams.socket.sendto(data, ("127.0.0.1", PORT + 1))
    notes.announce("s2", 20_000.0, 0.5)
    gevent.sleep(0.05)
    notes.datagrams.stop()
    assert notes.backlogs.tokens("s2", 10.0, RATE) == 20_000.0
