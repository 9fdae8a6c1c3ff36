"""Callers that expect a software version which no server has."""

import random
from http.client import HTTPException, HTTPResponse

import gevent

from soak.callers import DEADLINE_S, HOST, Caller
from soak.invariants import CONTACT_S, SoundRequests

GAP_S = 0.1
KINDS = (("safe", "unsafe"), ("stream", "resumable"))
"""Kinds of requests by the service that answers them. The callers expect versions of
the first one's servers only."""

HEAD = (
    "POST /safe/x HTTP/1.1\r\nHost: {}\r\nRequest-Id: {:016x}\r\n"
    "Expect-Version: of-no-server\r\nDeadline-Ms: {:.0f}\r\n"
    "Authorization: Bearer key-free\r\nContent-Length: 4\r\n\r\nbody"
)


class OddVersionCaller(Caller):
    """Sends requests that no server can answer, and nothing else."""

    def run_for(self, seconds):
        """Send such requests to all nodes until `seconds` have passed."""
        end = self.fleet.clock() + seconds
        while self.fleet.clock() < end:
            self.node = self.random.choice(self.fleet.nodes)
            self._send()
            gevent.sleep(GAP_S)

    def _send(self):
        """Send one request; the node may be stopped or cut off meanwhile."""
        if not self.connect():
            return
        request_id = self.random.getrandbits(64)
        try:
            head = HEAD.format(HOST, request_id, DEADLINE_S * 1000)
            self.sock.sendall(head.encode())
            response = HTTPResponse(self.sock, method="POST")
            response.begin()
            if response.status == 200:
                self.fleet.checker.record_violation(
                    "expected version", f"{request_id:016x} was answered with 200"
                )
        except (OSError, HTTPException):
            pass
        self.close()


def callers_expect_versions(fleet, fault):
    """Send requests to all nodes that expect a version which no server has."""
    services = [SoundRequests(fleet, kinds) for kinds in KINDS]
    caller = OddVersionCaller(fleet, random.Random(fault.target), "free")
    caller.run_for(fault.for_s + 3 * CONTACT_S)
    for sound in services:
        sound.end()
    gevent.sleep(DEADLINE_S)
    for sound in services:
        sound.check(since=sound.began_at + CONTACT_S)
