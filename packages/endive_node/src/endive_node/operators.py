"""The operators' HTTP API: resources, their versions, metrics and node status."""

import hmac
from dataclasses import dataclass

import bottle
from endive_core.bodies import decode_json
from endive_core.catalogue import hash_key
from endive_core.exceptions import EndiveError, ErrorKind
from endive_core.fold import StoredResource
from endive_core.records import Change
from endive_core.resources import Resource, ResourceKind

from endive_node.callers import (
    BEARER,
    encode_json,
    error_response,
    http_error_body,
)
from endive_node.configuration import Configuration, new_change_id
from endive_node.settings import OperatorEntry
from endive_node.telemetry import Metrics, log_event

ALL_ORGANISATIONS = "*"


@dataclass(frozen=True)
class Operator:
    """Who calls, and whose resources they may see and change."""

    name: str
    organisation: str

    def may_touch(self, owner: str) -> bool:
        """Return whether resources of `owner` are this operator's to see."""
        return self.organisation in (ALL_ORGANISATIONS, owner)


class OperatorApi:
    """What operators reach on the node's operators' port.

    Attributes
    ----------
    app : bottle.Bottle
        The WSGI application.
    """

    def __init__(
        self,
        configuration: Configuration,
        operators: tuple[OperatorEntry, ...],
        metrics: Metrics,
    ) -> None:
        self.configuration = configuration
        self.operators = operators
        self.metrics = metrics
        self.app = bottle.Bottle()
        self.app.default_error_handler = http_error_body
        route = self.app.route
        route("/v1/resources/<kind>", "GET", self.guarded(self.list))
        route("/v1/resources/<kind>/<name>", "GET", self.guarded(self.get))
        route("/v1/resources/<kind>/<name>", "PUT", self.guarded(self.put))
        route("/v1/resources/<kind>/<name>", "DELETE", self.guarded(self.delete))
        route("/metrics", "GET", self.scrape)

    def guarded(self, method):
        """Return `method` behind the token check, its errors made into answers."""

        def call(**path):
            bottle.response.content_type = "application/json"
            try:
                return encode_json(method(self.authenticate(), **path))
            except EndiveError as error:
                log_event("order_refused", kind=error.kind, message=error.message)
                return error_response(error)

        return call

    def authenticate(self) -> Operator:
        """Return the operator whose token the call carries.

        Every hash is compared, each in constant time, so that the time taken tells
        nothing about the tokens.
        """
        header = bottle.request.get_header("Authorization", "")
        given = hash_key(header.removeprefix(BEARER))
        found = None
        for entry in self.operators:
            if hmac.compare_digest(entry.token_hash, given):
                found = Operator(entry.name, entry.organisation)
        if found is None:
            raise EndiveError(
                ErrorKind.UNAUTHENTICATED, "a valid operator's token is required"
            )
        return found

    def list(self, operator: Operator, kind: str):
        """Return all resources of a kind that the operator may see."""
        fold = self.configuration.fold
        return {
            "version": fold.offset,
            "items": [
                shown(stored)
                for stored in fold.listed(parse_kind(kind))
                if operator.may_touch(stored.body["owner"])
            ],
        }

    def get(self, operator: Operator, kind: str, name: str):
        """Return one resource."""
        return shown(self._visible(operator, parse_kind(kind), name))

    def put(self, operator: Operator, kind: str, name: str):
        """Create or change a resource; ``expected_version`` makes it conditional."""
        body = decode_json(bottle.request.body.read())
        if not isinstance(body, dict):
            raise EndiveError(ErrorKind.MALFORMED_BODY, "the body must be an object")
        options = {
            key: body.pop(key)
            for key in ("expected_version", "change_id") & body.keys()
        }
        resource = Resource.from_body(body | {"kind": parse_kind(kind), "name": name})
        self._check_owner(operator, resource)
        change = Change(
            change_id=options.get("change_id") or new_change_id(),
            kind=resource.kind,
            name=name,
            operator=operator.name,
            expected_version=options.get("expected_version"),
            body=resource.model_dump(mode="json"),
        )
        outcome = self.configuration.submit(change)
        return {"version": outcome.version, "change_id": change.change_id}

    def delete(self, operator: Operator, kind: str, name: str):
        """Delete a resource."""
        stored = self._visible(operator, parse_kind(kind), name)
        expected = bottle.request.query.get("expected_version")
        change = Change(
            change_id=bottle.request.query.get("change_id") or new_change_id(),
            kind=stored.kind,
            name=name,
            operator=operator.name,
            expected_version=int(expected) if expected else stored.version,
        )
        outcome = self.configuration.submit(change)
        return {"version": outcome.version, "change_id": change.change_id}

    def scrape(self):
        """Return the metrics page."""
        bottle.response.content_type = "text/plain; version=0.0.4"
        return self.metrics.page()

    def _visible(self, operator: Operator, kind: str, name: str) -> StoredResource:
        stored = self.configuration.fold.get(kind, name)
        if stored is None or not operator.may_touch(stored.body["owner"]):
            raise EndiveError(ErrorKind.NOT_FOUND, f"there is no {kind} {name!r}")
        return stored

    def _check_owner(self, operator: Operator, resource: Resource) -> None:
        """Refuse to write for another organisation, or over its resource."""
        stored = self.configuration.fold.get(resource.kind, resource.name)
        owners = {resource.owner} | ({stored.body["owner"]} if stored else set())
        if not all(operator.may_touch(owner) for owner in owners):
            raise EndiveError(
                ErrorKind.FORBIDDEN, "the resource belongs to another organisation"
            )


def parse_kind(kind: str) -> ResourceKind:
    """Return the resource kind that a path names."""
    try:
        return ResourceKind(kind)
    except ValueError:
        allowed = ", ".join(ResourceKind)
        raise EndiveError(
            ErrorKind.NOT_FOUND, f"no kind is called {kind!r}; there are {allowed}"
        ) from None


def shown(stored: StoredResource) -> dict:
    """Return a resource as operators see it."""
    return stored.body | {"version": stored.version}
