from collections import Counter

from core_builders import call, dispatch_all, scheduler

PREFIX = tuple(range(1, 60 * 4, 4))


def sent(made, number=0, blocks=PREFIX):
    made.offer(call(number, prompt_tokens=1000, blocks=blocks), 0.0)
    return dispatch_all(made)[0].server


def test_nodes_agree_on_the_server_of_a_prefix_without_communication():
    chosen = {sent(scheduler(servers=8, slots=32, seed=seed)) for seed in range(7)}
    assert len(chosen) == 1


def test_zero_affinity_candidates_disable_prefix_affinity():
    """With ``affinity_candidates`` set to zero, all prefix lengths of the prompt were
    hashed instead of none, so that the nodes still agreed on a server."""
    chosen = {
        sent(scheduler(servers=8, slots=32, seed=seed, affinity_candidates=0))
        for seed in range(7)
    }
    assert len(chosen) > 1


def test_popular_prefix_does_not_fill_its_server_while_others_idle():
    """All calls share one long system prompt. With affinity alone they would all be
    sent to one server."""
    made = scheduler(servers=8, slots=32)
    taken = Counter(sent(made, number) for number in range(60))
    assert max(taken.values()) < 20


def test_stale_cache_event_costs_no_call():
    """A cache event says that a server holds the prefix, but the server is leaving."""
    made = scheduler(servers=3, slots=8)
    made.cache_event("s0", 0, stored=True, blocks=list(PREFIX))
    made.leaving("s0")
    assert sent(made) != "s0"


def test_plain_call_goes_where_there_is_room():
    made = scheduler(servers=2, slots=1)
    assert {sent(made, n, blocks=()) for n in range(2)} == {"s0", "s1"}


def test_suspects_of_a_crash_start_on_different_servers():
    """Two requests ran on a server that crashed, and one of them is the cause. If both
    were sent to the same server again, the next crash would be counted against both."""
    made = scheduler(servers=3, slots=8)
    for number in range(2):
        made.offer(call(number, fingerprint=f"f{number}"), 0.0)
    for ticket in [dispatch.ticket for dispatch in dispatch_all(made)]:
        ticket.suspect = True
        made.cancelled(ticket, 0.0)
    first, second = (made.take_over(call(n, fingerprint=f"f{n}"), 1.0) for n in (0, 1))
    first.suspect = second.suspect = True
    servers = {dispatch.server for dispatch in dispatch_all(made, 1.0)}
    assert len(servers) == 2
