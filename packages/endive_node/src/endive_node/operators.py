"""The operators' HTTP API: resources, watches, status and metrics."""

import hmac
import time
from dataclasses import dataclass

import bottle
from endive_core.bodies import decode_json
from endive_core.catalogue import hash_key
from endive_core.exceptions import EndiveError, ErrorKind
from endive_core.fold import ABSENT, StoredResource
from endive_core.records import ALL_ORGANISATIONS, Change
from endive_core.resources import Resource, ResourceKind, field_errors
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from endive_node.callers import (
    BEARER,
    EVENT_STREAM,
    encode_json,
    error_response,
    http_error_body,
)
from endive_node.configuration import new_change_id
from endive_node.logs import log_event
from endive_node.reporting import Reports, resource_body
from endive_node.settings import OperatorEntry
from endive_node.watching import Watch

MAX_BODY_BYTES = 1_000_000
"""Largest request body, bytes. A service with 2,600 servers has about 300 kB."""


@dataclass(frozen=True)
class Operator:
    """An authenticated operator, and the organisation whose resources it may access."""

    name: str
    organisation: str

    def may_access(self, owner: str) -> bool:
        """Return whether the operator may see and change resources of `owner`."""
        return self.organisation in (ALL_ORGANISATIONS, owner)


class ChangeOptions(BaseModel):
    """Query parameters of a change.

    Attributes
    ----------
    expected_version : int or None
        Apply only if this is the current version; -1 if none may exist.
    change_id : str
        Chosen by the caller; a change sent repeatedly with one id is applied once.
    dry_run : bool
        Validate the change without applying it.
    """

    model_config = ConfigDict(extra="forbid")

    expected_version: int | None = Field(None, ge=ABSENT)
    change_id: str = Field(default_factory=new_change_id, max_length=100, min_length=1)
    dry_run: bool = False

    @classmethod
    def from_query(cls, query) -> "ChangeOptions":
        """Return the validated options of a call.

        Raises
        ------
        EndiveError
            ``invalid_field`` if a parameter is unknown or not valid.
        """
        try:
            return cls.model_validate(dict(query))
        except ValidationError as error:
            raise EndiveError(
                ErrorKind.INVALID_FIELD,
                "a query parameter is not valid",
                details={"fields": field_errors(error)},
            ) from None


class OperatorApi:
    """The HTTP API on the operators' port of the node.

    Attributes
    ----------
    app : bottle.Bottle
        The WSGI application.
    """

    def __init__(self, node) -> None:
        self.configuration = node.configuration
        self.operators: tuple[OperatorEntry, ...] = node.settings.operators
        self.metrics = node.metrics
        self.reports = Reports(node)
        self.app = bottle.Bottle()
        self.app.default_error_handler = http_error_body
        route = self.app.route
        route("/v1/resources/<kind>", "GET", self.authenticated(self.list))
        route("/v1/resources/<kind>/<name>", "GET", self.authenticated(self.get))
        route("/v1/resources/<kind>/<name>", "PUT", self.authenticated(self.put))
        route("/v1/resources/<kind>/<name>", "DELETE", self.authenticated(self.delete))
        route("/v1/watch", "GET", self.authenticated(self.watch))
        route("/v1/requests/<request_id>", "GET", self.authenticated(self.explain))
        route("/v1/status", "GET", self.authenticated(self.status))
        route("/metrics", "GET", self.authenticated(self.scrape))

    def authenticated(self, method):
        """Return `method` behind a token check, with its errors as responses."""

        def call(**path):
            bottle.response.content_type = "application/json"
            try:
                answer = method(self.authenticate(), **path)
            except EndiveError as error:
                log_event("order_refused", kind=error.kind, message=error.message)
                return error_response(error)
            return encode_json(answer) if isinstance(answer, dict) else answer

        return call

    def authenticate(self) -> Operator:
        """Return the operator whose token the call carries.

        All hashes are compared, each in constant time, so that the response time
        discloses nothing about the tokens.

        Raises
        ------
        EndiveError
            ``unauthenticated`` if no operator has this token.
        """
        header = bottle.request.get_header("Authorization", "")
        presented_hash = hash_key(header.removeprefix(BEARER))
        found = None
        for entry in self.operators:
            if hmac.compare_digest(entry.token_hash, presented_hash):
                found = Operator(entry.name, entry.organisation)
        if found is None:
            raise EndiveError(
                ErrorKind.UNAUTHENTICATED, "a valid operator's token is required"
            )
        return found

    def list(self, operator: Operator, kind: str) -> dict:
        """Return the resources of a kind that the operator may see."""
        fold = self.configuration.fold
        return {
            "version": fold.offset,
            "items": [
                self.reports.resource(stored)
                for stored in fold.of_kind(parse_kind(kind))
                if operator.may_access(stored.body["owner"])
            ],
        }

    def get(self, operator: Operator, kind: str, name: str) -> dict:
        """Return one resource with its status."""
        return self.reports.resource(self._visible(operator, parse_kind(kind), name))

    def put(self, operator: Operator, kind: str, name: str) -> dict:
        """Create or change a resource."""
        options = ChangeOptions.from_query(bottle.request.query)
        resource = self._resource(parse_kind(kind), name)
        if not operator.may_access(resource.owner):
            raise forbidden_error()
        body = resource.model_dump(mode="json")
        return self._submit(operator, options, resource.kind, name, body)

    def delete(self, operator: Operator, kind: str, name: str) -> dict:
        """Delete a resource."""
        options = ChangeOptions.from_query(bottle.request.query)
        stored = self._visible(operator, parse_kind(kind), name)
        if options.expected_version is None:
            options.expected_version = stored.version
        return self._submit(operator, options, stored.kind, name, None)

    def watch(self, operator: Operator):
        """Stream the changes after the version in ``from`` or ``Last-Event-ID``."""
        kind = bottle.request.query.get("kind")
        wanted = None if kind is None else parse_kind(kind)

        def is_visible(event) -> bool:
            return operator.may_access(event.owner) and wanted in (None, event.kind)

        watch = Watch(self.configuration, is_visible, self._watch_version())
        bottle.response.content_type = EVENT_STREAM
        bottle.response.set_header("Cache-Control", "no-cache")
        return watch.events()

    def status(self, operator: Operator) -> dict:
        """Return this node's state, with only the servers the operator may see."""
        status = self.reports.status()
        if operator.organisation != ALL_ORGANISATIONS:
            visible = {
                stored.name
                for stored in self.configuration.fold.of_kind(
                    ResourceKind.BACKEND_SERVER_SERVICE
                )
                if operator.may_access(stored.body["owner"])
            }
            servers = status["servers"]
            status["servers"] = [s for s in servers if s["service"] in visible]
        return status

    def explain(self, operator: Operator, request_id: str) -> dict:
        """Return the trace of a request, whichever node accepted it."""
        trace = self.reports.explanation(request_id)
        if not operator.may_access(trace["organisation"]):
            raise EndiveError(ErrorKind.UNKNOWN_REQUEST, "no trace of this request")
        return trace

    def scrape(self, _operator: Operator) -> bytes:
        """Return the metrics page, which any operator may read as it holds no names."""
        bottle.response.content_type = "text/plain; version=0.0.4"
        return self.metrics.page()

    def _watch_version(self) -> int:
        query, headers = bottle.request.query, bottle.request.headers
        text = headers.get("Last-Event-ID") or query.get("from")
        if text is None:
            return self.configuration.fold.offset
        try:
            return int(text)
        except ValueError:
            raise EndiveError(
                ErrorKind.INVALID_FIELD, "the version to watch from must be a number"
            ) from None

    def _resource(self, kind: ResourceKind, name: str) -> Resource:
        body = decode_json(bottle.request.body.read(MAX_BODY_BYTES + 1))
        if not isinstance(body, dict):
            raise EndiveError(ErrorKind.MALFORMED_BODY, "the body must be an object")
        for key, value in (("kind", str(kind)), ("name", name)):
            if body.setdefault(key, value) != value:
                raise EndiveError(
                    ErrorKind.INVALID_RESOURCE,
                    f"the {key} in the body differs from the {key} in the path",
                )
        return Resource.from_body(body)

    def _submit(
        self,
        operator: Operator,
        options: ChangeOptions,
        kind: str,
        name: str,
        body: dict | None,
    ) -> dict:
        change = Change(
            change_id=options.change_id,
            kind=str(kind),
            name=name,
            operator=operator.name,
            scope=operator.organisation,
            at=time.time(),
            expected_version=options.expected_version,
            body=body,
        )
        if options.dry_run:
            return self._dry_run(change)
        outcome = self.configuration.submit(change)
        log_event(
            "resource_changed",
            kind=kind,
            name=name,
            operator=operator.name,
            version=outcome.version,
        )
        return {"version": outcome.version, "change_id": change.change_id}

    def _dry_run(self, change: Change) -> dict:
        """Validate `change` without applying it.

        Another change may still be applied before it is submitted.
        """
        stored = self.configuration.fold.get(change.kind, change.name)
        self.configuration.check(change)
        return {
            "dry_run": True,
            "before": resource_body(stored) if stored else None,
            "after": change.body,
        }

    def _visible(self, operator: Operator, kind: str, name: str) -> StoredResource:
        stored = self.configuration.fold.get(kind, name)
        if stored is None or not operator.may_access(stored.body["owner"]):
            raise EndiveError(ErrorKind.NOT_FOUND, f"there is no {kind} {name!r}")
        return stored


def forbidden_error() -> EndiveError:
    """Return the error for a resource of another organisation."""
    return EndiveError(
        ErrorKind.FORBIDDEN, "the resource belongs to another organisation"
    )


def parse_kind(kind: str) -> ResourceKind:
    """Return the resource kind named in a path.

    Raises
    ------
    EndiveError
        ``not_found`` if there is no such kind.
    """
    try:
        return ResourceKind(kind)
    except ValueError:
        allowed = ", ".join(ResourceKind)
        raise EndiveError(
            ErrorKind.NOT_FOUND, f"no kind is called {kind!r}; there are {allowed}"
        ) from None
