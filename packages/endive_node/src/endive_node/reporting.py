"""Status reports for operators: of a resource and of this node."""

from dataclasses import asdict

import msgspec
from endive_core.exceptions import EndiveError, ErrorKind
from endive_core.findings import findings
from endive_core.fold import StoredResource
from endive_core.handover import origin_in
from endive_core.members import Member

from endive_node.peers import IDL, PeerClient, PeerUnavailableError


def resource_body(stored: StoredResource) -> dict:
    """Return the body of a resource, with its version."""
    return stored.body | {"version": stored.version}


class Reports:
    """Collects status reports from the parts of one node.

    They are the ``status`` of a resource and the output of ``endivectl status`` and
    ``endivectl explain``.
    """

    def __init__(self, node) -> None:
        self.node = node

    def resource(self, stored: StoredResource) -> dict:
        """Return a resource with its status."""
        return resource_body(stored) | {"status": self.resource_status(stored)}

    def resource_status(self, stored: StoredResource) -> dict:
        """Return whether the resource is in force, since when and where, or why not."""
        members = self.node.members.live()
        behind = nodes_behind(members, stored.version)
        reasons = findings(self.node.configuration.catalogue, stored.kind, stored.name)
        if behind:
            reasons.append(f"not yet in force on {', '.join(behind)}")
        return {
            "in_force": not reasons,
            "since": stored.at,
            "changed_by": stored.operator,
            "nodes_live": len(members),
            "nodes_in_force": len(members) - len(behind),
            "reasons": reasons,
        }

    def explanation(self, request_id: str) -> dict:
        """Return the trace of a request, from the node named in its id."""
        own_id = self.node.settings.node.id
        accepted_by = origin_in(request_id)
        peer = self._member(accepted_by)
        if accepted_by == own_id or peer is None:
            return self.node.serving.traces.get(request_id).to_dict(own_id)
        try:
            answer = PeerClient(peer.peer_address).explain_request(request_id)
        except (IDL.PeerError, PeerUnavailableError) as error:
            raise EndiveError(
                ErrorKind.UNKNOWN_REQUEST,
                f"node {accepted_by} returned no trace of it: {error}",
            ) from None
        return msgspec.json.decode(answer)

    def _member(self, node_id: str) -> Member | None:
        found = (m for m in self.node.members.live() if m.id == node_id)
        return next(found, None)

    def status(self) -> dict:
        """Return the state of this node and of the other nodes that it knows."""
        node = self.node
        return {
            "node": node.settings.node.id,
            "zone": node.settings.node.zone,
            "ready": node.configuration.ready.is_set(),
            "stopping": node.serving.stopping,
            "configuration": self.configuration(),
            "nodes": [member_status(member) for member in node.members.live()],
            "in_flight": len(node.serving.registry.unfinished()),
            "zones_under_notice": sorted(node.notices.zones()),
            "queues": self.queues(),
            "servers": self.servers(),
            "refusals": {
                str(kind): count
                for kind, count in sorted(node.metrics.refused_counts.items())
            },
            "retries": {
                str(reason): count
                for reason, count in sorted(node.metrics.retried_counts.items())
            },
        }

    def configuration(self) -> dict:
        """Return the version in force and the seconds since the log was last read."""
        configuration = self.node.configuration
        last = configuration.last_read_at
        age = None if last is None else self.node.clock.now() - last
        return {"version": configuration.fold.offset, "log_read_s_ago": age}

    def queues(self) -> dict[str, int]:
        """Return the length of each service's queue."""
        schedulers = self.node.dispatcher.schedulers.items()
        return {name: len(scheduler.queue) for name, scheduler in schedulers}

    def servers(self) -> list[dict]:
        """Return this node's view of the backend servers."""
        return [
            asdict(view)
            for views in self.node.dispatcher.servers.values()
            for view in views.values()
        ]


def nodes_behind(members: list[Member], version: int) -> list[str]:
    """Return the ids of the members whose configuration is older than `version`."""
    return [m.id for m in members if m.configuration_offset < version]


def member_status(member: Member) -> dict:
    """Return the state of a member, as operators see it."""
    return {
        "id": member.id,
        "zone": member.zone,
        "state": str(member.state),
        "version": member.configuration_offset,
    }
