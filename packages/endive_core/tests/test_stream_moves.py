from core_builders import call
from endive_core.calls import Ticket
from endive_core.stream_moves import MoveMethod, plan_moves


def stream(number, *, prompt_tokens, tokens=10, left=1000, **more):
    made = Ticket(
        call(number, prompt_tokens=prompt_tokens, max_tokens=tokens + left, **more),
        0.0,
        1.0,
    )
    made.tokens = tokens
    return made


def plan(tickets, seconds_left=3.0):
    moves = plan_moves(
        tickets,
        seconds_left=seconds_left,
        decode_tokens_per_s=50.0,
        export_tokens_per_s=1000.0,
        margin_s=1.0,
    )
    return {move.ticket: move for move in moves}, moves


def test_most_expensive_streams_are_exported_first_and_the_rest_resume():
    """A server is reclaimed in 3 s, and 2 s of exports move 2,000 tokens. The streams
    that do not fit are computed again, so these must be the cheapest."""
    least_expensive = stream(0, prompt_tokens=300)
    most_expensive = stream(1, prompt_tokens=1500)
    middle = stream(2, prompt_tokens=400)
    planned, moves = plan([least_expensive, most_expensive, middle])
    assert [move.ticket for move in moves] == [most_expensive, middle, least_expensive]
    assert planned[most_expensive].start_delay_s == 0
    assert planned[middle].start_delay_s > 1
    assert planned[least_expensive].method is MoveMethod.RESUME


def test_stream_that_ends_in_time_is_left_alone():
    planned, _ = plan([ending := stream(0, prompt_tokens=900, left=50)])
    assert planned[ending].method is MoveMethod.FINISH


def test_non_idempotent_stream_is_never_computed_again():
    """A non-idempotent stream does not fit into the exports. If it were resumed on
    another server it might run twice."""
    quote = stream(0, prompt_tokens=9000, non_idempotent=True)
    planned, _ = plan([quote])
    assert planned[quote].method is MoveMethod.FINISH
