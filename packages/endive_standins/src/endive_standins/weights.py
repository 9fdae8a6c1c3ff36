"""Stand-in for the platform's store of model weights."""

from dataclasses import dataclass
from typing import Any

from endive_standins import serving


@dataclass
class WeightsSettings:
    """Command-line flags of the store; a rate of 0 means no limit."""

    loads_per_s: float = 0.0
    size_bytes: int = 14_000_000_000


class Weights(serving.StandIn):
    """Rate-limited store in which every model version has the same size."""

    settings_type = WeightsSettings

    def __init__(self, settings: WeightsSettings) -> None:
        super().__init__(settings)
        self.bucket = serving.TokenBucket(settings.loads_per_s)
        self.route("GET", "/weights/<name:path>", self.get_weights)

    def get_weights(self, name: str) -> Any:
        """Load a model version; the response has its size in place of the data."""
        wait_s = self.bucket.take()
        if wait_s:
            return serving.rate_limit_response(wait_s)
        return {"name": name, "size_bytes": self.settings.size_bytes}


if __name__ == "__main__":
    serving.main(Weights)
