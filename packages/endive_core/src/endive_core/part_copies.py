"""Decides to which servers the shared parts of a prompt hash, and on how many.

A part hashes to a first server, which serves all its requests while it can. Requests
that placement diverts from there to servers drawn at random leave a copy of the part at
each: 0.54 to 0.87 of the recomputed tokens in simulations were copies beyond what the
part's rate required (docs/design/uneven-demand.md). So a further copy is put on the
next server in the part's order on the ring, which is the same at all nodes, and only
while the wait at the servers before it is long compared with the prefill of the part.

No rate is counted: one of 86 nodes sees a session's part once in minutes, and the
waits, which nodes exchange, grow with the rate of all.
"""

from collections.abc import Callable

from endive_core.calls import Call
from endive_core.policy import Policy
from endive_core.ring import HashRing
from endive_core.servers import ServerSet

AFFINITY_DEPTHS = (8, 12, 18, 27, 41, 61, 92, 138)
"""Prefix lengths, in blocks, whose hashes choose affinity servers. Of those that a
prompt reaches, the longest are used, by default two. A single length would be too short
for a long system prompt, so that all calls of one organisation hash to one server, or
too long for a short one. With two, a conversation that grows past a length still hashes
to the server of its previous turn."""

CLOSED_CANDIDATES = 4
"""Servers to which a prefix hashes, one after the other, that are tried if the first
ones are throttled or rest. All nodes then go to the same one."""


class PartCopies:
    """Servers to which the shared parts of prompts hash.

    Attributes
    ----------
    further : set of str
        Servers of further copies that the last call may be sent to.
    """

    def __init__(self, policy: Policy, servers: ServerSet, ring: HashRing) -> None:
        self.policy = policy
        self.servers = servers
        self.ring = ring
        self.further: set[str] = set()

    def servers_of(self, call: Call, wait_s: Callable[[str], float]) -> dict[str, int]:
        """Return the servers to which the longest prefixes hash, with prefix lengths.

        They are assumed to hold part of the prefix even if no cache event said so,
        because every node sends the prefix to them. A node that has just started, or
        that has lost events, thus still finds what other nodes have had computed.

        Parameters
        ----------
        wait_s : callable
            Returns the predicted wait at a server, infinite if it may not be used.
        """
        self.further = set()
        if not (call.blocks and self.policy.affinity_candidates):
            return {}
        if call.block_ends:
            # Requests share the parts before the last, which belongs to one request
            # or session.
            depths = list(range(1, max(2, len(call.blocks))))
        else:
            depths = [depth for depth in AFFINITY_DEPTHS if depth <= len(call.blocks)]
        wanted = depths[-self.policy.affinity_candidates :] or [len(call.blocks)]
        found: dict[str, int] = {}
        for depth in reversed(wanted):
            name = self._first_server(str(call.blocks[depth - 1]))
            if name is not None:
                found.setdefault(name, depth)
        if found:
            self._add_further(call, wanted[-1], found, wait_s)
        return found

    def _add_further(
        self,
        call: Call,
        depth: int,
        found: dict[str, int],
        wait_s: Callable[[str], float],
    ) -> None:
        """Add the further servers of the longest prefix that its load requires."""
        name = next(iter(found))
        if self.policy.affinity_copies < 2 or name not in self.servers.servers:
            return
        rate = self.servers.servers[name].view.prefill_tokens_per_s
        prefill_s = call.cached_tokens(depth) / rate
        bound_s = self.policy.affinity_copy_wait * prefill_s
        if wait_s(name) <= bound_s:
            return
        key = str(call.blocks[depth - 1])
        for other in self.ring.candidates(key, self.policy.affinity_copies):
            if other == name or self._is_closed(other):
                continue
            if found.get(other, 0) < depth:
                found[other] = depth
                self.further.add(other)
            if wait_s(other) <= bound_s:
                break

    def _first_server(self, key: str) -> str | None:
        """Return the server to which `key` hashes, past those that are closed."""
        names = self.ring.candidates(key, 1)
        if names and self._is_closed(names[0]):
            names = self.ring.candidates(key, CLOSED_CANDIDATES)
            names = [name for name in names if not self._is_closed(name)]
        return names[0] if names else None

    def _is_closed(self, name: str) -> bool:
        server = self.servers.servers.get(name)
        return server is not None and (server.throttled or server.resting)
