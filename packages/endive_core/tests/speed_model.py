"""Servers whose speed changes because they share their machine, for simulations."""

SLOWDOWN = 2.5


class SpeedPhases:
    """Slow and usual phases of a server, of exponentially distributed lengths.

    Times must be asked for in ascending order.
    """

    def __init__(self, random, *, slow_s=0.6, usual_s=3.4, slowdown=SLOWDOWN):
        self.random = random
        self.lengths_s = {True: slow_s, False: usual_s}
        self.stated = {True: slowdown, False: 1.0}
        self.is_slow = random.random() < slow_s / (slow_s + usual_s)
        self.ends_at = random.expovariate(1 / self.lengths_s[self.is_slow])

    def slowdown(self, now):
        """Return the slowdown at `now`."""
        while self.ends_at <= now:
            self.is_slow = not self.is_slow
            self.ends_at += self.random.expovariate(1 / self.lengths_s[self.is_slow])
        return self.stated[self.is_slow]
