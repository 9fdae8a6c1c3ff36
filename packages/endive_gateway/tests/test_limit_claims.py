import re
import time

import msgspec
import pytest
from endive_core.limit_order import RETURN_RESERVE, SpendingClaim
from endive_core.routing import OrganisationLimits
from endive_gateway.spending import DECODER, GrantRequest
from endive_gateway.state_messages import DECODER as STATE_DECODER
from endive_gateway.state_messages import StateMessage
from gateway_builders import RunningGateway, make_route, make_table
from server_builders import ScriptedServer
from test_spending import (
    MANY_ADDRESSES,
    TERMS,
    coordinator_address,
    entry,
    requesting_node,
)
from test_spending import fleet as connected_fleet

fleet = pytest.fixture(connected_fleet.__wrapped__, name="fleet")
CLAIM = SpendingClaim("f", 1.0)


def leave(fleet, units):
    """Let all nodes know that so many units are left, and that some were refused."""
    for exchange in fleet.values():
        limits = exchange.context.limits
        now = time.monotonic()
        left, most = limits.left("o", now, rate=TERMS.rate, burst=TERMS.burst)
        limits.spend("o", left - units)
        limits.order.add("o", 300.0, now)


def test_a_first_request_leaves_the_reserve_to_those_that_return(fleet, monkeypatch):
    """Guards against a coordinator that grants a less urgent first request what refused
    requests were promised."""
    requester = requesting_node(fleet)
    coordinator = fleet[coordinator_address(MANY_ADDRESSES)]
    leave(fleet, 0.9 * RETURN_RESERVE * TERMS.burst)
    requester.context.limits.spend("o", -0.5 * TERMS.burst)  # has not heard of it yet
    order = requester.context.limits.order
    monkeypatch.setattr(order, "in_window", lambda claim, now: False)
    assert requester.try_spend(TERMS, 30.0, CLAIM) > 1.0
    assert requester.requests_sent == 1
    assert order.refused == {"o": 30.0}
    monkeypatch.setattr(order, "in_window", lambda claim, now: True)
    assert requester.try_spend(TERMS, 30.0, CLAIM) == 0.0
    assert coordinator.context.limits.peers[requester.address].spent["o"] > 0.0


def test_a_refusal_says_what_is_ahead_and_later_ones_wait_longer(caplog):
    """Guards against callers of whom each is told a time as if it were the only one."""
    terms = OrganisationLimits("o", rate=1.0, burst=1.0)
    table = make_table(
        make_route(public=False), organisations={"o": terms}, keys={"k": "o"}
    )
    with RunningGateway(ScriptedServer(), table=table) as running:
        got = [running.call(Key="k", body=b"%d" % n) for n in range(12)]
    told = [float(r.headers["retry-after"]) for r in got if r.status == 429]
    ahead = [float(units) for units in re.findall(r" ahead=([\d.]+) ", caplog.text)]
    # One in twenty is in its window by chance, and then not awaited.
    assert len(ahead) == len(told) >= 9
    assert ahead[0] == 0.0
    assert ahead[-1] >= 5.0
    assert max(told[5:]) >= 9.0 >= told[0]


def test_messages_of_earlier_versions_are_read():
    """Guards against a fleet that falls apart while nodes are replaced in turn."""
    request = msgspec.msgpack.encode(GrantRequest(1, entry("127.0.0.1", 5.0)))
    earlier = msgspec.msgpack.encode(msgspec.msgpack.decode(request)[:-1])
    assert DECODER.decode(earlier).reserve_share == 0.0
    state = StateMessage("n", 1, 1, 0, 1, False, {}, {}, {}, [], 0, 0)
    fields = StateMessage.__struct_fields__
    earlier = msgspec.to_builtins(state)[: fields.index("refused")]
    assert STATE_DECODER.decode(msgspec.msgpack.encode(earlier)).refused == {}


@pytest.mark.parametrize("share", [-0.1, 1.1])
def test_an_invalid_reserve_is_not_read(share):
    """Guards against a message that makes a coordinator admit beyond a limit."""
    request = GrantRequest(1, entry("127.0.0.1", 5.0), reserve_share=share)
    with pytest.raises(msgspec.ValidationError):
        DECODER.decode(msgspec.msgpack.encode(request))
