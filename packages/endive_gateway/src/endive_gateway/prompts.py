"""Announces long prompts to all other nodes immediately.

With a hundred nodes, each receives another's state message only once a second. A
prompt of 50,000 tokens occupies its server for as long. Without an announcement,
fourteen other nodes sent a short prompt each to that server within that second, and
each was two seconds late. One small datagram to each node prevents that.
"""

from collections.abc import Callable

import msgspec
from endive_core.backlogs import Backlogs

from endive_gateway.datagrams import DatagramPort
from endive_gateway.quantities import Age

MIN_ANNOUNCED_PREFILL_S = 0.3
"""Shortest prefill time of a prompt that is announced, seconds: that of 12,000 to
17,000 tokens. Of 380 prompts a second, the heaviest known traffic, ten are as long, so
each node receives ten datagrams a second. Shorter prompts are mostly computed before an
announcement could have an effect."""


class PromptAnnouncement(msgspec.Struct, array_like=True):
    """A prompt that was sent to a server."""

    server: str
    tokens: Age


class PromptAnnouncer:
    """Announces this node's long prompts and receives other nodes' announcements.

    Parameters
    ----------
    backlogs : Backlogs
        Holds the prompt tokens that other nodes wait for.
    peers : callable
        Returns the addresses of the other nodes that are believed to be live.
    """

    def __init__(
        self,
        backlogs: Backlogs,
        peers: Callable[[], list[str]],
        now: Callable[[], float],
    ) -> None:
        self.backlogs = backlogs
        self.peers = peers
        self.now = now
        self.datagrams = DatagramPort(
            "prompts", msgspec.msgpack.Decoder(PromptAnnouncement), self.receive
        )

    def announce(self, server: str, tokens: float, prefill_s: float) -> None:
        """Announce a prompt that this node has sent to a server, if it is long.

        Parameters
        ----------
        tokens : float
            Prompt tokens that the server has to compute.
        prefill_s : float
            The server's time for them, seconds.
        """
        if prefill_s >= MIN_ANNOUNCED_PREFILL_S:
            self.datagrams.send(PromptAnnouncement(server, tokens), self.peers())

    def receive(self, prompt: PromptAnnouncement, address: str) -> None:
        """Record another node's prompt."""
        self.backlogs.add(address, prompt.server, prompt.tokens, self.now())
