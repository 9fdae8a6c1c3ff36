import pytest
from core_builders import call, dispatch_all, scheduler
from endive_core.backlogs import Backlogs
from endive_core.calls import Ticket, Tier
from endive_core.exceptions import RetryReason
from endive_core.prefix_fetch import RING_DELAY_S, FetchPlanner
from endive_core.prefixes import part_blocks
from endive_core.ring import HashRing
from endive_core.source_trust import FIRST_PAUSE_S
from endive_core.transfers import ByteBudget, FetchSource, TransferCosts

COSTS = TransferCosts(20_000, 60e9, 400_000)
SHARED = 6_000
BLOCKS, ENDS = part_blocks("m", [(1, SHARED), (2, 1_000)])


def fetching_scheduler(*, servers=4, budget=None, **limits):
    """Return a scheduler whose servers were there before the node."""
    limits = {"affinity_belief": 1.0, "random_candidates": 4} | limits
    made = scheduler(servers=servers, slots=32, **limits)
    planner = FetchPlanner(
        COSTS,
        made.servers,
        budget or ByteBudget(),
        ring_points=made.policy.ring_points,
        ring_depths=made.policy.affinity_candidates,
    )
    made.placement.fetching = planner
    made.placement.backlogs = Backlogs()
    set_sources(made)
    return made


def set_sources(made, now=0.0, **changed):
    """Name all servers as sources, some of them with other figures."""
    sources = {
        server.id: FetchSource(server.id, f"a-{server.id}", server.view.zone)
        for server in made.servers.servers.values()
    } | changed
    made.placement.fetching.set_sources(sources, now)


def prompt(number=0, blocks=BLOCKS, ends=ENDS, **options):
    """Return a call with a shared part."""
    return call(
        number, prompt_tokens=ends[-1], blocks=blocks, block_ends=ends, **options
    )


def send(made, number=0, now=0.0, **options):
    """Offer and dispatch one call; return its ticket."""
    made.offer(prompt(number, **options), now)
    return dispatch_all(made, now)[0].ticket


def serve(made, number=0, now=0.0, **options):
    """Let one call have its first token 0.1 s after its dispatch."""
    ticket = send(made, number, now, **options)
    made.started(ticket, now + 0.1)
    return ticket


def fetch_to(made, server, now, blocks=(BLOCKS, ENDS)):
    """Return the fetch that a call would make at a server."""
    ticket = Ticket(prompt(0, *blocks), now, 0.0)
    planner = made.placement.fetching
    load = made.servers.servers[server]
    return planner.plan(ticket.call, load, planner.offers(ticket, now), now)


def other_than(made, *servers):
    """Return a server that is none of `servers`."""
    return next(s for s in made.servers.servers if s not in servers)


def overload(made, server, tokens=60_000):
    """Let other nodes have prompts waiting at a server for seconds."""
    made.placement.backlogs.receive("other", {server: tokens}, 0.2)


def test_a_prompt_placed_elsewhere_names_the_server_that_answered_one():
    """Its shared part was computed again at each server, 13.0 million of 69.2 million
    prompt tokens on one day."""
    made = fetching_scheduler()
    holder = serve(made).server
    overload(made, holder)
    ticket = send(made, 1, 0.2)
    assert ticket.server != holder
    assert ticket.fetch.source.id == holder
    assert ticket.fetch.tokens == SHARED
    assert ticket.uncached_tokens == 1_000


def test_a_server_that_has_the_part_fetches_nothing():
    """Each request would pay the set-up of a transfer that copies nothing."""
    made = fetching_scheduler()
    assert serve(made).fetch is None
    assert serve(made, 1, 0.2).fetch is None


def test_the_own_part_is_never_fetched():
    """No other request has the last part, so nobody holds it."""
    blocks, ends = part_blocks("m", [(7, 6_000)])
    made = fetching_scheduler()
    holder = serve(made, blocks=blocks, ends=ends).server
    overload(made, holder)
    assert send(made, 1, 0.2, blocks=blocks, ends=ends).fetch is None


def test_a_part_that_was_not_seen_here_is_counted_as_work():
    """The server it hashes to may not have it; if its prefill were taken as saved, a
    backlog of unseen parts would look empty."""
    made = fetching_scheduler()
    owner = send(fetching_scheduler()).server
    overload(made, owner)
    ticket = send(made, 0, 0.2)
    assert ticket.fetch.source.id == owner
    assert ticket.uncached_tokens == ENDS[-1]


def test_a_server_that_joined_the_ring_fetches_from_its_predecessor():
    """All that hashes to a server that has just started is where it hashed before."""
    made = fetching_scheduler()
    owner = send(made).server
    set_sources(made, **{owner: FetchSource(owner, "x", "z", since=-1.0)})
    fetch = fetch_to(made, owner, 0.0, blocks=part_blocks("m", [(1, SHARED), (3, 9)]))
    assert fetch is None  # it was sent the part, and will have it
    made.placement.fetching.holders.parts.clear()
    fetch = fetch_to(made, owner, 0.0)
    others = HashRing(points=made.policy.ring_points)
    others.set_members(s for s in made.servers.servers if s != owner)
    assert fetch.source.id == others.candidates(str(BLOCKS[0]), 1)[0]
    assert fetch_to(made, owner, RING_DELAY_S) is None


def test_what_hashed_to_a_lost_server_is_not_expected_at_its_successor():
    """After a reclaim, its keys hash to others, which never had them."""
    made = fetching_scheduler()
    owner = send(made).server
    planner = made.placement.fetching
    left = {k: v for k, v in planner.sources.items() if k != owner}
    planner.set_sources(left, 1.0)
    made.set_servers([s.view for s in made.servers.servers.values() if s.id != owner])
    assert send(made, 1, 1.0).fetch is None


@pytest.mark.parametrize(
    "changed",
    [
        FetchSource("s", "a", "z0", incarnation=1),
        FetchSource("s", "a", "z0", software_version="v2"),
        FetchSource("s", "a", "z0", until=0.2),
        FetchSource("s", "a", "z0", until=0.2015),
        None,
    ],
    ids=["restarted", "other version", "gone", "ends during the transfer", "unknown"],
)
def test_a_server_that_can_not_be_a_source_is_not_named(changed):
    """The request would wait for a server that has nothing or does not answer."""
    made = fetching_scheduler(affinity_candidates=0)
    holder = serve(made).server
    overload(made, holder)
    planner = made.placement.fetching
    sources = {k: v for k, v in planner.sources.items() if k != holder}
    if changed is not None:
        sources[holder] = FetchSource(
            holder,
            "a",
            changed.zone,
            changed.incarnation,
            until=changed.until,
            software_version=changed.software_version,
        )
    planner.set_sources(sources, 0.2)
    assert send(made, 1, 0.2).fetch is None


def test_a_leaving_server_is_a_source_until_its_end():
    """A server under a reclaim notice gets no requests but still has its parts."""
    made = fetching_scheduler()
    holder = serve(made).server
    made.set_servers([s.view for s in made.servers.servers.values() if s.id != holder])
    set_sources(made, **{holder: FetchSource(holder, "a", "z0", until=2.0)})
    assert send(made, 1, 0.5).fetch.source.id == holder
    assert send(made, 2, 2.5).fetch is None


def test_a_paused_or_silent_source_is_not_named():
    """A fetch from a server that failed delays the request."""
    made = fetching_scheduler(affinity_candidates=0)
    holder = serve(made).server
    made.pause(holder, 0.2)
    assert send(made, 1, 0.2).fetch is None
    made = fetching_scheduler(affinity_candidates=0)
    holder = serve(made).server
    overload(made, holder)
    made.placement.fetching.is_silent = {holder}.__contains__
    assert send(made, 1, 0.2).fetch is None


def test_a_part_is_not_expected_where_it_was_used_long_ago():
    """It is evicted by then."""
    made = fetching_scheduler(affinity_candidates=0)
    holder = serve(made).server
    hold_s = COSTS.hold_s(20_000.0)
    made.placement.backlogs.receive("other", {holder: 60_000}, hold_s + 1)
    assert send(made, 1, hold_s + 1).fetch is None


def test_a_short_part_is_computed():
    """A transfer takes longer than the prefill of some tokens."""
    blocks, ends = part_blocks("m", [(1, 40), (2, 1_000)])
    made = fetching_scheduler()
    holder = serve(made, blocks=blocks, ends=ends).server
    overload(made, holder)
    assert send(made, 1, 0.2, blocks=blocks, ends=ends).fetch is None


def test_a_failed_fetch_is_retried_without_one_and_pauses_its_source():
    """A dead source would otherwise delay the same request again, and the next ones."""
    made = fetching_scheduler()
    holder = serve(made).server
    overload(made, holder)
    ticket = send(made, 1, 0.2)
    made.failed(ticket, 0.3, RetryReason.FETCH_FAILED, started=True)
    made.requeue(ticket)
    again = dispatch_all(made, 0.3)[0].ticket
    assert again is ticket
    assert again.fetch is None
    third = other_than(made, holder, ticket.server, again.server)
    assert fetch_to(made, third, 0.3) is None
    assert fetch_to(made, third, 0.4 + FIRST_PAUSE_S).source.id == holder


def test_a_source_is_not_named_while_a_request_hangs_on_it():
    """Until the first such request ends, all others would name the source too."""
    made = fetching_scheduler()
    holder = serve(made).server
    overload(made, holder)
    ticket = send(made, 1, 0.2)
    third = other_than(made, holder, ticket.server)
    assert fetch_to(made, third, ticket.fetch_due_at - 0.01).source.id == holder
    assert fetch_to(made, third, ticket.fetch_due_at + 0.01) is None


def test_a_request_that_is_late_anyway_is_not_soon_sent_again():
    """In an overload all requests begin late. Those that fetch were sent again after
    their target, and computed twice."""
    tickets = []
    for target_s in (2.0, 0.001):
        made = fetching_scheduler()
        overload(made, serve(made).server)
        tickets.append(send(made, 1, 0.2, target_s=target_s, deadline=10.2))
    soon, late = tickets
    assert soon.fetch_resend_at == soon.fetch_due_at < 2.2
    assert late.fetch_due_at < late.fetch_resend_at == pytest.approx(5.2)


def test_fetched_tokens_do_not_teach_the_prefill_rate():
    """Engines would look as fast as links, and autoscaling would order too few."""
    made = fetching_scheduler()
    learned = []
    made.first_tokens.prefill = type(
        "Rate", (), {"learn": lambda self, *s: learned.append(s), "tokens_per_s": 2e4}
    )()
    holder = serve(made).server
    overload(made, holder)
    assert serve(made, 1, 0.2).fetch is not None
    assert len(learned) == 1


def test_the_bound_on_bytes_holds():
    """A share smaller than one fetch still lets some through, and no more than it."""
    size = SHARED * COSTS.bytes_per_token
    budget = ByteBudget(size / 2)
    taken = 0
    for tick in range(1_000):
        if budget.is_open(tick / 10):
            budget.take(size)
            taken += 1
    assert 49 <= taken <= 52
    assert not ByteBudget(0.0).is_open(1.0)


def test_a_crash_suspect_fetches_nothing():
    """A trial that fetched a suspected part would clear it without computing it."""
    made = fetching_scheduler()
    holder = serve(made).server
    overload(made, holder)
    made.offer(prompt(1), 0.2)
    next(iter(made.queue.heads(1))).suspect = True
    assert dispatch_all(made, 0.2)[0].ticket.fetch is None


def test_the_earliest_server_is_expected_to_fetch():
    """It was taken to compute the whole prompt, and calls that it could have served in
    time were given up."""
    made = fetching_scheduler()
    holder = serve(made).server
    overload(made, holder)
    ticket = Ticket(prompt(1), 0.2, 0.0)
    server = made.placement.earliest_server(ticket, 0.2, Tier.WITHIN_SHARE)
    assert server.id != holder
    assert ticket.fetch.source.id == holder
    assert ticket.uncached_tokens == 1_000
