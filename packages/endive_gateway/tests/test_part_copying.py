from endive_core.calls import Call, Ticket
from endive_gateway.part_copying import PartCopying


def test_only_requests_to_further_copies_are_counted():
    """If all requests were counted, an operator could not tell a busy part."""
    copying = PartCopying()
    ticket = Ticket(Call("r1", "org", prompt_tokens=9, max_tokens=1), 0.0, 10.0)
    copying.sent(ticket)
    assert copying.requests == 0
    ticket.at_further_copy = True
    copying.sent(ticket)
    assert copying.requests == 1
