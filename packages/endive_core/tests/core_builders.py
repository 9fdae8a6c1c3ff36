from random import Random

from endive_core.calls import Call
from endive_core.messages import ServerView
from endive_core.policy import Policy
from endive_core.scheduler import Scheduler


def view(server_id="s0", *, zone="z0", slots=4, prefill=20_000.0, decode=50.0):
    return ServerView(
        id=server_id,
        address="127.0.0.1:1",
        zone=zone,
        service="engines",
        max_concurrent=slots,
        prefill_tokens_per_s=prefill,
        decode_tokens_per_s=decode,
    )


def call(number=0, *, organisation="org", prompt_tokens=100, max_tokens=50, **more):
    return Call(
        request_id=f"r{number}",
        organisation=organisation,
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        **more,
    )


def scheduler(*, servers=2, slots=4, seed=1, **limits):
    made = Scheduler.from_policy(Policy(**limits), Random(seed))
    made.set_servers(
        view(f"s{i}", zone=f"z{i % 3}", slots=slots) for i in range(servers)
    )
    return made


def dispatch_all(made, now=0.0):
    sent = []
    while (dispatch := made.next_dispatch(now)) is not None:
        sent.append(dispatch)
    return sent
