"""Stand-in for the platform's registry of live and leaving instances."""

from dataclasses import dataclass
from typing import Any, Literal

import msgspec

from endive_standins import serving


class Entry(msgspec.Struct):
    """One instance in the list."""

    address: str
    zone: str
    role: str = ""
    state: Literal["live", "leaving"] = "live"


@dataclass
class InstancesSettings:
    """Command-line flags; `lag_s` is the delay of the list, seconds."""

    lag_s: float = 0.0


class Instances(serving.StandIn):
    """List of instances that shows each change after a delay."""

    settings_type = InstancesSettings

    def __init__(self, settings: InstancesSettings) -> None:
        super().__init__(settings)
        self.actual: dict[str, Entry] = {}
        self.reported = serving.DelayedValue(settings.lag_s, [])
        self.route("GET", "/instances", lambda: {"instances": self.reported.get()})
        self.route("PUT", "/instances/<id>", self.put_instance, Entry)
        self.route("DELETE", "/instances/<id>", self.delete_instance)

    def put_instance(self, entry: Entry, id: str) -> dict[str, Any]:
        """Add an instance or replace its entry."""
        self.actual[id] = entry
        return self.publish(id)

    def delete_instance(self, id: str) -> dict[str, Any]:
        """Remove an instance."""
        self.actual.pop(id, None)
        return self.publish(id)

    def publish(self, id: str) -> dict[str, Any]:
        """Publish the current entries; readers see them after the delay."""
        entries = self.actual.items()
        self.reported.set([{"id": i, **msgspec.structs.asdict(e)} for i, e in entries])
        return {"id": id}


if __name__ == "__main__":
    serving.main(Instances)
