"""Stand-in for the cloud provider's API: prices, instances and reclaim notices."""

import random
import time
from dataclasses import dataclass
from itertools import count, product
from typing import Any

import msgspec

from endive_standins import serving


class LaunchRequest(msgspec.Struct):
    """The body of a request to launch an instance."""

    client_token: str
    zone: str
    machine_class: str
    reclaimable: bool = True
    role: str = ""
    tags: list[str] = []


class ReclaimOrder(msgspec.Struct):
    """The body of a request to reclaim an instance, or a zone's reclaimable instances.

    `seconds` is the time from the notice until the instances are terminated.
    """

    seconds: float
    instance: str | None = None
    zone: str | None = None


class Pool(msgspec.Struct):
    """Instances of a machine class in a zone; a field that is None matches any."""

    zone: str | None = None
    machine_class: str | None = None

    def matches(self, launch: LaunchRequest) -> bool:
        """Return whether the instance would be launched in this pool."""
        zone_fits = self.zone in (None, launch.zone)
        return zone_fits and self.machine_class in (None, launch.machine_class)


class CloudFaults(serving.Faults):
    """Faults of the cloud.

    `refuse` is a pool in which launches fail with ``no_capacity``. Each request adds
    one pool, and null removes all.
    """

    refuse: Pool | None = None


@dataclass
class CloudSettings:
    """Command-line flags of the cloud."""

    zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c")
    machine_classes: tuple[str, ...] = ("small", "large")
    seed: int = 0


class Cloud(serving.StandIn):
    """Cloud with prices by pool, instances, and reclaims on request."""

    settings_type = CloudSettings
    faults_type = CloudFaults

    def __init__(self, settings: CloudSettings) -> None:
        super().__init__(settings)
        self.prices = generate_prices(settings)
        self.instances: dict[str, LaunchRequest] = {}
        self.instances_by_token: dict[str, str] = {}
        self.serials = count(1)
        self.reclaims: list[tuple[float, ReclaimOrder]] = []
        self.refused_pools: list[Pool] = []
        self.route("GET", "/prices", lambda: {"prices": self.prices})
        self.route("POST", "/instances", self.post_instances, LaunchRequest)
        self.route("GET", "/instances", self.get_instances)
        self.route("DELETE", "/instances/<id>", self.delete_instance)
        self.route("GET", "/notices", self.get_notices)
        self.route("POST", "/notices", self.post_notices, ReclaimOrder)

    def is_work(self, method: str, path: str) -> bool:
        """Return whether the request launches or terminates an instance."""
        return method != "GET" and path != "/notices"

    def apply_faults(self, given: dict[str, Any]) -> None:
        """Apply the faults in `given`."""
        super().apply_faults(given)
        if "refuse" in given:
            pool = self.faults.refuse
            self.refused_pools = [*self.refused_pools, pool] if pool else []

    def post_instances(self, launch: LaunchRequest) -> Any:
        """Launch an instance, or return the one launched with the same client token."""
        instance_id = self.instances_by_token.get(launch.client_token)
        if instance_id is None and any(
            pool.matches(launch) for pool in self.refused_pools
        ):
            return serving.error_response(409, "no_capacity")
        if instance_id is None:
            instance_id = self.instances_by_token[launch.client_token] = (
                f"i-{next(self.serials)}"
            )
            self.instances[instance_id] = launch
        return {"id": instance_id}

    def get_instances(self) -> dict[str, Any]:
        """List the instances, or only those with a tag."""
        tag = serving.query_parameter("tag", str, "")
        self.terminate_reclaimed()
        matching = {i: e for i, e in self.instances.items() if not tag or tag in e.tags}
        listed = [{"id": i, **msgspec.structs.asdict(e)} for i, e in matching.items()]
        return {"instances": listed}

    def delete_instance(self, id: str) -> Any:
        """Terminate an instance."""
        if self.instances.pop(id, None) is None:
            return serving.error_response(404, "unknown_instance")
        return {"id": id}

    def post_notices(self, reclaim: ReclaimOrder) -> dict[str, Any]:
        """Start the notice after which an instance or a zone is reclaimed."""
        self.reclaims.append((time.monotonic() + reclaim.seconds, reclaim))
        return {"seconds_left": reclaim.seconds}

    def get_notices(self) -> dict[str, Any]:
        """List the notices of the reclaims that are not yet carried out.

        An instance that the cloud did not launch, and a zone as such, are listed too.
        """
        self.terminate_reclaimed()
        now = time.monotonic()
        notices = []
        for deadline, reclaim in self.reclaims:
            targets = [
                (i, self.instances[i].zone) for i in self.reclaimed_instances(reclaim)
            ]
            if reclaim.instance not in self.instances:
                targets.append((reclaim.instance, reclaim.zone))
            remaining_s = deadline - now
            notices += [
                {"instance": i, "zone": zone, "seconds_left": remaining_s}
                for i, zone in targets
            ]
        return {"notices": notices}

    def reclaimed_instances(self, reclaim: ReclaimOrder) -> list[str]:
        """Return the instances that a reclaim terminates."""
        if reclaim.instance is not None:
            return [i for i in self.instances if i == reclaim.instance]
        entries = self.instances.items()
        return [i for i, e in entries if e.reclaimable and e.zone == reclaim.zone]

    def terminate_reclaimed(self) -> None:
        """Terminate the instances whose notice has expired."""
        now = time.monotonic()
        for deadline, reclaim in self.reclaims:
            for instance in (
                self.reclaimed_instances(reclaim) if deadline <= now else []
            ):
                del self.instances[instance]
        self.reclaims = [entry for entry in self.reclaims if entry[0] > now]


def generate_prices(settings: CloudSettings) -> list[dict[str, Any]]:
    """Return prices for each pool, drawn from the seed.

    A reclaimable instance costs 20 % to 50 % of the full price.
    """
    rng = random.Random(settings.seed)
    prices = []
    for zone, machine_class in product(settings.zones, settings.machine_classes):
        full_price = round(rng.uniform(1.0, 3.0), 3)
        price_factor = rng.uniform(0.2, 0.5)
        for reclaimable, price in (
            (False, full_price),
            (True, round(full_price * price_factor, 3)),
        ):
            pool = {"zone": zone, "machine_class": machine_class}
            prices.append({**pool, "reclaimable": reclaimable, "price": price})
    return prices


if __name__ == "__main__":
    serving.main(Cloud)
