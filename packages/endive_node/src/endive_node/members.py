"""The nodes that the settings name, for as long as no heartbeat is heard."""

from endive_core.membership import Member, MemberState

from endive_node.settings import Settings


class StaticMembers:
    """The settings' peers and this node, as :class:`~.interfaces.Members`."""

    def __init__(self, members: list[Member], own_id: str) -> None:
        self.members = {member.id: member for member in members}
        self.own_id = own_id

    @classmethod
    def from_settings(cls, settings: Settings) -> "StaticMembers":
        """Return the nodes that `settings` names, itself among them."""
        node = settings.node
        own = Member(node.id, node.zone, f"{node.address}:{node.peer_port}")
        peers = [Member(p.id, p.zone, p.peer_address) for p in settings.peers]
        return cls([own, *peers], node.id)

    def live(self) -> list[Member]:
        """See :meth:`endive_node.interfaces.Members.live`."""
        members = sorted(self.members.values(), key=lambda member: member.id)
        return [member for member in members if member.state is MemberState.LIVE]

    def leave(self) -> None:
        """Tell the others that this node takes nothing new."""
        own = self.members[self.own_id]
        self.members[own.id] = Member(
            own.id, own.zone, own.peer_address, MemberState.LEAVING
        )
