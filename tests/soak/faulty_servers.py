"""Faults of servers whose answers are cut by a reset, are none, or come twice."""

import random

import gevent

from soak.callers import KINDS, Caller
from soak.faulty_answers import SecondCopies

LONG_BODY = bytes(400_000)
UPLOADERS = 4
UPLOAD_KINDS = tuple(kind for kind in KINDS if kind.name != "unsafe")


class Uploader(Caller):
    """A caller whose requests have long bodies."""

    body = LONG_BODY

    def run(self):
        """See :meth:`Caller.run`."""
        while True:
            kind = self.random.choice(UPLOAD_KINDS)
            self.call(kind, f"{kind.path}x", self.organisation)
            self.broken = None
            gevent.sleep(0.05)


def server_cuts_answers(fleet, fault):
    """Let a server reset many of its answers, also early ones to long uploads."""
    server = fleet.backends[fault.target % len(fleet.backends)].server
    if server is None or server.cut_share:
        return
    uploaders = [
        Uploader(fleet, random.Random(f"upload {fault.at} {number}"), "free")
        for number in range(UPLOADERS)
    ]
    loops = [gevent.spawn(uploader.run) for uploader in uploaders]
    server.cut_share = 0.3 + 0.6 * fault.strength
    gevent.sleep(fault.for_s + 1.0)
    server.cut_share = 0.0
    gevent.killall(loops)
    for uploader in uploaders:
        uploader.close()


def server_sends_no_answers(fleet, fault):
    """Let a server send what is no answer in place of many of its answers."""
    server = fleet.backends[fault.target % len(fleet.backends)].server
    if server is None or server.invalid_share:
        return
    server.invalid_share = 0.3 + 0.6 * fault.strength
    gevent.sleep(fault.for_s + 1.0)
    server.invalid_share = 0.0


def server_refuses_twice(fleet, fault):
    """Let a server refuse many requests once, and send each refusal a second time."""
    server = fleet.backends[fault.target % len(fleet.backends)].server
    if server is None or server.copies is not None:
        return
    server.copies = SecondCopies()
    gevent.sleep(fault.for_s + 1.0)
    server.copies = None
