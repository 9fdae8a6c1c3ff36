"""Acts on the word of backend servers that they leave, and passes it on to other nodes.

A server that leaves says so in its responses. The node that reads one sends it nothing
more, whatever the store says of it meanwhile, and tells the others.
"""

import time
from collections import Counter, OrderedDict
from collections.abc import Callable

import gevent
from endive_node.logs import log_event

from endive_gateway.interfaces import ResponseMetadata
from endive_gateway.servers import LeavingWord, ServerRegistry

MISDIRECTED_STATUS = 421
"""Status with which another server answers than the one that was meant."""

MAX_WORDS = 8
"""Most leaving servers in one state message."""

MEMORY_S = 60.0
"""Time for which a server's word is passed on, and kept without an entry, seconds. The
server is gone by then, or its entry says that it leaves."""

LAST_SERVER_MARGIN_S = 0.3
"""Time before the end of a leaving server's time at which it gets no request any more
even if its service has no other, seconds."""

TIMER_SLACK_S = 0.02
"""Margin for timers that fire early, seconds."""

ToldWord = tuple[str, int, float]
"""A server, its incarnation, and the age of its word in seconds."""


class LeavingServers:
    """The servers that have said that they leave.

    Attributes
    ----------
    words : OrderedDict of str to LeavingWord
        By server, in the order in which they are told to other nodes.
    invalid : set of str
        Servers whose word can't be read.
    announce : callable
        Called with the node through which a server has said so, or an empty address.
    """

    def __init__(self, registry: ServerRegistry, events: Counter[str]) -> None:
        self.registry = registry
        self.events = events
        self.words: OrderedDict[str, LeavingWord] = OrderedDict()
        self.invalid: set[str] = set()
        self.announce: Callable[[str], None] = lambda through: None

    def observe(
        self, server: str, status: int, metadata: ResponseMetadata, through: str
    ) -> None:
        """Apply what a server's response says of its leaving.

        Parameters
        ----------
        through : str
            IP address of the node through which the response came, or empty.
        """
        if status == MISDIRECTED_STATUS:
            # The word is that of the server which has answered.
            server = metadata.server_id
        known = self.registry.get(server)
        if known is None:
            return
        if metadata.invalid_leaving and server not in self.invalid:
            self.invalid.add(server)
            found = metadata.invalid_leaving
            log_event("server_leaving_invalid", server=server, found=found)
        if metadata.leaving:
            word = LeavingWord(known.entry.incarnation, time.monotonic())
            if self._apply(server, word, peer=""):
                self.registry.notify_listeners()
                self.announce(through)

    def learn(self, peer: str, words: list[ToldWord]) -> None:
        """Apply the words that another node passes on."""
        now = time.monotonic()
        applied = [
            self._apply(server, LeavingWord(incarnation, now - age_s), peer)
            for server, incarnation, age_s in words
            if age_s < MEMORY_S
        ]
        if any(applied):
            self.registry.notify_listeners()

    def _apply(self, server: str, word: LeavingWord, peer: str) -> bool:
        """Record a server's word; return whether it is new, of a known server."""
        known = self.words.get(server)
        if known is not None and known.incarnation >= word.incarnation:
            return False
        self.words[server] = word
        self.words.move_to_end(server, last=False)
        self.events["server_said_it_leaves"] += 1
        is_known = self.registry.mark_leaving(server, word)
        found = self.registry.get(server)
        log_event(
            "server_says_it_leaves",
            server=server,
            incarnation=word.incarnation,
            peer=peer,
            age_s=round(time.monotonic() - word.at, 3),
            is_last=found is not None and found.is_last,
        )
        left_s = self.registry.last_server_s - (time.monotonic() - word.at)
        gevent.spawn_later(max(0.0, left_s) + TIMER_SLACK_S, self.registry.settle)
        return is_known

    def next_words(self) -> list[ToldWord]:
        """Return the next words for a state message; each has its turn."""
        taken, now = [], time.monotonic()
        for _ in range(min(MAX_WORDS, len(self.words))):
            server, word = self.words.popitem(last=False)
            self.words[server] = word
            if now - word.at < MEMORY_S:
                taken.append((server, word.incarnation, now - word.at))
        return taken

    def refresh(self) -> None:
        """Forget old words, and those of servers that have started again."""
        now, servers = time.monotonic(), self.registry.servers
        self.invalid &= servers.keys()
        for server, word in list(self.words.items()):
            known = servers.get(server)
            is_old = now - word.at > MEMORY_S and known is None
            if is_old or (known and known.entry.incarnation > word.incarnation):
                del self.words[server]
                self.registry.forget_leaving(server)

    def leaving_servers(self) -> int:
        """Return how many known servers have said that they leave."""
        return sum(server in self.registry.servers for server in self.words)
