"""Placement: which server a call goes to.

The load this is for: skewed demand, where many calls share a few prompt prefixes.
Without affinity each server computes each prefix again; with affinity alone, the
servers of the popular prefixes drown while others idle. So a few candidates are
compared (the prefix's own servers, those believed to hold it, and some with room at
random) by predicted wait against prompt tokens to compute, with the deployment's own
weights. A few random candidates are enough to find a short wait, and since each node
draws others, nodes that read the same late report don't all run to one server.
"""

from endive_core.calls import Call, Ticket
from endive_core.policy import Policy
from endive_core.prefixes import BLOCK_TOKENS, PrefixIndex
from endive_core.ring import HashRing
from endive_core.servers import Random, ServerLoad, ServerSet

AFFINITY_BLOCKS = 8
"""Leading blocks that choose the affinity server, 128 tokens: a system prompt and the
start of a conversation. Fewer and one organisation's calls all meet on one server;
more and the turns of one conversation no longer meet."""


class Placement:
    """Chooses the server for a ticket among those with room.

    Callers meet it as the wait for the first token, operators as recomputed tokens.
    """

    def __init__(self, policy: Policy, servers: ServerSet, random: Random) -> None:
        self.policy = policy
        self.servers = servers
        self.random = random
        self.ring = HashRing(points=policy.ring_points)
        self.prefixes = PrefixIndex(max_blocks=policy.max_known_blocks)

    def set_members(self, members: list[str]) -> None:
        """Place the servers that take work on the ring."""
        self.ring.set_members(members)

    def choose(self, ticket: Ticket, *, spare: bool) -> ServerLoad | None:
        """Return the best server with room, or ``None`` if no candidate has any.

        Parameters
        ----------
        spare : bool
            Whether the servers' reserve must stay free.
        """
        best, best_score = None, 0.0
        for server in self._candidates(ticket, spare=spare):
            score = self.score(ticket.call, server)
            if best is None or score < best_score:
                best, best_score = server, score
        return best

    def _candidates(self, ticket: Ticket, *, spare: bool) -> list[ServerLoad]:
        policy = self.policy
        found = []
        if ticket.call.blocks:
            found = self._affinity(ticket.call, spare=spare)
        found += self.servers.open[spare].sample(
            policy.random_candidates, self.random.randrange
        )
        allowed = [server for server in found if self._allowed(ticket, server)]
        if allowed or not (ticket.avoid or ticket.suspect):
            return allowed
        members = self.servers.open[spare].items
        return [server for server in members if self._allowed(ticket, server)]

    def _allowed(self, ticket: Ticket, server: ServerLoad) -> bool:
        if server.id in ticket.avoid:
            return False
        # Of several requests that ran on a crashed server one may be poison. Apart
        # from each other, the next crash names it and no innocent one is refused.
        return not (ticket.suspect and server.starting_suspects)

    def _affinity(self, call: Call, *, spare: bool) -> list[ServerLoad]:
        """Return the prefix's servers that have room and aren't over the load bound.

        The bound keeps one popular prefix from filling its server while others idle.
        """
        depth = min(len(call.blocks), AFFINITY_BLOCKS)
        names = self.ring.candidates(
            call.blocks[depth - 1], self.policy.affinity_candidates
        )
        names += list(self.prefixes.deepest_holders(call.blocks))[:2]
        bound = self.policy.load_bound * self.servers.mean_utilisation
        found = []
        for name in names:
            server = self.servers.servers.get(name)
            if server is None or server.id not in self.servers.open[spare].positions:
                continue
            slots = server.view.max_concurrent
            if server.load <= bound * slots + 1:
                found.append(server)
        return found

    def score(self, call: Call, server: ServerLoad) -> float:
        """Return the weighed cost of sending `call` to `server`, in seconds."""
        view = server.view
        uncached = self.uncached_tokens(call, server)
        wait = self.wait_s(server)
        compute = uncached / view.prefill_tokens_per_s
        weights = call.weights
        return server.slowness * (
            weights.wait * (wait + compute) + weights.recompute * compute
        )

    def wait_s(self, server: ServerLoad) -> float:
        """Return the predicted wait for the first prefill step at `server`, seconds."""
        view = server.view
        waiting = server.starting_tokens / view.prefill_tokens_per_s
        crowding = server.utilisation / view.decode_tokens_per_s
        return waiting + crowding

    def uncached_tokens(self, call: Call, server: ServerLoad) -> float:
        """Return the prompt tokens that `server` is believed to have to compute."""
        if not call.blocks:
            return float(call.prompt_tokens)
        cached = self.prefixes.cached_blocks(server.id, call.blocks)
        return float(max(0, call.prompt_tokens - cached * BLOCK_TOKENS))
