"""Stand-in for the cloud API: prices, instances and reclaim notices."""

if __name__ == "__main__":
    from gevent import monkey

    monkey.patch_all()

import itertools
import time
from dataclasses import dataclass
from typing import Any

import msgspec
from bottle import HTTPResponse

from endive_standins.serving import Faults, StandIn, answer, failure, main, query, read

MACHINE_CLASSES = (("small", 0.1), ("large", 1.0))
RECLAIMABLE_SHARE = 0.3
"""Price of a reclaimable instance as a share of the on-demand price."""


class Refusal(msgspec.Struct):
    """A pool that is sold out; an empty field stands for any."""

    zone: str = ""
    machine_class: str = ""


class CloudFaults(Faults):
    """The cloud's faults."""

    refuse: list[Refusal] = []


class InstanceOrder(msgspec.Struct):
    """The body of a call for an instance."""

    client_token: str
    zone: str
    machine_class: str
    reclaimable: bool = True
    role: str = ""
    tags: list[str] = []


class NoticeOrder(msgspec.Struct):
    """The body of a reclaim order; it names an instance or a whole zone."""

    instance: str = ""
    zone: str = ""
    seconds: float = 30.0


@dataclass
class CloudSettings:
    """The cloud's flags."""

    zones: str = "brest,quimper,lannion"
    seed: int = 0


class Cloud(StandIn):
    """Cloud API that keeps instances and notices in memory."""

    settings_type = CloudSettings
    faults_type = CloudFaults

    def __init__(self, settings: CloudSettings) -> None:
        super().__init__(settings)
        self.instances: dict[str, dict[str, Any]] = {}
        self.by_token: dict[str, str] = {}
        self.notices: list[tuple[NoticeOrder, float]] = []
        self.numbers = itertools.count(1)
        route = self.app.route
        route("/prices", "GET", self.get_prices)
        route("/instances", "GET", self.get_instances)
        route("/instances", "POST", self.post_instances)
        route("/instances/<name>", "DELETE", self.delete_instance)
        route("/notices", "GET", self.get_notices)
        route("/notices", "POST", self.post_notices)

    def get_prices(self) -> HTTPResponse:
        """Return a price for each pool."""
        zones = self.settings.zones
        names = zones.split(",") if isinstance(zones, str) else zones
        prices = [
            {
                "zone": zone,
                "machine_class": name,
                "reclaimable": reclaimable,
                "price": price * (RECLAIMABLE_SHARE if reclaimable else 1.0),
            }
            for zone in names
            for name, price in MACHINE_CLASSES
            for reclaimable in (True, False)
        ]
        return answer({"prices": prices})

    def get_instances(self) -> HTTPResponse:
        """Return the instances with a tag, or all."""
        tag = query("tag", str, "")
        found = [i for i in self.instances.values() if not tag or tag in i["tags"]]
        return answer({"instances": found})

    def post_instances(self) -> HTTPResponse:
        """Start an instance; the same client token starts one only."""
        order = read(InstanceOrder)
        if order.client_token in self.by_token:
            return answer({"id": self.by_token[order.client_token]})
        for pool in self.faults.refuse:
            if pool.zone in ("", order.zone) and pool.machine_class in (
                "",
                order.machine_class,
            ):
                return failure(409, "no_capacity")
        name = f"instance-{next(self.numbers)}"
        self.by_token[order.client_token] = name
        self.instances[name] = {"id": name, **msgspec.to_builtins(order)}
        return answer({"id": name})

    def delete_instance(self, name: str) -> HTTPResponse:
        """Give an instance back."""
        return answer({"deleted": self.instances.pop(name, None) is not None})

    def get_notices(self) -> HTTPResponse:
        """Return the notices in force."""
        now = time.monotonic()
        notices = [
            {
                "instance": order.instance,
                "zone": order.zone,
                "seconds_left": max(0.0, ends_at - now),
            }
            for order, ends_at in self.notices
        ]
        return answer({"notices": notices})

    def post_notices(self) -> HTTPResponse:
        """Announce a reclaim."""
        order = read(NoticeOrder)
        self.notices.append((order, time.monotonic() + order.seconds))
        return answer({"ordered": True})


if __name__ == "__main__":
    main(Cloud)
