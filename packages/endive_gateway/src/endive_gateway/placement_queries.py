"""Answers operators' queries where a request would go now, without sending it."""

import time
from dataclasses import asdict
from typing import Annotated, Any

import msgspec
from endive_core.calls import Call
from endive_core.hashing import part_key
from endive_core.placement_explanation import explain
from endive_core.prefixes import part_blocks
from endive_core.routing import Route

from endive_gateway.context import Context
from endive_gateway.exceptions import QueryError
from endive_gateway.header_values import MAX_TOKENS, parse_count
from endive_gateway.placing import service_of_key
from endive_gateway.quantities import Age

MAX_PARTS = 64
"""Parts of a prompt that a query may name; callers send a few."""

Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]


class PlacementQuery(msgspec.Struct, forbid_unknown_fields=True):
    """A request as an operator describes it.

    Attributes
    ----------
    route : str
        Name of its route.
    organisation : str
        The caller's organisation; empty if it has none.
    prompt_tokens, max_tokens : int
        Length of the prompt, and of the longest response, in tokens.
    model : str
        The model that it names, which is part of the identity of cached prompts.
    parts : str
        Parts of the prompt as ``ID:TOKENS``, separated by commas, IDs in hexadecimal.
    deadline_s : float or None
        Time that the caller would wait, seconds; the route's time-out if it is longer.
    software_version : str
        Software version at which a stream goes on; empty for a new request.
    """

    route: str
    organisation: str = ""
    prompt_tokens: Tokens = 0
    max_tokens: Tokens = 1
    model: str = ""
    parts: str = ""
    deadline_s: Age | None = None
    software_version: str = ""

    @classmethod
    def from_fields(cls, fields: dict[str, str]) -> "PlacementQuery":
        """Return a query from text fields; raises QueryError."""
        try:
            return msgspec.convert(fields, cls, strict=False)
        except msgspec.ValidationError as error:
            raise QueryError(str(error)) from None

    def prompt_parts(self) -> list[tuple[int, int]]:
        """Return the parts as ids and lengths; raises QueryError."""
        found = []
        for entry in filter(None, self.parts.split(",")):
            name, _, tokens = entry.strip().partition(":")
            count = parse_count(tokens.encode(errors="replace"), MAX_TOKENS)
            try:
                part = int(name, 16)
            except ValueError:
                part = None
            if part is None or count is None:
                raise QueryError(f"parts: found {entry!r}, allowed: ID:TOKENS")
            found.append((part, count))
        if len(found) > MAX_PARTS:
            raise QueryError(f"parts: found {len(found)}, allowed: {MAX_PARTS}")
        return found


def explain_placement(context: Context, fields: dict[str, str]) -> dict[str, Any]:
    """Return what would become of the request that `fields` describe.

    It takes no part in the request path, holds nothing up for longer than one pass over
    the service's servers, and leaves limits, queues and statistics as they are.

    Raises
    ------
    QueryError
        If the query is invalid, or names what this node doesn't know.
    """
    query = PlacementQuery.from_fields(fields)
    route = _route(context, query.route)
    now = time.monotonic()
    call = _call(context, query, route, now)
    services = []
    for split in route.splits:
        for key, scheduler in context.placer.schedulers.items():
            if service_of_key(key) == split.service:
                services.append(
                    {
                        "service": key,
                        "weight": split.weight,
                        "pooled_slots": split.service in context.slot_pooling.pooled,
                        **asdict(explain(scheduler, call, now)),
                    }
                )
    return {
        "node": context.settings.location.node,
        "configuration_version": context.version,
        "nodes": context.nodes,
        "route": route.name,
        "priority": -call.level,
        "target_s": call.target_s,
        "limit": _limit(context, query, now),
        "services": services,
    }


def _route(context: Context, name: str) -> Route:
    routes = context.table.routes if context.table else ()
    for route in routes:
        if route.name == name:
            return route
    names = ", ".join(sorted(route.name for route in routes)[:10])
    raise QueryError(f"route: found {name!r}, allowed: {names or 'none is known yet'}")


def _call(context: Context, query: PlacementQuery, route: Route, now: float) -> Call:
    terms = context.terms(query.organisation)
    if query.organisation and terms is None and context.table.organisations is not None:
        raise QueryError(f"organisation: {query.organisation!r} is unknown")
    priority = route.priority
    if terms is not None and terms.priority is not None:
        priority = terms.priority
    parts = query.prompt_parts()
    blocks, ends = part_blocks(query.model, parts)
    wait_s = route.timeout_s
    if query.deadline_s is not None:
        wait_s = min(wait_s, query.deadline_s)
    return Call(
        request_id="",
        organisation=query.organisation,
        deployment=route.name,
        level=-priority,
        prompt_tokens=query.prompt_tokens if route.engine else 0,
        max_tokens=max(1, query.max_tokens) if route.engine else 1,
        blocks=blocks if route.engine else (),
        block_ends=ends if route.engine else (),
        target_s=route.target_s,
        deadline=now + wait_s,
        non_idempotent=not route.retryable,
        shared_parts=tuple(part_key(f"{part:x}") for part, _ in parts[:-1]),
        software_version=query.software_version or None,
    )


def _limit(context: Context, query: PlacementQuery, now: float) -> dict | None:
    """Return the organisation's limit as this node counts it, if there is one."""
    terms = context.terms(query.organisation)
    if terms is None or terms.rate <= 0:
        return None
    left, most = context.limits.left(
        terms.name, now, rate=terms.rate, burst=terms.burst
    )
    return {
        "rate": terms.rate,
        "burst": terms.burst,
        "units": terms.units(query.prompt_tokens or None, query.max_tokens),
        "units_left": left,
        "units_when_full": most,
        "reachable_share": context.limits.reachable_share(now),
        "is_refused": left <= 0,
    }
