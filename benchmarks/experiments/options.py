"""Decisions that a simulation enables, and their limits."""

from dataclasses import dataclass, replace

from endive_core.load_sizing import TARGET_UTILISATION
from endive_core.policy import Policy
from endive_gateway.placing import GATEWAY_POLICY


@dataclass(frozen=True)
class Options:
    """Which decisions are enabled, and their limits.

    Attributes
    ----------
    fetching : str
        Which planner lets engines fetch prompt parts from each other; empty for none.
    backlogs : bool
        Whether nodes send each other their prefill backlogs.
    contention : bool
        Whether nodes exchange their demand by priority and decide on it.
    learned_rate : bool
        Whether the engines' prefill rate is learned rather than fixed at its initial
        estimate.
    target_utilisation : float
        Fraction of a server's time that the load may use.
    speeds : bool
        Whether nodes use what engines state of their speed.
    told_speeds : bool
        Whether they pass it on to each other.
    """

    policy: Policy = GATEWAY_POLICY
    fetching: str = ""
    backlogs: bool = True
    contention: bool = True
    learned_rate: bool = True
    target_utilisation: float = TARGET_UTILISATION
    speeds: bool = True
    told_speeds: bool = True

    def limits(self, **changes) -> "Options":
        """Return these options with some limits of the policy changed."""
        return replace(self, policy=replace(self.policy, **changes))
