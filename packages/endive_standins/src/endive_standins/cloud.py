"""Stand-in for the cloud's interface: prices, instances and reclaims."""

import random
import time
from dataclasses import dataclass
from itertools import count, product
from typing import Any

import msgspec

from endive_standins import serving


class Launch(msgspec.Struct):
    """The body of a call for an instance."""

    client_token: str
    zone: str
    machine_class: str
    reclaimable: bool = True
    role: str = ""
    tags: list[str] = []


class Reclaim(msgspec.Struct):
    """The body of an order to reclaim an instance, or what is reclaimable in a zone."""

    seconds: float
    instance: str | None = None
    zone: str | None = None


class Pool(msgspec.Struct):
    """A machine class in a zone; a field that isn't given stands for any."""

    zone: str | None = None
    machine_class: str | None = None

    def holds(self, launch: Launch) -> bool:
        """Return whether an instance would come from this pool."""
        zone_fits = self.zone in (None, launch.zone)
        return zone_fits and self.machine_class in (None, launch.machine_class)


class CloudFaults(serving.Faults):
    """The cloud's faults; each `refuse` adds a pool, and null lifts them all."""

    refuse: Pool | None = None


@dataclass
class CloudSettings:
    """The cloud's flags."""

    zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c")
    machine_classes: tuple[str, ...] = ("small", "large")
    seed: int = 0


class Cloud(serving.StandIn):
    """Cloud with prices by pool, instances and reclaims to order."""

    settings_type = CloudSettings
    faults_type = CloudFaults

    def __init__(self, settings: CloudSettings) -> None:
        super().__init__(settings)
        self.prices = draw_prices(settings)
        self.instances: dict[str, Launch] = {}
        self.tokens: dict[str, str] = {}
        self.numbers = count(1)
        self.reclaims: list[tuple[float, Reclaim]] = []
        self.refused: list[Pool] = []
        self.route("GET", "/prices", lambda: {"prices": self.prices})
        self.route("POST", "/instances", self.post_instances, Launch)
        self.route("GET", "/instances", self.get_instances)
        self.route("DELETE", "/instances/<id>", self.delete_instance)
        self.route("GET", "/notices", self.get_notices)
        self.route("POST", "/notices", self.post_notices, Reclaim)

    def is_work(self, method: str, path: str) -> bool:
        """Return whether the call changes what instances there are."""
        return method != "GET" and path != "/notices"

    def ordered(self, given: dict[str, Any]) -> None:
        """Let the ordered faults begin."""
        super().ordered(given)
        if "refuse" in given:
            pool = self.faults.refuse
            self.refused = [*self.refused, pool] if pool else []

    def post_instances(self, launch: Launch) -> Any:
        """Launch an instance, or name the one that its client token launched."""
        known = self.tokens.get(launch.client_token)
        if known is None and any(pool.holds(launch) for pool in self.refused):
            return serving.failure(409, "no_capacity")
        if known is None:
            known = self.tokens[launch.client_token] = f"i-{next(self.numbers)}"
            self.instances[known] = launch
        return {"id": known}

    def get_instances(self) -> dict[str, Any]:
        """List the instances, or those with a tag."""
        tag = serving.query("tag", str, "")
        self.finish_reclaims()
        kept = {i: e for i, e in self.instances.items() if not tag or tag in e.tags}
        listed = [{"id": i, **msgspec.structs.asdict(e)} for i, e in kept.items()]
        return {"instances": listed}

    def delete_instance(self, id: str) -> Any:
        """End an instance."""
        if self.instances.pop(id, None) is None:
            return serving.failure(404, "unknown_instance")
        return {"id": id}

    def post_notices(self, reclaim: Reclaim) -> dict[str, Any]:
        """Reclaim an instance or a zone after a notice."""
        self.reclaims.append((time.monotonic() + reclaim.seconds, reclaim))
        return {"seconds_left": reclaim.seconds}

    def get_notices(self) -> dict[str, Any]:
        """List the reclaims under way."""
        self.finish_reclaims()
        now = time.monotonic()
        notices = []
        for deadline, reclaim in self.reclaims:
            targets = [(i, self.instances[i].zone) for i in self.targets(reclaim)]
            if reclaim.instance not in self.instances:
                targets.append((reclaim.instance, reclaim.zone))
            left_s = deadline - now
            notices += [
                {"instance": i, "zone": zone, "seconds_left": left_s}
                for i, zone in targets
            ]
        return {"notices": notices}

    def targets(self, reclaim: Reclaim) -> list[str]:
        """Return the instances that a reclaim takes."""
        if reclaim.instance is not None:
            return [i for i in self.instances if i == reclaim.instance]
        entries = self.instances.items()
        return [i for i, e in entries if e.reclaimable and e.zone == reclaim.zone]

    def finish_reclaims(self) -> None:
        """End the instances whose notice has run out."""
        now = time.monotonic()
        for deadline, reclaim in self.reclaims:
            for instance in self.targets(reclaim) if deadline <= now else []:
                del self.instances[instance]
        self.reclaims = [entry for entry in self.reclaims if entry[0] > now]


def draw_prices(settings: CloudSettings) -> list[dict[str, Any]]:
    """Return a price for each pool; reclaimable machines are cheaper."""
    chance = random.Random(settings.seed)
    prices = []
    for zone, machine_class in product(settings.zones, settings.machine_classes):
        full = round(chance.uniform(1.0, 3.0), 3)
        share = chance.uniform(0.2, 0.5)
        for reclaimable, price in ((False, full), (True, round(full * share, 3))):
            pool = {"zone": zone, "machine_class": machine_class}
            prices.append({**pool, "reclaimable": reclaimable, "price": price})
    return prices


if __name__ == "__main__":
    serving.main(Cloud)
