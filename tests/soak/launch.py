"""Starts a gateway with a wall clock that can be moved, and with a fault put in.

The wall clock is moved by a file whose text is the offset in seconds. The faults are
mutants: each breaks one promise, so that the soak shows it would notice.
"""

import os
import sys
import time

real_time = time.time
offset_path = os.environ["SOAK_CLOCK"]


def skewed_time():
    """Return the wall clock's time, moved by what the file says."""
    try:
        with open(offset_path) as file:
            return real_time() + float(file.read() or 0)
    except (OSError, ValueError):
        return real_time()  # not written yet, or half written


time.time = skewed_time


def share_no_limit():
    """Let each node spend the whole of every limit."""
    from endive_core.shared_limits import SharedLimits

    SharedLimits.receive = lambda self, *args, **options: None
    SharedLimits.apply_update = lambda self, *args, **options: 0.0
    SharedLimits.reachable_share = lambda self, now: 1.0


def say_not_run():
    """Let a request that may have run be called not run."""
    from endive_gateway import statuses

    real_status = statuses.status_of

    def status(error, may_have_run):
        found = real_status(error, may_have_run)
        return 503 if found >= 500 else found

    statuses.status_of = status


def claim_at_once():
    """Let a node claim the duties while another one may still hold them."""
    from endive_core.leases import DutyLog
    from endive_gateway.duties import Duties

    Duties._should_claim = lambda self: True
    DutyLog.may_claim = lambda self, node, now: True


def trust_silence():
    """Let a node take a read without an answer for no news."""
    from endive_gateway.configuration import ConfigurationFollower

    ConfigurationFollower.check = lambda self: 60.0


MUTANTS = {
    "limit": share_no_limit,
    "not-run": say_not_run,
    "holder": claim_at_once,
    "silence": trust_silence,
}

if __name__ == "__main__":
    mutant = os.environ.get("SOAK_MUTANT")
    if mutant:
        MUTANTS[mutant]()
    from endive_platform import __main__ as program

    sys.argv = ["endive-platform", "gateway"]
    program.main()
