"""Finds why a resource of the configuration has no effect."""

from endive_core.catalogue import Catalogue
from endive_core.resources import (
    BackendServerService,
    Deployment,
    ModelVersion,
    Organisation,
)


def findings(catalogue: Catalogue, kind: str, name: str) -> list[str]:
    """Return one message for each reason why the resource has no effect.

    Operators change resources in any order, so a dangling reference is accepted when it
    is written and reported here, for the resource that contains it.
    """
    resource = catalogue.named(kind, name)
    match resource:
        case Deployment():
            return _deployment_findings(catalogue, name, resource)
        case BackendServerService():
            return _service_findings(catalogue, name, resource)
        case ModelVersion():
            return _finding_unless(
                any(d.version == name for d in catalogue.deployments.values()),
                "no deployment names this model version",
            )
        case Organisation():
            return _finding_unless(
                bool(resource.caller_key_hashes),
                "caller_key_hashes is empty, so its callers cannot authenticate",
            )
    return []


def _deployment_findings(
    catalogue: Catalogue, name: str, deployment: Deployment
) -> list[str]:
    found = []
    service = catalogue.services.get(deployment.service)
    if service is None:
        found.append(f"there is no backend server service {deployment.service!r}")
    elif not service.servers:
        found.append(f"the service {deployment.service!r} lists no servers")
    found += _version_findings(catalogue, deployment)
    serving = catalogue.by_model.get(deployment.model)
    if serving != name:
        found.append(
            f"the deployment {serving!r} already serves the model {deployment.model!r}"
        )
    return found


def _version_findings(catalogue: Catalogue, deployment: Deployment) -> list[str]:
    if deployment.version is None:
        return []
    version = catalogue.model_versions.get(deployment.version)
    if version is None:
        return [f"there is no model version {deployment.version!r}"]
    if version.model != deployment.model:
        return [
            f"the model version {deployment.version!r} belongs to the model "
            f"{version.model!r}, not to {deployment.model!r}"
        ]
    return []


def _service_findings(
    catalogue: Catalogue, name: str, service: BackendServerService
) -> list[str]:
    found = []
    if not service.servers:
        found.append("the service lists no servers")
    used = any(d.service == name for d in catalogue.deployments.values())
    if service.type == "engine" and not used:
        found.append("no deployment uses this service")
    return found


def _finding_unless(holds: bool, finding: str) -> list[str]:
    return [] if holds else [finding]
