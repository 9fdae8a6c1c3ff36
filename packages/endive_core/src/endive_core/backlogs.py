"""Prompts that other nodes have sent to servers and that have no first token yet.

The load this is for: prompts with a heavy tail. One of 50,000 tokens takes its server a
second; whatever comes there meanwhile waits behind it, while other servers idle. The
node that sent it knows, the others don't: a server's own reports come with its answers,
a node that sends four requests a second to twelve servers sees each of them every three
seconds.

So the nodes tell each other the tokens by server, and each takes off what the server
has presumably computed since. Of 520 long prompts a day 33 were late instead of 38, of
1,800 short ones 10 instead of 16 (means of 25 days played both ways). Told four times
as often, 32 and 8.
"""

from collections.abc import Mapping

MOST_TOLD = 16
"""Servers in one telling, those with most tokens: some 300 bytes of a datagram."""

LEAST_TOKENS = 500.0
"""Tokens at a server from which it is told: ten milliseconds of one, less than what a
telling is late."""

FORGOTTEN_S = 3.0
"""Time after which what a node told counts no more, seconds: three tellings among a
hundred nodes. A node that is gone no longer waits for its prompts."""


class Backlogs:
    """Tokens that other nodes wait for, by server."""

    def __init__(self) -> None:
        self.by_server: dict[str, dict[str, tuple[float, float]]] = {}
        self.by_node: dict[str, set[str]] = {}

    def receive(self, node: str, tokens: Mapping[str, float], now: float) -> None:
        """Take over the tokens by server that another node waits for."""
        for server in self.by_node.get(node, set()) - tokens.keys():
            told = self.by_server[server]
            del told[node]
            if not told:
                del self.by_server[server]
        for server, count in tokens.items():
            self.by_server.setdefault(server, {})[node] = (count, now)
        self.by_node[node] = set(tokens)

    def add(self, node: str, server: str, tokens: float, now: float) -> None:
        """Count a prompt that another node has just sent; its next telling has it."""
        told = self.by_server.setdefault(server, {})
        before, _ = told.get(node, (0.0, now))
        told[node] = (before + tokens, now)
        self.by_node.setdefault(node, set()).add(server)

    def tokens(self, server: str, now: float, tokens_per_s: float) -> float:
        """Return the tokens that a server presumably has still to compute for others.

        Parameters
        ----------
        tokens_per_s : float
            The server's prefill rate. It works for all nodes in turn, so the time since
            they told counts once for all.
        """
        told = self.by_server.get(server)
        if not told:
            return 0.0
        recent = [entry for entry in told.values() if now - entry[1] < FORGOTTEN_S]
        if not recent:
            return 0.0
        total = sum(count for count, _ in recent)
        age_s = sum(now - heard_at for _, heard_at in recent) / len(recent)
        return max(0.0, total - age_s * tokens_per_s)


def largest_backlogs(tokens: Mapping[str, float]) -> dict[str, float]:
    """Return what to tell of this node's own tokens by server."""
    large = {name: count for name, count in tokens.items() if count >= LEAST_TOKENS}
    if len(large) <= MOST_TOLD:
        return large
    most = sorted(large, key=large.__getitem__, reverse=True)[:MOST_TOLD]
    return {name: large[name] for name in most}
