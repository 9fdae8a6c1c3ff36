"""Messages with which gateways report spending, and request and give grants."""

import msgspec
from endive_core.shared_limits import SpendingOrigin

from endive_gateway.quantities import Count, Quantity


class NodeSpending(msgspec.Struct, array_like=True):
    """What one node has spent of one organisation's limit since it started.

    Attributes
    ----------
    address : str
        IP address of the node that spent it.
    incarnation : int
        Differs with each start of that node.
    messages_sent : int
        Number of state messages that the node had sent by then.
    age_s : float
        Seconds since that node started.
    units : float
        Units spent since then.
    """

    address: str
    incarnation: Count
    messages_sent: Count
    age_s: Quantity
    organisation: str
    units: Quantity

    @property
    def origin(self) -> SpendingOrigin:
        """The node in the form that the shared limits use."""
        return SpendingOrigin(
            self.address, self.incarnation, self.messages_sent, self.age_s
        )


class SpendingReport(msgspec.Struct, array_like=True, tag="notes"):
    """Spending of one or more nodes."""

    entries: list[NodeSpending]


class GrantRequest(msgspec.Struct, array_like=True, tag="ask"):
    """A node's request to the coordinator for a grant to spend.

    Attributes
    ----------
    number : int
        Identifies the request in the reply.
    total : NodeSpending
        The node's spending, including what it requests.
    skipped : list of str
        Addresses of nodes that lately left the requesting node without a reply.
    forwarded : bool
        Whether it comes from another node than the requesting one.
    """

    number: Count
    total: NodeSpending
    skipped: list[str] = []
    forwarded: bool = False


class GrantReply(msgspec.Struct, array_like=True, tag="grant"):
    """Reply to a request for a grant.

    Attributes
    ----------
    wait_s : float
        0 if the node may spend, otherwise the seconds to wait.
    """

    number: Count
    wait_s: Quantity


class GrantDeclined(msgspec.Struct, array_like=True, tag="declined"):
    """Reply of a node that can't decide on a request for a grant.

    It has no configuration yet, or does not know what the requesting node has spent. A
    message of its own, since an unknown value in :class:`GrantReply` could be taken for
    a grant.
    """

    number: Count


class UnitsLeft(msgspec.Struct, array_like=True, tag="left"):
    """Units left of an organisation's limit, as its coordinator counts them.

    It has the same size for any number of nodes. If the coordinator instead sent all
    nodes what each of them had spent, one that is flooded at 86 nodes would fill a link
    of 5 Mbit/s, and its replies to requests for grants would arrive too late.
    """

    organisation: str
    units: Quantity


SpendingMessage = SpendingReport | GrantRequest | GrantReply | GrantDeclined | UnitsLeft

DECODER = msgspec.msgpack.Decoder(SpendingMessage)
