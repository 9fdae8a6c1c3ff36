"""Builders of servers of a plain service in simulated time."""

from collections import deque
from dataclasses import dataclass
from random import Random

from endive_core.exceptions import RetryReason


@dataclass(frozen=True)
class Workload:
    """Servers, and the requests that they get.

    Attributes
    ----------
    slots, room : int
        Requests that may run and that may wait at a server.
    work_s : float
        Mean time that a request takes, seconds; log-normal.
    outliers : float
        Part of the requests that takes five times as long.
    slow_share, slow_ratio, slow_s : float
        Part of the time for which a server is slower, how much, and the mean time
        until that is drawn anew, seconds.
    states_speed : bool
        Whether servers state their slowdown.
    failing : float
        Part of the requests that fails by itself at the server.
    organisations : int
        Organisations, the first of which send most.
    """

    servers: int = 5
    slots: int = 6
    room: int = 24
    work_s: float = 0.09
    outliers: float = 0.0
    target_s: float = 0.4
    deadline_s: float = 3.0
    one_way_s: float = 0.002
    max_attempts: int = 2
    slow_share: float = 0.0
    slow_ratio: float = 2.5
    slow_s: float = 0.6
    states_speed: bool = False
    failing: float = 0.0
    non_idempotent: float = 0.0
    organisations: int = 1

    @property
    def mean_work_s(self):
        """Mean time that a request takes while servers run as usual, seconds."""
        return self.work_s * (1 + 4 * self.outliers)

    @property
    def capacity_per_s(self):
        """Requests a second that all servers together can run."""
        speed = 1 - self.slow_share * (1 - 1 / self.slow_ratio)
        return self.servers * self.slots / self.mean_work_s * speed


@dataclass(frozen=True)
class Arrival:
    """A request as its caller sends it, each time that it does."""

    number: int
    deadline: float
    work_s: float
    organisation: str


class Arrivals:
    """When requests come and what work they are, drawn apart from all else.

    Fleets that place them in different ways thus get the same ones.
    """

    def __init__(self, workload, seed):
        self.workload = workload
        self.gaps = Random(f"gaps/{seed}")
        self.works = Random(f"works/{seed}")

    def gap_s(self, per_s):
        """Return the time until the next request, seconds."""
        return self.gaps.expovariate(per_s)

    def work_s(self):
        """Return the work of the next request, seconds while servers run as usual."""
        work_s = self.workload.work_s * self.works.lognormvariate(-0.125, 0.5)
        is_outlier = self.works.random() < self.workload.outliers
        return 5 * work_s if is_outlier else work_s


MESSAGES = Workload(4, work_s=0.0686, outliers=0.01, target_s=0.344, deadline_s=4.18)
MESSAGES_NODES = 86
CATALOGUE = Workload(3, work_s=0.045, outliers=0.01, target_s=0.215, deadline_s=1.07)
CATALOGUE_NODES = 120


class SimulatedServer:
    """A server with slots and a queue.

    Attributes
    ----------
    rejected_total : int
        Requests that it had no room for.
    collisions : int
        Requests that it queued or rejected while another server had a free slot.
    active : list of SimulatedRequest
        The requests that run.
    """

    def __init__(self, fleet, server_id):
        self.fleet = fleet
        self.id = server_id
        self.workload = fleet.workload
        self.room = self.workload.room
        self.brittle = None
        self.running = 0
        self.active = []
        self.waiting = deque()
        self.rejected_total = self.collisions = 0
        self.busy_s = 0.0
        self.starts = 0
        self.down_until = 0.0
        self.phase_random = Random(f"{fleet.seed}/{server_id}")
        self.phases = [(fleet.clock.now, 1.0)]

    @property
    def is_up(self):
        return self.fleet.clock.now >= self.down_until

    @property
    def is_free(self):
        return self.is_up and self.running < self.workload.slots

    def arrive(self, request):
        """Take a request, or reject it."""
        if not self.is_up:
            request.fail(RetryReason.CONNECT_FAILED, started=False)
            return
        if self.is_free:
            self.run(request)
            return
        self.collisions += any(s.is_free for s in self.fleet.servers.values())
        if len(self.waiting) < self.room:
            self.waiting.append(request)
        else:
            self.reject(request)

    def run(self, request):
        self.running += 1
        self.active.append(request)
        request.runs += 1
        due = self.end_of(request.work_s)
        self.busy_s += due - self.fleet.clock.now
        self.fleet.at(due, self.end, request, self.starts)

    def end_of(self, work_s):
        """Return when work that begins now ends, with the server's slow phases."""
        now = self.fleet.clock.now
        if not self.workload.slow_share:
            return now + work_s
        position = next(i for i, (at, _) in reversed(self.numbered()) if at <= now)
        while True:
            slowdown = self.phases[position][1]
            until = self.phase_end(position)
            if now + work_s * slowdown <= until:
                return now + work_s * slowdown
            work_s -= (until - now) / slowdown
            now, position = until, position + 1

    def numbered(self):
        return list(enumerate(self.phases))

    def phase_end(self, position):
        """Return when a phase ends; later ones are drawn when they are needed."""
        if position + 1 == len(self.phases):
            random, workload = self.phase_random, self.workload
            is_slow = random.random() < workload.slow_share
            at = self.phases[position][0] + random.expovariate(1 / workload.slow_s)
            self.phases.append((at, workload.slow_ratio if is_slow else 1.0))
        return self.phases[position + 1][0]

    @property
    def slowdown(self):
        """How slow it is now."""
        now = self.fleet.clock.now
        while self.workload.slow_share and self.phase_end(len(self.phases) - 1) <= now:
            pass
        while len(self.phases) > 1 and self.phases[1][0] <= now - 30.0:
            self.phases.pop(0)
        return next(ratio for at, ratio in reversed(self.phases) if at <= now)

    def end(self, request, start):
        if start != self.starts:
            return
        self.running -= 1
        self.active.remove(request)
        self.answer(request)
        if self.waiting:
            self.run(self.waiting.popleft())

    def answer(self, request):
        if self.workload.failing and self.fleet.random.random() < self.workload.failing:
            request.fail(RetryReason.SERVER_SLOW, started=True)
        else:
            request.answer()

    def reject(self, request):
        self.rejected_total += 1
        request.reject()

    def restart(self, down_s):
        """End with all requests; another start follows."""
        for request in [*self.active, *self.waiting]:
            request.fail(RetryReason.SERVER_FAILED, started=True)
        self.down_until = self.fleet.clock.now + down_s
        self.starts += 1
        self.running = 0
        self.active.clear()
        self.waiting.clear()
