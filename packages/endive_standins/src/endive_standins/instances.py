"""Stand-in for the platform's list of live and leaving instances."""

if __name__ == "__main__":
    from gevent import monkey

    monkey.patch_all()

from dataclasses import dataclass

import msgspec
from bottle import HTTPResponse

from endive_standins.serving import Delayed, StandIn, answer, main, read


class Entry(msgspec.Struct):
    """What the list says of one instance."""

    address: str = ""
    zone: str = ""
    role: str = ""
    state: str = "live"


@dataclass
class InstancesSettings:
    """The list's flags."""

    lag_s: float = 0.0
    seed: int = 0


class Instances(StandIn):
    """Instance list that shows the truth only after its lag."""

    settings_type = InstancesSettings

    def __init__(self, settings: InstancesSettings) -> None:
        super().__init__(settings)
        self.truth: dict[str, Entry] = {}
        self.shown = Delayed(settings.lag_s, {})
        route = self.app.route
        route("/instances", "GET", self.get_instances)
        route("/instances/<name>", "PUT", self.put_instance)
        route("/instances/<name>", "DELETE", self.delete_instance)

    def get_instances(self) -> HTTPResponse:
        """Return the list as it was the lag ago."""
        listed = [
            {"id": name, **msgspec.to_builtins(entry)}
            for name, entry in self.shown.get().items()
        ]
        return answer({"instances": listed})

    def put_instance(self, name: str) -> HTTPResponse:
        """Set what is true of an instance."""
        self.truth[name] = read(Entry)
        self.shown.set(dict(self.truth))
        return answer({"set": name})

    def delete_instance(self, name: str) -> HTTPResponse:
        """Take an instance off the list."""
        self.truth.pop(name, None)
        self.shown.set(dict(self.truth))
        return answer({"deleted": name})


if __name__ == "__main__":
    main(Instances)
