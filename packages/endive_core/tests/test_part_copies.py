from core_builders import call, dispatch_all, scheduler

BLOCKS, ENDS = (4, 8, 12), (500, 6500, 9000)


def prompt(number=0):
    return call(number, prompt_tokens=ENDS[-1], blocks=BLOCKS, block_ends=ENDS)


def copies(seed=1, *, copies=3):
    made = scheduler(servers=8, seed=seed, affinity_copies=copies)
    return made.placement.copies


def holders(made, waits):
    """Return the servers with the session's part, if `waits` are those in its order."""
    order = made.ring.candidates(str(BLOCKS[1]), 8)
    found = made.servers_of(prompt(), dict(zip(order, waits, strict=False)).get)
    return [order.index(name) for name, depth in found.items() if depth == 2]


def test_a_part_has_one_copy_while_its_server_is_free():
    """A second server that always counts as a holder shares the requests of each part
    from the start, so that every part is prefilled twice."""
    assert holders(copies(), [0.0] * 8) == [0]


def test_a_further_copy_is_added_only_where_those_before_it_are_busy():
    """The time of the prefill is 0.325 s; a wait of a quarter of it is no reason."""
    assert holders(copies(), [0.08] + [0.0] * 7) == [0]
    assert holders(copies(), [0.09] + [0.0] * 7) == [0, 1]
    assert holders(copies(), [0.09, 0.09] + [0.0] * 6) == [0, 1, 2]


def test_copies_are_bounded_and_can_be_disabled():
    busy = [float("inf")] * 8
    assert holders(copies(copies=2), busy) == [0, 1]
    assert holders(copies(copies=1), busy) == [0]


def test_nodes_agree_on_the_further_copies_without_communication():
    """If each node chose the second server itself, as many copies as nodes would be
    prefilled."""
    found = set()
    for seed in range(7):
        made = copies(seed, copies=2)
        made.servers_of(prompt(), lambda name: 1.0)
        found.add(frozenset(made.further))
    assert len(found) == 1


def test_a_closed_server_holds_no_further_copy():
    made = copies(copies=2)
    second = made.ring.candidates(str(BLOCKS[1]), 2)[1]
    made.servers.servers[second].throttled = True
    assert holders(made, [1.0] * 8) == [0]


def test_one_server_left_takes_all_requests():
    """With one server the ring has no next one, and the wait there is infinite."""
    made = scheduler(servers=1, slots=64, affinity_copies=3)
    for number in range(9):
        made.offer(prompt(number), 0.0)
    sent = dispatch_all(made)
    assert {dispatch.server for dispatch in sent} == {"s0"}
    assert not any(dispatch.ticket.at_further_copy for dispatch in sent)


def test_tickets_say_whether_they_go_to_a_further_copy():
    made = scheduler(servers=8, slots=64, affinity_copies=2, affinity_belief=1.0)
    first, second = made.placement.ring.candidates(str(BLOCKS[1]), 2)
    sent = []
    for number in range(2):
        made.offer(prompt(number), 0.0)
        sent += dispatch_all(made)
    assert [d.server for d in sent] == [first, second]
    assert [d.ticket.at_further_copy for d in sent] == [False, True]
