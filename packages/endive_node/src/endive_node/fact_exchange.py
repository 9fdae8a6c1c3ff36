"""Passing notices and crashes between this node's tables and the heartbeats."""

from endive_core.crashes import Crash, CrashTable
from endive_core.facts import Fact, FactKind

from endive_node.gossip import Gossip
from endive_node.notices import Notice, NoticeTable


class FactExchange:
    """Tells all nodes of the notices and crashes that this one noticed.

    Callers meet it when a request that crashed servers under two nodes is refused by a
    third. A node whose own look at the cloud's notices fails, or comes late, still
    learns of them here.
    """

    def __init__(
        self, gossip: Gossip, notices: NoticeTable, crashes: CrashTable
    ) -> None:
        self.gossip = gossip
        self.notices = notices
        self.crashes = crashes
        notices.listeners.append(self.publish_notice)
        crashes.listeners.append(self.publish_crash)
        gossip.facts.listeners.append(self.apply)

    def publish_notice(self, notice: Notice) -> None:
        """Enter a notice among the facts; tell several members if it is news."""
        if notice.instance:
            fact = Fact(FactKind.SERVER_LEAVING, notice.instance, "", 1, notice.ends_at)
        else:
            fact = Fact(FactKind.ZONE_UNDER_NOTICE, notice.zone, "", 1, notice.ends_at)
        self._publish(fact)

    def publish_crash(self, crash: Crash) -> None:
        """Enter a crash among the facts; each name of a crash counts once."""
        self._publish(self.gossip.facts.crash_fact(crash.fingerprint, crash.server, 1))

    def _publish(self, fact: Fact) -> None:
        if self.gossip.facts.merge(fact):
            self.gossip.announce()

    def apply(self, fact: Fact) -> None:
        """Put up a fact that another node told; a repeat changes nothing."""
        now = self.gossip.clock.now()
        if fact.kind is FactKind.CRASH:
            self.crashes.add(Crash(fact.subject, fact.origin, now))
        elif fact.kind is FactKind.SERVER_LEAVING:
            self.notices.add(fact.subject, "", fact.until - now)
        else:
            self.notices.add("", fact.subject, fact.until - now)
