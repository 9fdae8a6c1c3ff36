"""Long prompts, told to all other nodes at once.

Among a hundred nodes a telling comes to each of them once in a second. A prompt of
50,000 tokens holds its server for as long, and fourteen short ones of as many nodes
came there in that second, each two seconds late. One small datagram to each node keeps
them away.
"""

from collections.abc import Callable

import msgspec
from endive_core.backlogs import Backlogs

from endive_gateway.datagrams import DatagramPort

NOTED_S = 0.3
"""Time of a server that a prompt must take to be told at once, seconds: that of 12,000
to 17,000 tokens. Of the heaviest traffic met these were ten of 380 prompts a second,
ten datagrams a second for each node. Shorter ones are mostly computed before they
could be avoided."""


class Prompt(msgspec.Struct, array_like=True):
    """A prompt that was sent to a server."""

    server: str
    tokens: float


class PromptAnnouncer:
    """Tells of this node's long prompts, and hears of others'.

    Parameters
    ----------
    others : callable
        Returns the addresses of the other nodes that are believed to be there.
    """

    def __init__(
        self,
        backlogs: Backlogs,
        others: Callable[[], list[str]],
        now: Callable[[], float],
    ) -> None:
        self.backlogs = backlogs
        self.others = others
        self.now = now
        self.datagrams = DatagramPort(
            "prompts", msgspec.msgpack.Decoder(Prompt), self.receive
        )

    def announce(self, server: str, tokens: float, server_s: float) -> None:
        """Note that this node has sent a prompt.

        Parameters
        ----------
        server_s : float
            Time of the server that it takes, seconds.
        """
        if server_s >= NOTED_S:
            self.datagrams.send(Prompt(server, tokens), self.others())

    def receive(self, prompt: Prompt, address: str) -> None:
        """Count another node's prompt."""
        self.backlogs.add(address, prompt.server, prompt.tokens, self.now())
