"""Exchanges reclaim notices and crashes with other nodes, as gossip facts."""

from endive_core.crashes import Crash, CrashTable
from endive_core.facts import Fact, FactKind

from endive_node.gossip import Gossip
from endive_node.logs import log_event
from endive_node.notices import Notice, NoticeTable


class FactExchange:
    """Publishes this node's notices and crashes, and applies those of other nodes.

    This way a request that crashed servers after two other nodes sent it is
    refused by a third node, and a node whose own poll of the cloud's notices fails or
    is late still learns of them.
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
        """Publish a notice as a fact."""
        if notice.instance:
            fact = Fact(FactKind.SERVER_LEAVING, notice.instance, "", 1, notice.ends_at)
        else:
            fact = Fact(FactKind.ZONE_UNDER_NOTICE, notice.zone, "", 1, notice.ends_at)
        self._publish(fact)

    def publish_crash(self, crash: Crash) -> None:
        """Publish a crash as a fact; each crashed server counts once per request."""
        self._publish(self.gossip.facts.crash_fact(crash.fingerprint, crash.server, 1))

    def _publish(self, fact: Fact) -> None:
        """Add `fact`; if it is new, send it to several members at once."""
        if self.gossip.facts.merge(fact):
            self.gossip.announce()

    def apply(self, fact: Fact) -> None:
        """Add a fact of another node to this node's tables; repeats have no effect."""
        now = self.gossip.clock.now()
        if fact.kind is FactKind.CRASH:
            if self.crashes.add(Crash(fact.subject, fact.origin, now)):
                log_event("crash_learned", crash=fact.origin, request=fact.subject)
        elif fact.kind is FactKind.SERVER_LEAVING:
            self.notices.add_notice(fact.subject, "", fact.until - now)
        else:
            self.notices.add_notice("", fact.subject, fact.until - now)
