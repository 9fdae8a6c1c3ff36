"""Updates the estimates that are derived from times to first token.

These are the prefill rate of the servers, used by placement and capacity; the time that
a request takes to start, used by admission; and each server's latency ratio, used to
detect servers that are slower than their peers.
"""

from endive_core.calls import Ticket
from endive_core.estimators import ServiceRate
from endive_core.outliers import OutlierDetector
from endive_core.prefilling import PrefillRate
from endive_core.servers import ServerLoad, ServerSet

RATE_UPDATE_INTERVAL_S = 1.0
"""Interval at which the learned prefill rate is applied, seconds. The rate changes over
some twenty seconds."""


class FirstTokenLearner:
    """Passes times to first token to the estimators, and applies the prefill rate.

    Attributes
    ----------
    prefill : PrefillRate or None
        Estimator of the servers' prefill rate; ``None`` if operators declare the rate.
    """

    def __init__(
        self,
        servers: ServerSet,
        rate: ServiceRate,
        outliers: OutlierDetector,
        prefill: PrefillRate | None,
    ) -> None:
        self.servers = servers
        self.rate = rate
        self.outliers = outliers
        self.prefill = prefill
        self.next_rate_update_at = 0.0

    def update_prefill_rates(self, now: float) -> None:
        """Set the learned prefill rate on all servers, once per interval."""
        if self.prefill is None or now < self.next_rate_update_at:
            return
        self.next_rate_update_at = now + RATE_UPDATE_INTERVAL_S
        tokens_per_s = self.prefill.tokens_per_s
        for server in self.servers.servers.values():
            server.view.prefill_tokens_per_s = tokens_per_s

    def learn(
        self,
        ticket: Ticket,
        server: ServerLoad | None,
        seconds: float,
        now: float,
        *,
        tokens_per_s: float,
        group: int = 0,
    ) -> None:
        """Update the estimates from a time to first token.

        The time is divided by the slowdown that the server states, so that the
        estimates hold for its usual speed.

        Calls that yielded are left out. They waited for others, the longer their
        prompts the more, so that engines would look slower the more prompts were late.
        So are calls that fetched parts of their prompts, since the source may not have
        had them.

        Parameters
        ----------
        server : ServerLoad or None
            The server, unless it has been removed meanwhile.
        seconds : float
            Time from dispatch to first token.
        now : float
            Clock time of the first token, seconds.
        tokens_per_s : float
            Prefill rate that the expected time is based on.
        group : int
            Prompts of one group wait equally long; see :mod:`.prefilling`.
        """
        if ticket.yields or ticket.fetch is not None:
            return
        if server is not None:
            seconds /= self.servers.speeds.over(server.slowdown, seconds)
        if self.prefill is not None:
            self.prefill.learn(ticket.uncached_tokens, seconds, group)
        prefill_s = ticket.uncached_tokens / tokens_per_s
        self.rate.learn_start(seconds - prefill_s, now)
        if server is not None:
            expected_s = self.rate.start_s + prefill_s
            self.outliers.observe(server, seconds=seconds, expected_s=expected_s)
