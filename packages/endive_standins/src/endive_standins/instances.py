"""Stand-in for the platform's list of live and leaving instances."""

from dataclasses import dataclass
from typing import Any, Literal

import msgspec

from endive_standins import serving


class Entry(msgspec.Struct):
    """What the list says of an instance."""

    address: str
    zone: str
    role: str = ""
    state: Literal["live", "leaving"] = "live"


@dataclass
class InstancesSettings:
    """The list's flags."""

    lag_s: float = 0.0


class Instances(serving.StandIn):
    """List of instances that lags behind the truth."""

    settings_type = InstancesSettings

    def __init__(self, settings: InstancesSettings) -> None:
        super().__init__(settings)
        self.actual: dict[str, Entry] = {}
        self.reported = serving.DelayedValue(settings.lag_s, [])
        self.route("GET", "/instances", lambda: {"instances": self.reported.get()})
        self.route("PUT", "/instances/<id>", self.put_instance, Entry)
        self.route("DELETE", "/instances/<id>", self.delete_instance)

    def put_instance(self, entry: Entry, id: str) -> dict[str, Any]:
        """Set the truth about an instance."""
        self.actual[id] = entry
        return self.publish(id)

    def delete_instance(self, id: str) -> dict[str, Any]:
        """Take an instance off the list."""
        self.actual.pop(id, None)
        return self.publish(id)

    def publish(self, id: str) -> dict[str, Any]:
        """Let the list follow the truth."""
        entries = self.actual.items()
        self.reported.set([{"id": i, **msgspec.structs.asdict(e)} for i, e in entries])
        return {"id": id}


if __name__ == "__main__":
    serving.main(Instances)
