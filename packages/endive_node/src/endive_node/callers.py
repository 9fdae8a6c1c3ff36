"""HTTP API for callers: completions, chats, plain services, resumed responses."""

import math
import time
from collections.abc import Iterator

import bottle
import msgspec
from endive_core.bodies import parse_body
from endive_core.catalogue import DEFAULT_PRIORITY
from endive_core.exceptions import EndiveError, ErrorKind
from endive_core.messages import Endpoint, Request

from endive_node.logs import log_event
from endive_node.request_registry import RequestRecord
from endive_node.runs import Run
from endive_node.serving import Serving

BEARER = "Bearer "
EVENT_STREAM = "text/event-stream"
OBJECT_NAMES = {
    Endpoint.CHAT: ("chat.completion", "chat.completion.chunk"),
    Endpoint.COMPLETIONS: ("text_completion", "text_completion"),
}
ID_PREFIXES = {Endpoint.CHAT: "chatcmpl-", Endpoint.COMPLETIONS: "cmpl-"}

encode_json = msgspec.json.encode


class CallerApi:
    """The HTTP API on the node's public port.

    Attributes
    ----------
    app : bottle.Bottle
        The WSGI application.
    """

    def __init__(self, serving: Serving, max_body_bytes: int, is_ready) -> None:
        self.serving = serving
        self.max_body_bytes = max_body_bytes
        self.is_ready = is_ready
        self.app = bottle.Bottle()
        route = self.app.route
        route("/v1/completions", "POST", lambda: self.generate(Endpoint.COMPLETIONS))
        route("/v1/chat/completions", "POST", lambda: self.generate(Endpoint.CHAT))
        route("/v1/models", "GET", self.models)
        route("/v1/requests/<request_id>", "GET", self.resume)
        route(
            "/services/<service>/<path:path>",
            ["GET", "POST", "PUT", "PATCH", "DELETE"],
            self.call_service,
        )
        route("/healthz", "GET", self.health)
        self.app.default_error_handler = self.handle_http_error

    def models(self):
        """List the models that callers may name, as client libraries request it."""
        try:
            self._organisation()
        except EndiveError as error:
            return self._refuse(error)
        names = sorted(self.serving.catalogue.by_model)
        return {
            "object": "list",
            "data": [
                {"id": name, "object": "model", "created": 0, "owned_by": "endivestack"}
                for name in names
            ],
        }

    def generate(self, endpoint: Endpoint):
        """Handle a completion or a chat request."""
        run = None
        try:
            run = self.serving.accept(self._completion_request(endpoint))
            return self._respond(run, start=0)
        except EndiveError as error:
            return self._refuse(error, request_id=request_id_of(run))

    def resume(self, request_id: str):
        """Resume a response from the index in ``Last-Event-ID`` or ``from``."""
        try:
            organisation = self._organisation()
            run = self._find_run(organisation, request_id)
            return self._respond(run, start=self._start_index())
        except EndiveError as error:
            return self._refuse(error, request_id=request_id)

    def _find_run(self, organisation: str, request_id: str):
        run = self.serving.registry.get(request_id)
        if run is not None and run.record.request.organisation != organisation:
            run = None
        elif (run is None or run.moved) and self.serving.request_locator is not None:
            run = self.serving.request_locator.find_id(organisation, request_id)
        if run is None:
            raise EndiveError(
                ErrorKind.UNKNOWN_REQUEST, "no node that was queried knows the request"
            )
        return run

    def call_service(self, service: str, path: str):
        """Forward a call to a plain service."""
        run = None
        try:
            run = self.serving.accept(self._service_request(service, path))
            for _ in run.read():
                pass
        except EndiveError as error:
            return self._refuse(error, request_id=request_id_of(run))
        return plain_response(run.record)

    def health(self):
        """Tell the platform's load balancer whether to send calls to this node."""
        leaving = self.serving.leaving or self.serving.stopping
        if leaving or not self.is_ready():
            bottle.response.status = 503
            return "not ready\n"
        return "ok\n"

    def handle_http_error(self, error: bottle.HTTPError) -> bytes:
        """Return the API's error body for an error that bottle raised."""
        return http_error_body(error)

    def _organisation(self) -> str:
        if not self.is_ready():
            raise EndiveError(
                ErrorKind.NOT_READY, "this node has not loaded its configuration yet"
            )
        header = bottle.request.get_header("Authorization", "")
        if not header.startswith(BEARER):
            raise EndiveError(
                ErrorKind.UNAUTHENTICATED,
                "an Authorization header with a bearer key is required",
            )
        return self.serving.catalogue.organisation_for(header.removeprefix(BEARER))

    def _read_body(self) -> bytes:
        length = bottle.request.content_length
        too_large = EndiveError(
            ErrorKind.BODY_TOO_LARGE,
            f"the request body is larger than {self.max_body_bytes} bytes",
        )
        if length > self.max_body_bytes:
            raise too_large
        data = bottle.request.environ["wsgi.input"].read(
            length if length >= 0 else self.max_body_bytes + 1
        )
        if len(data) > self.max_body_bytes:
            raise too_large
        return data

    def _completion_request(self, endpoint: Endpoint) -> Request:
        organisation = self._organisation()
        body = parse_body(endpoint, self._read_body())
        return Request(
            request_id=self._new_id(organisation),
            organisation=organisation,
            model=body.model,
            endpoint=endpoint,
            body=body.server_fields(),
            prompt=body.prompt_text(),
            max_tokens=body.max_tokens,
            stream=body.stream,
            include_usage=body.include_usage,
            **self._common_fields(),
        )

    def _service_request(self, service: str, path: str) -> Request:
        organisation = self._organisation()
        data = self._read_body()
        query = bottle.request.query_string
        full_path = f"/{path}" + (f"?{query}" if query else "")
        method = bottle.request.method
        return Request(
            request_id=self._new_id(organisation),
            organisation=organisation,
            model=service,
            endpoint=Endpoint.SERVICE,
            body={"data": data},
            prompt=data.decode("utf-8", "replace"),
            max_tokens=1,
            path=full_path,
            method=method,
            **self._common_fields(),
        )

    def _new_id(self, organisation: str) -> str:
        key = bottle.request.get_header("Idempotency-Key", "")
        return self.serving.new_request_id(organisation, key)

    def _common_fields(self) -> dict:
        headers = bottle.request.headers
        priority = headers.get("Endive-Priority", DEFAULT_PRIORITY)
        self.serving.catalogue.priority(priority)
        return {
            "priority": priority,
            "deadline": self._deadline(),
            "key": headers.get("Idempotency-Key", ""),
            "key_time": seconds_header(
                "Endive-Key-Time", "a Unix time in seconds: when the key was first sent"
            ),
            "non_idempotent": headers.get("Endive-Non-Idempotent", "").lower()
            == "true",
        }

    def _deadline(self) -> float | None:
        seconds = seconds_header("Endive-Deadline-S", "a positive number of seconds")
        return None if seconds is None else self.serving.clock.now() + seconds

    def _start_index(self) -> int:
        text = bottle.request.get_header("Last-Event-ID") or bottle.request.query.get(
            "from", "0"
        )
        if not text.isdecimal():
            raise EndiveError(
                ErrorKind.INVALID_FIELD,
                "Last-Event-ID or from must be the index to resume at, a whole number",
            )
        return int(text)

    def _respond(self, run: Run, *, start: int):
        request = run.record.request
        bottle.response.set_header("X-Request-Id", request.request_id)
        if not request.stream:
            for _ in run.read():
                pass
            if request.endpoint is Endpoint.SERVICE:
                return plain_response(run.record)
            bottle.response.content_type = "application/json"
            return encode_json(response_body(run.record))
        batches = run.read(start)
        first = next(batches, None)
        bottle.response.content_type = EVENT_STREAM
        bottle.response.set_header("Cache-Control", "no-cache")
        return stream_events(run.record, first, batches, start)

    def _refuse(self, error: EndiveError, *, request_id: str = ""):
        log_event("call_refused", kind=error.kind, message=error.message)
        return error_response(error, request_id)


def request_id_of(run: Run | None) -> str:
    """Return the id of the call's request; empty if it was not accepted."""
    return "" if run is None else run.record.request.request_id


def seconds_header(name: str, meaning: str) -> float | None:
    """Return the seconds in a request header, or ``None`` if it is absent.

    Raises
    ------
    EndiveError
        ``invalid_field`` if the value is not a positive, finite number.
    """
    text = bottle.request.get_header(name)
    if text is None:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0 < seconds < math.inf:
        raise EndiveError(ErrorKind.INVALID_FIELD, f"{name} must be {meaning}")
    return seconds


def error_response(error: EndiveError, request_id: str = "") -> bytes:
    """Set status and headers for `error`; return its body."""
    bottle.response.status = error.status
    bottle.response.content_type = "application/json"
    if error.retry_after_s is not None:
        seconds = max(1, math.ceil(error.retry_after_s))
        bottle.response.set_header("Retry-After", str(seconds))
    return encode_json(error.to_body(request_id))


def http_error_body(error: bottle.HTTPError) -> bytes:
    """Return the body for an unknown path or method, or an unhandled exception."""
    if error.status_code in (404, 405):
        kind, message = ErrorKind.NOT_FOUND, "unknown path or method"
    else:
        kind, message = ErrorKind.INTERNAL, "internal error"
        log_event("call_crashed", error=repr(error.exception))
    error.content_type = "application/json"
    return encode_json(EndiveError(kind, message).to_body())


def response_id(request: Request) -> str:
    """Return the ``id`` field of a response, with the prefix of its API."""
    return ID_PREFIXES[request.endpoint] + request.request_id


def plain_response(record: RequestRecord) -> bytes:
    """Set status and headers of a plain service's response; return its body."""
    service_response = record.plain_response
    bottle.response.status = service_response.status
    bottle.response.content_type = service_response.content_type
    bottle.response.set_header("X-Request-Id", record.request.request_id)
    return service_response.body


def response_body(record: RequestRecord) -> dict:
    """Return the body of a response that is not streamed."""
    request = record.request
    text = "".join(record.tokens)
    choice = {"index": 0, "finish_reason": record.finish_reason}
    if request.endpoint is Endpoint.CHAT:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    return {
        "id": response_id(request),
        "object": OBJECT_NAMES[request.endpoint][0],
        "created": int(time.time()),
        "model": request.model,
        "choices": [choice],
        "usage": usage(record),
    }


def usage(record: RequestRecord) -> dict[str, int]:
    """Return the token counts of an answer."""
    prompt_tokens, tokens = record.request.prompt_tokens, len(record.tokens)
    return {
        "prompt_tokens": prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": prompt_tokens + tokens,
    }


class EventWriter:
    """Encodes tokens as server-sent events; the constant parts are encoded once.

    The event's ``id`` is the index of the token after it, which a caller sends as
    ``Last-Event-ID`` to resume.
    """

    def __init__(self, request: Request) -> None:
        self.chat = request.endpoint is Endpoint.CHAT
        head = {
            "id": response_id(request),
            "object": OBJECT_NAMES[request.endpoint][1],
            "created": int(time.time()),
            "model": request.model,
        }
        self.stem = b"data: " + encode_json(head)[:-1] + b',"choices":['
        self.head = self.stem + b'{"index":0,'
        self.end = b',"usage":null}\n\n' if request.include_usage else b"}\n\n"
        self.text_key = b'"delta":{"content":' if self.chat else b'"text":'
        self.text_end = b"}" if self.chat else b""

    def event(self, index: int, text: str, finish_reason: str = "") -> bytes:
        """Return the event of the token at `index`."""
        reason = encode_json(finish_reason or None)
        return b"".join(
            (
                b"id: %d\n" % (index + 1),
                self.head,
                self.text_key,
                encode_json(text),
                self.text_end,
                b',"finish_reason":',
                reason,
                b"}]",
                self.end,
            )
        )

    def usage_event(self, counts: dict[str, int]) -> bytes:
        """Return the event after the last token.

        It has no id, so that a caller that has lost it resumes after the last token.
        """
        return self.stem + b'],"usage":' + encode_json(counts) + b"}\n\n"


def stream_events(
    record: RequestRecord, first: list[str] | None, batches: Iterator, start: int
) -> Iterator[bytes]:
    """Yield one chunk of events for each batch of tokens, the usage, and ``[DONE]``.

    An error after the first token can no longer change the status, so it is sent as
    an event.
    """
    writer = EventWriter(record.request)
    index = start
    batch = first
    try:
        while batch is not None:
            yield b"".join(_batch_events(writer, record, index, batch))
            index += len(batch)
            batch = next(batches, None)
        if record.request.include_usage:
            yield writer.usage_event(usage(record))
        yield b"data: [DONE]\n\n"
    except EndiveError as error:
        body = error.to_body(record.request.request_id)
        yield b"event: error\ndata: " + encode_json(body) + b"\n\n"
    finally:
        batches.close()


def _batch_events(
    writer: EventWriter, record: RequestRecord, index: int, batch: list[str]
) -> Iterator[bytes]:
    for position, text in enumerate(batch, start=index):
        is_last = record.finish_reason and position == len(record.tokens) - 1
        yield writer.event(position, text, record.finish_reason if is_last else "")
