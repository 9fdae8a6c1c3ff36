"""Model of nodes before engines that prefill one prompt at a time, by priority."""

import heapq
import itertools
from random import Random

from endive_core.backlogs import Backlogs
from endive_core.calls import Call, Ticket
from endive_core.messages import ServerView
from endive_core.policy import Policy
from endive_core.prompt_order import PromptOrder, order_routes
from endive_core.scheduler import Scheduler

RATE = 50_000.0
ROUTES = ((1, 0.8), (2, 0.5))
"""Priority and target of the route with long prompts, and of that with short ones."""


def make_scheduler(servers=1, share=0.25, routes=ROUTES):
    policy = Policy(overtaking_share=share, no_server_wait_s=0.4)
    scheduler = Scheduler.from_policy(policy, Random(1))
    scheduler.order.set_routes(order_routes(routes))
    views = [ServerView(f"s{n}", "", "", "s", 64, RATE, 50.0) for n in range(servers)]
    scheduler.set_servers(views)
    scheduler.placement.backlogs = Backlogs()
    return scheduler


def make_call(priority, tokens, name="c"):
    return Call(
        name,
        "o",
        level=-priority,
        prompt_tokens=tokens,
        target_s=dict(ROUTES)[priority],
    )


def send(order: PromptOrder, priority, tokens, now):
    """Let a node send one prompt; return its number."""
    ticket = Ticket(make_call(priority, tokens), now, 1.0)
    ticket.server, ticket.uncached_tokens = "s0", float(tokens)
    order.dispatched(ticket, tokens / RATE, now)
    order.ended(ticket)
    return order.server_priority(ticket)


class EngineModel:
    """Sends calls through one scheduler and prefills them.

    Attributes
    ----------
    firsts : list of (Call, float)
        Calls with their times to first token, seconds.
    """

    def __init__(self, scheduler):
        self.scheduler = scheduler
        self.waiting = {name: [] for name in scheduler.servers.servers}
        self.free_at = dict.fromkeys(self.waiting, 0.0)
        self.counter = itertools.count()
        self.firsts = []
        self.refused = 0

    def run(self, arrivals):
        """Run all of `arrivals`, pairs of time and call in ascending order."""
        events = [(at, next(self.counter), call, None) for at, call in arrivals]
        heapq.heapify(events)
        while events:
            now, _, call, started = heapq.heappop(events)
            if started is not None:
                self.scheduler.started(started, now)
                self.scheduler.finished(started, now)
                self.firsts.append((started.call, now - started.accepted_at))
            elif isinstance(self.scheduler.offer(call, now), Ticket):
                while (sent := self.scheduler.next_dispatch(now)) is not None:
                    number = self.scheduler.order.server_priority(sent.ticket)
                    entry = (number, next(self.counter), sent.ticket)
                    heapq.heappush(self.waiting[sent.server], entry)
            else:
                self.refused += 1
            for server, queue in self.waiting.items():
                if queue and self.free_at[server] <= now:
                    ticket = heapq.heappop(queue)[2]
                    ends_at = now + ticket.uncached_tokens / RATE
                    self.free_at[server] = ends_at
                    event = (ends_at, next(self.counter), ticket.call, ticket)
                    heapq.heappush(events, event)

    def first_s(self, priority, least_tokens=0):
        """Return the sorted times to first token of a priority's prompts."""
        return sorted(
            seconds
            for call, seconds in self.firsts
            if call.level == -priority and call.prompt_tokens >= least_tokens
        )
