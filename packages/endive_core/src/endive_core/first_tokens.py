"""What the times to first tokens tell of the servers.

Three things go by them: how fast the servers read prompts, which placement and capacity
reckon with; how long a request takes to start, which admission predicts by; and which
server is slower than its peers.
"""

from endive_core.calls import Ticket
from endive_core.estimators import ServiceRate
from endive_core.outliers import OutlierDetector
from endive_core.prefilling import PrefillRate
from endive_core.servers import ServerLoad, ServerSet

RATES_EVERY_S = 1.0
"""How often the learned prefill rate is taken over, seconds; it changes over some
twenty."""


class FirstTokenLearner:
    """Learns from first tokens, and lets the other decisions reckon with it.

    Attributes
    ----------
    prefill : PrefillRate or None
        Learns the servers' prefill rate, where operators don't declare it.
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
        self.next_rates_at = 0.0

    def update_prefill_rates(self, now: float) -> None:
        """Let placement and admission reckon with the rate; one pass over all."""
        if self.prefill is None or now < self.next_rates_at:
            return
        self.next_rates_at = now + RATES_EVERY_S
        tokens_per_s = self.prefill.tokens_per_s
        for server in self.servers.servers.values():
            server.view.prefill_tokens_per_s = tokens_per_s

    def learn(
        self,
        ticket: Ticket,
        server: ServerLoad | None,
        seconds: float,
        *,
        tokens_per_s: float,
    ) -> None:
        """Learn from the time to a first token.

        One that gave way waited for others, most of all if its prompt was long: counted
        in, engines would look slower the more prompts came late.

        Parameters
        ----------
        tokens_per_s : float
            The prefill rate that was reckoned with.
        """
        if ticket.yields:
            return
        if self.prefill is not None:
            self.prefill.learn(ticket.uncached_tokens, seconds)
        prefill_s = ticket.uncached_tokens / tokens_per_s
        self.rate.learn_start(seconds - prefill_s)
        if server is not None:
            expected_s = self.rate.start_s + prefill_s
            self.outliers.observe(server, seconds=seconds, expected_s=expected_s)
