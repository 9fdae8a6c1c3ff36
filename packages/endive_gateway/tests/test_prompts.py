import gevent
from endive_core.backlogs import Backlogs
from endive_gateway.prompts import MIN_ANNOUNCED_PREFILL_S, PromptAnnouncer

RATE = 40_000.0
PORT = 47_821


def make_announcer(peers=("127.0.0.1",)):
    return PromptAnnouncer(Backlogs(), lambda: list(peers), lambda: 10.0)


def test_other_nodes_hear_of_a_long_prompt_at_once():
    """A node sends a prompt that occupies its server for a second. Other nodes that
    don't know of it send short prompts there, which wait behind it."""
    announcer = make_announcer()
    announcer.datagrams.start("127.0.0.1", PORT)
    announcer.announce("s1", 40_000.0, 1.0)
    gevent.sleep(0.05)
    announcer.datagrams.stop()
    assert announcer.backlogs.tokens("s1", 10.0, RATE) == 40_000.0


def test_short_prompts_cost_no_datagram():
    announcer = make_announcer()
    announcer.announce(
        "s1", 1_000.0, 0.9 * MIN_ANNOUNCED_PREFILL_S
    )  # sending would fail: no port is open


def test_rubbish_is_dropped():
    announcer = make_announcer()
    announcer.datagrams.start("127.0.0.1", PORT + 1)
    for data in (b"", b"\xc1", b"\x92\x01\x02"):
        announcer.datagrams.socket.sendto(data, ("127.0.0.1", PORT + 1))
    announcer.announce("s2", 20_000.0, 0.5)
    gevent.sleep(0.05)
    announcer.datagrams.stop()
    assert announcer.backlogs.tokens("s2", 10.0, RATE) == 20_000.0
