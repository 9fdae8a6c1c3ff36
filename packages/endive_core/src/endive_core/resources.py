"""Validated models of the resources that operators declare.

Everything that an operator sends is validated by these models, field by field, before
a change record is appended to the log.
"""

import re
from enum import StrEnum
from typing import Annotated, Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator

from endive_core.exceptions import EndiveError, ErrorKind
from endive_core.retrying import DEFAULT_RETRY_RATIO
from endive_core.service_types import ServiceType

NAME_PATTERN = re.compile(r"^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$")
"""Names are DNS labels with dots, so that they can be used in paths and metrics."""

SHA256_HEX = re.compile(r"^[0-9a-f]{64}$")

Name = Annotated[str, Field(pattern=NAME_PATTERN.pattern)]


class ResourceKind(StrEnum):
    """Kinds of resource, as written in paths and files."""

    DEPLOYMENT = "deployment"
    BACKEND_SERVER_SERVICE = "backend-server-service"
    ORGANISATION = "organisation"
    PRIORITY = "priority"
    MODEL_VERSION = "model-version"


class _Spec(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class LatencyTarget(_Spec):
    """Latency targets at the 95th percentile of callers, in seconds."""

    first_token_s: float = Field(0.38, gt=0, le=600)
    between_tokens_s: float = Field(0.029, gt=0, le=60)


class Weights(_Spec):
    """Weights of waiting time and recomputation time, both in seconds."""

    wait: float = Field(1.0, ge=0, le=100)
    recompute: float = Field(1.0, ge=0, le=100)


class Deployment(_Spec):
    """A model name that callers may request, and the service that serves it."""

    model: Name
    service: Name
    version: Name | None = None
    latency: LatencyTarget = LatencyTarget()
    weights: Weights = Weights()
    retry_ratio: float = Field(DEFAULT_RETRY_RATIO, ge=0, le=1)


class BackendServer(_Spec):
    """One backend server: its address, zone and machine class."""

    id: Name
    address: str = Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
    zone: Name
    machine_class: Name = "standard"
    reclaimable: bool = True


class BackendServerService(_Spec):
    """A group of interchangeable backend servers."""

    type: ServiceType = ServiceType.ENGINE
    servers: tuple[BackendServer, ...] = ()
    max_concurrent: int = Field(32, ge=1, le=100_000)
    prefill_tokens_per_s: float = Field(20_000.0, gt=0)
    decode_tokens_per_s: float = Field(50.0, gt=0)
    checks_fencing: bool = False

    @field_validator("servers")
    @classmethod
    def ids_are_unique(
        cls, servers: tuple[BackendServer, ...]
    ) -> tuple[BackendServer, ...]:
        """Reject duplicate ids: a load report would be applied to both servers."""
        ids = [server.id for server in servers]
        if len(ids) != len(set(ids)):
            raise ValueError("two servers have the same id")
        return servers


class Organisation(_Spec):
    """A customer: the keys of its callers, its limits and its share of capacity."""

    share: float = Field(1.0, gt=0, le=1000)
    tokens_per_s: float = Field(1_000_000.0, gt=0)
    max_in_flight: int = Field(100_000, ge=1)
    caller_key_hashes: tuple[str, ...] = ()

    @field_validator("caller_key_hashes")
    @classmethod
    def hashes_are_sha256(cls, hashes: tuple[str, ...]) -> tuple[str, ...]:
        """Reject anything but SHA-256, so that no key is stored in plain text."""
        for value in hashes:
            if not SHA256_HEX.match(value):
                raise ValueError(
                    "must be the SHA-256 hash of a key, 64 lower-case hex digits"
                )
        return hashes


class Priority(_Spec):
    """A named priority. Higher levels go first; bulk uses only idle capacity."""

    level: int = Field(0, ge=-100, le=100)
    bulk: bool = False


class ModelVersion(_Spec):
    """One version of a model's weights."""

    model: Name
    weights: str = Field(min_length=1, max_length=500)
    context_tokens: int = Field(8192, ge=1)


SPECS: dict[ResourceKind, type[_Spec]] = {
    ResourceKind.DEPLOYMENT: Deployment,
    ResourceKind.BACKEND_SERVER_SERVICE: BackendServerService,
    ResourceKind.ORGANISATION: Organisation,
    ResourceKind.PRIORITY: Priority,
    ResourceKind.MODEL_VERSION: ModelVersion,
}


class Resource(BaseModel):
    """A resource as declared by an operator: kind, name, owner and spec."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    kind: ResourceKind
    name: Name
    owner: Name
    spec: dict[str, Any] = {}

    def parse_spec(self) -> _Spec:
        """Return the spec parsed by the model of its kind."""
        return SPECS[self.kind].model_validate(self.spec)

    @classmethod
    def from_body(cls, body: Any) -> "Resource":
        """Validate a decoded JSON body and return the resource with all defaults set.

        Raises
        ------
        EndiveError
            ``invalid_resource``, with one entry for each invalid field.
        """
        try:
            resource = cls.model_validate(body)
            spec = resource.parse_spec().model_dump(mode="json")
        except ValidationError as error:
            raise EndiveError(
                ErrorKind.INVALID_RESOURCE,
                "the resource is not valid",
                details={"fields": field_errors(error)},
            ) from None
        return resource.model_copy(update={"spec": spec})


def field_errors(error: ValidationError) -> list[dict[str, str]]:
    """Return one {field, found, problem} entry for each invalid field."""
    return [
        {
            "field": ".".join(str(part) for part in entry["loc"]) or "(body)",
            "found": repr(entry.get("input"))[:80],
            "problem": entry["msg"],
        }
        for entry in error.errors(include_url=False)
    ]
