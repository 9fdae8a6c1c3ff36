"""The parsed configuration, indexed for the lookups of request handling."""

import hashlib
from dataclasses import dataclass, field

from endive_core.exceptions import EndiveError, ErrorKind
from endive_core.fold import ConfigurationFold, StoredResource
from endive_core.resources import (
    BackendServerService,
    Deployment,
    ModelVersion,
    Organisation,
    Priority,
    Resource,
    ResourceKind,
)

DEFAULT_PRIORITY = "default"
"""Priority of a request that names none; it need not be declared."""


def hash_key(key: str) -> str:
    """Return the SHA-256 of a caller's key or an operator's token, in hex."""
    return hashlib.sha256(key.encode()).hexdigest()


@dataclass
class Catalogue:
    """Parsed resources by name, kept in sync with the configuration fold.

    Only changed resources are parsed again, so that a change costs the same with 10
    servers as with 2,600; there may be 11,000 changes a day.
    """

    offset: int = -1
    deployments: dict[str, Deployment] = field(default_factory=dict)
    services: dict[str, BackendServerService] = field(default_factory=dict)
    organisations: dict[str, Organisation] = field(default_factory=dict)
    priorities: dict[str, Priority] = field(default_factory=dict)
    model_versions: dict[str, ModelVersion] = field(default_factory=dict)
    versions: dict[tuple[str, str], int] = field(default_factory=dict)
    by_model: dict[str, str] = field(default_factory=dict)
    by_key_hash: dict[str, str] = field(default_factory=dict)

    def refresh(self, fold: ConfigurationFold) -> set[tuple[str, str]]:
        """Apply the changes in `fold`; return the (kind, name) pairs that changed."""
        if fold.offset == self.offset:
            return set()
        self.offset = fold.offset
        changed = {
            key
            for key, stored in fold.resources.items()
            if self.versions.get(key) != stored.version
        }
        gone = self.versions.keys() - fold.resources.keys()
        for key in gone:
            del self.versions[key]
            self._table(key[0]).pop(key[1], None)
        for key in changed:
            self._put(fold.resources[key])
        if changed or gone:
            self._index()
        return changed | gone

    def _table(self, kind: str) -> dict:
        return {
            ResourceKind.DEPLOYMENT: self.deployments,
            ResourceKind.BACKEND_SERVER_SERVICE: self.services,
            ResourceKind.ORGANISATION: self.organisations,
            ResourceKind.PRIORITY: self.priorities,
            ResourceKind.MODEL_VERSION: self.model_versions,
        }[ResourceKind(kind)]

    def _put(self, stored: StoredResource) -> None:
        self.versions[(stored.kind, stored.name)] = stored.version
        resource = Resource.model_validate(stored.body)
        self._table(stored.kind)[stored.name] = resource.parse_spec()

    def named(self, kind: str, name: str):
        """Return the parsed spec of a resource, or ``None``."""
        return self._table(kind).get(name)

    def _index(self) -> None:
        # If two deployments name the same model, the first by name serves it, so that
        # all nodes agree whatever the order in which they received them.
        self.by_model = {
            deployment.model: name
            for name, deployment in sorted(self.deployments.items(), reverse=True)
        }
        self.by_key_hash = {
            key_hash: name
            for name, organisation in self.organisations.items()
            for key_hash in organisation.caller_key_hashes
        }

    def deployment_for(self, model: str) -> tuple[str, Deployment]:
        """Return name and spec of the deployment that serves `model`.

        Raises
        ------
        EndiveError
            ``unknown_model`` if no deployment serves it.
        """
        name = self.by_model.get(model)
        if name is None:
            raise EndiveError(
                ErrorKind.UNKNOWN_MODEL, f"no deployment serves {model!r}"
            )
        return name, self.deployments[name]

    def organisation_for(self, key: str) -> str:
        """Return the organisation that the caller's `key` belongs to.

        Raises
        ------
        EndiveError
            ``unauthenticated`` if no organisation has it.
        """
        name = self.by_key_hash.get(hash_key(key))
        if name is None:
            raise EndiveError(
                ErrorKind.UNAUTHENTICATED, "the caller's key is not known"
            )
        return name

    def priority(self, name: str) -> Priority:
        """Return the priority called `name`.

        Raises
        ------
        EndiveError
            ``invalid_field`` if it is not declared.
        """
        if name in self.priorities:
            return self.priorities[name]
        if name == DEFAULT_PRIORITY:
            return Priority()
        raise EndiveError(ErrorKind.INVALID_FIELD, f"no priority is called {name!r}")
