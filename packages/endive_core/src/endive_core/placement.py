"""Placement: which server a call goes to.

The load this is for: skewed demand, where many calls share a few prompt prefixes.
Without affinity each server computes each prefix again; with affinity alone, the
servers of the popular prefixes drown while others idle. So a few candidates are
compared (the prefix's own servers, those believed to hold it, and some with room at
random) by predicted wait against prompt tokens to compute, with the deployment's own
weights. A few random candidates are enough to find a short wait, and since each node
draws others, nodes that read the same late report don't all run to one server.
"""

from dataclasses import dataclass
from itertools import islice

from endive_core.backlogs import Backlogs
from endive_core.calls import Call, Ticket, Tier
from endive_core.policy import Policy
from endive_core.prefixes import PrefixIndex
from endive_core.ring import HashRing
from endive_core.servers import Random, ServerLoad, ServerSet

AFFINITY_DEPTHS = (8, 12, 18, 27, 41, 61, 92, 138)
"""Numbers of leading blocks that may choose affinity servers; the deepest two that a
prompt has are used. A single depth would be too short for a long system prompt, so
that one organisation's calls all meet on one server, or too long for a short one. With
two, a conversation that grows past a depth still meets its last turn's server."""

KNOWN_HOLDERS = 2
"""Servers tried because they are believed to hold the longest known prefix."""


@dataclass(frozen=True, slots=True)
class Outlook:
    """What a call may expect at a server.

    Attributes
    ----------
    late_s : float
        How long after its deadline the server would begin it, seconds.
    yields : bool
        Whether it goes behind all others there.
    """

    late_s: float
    yields: bool


IN_TURN = Outlook(0.0, yields=False)


class Placement:
    """Chooses the server for a ticket among those with room.

    Callers meet it as the wait for the first token, operators as recomputed tokens.

    Attributes
    ----------
    backlogs : Backlogs or None
        What other nodes wait for, if they tell.
    """

    def __init__(self, policy: Policy, servers: ServerSet, random: Random) -> None:
        self.policy = policy
        self.servers = servers
        self.random = random
        self.ring = HashRing(points=policy.ring_points)
        self.prefixes = PrefixIndex(max_blocks=policy.max_known_blocks)
        self.backlogs: Backlogs | None = None

    def set_members(self, members: list[str]) -> None:
        """Place the servers that take work on the ring."""
        self.ring.set_members(members)

    def choose(self, ticket: Ticket, now: float, tier: Tier) -> ServerLoad | None:
        """Return the best server with room, or ``None`` if no candidate has any."""
        call = ticket.call
        cached = self.prefixes.prefix_holders(call.blocks)
        hashed = self._hashed(call) if call.blocks else {}
        expected = {
            name: max(cached.get(name, 0), int(depth * self.policy.affinity_belief))
            for name, depth in hashed.items()
        }
        expected = cached | expected
        best, best_score = None, 0.0
        for server in self._candidates(
            ticket, [*islice(cached, KNOWN_HOLDERS), *hashed], tier
        ):
            if tier and server.prefill_paced_until > now + self.policy.prefill_burst_s:
                continue
            score = self.score(call, server, expected.get(server.id, 0), now)
            if best is None or score < best_score:
                best, best_score = server, score
        if best is not None:
            ticket.uncached_tokens = _uncached(call, cached.get(best.id, 0))
        return best

    def pace(self, server: ServerLoad, tokens: float, now: float) -> None:
        """Count prefill work sent to `server` against this node's part of its rate.

        A batch that fills all free slots at once would leave a second of prefill work
        before the next caller's first token, though slots are free.
        """
        rate = server.view.prefill_tokens_per_s * self.servers.share
        begins = max(now, server.prefill_paced_until)
        server.prefill_paced_until = begins + tokens / rate

    def _candidates(
        self, ticket: Ticket, names: list[str], tier: Tier
    ) -> list[ServerLoad]:
        found = self._within_bound(names, tier)
        found += self.servers.available[tier].sample(
            self.policy.random_candidates, self.random.randrange
        )
        allowed = [s for s in found if self._allowed(ticket, s, tier)]
        if allowed or not (ticket.avoid or ticket.suspect):
            return allowed
        return self._all_allowed(ticket, tier)

    def _all_allowed(self, ticket: Ticket, tier: Tier) -> list[ServerLoad]:
        open_servers = self.servers.available[tier].items
        return [s for s in open_servers if self._allowed(ticket, s, tier)]

    def _allowed(self, ticket: Ticket, server: ServerLoad, tier: Tier) -> bool:
        if server.id in ticket.avoid:
            return False
        if not self.servers.has_room(server, tier):
            return False
        # Of several requests that ran on a crashed server one may be poison. Apart
        # from each other, the next crash names it and no innocent one is refused.
        return not (ticket.suspect and server.starting_suspects)

    def _within_bound(self, names: list[str], tier: Tier) -> list[ServerLoad]:
        """Return the prefix's servers that have room and aren't over the load bound.

        The bound keeps one popular prefix from filling its server while others idle.
        """
        open_servers = self.servers.available[tier].positions
        bound = self.policy.load_bound * self.servers.mean_utilisation
        found = []
        for name in names:
            if name not in open_servers:
                continue
            server = self.servers.servers[name]
            if server.load <= bound * server.view.max_concurrent + 1:
                found.append(server)
        return found

    def _hashed(self, call: Call) -> dict[str, int]:
        """Return the servers that the deepest affinity depths hash to, with the depth.

        They are believed to hold part of the prefix, though no event said so: every
        node sends it there, so the belief comes true. A node that has just started,
        or whose events were lost, thus still finds what others had computed.
        """
        if not self.policy.affinity_candidates:
            return {}
        if call.block_ends:
            # The last part belongs to one request or session; those before it are
            # what requests share.
            depths = list(range(1, max(2, len(call.blocks))))
        else:
            depths = [depth for depth in AFFINITY_DEPTHS if depth <= len(call.blocks)]
        wanted = depths[-self.policy.affinity_candidates :] or [len(call.blocks)]
        found: dict[str, int] = {}
        for depth in reversed(wanted):
            for name in self.ring.candidates(str(call.blocks[depth - 1]), 1):
                found.setdefault(name, depth)
        return found

    def score(
        self, call: Call, server: ServerLoad, cached_blocks: int, now: float
    ) -> float:
        """Return the weighed cost of sending `call` to `server`, in seconds."""
        compute = _uncached(call, cached_blocks) / server.view.prefill_tokens_per_s
        weights = call.weights
        return server.slowness * (
            weights.wait * (self.wait_s(server, now) + compute)
            + weights.recompute * compute
        )

    def wait_s(self, server: ServerLoad, now: float) -> float:
        """Return the predicted wait for the first prefill step at `server`, seconds.

        The fewer slots the report leaves free, the likelier another node takes the
        last one first, and the request waits for a stream to end.
        """
        view = server.view
        rate = view.prefill_tokens_per_s
        tokens = server.starting_tokens
        if self.backlogs is not None:
            tokens += self.backlogs.tokens(server.id, now, rate)
        waiting = tokens / rate
        free = max(0, view.max_concurrent - server.load)
        return waiting + self.policy.crowding_s / (1 + free)

    def earliest_server(
        self, ticket: Ticket, now: float, tier: Tier
    ) -> ServerLoad | None:
        """Return the server with room that would begin a call first, if any has room.

        A few candidates are enough to find a short wait, not to say that there is none:
        before a call is given up all servers are looked at.
        """
        ticket.uncached_tokens = float(ticket.call.prompt_tokens)
        allowed = self._all_allowed(ticket, tier)
        return min(allowed, key=lambda s: self.wait_s(s, now), default=None)

    def predict_start(self, ticket: Ticket, server: ServerLoad, now: float) -> Outlook:
        """Return what a call may expect at `server`.

        The load this is for: reclaims leave fewer servers than the load needs. Engines
        take every prompt into their batches, so none waits in a node's queue, and each
        is behind all others at its server: 643 callers of 17,400 hung up before their
        first token, while what was computed for them held up the next ones. With such
        prompts refused at once it were 378, and 50 more short prompts came in time (one
        day with 85 nodes, one play each).

        Where others' backlogs aren't told nothing is known well enough to say more than
        that the call has its turn. So it is for a further attempt, whose caller has
        waited already.
        """
        if self.backlogs is None or ticket.attempt:
            return IN_TURN
        rate = server.view.prefill_tokens_per_s
        wait_s = self.wait_s(server, now)
        begins_s = wait_s + ticket.uncached_tokens / rate
        yields = self._yields(ticket, wait_s, begins_s, now)
        deadline = ticket.call.deadline
        if deadline is None:
            return Outlook(0.0, yields)
        if yields:
            begins_s += self.servers.yielding_tokens_at(server) / rate
        return Outlook(max(0.0, now + begins_s - deadline), yields)

    def _yields(
        self, ticket: Ticket, wait_s: float, begins_s: float, now: float
    ) -> bool:
        """Return whether a call goes behind all others at its server.

        The load this is for: for some seconds after a reclaim one server does the work
        of three. Taken in turn, each prompt waits behind all before it, and all come a
        little too late. So one that is expected after its target anyway goes behind
        those that can still be in time, and no longer counts in what they wait for.
        The worst two seconds of a day then have 0.58 of what is owed instead of 0.52
        (mean of 33 days played both ways); with twice a server's work for four seconds
        39 of 80 callers are in time instead of 7.

        A prompt whose own computation takes longer than its target isn't put back while
        its wait is short: it would be the last one always.
        """
        target_s = ticket.call.target_s
        if wait_s <= self.policy.yield_wait_part * target_s:
            return False
        return now + begins_s > ticket.accepted_at + target_s


def _uncached(call: Call, cached_blocks: int) -> float:
    return float(max(0, call.prompt_tokens - call.cached_tokens(cached_blocks)))
