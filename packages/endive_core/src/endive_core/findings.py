"""Why something an operator asked for is not in force, from the configuration alone."""

from endive_core.catalogue import Catalogue
from endive_core.resources import (
    BackendServerService,
    Deployment,
    ModelVersion,
    Organisation,
)


def findings(catalogue: Catalogue, kind: str, name: str) -> list[str]:
    """Return one sentence for each reason why the resource can't do its work.

    Operators change resources in any order, so a dangling reference is no error when
    it is written; it is told here, on the resource that suffers from it.
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
                "it has no caller_key_hashes, so its callers can't be told apart",
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
            f"the deployment {serving!r} already answers for {deployment.model!r}"
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
            f"the model version {deployment.version!r} is of {version.model!r}, "
            f"not of {deployment.model!r}"
        ]
    return []


def _service_findings(
    catalogue: Catalogue, name: str, service: BackendServerService
) -> list[str]:
    found = []
    if not service.servers:
        found.append("it lists no servers")
    used = any(d.service == name for d in catalogue.deployments.values())
    if service.type == "engine" and not used:
        found.append("no deployment uses it")
    return found


def _finding_unless(holds: bool, finding: str) -> list[str]:
    return [] if holds else [finding]
