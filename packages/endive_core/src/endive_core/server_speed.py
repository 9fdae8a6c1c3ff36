"""Current speed of servers, from what they state of it and how old that is.

A server may state with each response how long work takes there now, as a multiple of
the usual time. Servers that share a machine become slow and fast again within a second,
while nodes hear from each of them about once a second. A statement therefore counts the
less the older it is: the expected slowdown returns from the stated one to the mean of
the service, as for a process whose autocorrelation falls exponentially. How fast it
falls is learned from pairs of statements.
"""

import heapq
import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from endive_core.servers import ServerLoad

USUAL = 1.0
"""Slowdown of a server that works as usual."""

MIN_SLOWDOWN, MAX_SLOWDOWN = 0.75, 10.0
"""Bounds within which a stated slowdown counts. A server that states to be eleven times
as fast as usual would attract all requests. Within the bounds, the outlier detector
corrects a false statement before it marks the server: at the lower one, work takes 1.33
times as long as stated, and a server is marked from 2."""

HOLD_TIMES_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.7, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 60.0)
"""Times in which the autocorrelation may fall to 1/e, seconds."""

INITIAL_HOLD_S = 0.5
PRIOR_ERROR = 0.003
"""Hold time that is assumed until statements tell another one, and the squared error by
which one that is e times as long or short is at a disadvantage. Errors are of the order
of the variance of the slowdowns: 0.3 for servers that are 2.5 times slower for 15 % of
the time."""

LAGS_S = (0.1, 0.2, 0.4, 0.8, 1.6)
"""Least times between the two statements of a pair, in turn, seconds. Pairs that are
closer together say little about the hold time, and single statements would count slow
servers too rarely, since these get fewer requests."""

ERROR_DECAY = 0.995
MEAN_WEIGHT = 0.01
PRIOR_VALUES = 10
"""Weights of the errors before, and of the newest value in the mean, and the number of
usual values with which the mean begins. About the last 200 pairs and 100 values count,
which is half a minute of three servers."""

EXPIRY_S = 30.0
"""Age at which a statement is forgotten, seconds."""

UPDATE_INTERVAL_S = 0.01
"""Time between two updates of the servers' slowdowns, seconds. They change by a
fiftieth of a hold time at most."""

MIN_WORTH = 0.1
"""Least difference to what others expect for which a statement is passed on. A server
that is a tenth slower or faster than expected changes no decision."""

SLOW_RATIO = 1.4
"""Slowdown, as a multiple of the mean, from which a server gets new work only where no
other one has room. Servers that are 2.5 times slower for 15 % of the time have a mean
of 1.23, so that a statement of 2.5 counts for one hold time."""


@dataclass(slots=True)
class SpeedStatement:
    """What a server has stated last.

    Attributes
    ----------
    slowdown : float
        Duration of work as a multiple of the usual one.
    at : float
        Clock time of the statement, seconds.
    before, before_at : float
        The statement before that and its time.
    pair_slowdown, pair_at : float
        The first statement of the next pair, and its time.
    lag : int
        Index in `LAGS_S` of that pair's lag.
    """

    incarnation: int
    slowdown: float
    at: float
    before: float
    before_at: float
    pair_slowdown: float
    pair_at: float
    lag: int = 0


class HoldTime:
    """Estimates for how long a stated slowdown holds.

    Attributes
    ----------
    errors : list of float
        Smoothed squared error of the predictions with each of `HOLD_TIMES_S`.
    seconds : float
        The one with the least error.
    """

    def __init__(self) -> None:
        self.errors = [
            PRIOR_ERROR * math.log(hold_s / INITIAL_HOLD_S) ** 2
            for hold_s in HOLD_TIMES_S
        ]
        self.seconds = INITIAL_HOLD_S

    def learn(self, before: float, now: float, lag_s: float) -> None:
        """Learn from two deviations from the mean that are `lag_s` seconds apart."""
        weight = 1 - ERROR_DECAY
        for index, hold_s in enumerate(HOLD_TIMES_S):
            error = (now - before * math.exp(-lag_s / hold_s)) ** 2
            self.errors[index] += weight * (error - self.errors[index])
        least = min(range(len(HOLD_TIMES_S)), key=self.errors.__getitem__)
        self.seconds = HOLD_TIMES_S[least]


class ServerSpeeds:
    """Statements of the servers of one service, and what follows from them.

    Attributes
    ----------
    statements : dict of str to SpeedStatement
        The newest one of each server.
    mean : float
        Mean slowdown of the servers over time; 1 if nothing has been stated.
    values : int
        Values in the mean, those with which it begins included.
    hold : HoldTime
        For how long a stated value holds.
    capacity : float
        Work that the servers do now, as a part of that at the usual speed.
    work_s : float
        Mean time in which a server does a request's work at the usual speed, apart from
        the prompt, seconds.
    """

    def __init__(self) -> None:
        self.statements: dict[str, SpeedStatement] = {}
        self.mean = USUAL
        self.values = PRIOR_VALUES
        self.hold = HoldTime()
        self.capacity = 1.0
        self.work_s = 0.0
        self.next_update_at = float("-inf")

    # Statements

    def state(
        self,
        server: str,
        incarnation: int,
        slowdown: float,
        at: float,
        *,
        is_told: bool = False,
    ) -> bool:
        """Record that a server stated `slowdown` at `at`; return whether that is new.

        An older statement than the known one is ignored, as is one of an earlier
        incarnation.

        Parameters
        ----------
        is_told : bool
            Whether another node has passed it on. Unusual ones are passed on first, so
            that the first one that is told of a server does not count in the mean.
        """
        if not slowdown > 0:
            return False
        slowdown = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown))
        known = self.statements.get(server)
        if known is None or incarnation > known.incarnation:
            self.statements[server] = SpeedStatement(
                incarnation, slowdown, at, self.mean, at, slowdown, at
            )
            if not is_told:
                self._average(slowdown)
        elif incarnation < known.incarnation or at <= known.at:
            return False
        else:
            known.before, known.before_at = known.slowdown, known.at
            known.slowdown, known.at = slowdown, at
            self._pair(known)
        self.next_update_at = float("-inf")
        return True

    def _pair(self, statement: SpeedStatement) -> None:
        """Learn from a statement and the first one of its pair, if it is due."""
        lag_s = statement.at - statement.pair_at
        if lag_s < LAGS_S[statement.lag]:
            return
        value = statement.slowdown
        self.hold.learn(statement.pair_slowdown - self.mean, value - self.mean, lag_s)
        self._average(value)
        statement.pair_slowdown, statement.pair_at = value, statement.at
        statement.lag = (statement.lag + 1) % len(LAGS_S)

    def _average(self, value: float) -> None:
        """Include a value in the mean."""
        self.values += 1
        self.mean += max(MEAN_WEIGHT, 1 / self.values) * (value - self.mean)

    def keep(self, incarnations: Mapping[str, int], now: float) -> None:
        """Forget what is old, servers that are gone, and their earlier incarnations.

        Parameters
        ----------
        incarnations : mapping of str to int
            The service's servers.
        """
        gone = [
            server
            for server, statement in self.statements.items()
            if incarnations.get(server, -1) != statement.incarnation
            or now - statement.at > EXPIRY_S
        ]
        for server in gone:
            del self.statements[server]
        if gone:
            self.next_update_at = float("-inf")
        if not self.statements:
            self.mean, self.values = USUAL, PRIOR_VALUES

    # What follows from them

    def expected(self, server: str, now: float) -> float:
        """Return the slowdown of a server that is expected now."""
        statement = self.statements.get(server)
        if statement is None:
            return self.mean
        weight = math.exp(min(0.0, statement.at - now) / self.hold.seconds)
        return self.mean + weight * (statement.slowdown - self.mean)

    def over(self, slowdown: float, seconds: float) -> float:
        """Return the mean slowdown over `seconds` after a moment with `slowdown`.

        Since the process looks the same backwards, it is also the one over the time
        before that moment.
        """
        holds = seconds / self.hold.seconds
        if not self.statements or holds < 1e-3:
            return slowdown
        weight = (1 - math.exp(-holds)) / holds
        return self.mean + weight * (slowdown - self.mean)

    def is_slow(self, server: "ServerLoad") -> bool:
        """Return whether new work is to go to another server that has room."""
        return server.slowdown >= SLOW_RATIO * self.mean

    def update(self, servers: Mapping[str, "ServerLoad"], now: float) -> None:
        """Set the expected slowdown of each server."""
        if now < self.next_update_at:
            return
        self.next_update_at = now + UPDATE_INTERVAL_S if self.statements else math.inf
        speed = 0.0
        for name, server in servers.items():
            server.slowdown = self.expected(name, now)
            speed += 1 / server.slowdown
        self.capacity = speed / len(servers) if servers else 1.0

    def next_reports(self, now: float, count: int) -> list[tuple[str, float, float]]:
        """Return up to `count` servers, slowdowns and ages for other nodes.

        Those come first that differ most from what the others expect without them: the
        mean, or the statement before, as far as that still counts.
        """
        worth = []
        for server, statement in self.statements.items():
            holds = (now - statement.at) / self.hold.seconds
            aged = (statement.at - statement.before_at) / self.hold.seconds
            deviation = statement.slowdown - self.mean
            known = (statement.before - self.mean) * math.exp(-aged)
            surprise = max(abs(deviation), abs(deviation - known)) * math.exp(-holds)
            if surprise >= MIN_WORTH:
                worth.append((surprise, server, statement))
        worth = heapq.nlargest(count, worth, key=lambda entry: entry[0])
        return [(server, s.slowdown, max(0.0, now - s.at)) for _, server, s in worth]
