"""Stand-in for a model engine: completions, KV cache transfer, load and orders."""

import time
from collections import Counter, OrderedDict
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from itertools import count
from typing import Any

import gevent
import msgspec
from bottle import HTTPResponse, request
from gevent.event import Event

from endive_standins import serving
from endive_standins.batching import Batch, KvBlob, ScaledClock, Sequence
from endive_standins.prefixes import CacheEvents, PrefixCache
from endive_standins.responses import EventWriter, StreamCorruption, completion_body

MAX_RETAINED_SEQUENCES = 4096
"""Sequences kept for cancel and export requests, ended ones included."""

DISCONNECT_CHECK_S = 0.1
"""Time between checks whether a waiting client has disconnected, seconds."""


class Message(msgspec.Struct):
    """One message of a chat."""

    content: str


class Resume(msgspec.Struct):
    """The completion that an earlier attempt generated so far."""

    tokens: list[str] = []


class CompletionRequest(msgspec.Struct):
    """The body of a request for a completion.

    `resume` and `kv_handle` continue a completion, with an imported KV cache.
    """

    model: str = ""
    prompt: str = ""
    messages: list[Message] = []
    max_tokens: int = 16
    stream: bool = False
    request_id: str = ""
    attempt: int = 0
    priority: int = 0
    resume: Resume | None = None
    kv_handle: str | None = None


class RequestReference(msgspec.Struct):
    """The body of a request about another request."""

    request_id: str


class KvImport(msgspec.Struct):
    """The body of a request to import a KV cache."""

    blob: KvBlob


class DesiredState(msgspec.Struct):
    """What an engine is to serve."""

    model: str = ""
    version: str = ""
    adapters: list[str] = []
    role: str = ""


class Order(msgspec.Struct):
    """The body of an order to the engine; `fence` is its fencing token."""

    order_id: str
    fence: int
    desired: DesiredState


class EngineFaults(serving.Faults):
    """Faults of the engine.

    Attributes
    ----------
    crash_on : str
        A prompt that contains this text crashes the engine when it starts to run.
    slow_factor : float
        Factor by which all work takes longer.
    drop_after : int or None
        The next stream is cut off after this many tokens.
    garble : StreamCorruption or None
        Faults of the events of each stream.
    """

    crash_on: str = ""
    slow_factor: float = 1.0
    drop_after: int | None = None
    garble: StreamCorruption | None = None


@dataclass
class EngineSettings:
    """Command-line flags of the engine.

    Attributes
    ----------
    max_batch, max_waiting : int
        Largest number of running and of waiting sequences.
    cache_blocks, block_tokens : int
        Capacity of the prefix cache in blocks, and tokens in a block.
    report_lag_s, event_lag_s : float
        Age of the reported load and delay of cache events, seconds.
    event_gap : float
        Probability that a cache event is lost.
    checks_fencing : bool
        Whether orders with an old fencing token are rejected.
    """

    id: str = "engine"
    decode_tokens_per_s: float = 50.0
    prefill_tokens_per_s: float = 5000.0
    max_batch: int = 16
    max_waiting: int = 64
    cache_blocks: int = 4096
    block_tokens: int = 16
    report_lag_s: float = 0.0
    event_lag_s: float = 0.0
    event_gap: float = 0.0
    checks_fencing: bool = False
    seed: int = 0


class EventStream:
    """Iterator over the server-sent events of a sequence; `close` cancels it."""

    def __init__(
        self, engine: "Engine", sequence: Sequence, chat: bool, environ: dict[str, Any]
    ) -> None:
        self.engine = engine
        self.sequence = sequence
        self.environ = environ
        self.sent = sequence.resumed_length
        self.ended = False
        self.writer = EventWriter(sequence, chat, engine.faults.garble)
        drop_after, engine.faults.drop_after = engine.faults.drop_after, None
        self.limit = None if drop_after is None else self.sent + drop_after

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        if self.ended:
            raise StopIteration
        if self.sent == self.limit:
            self.close()
            raise serving.connection_closed_error()
        self.engine.wait_for_tokens(self.sequence, self.sent, self.environ)
        return self._next_events().encode()

    def close(self) -> None:
        """Cancel the sequence if it still runs."""
        self.engine.cancel_sequence(self.sequence)

    def _next_events(self) -> str:
        texts = self.sequence.tokens[self.sent : self.limit]
        at_end = self.sent + len(texts) == len(self.sequence.tokens)
        self.ended = at_end and self.sequence.finish_reason is not None
        texts = texts or [""]
        start, self.sent = self.sent, self.sent + len(texts)
        last = self.sent - 1 if self.ended else None
        write = self.writer.write
        return "".join(write(i, text, i == last) for i, text in enumerate(texts, start))


class Engine(serving.StandIn):
    """Model engine with continuous batching and a prefix cache."""

    settings_type = EngineSettings
    faults_type = EngineFaults

    def __init__(self, settings: EngineSettings) -> None:
        super().__init__(settings)
        lag_s, loss_probability = settings.event_lag_s, settings.event_gap
        self.events = CacheEvents(lag_s, loss_probability, settings.seed)
        blocks, block_tokens = settings.cache_blocks, settings.block_tokens
        self.cache = PrefixCache(blocks, block_tokens, self.events.add)
        self.clock = ScaledClock()
        self.batch = Batch(settings, self.cache, self.clock, self.on_sequence_start)
        self.load = serving.DelayedValue(settings.report_lag_s, (0, 0, 0))
        self.numbers = count()
        self.sequences: OrderedDict[str, Sequence] = OrderedDict()
        self.imports: dict[str, KvBlob] = {}
        self.executions: Counter[str] = Counter()
        self.state: dict[str, Any] = {"desired": None, "fence": -1}
        self.wake = Event()
        self.scheduler = gevent.Greenlet(self.schedule)
        self._route()

    def _route(self) -> None:
        self.route("POST", "/v1/completions", self.post_completions, CompletionRequest)
        self.route(
            "POST",
            "/v1/chat/completions",
            self.post_chat_completions,
            CompletionRequest,
        )
        self.route("POST", "/cancel", self.post_cancel, RequestReference)
        self.route("POST", "/kv/export", self.post_export, RequestReference)
        self.route("POST", "/kv/import", self.post_import, KvImport)
        self.route("GET", "/load", self.get_load)
        self.route("GET", "/cache/events", self.get_events)
        self.route("POST", "/orders", self.post_orders, Order)
        self.route("GET", "/state", lambda: self.state)
        self.route("GET", "/stats", self.get_stats)

    def start(self) -> None:
        """Start the scheduler."""
        self.scheduler.start()

    def stop(self) -> None:
        """Stop the scheduler."""
        self.scheduler.kill(block=False)

    def schedule(self) -> None:
        """Step the batch whenever work is due."""
        while True:
            self.wake.clear()
            if self.clock.speed:
                self.batch.step()
                self.record_load()
            self.wake.wait(self._seconds_until_due())

    def _seconds_until_due(self) -> float | None:
        due = self.batch.next_due()
        if due is None or not self.clock.speed:
            return None
        return max(0.0, due - self.clock.now()) / self.clock.speed

    def record_load(self) -> None:
        """Record the current load, to be reported after the delay."""
        running, waiting = len(self.batch.running), len(self.batch.waiting)
        self.load.set((running, waiting, len(self.cache.blocks)))

    def is_work(self, method: str, path: str) -> bool:
        """Return whether the request is for a completion."""
        return path.startswith("/v1/")

    def apply_faults(self, given: dict[str, Any]) -> None:
        """Apply the faults in `given`."""
        super().apply_faults(given)
        self.set_speed()

    def set_speed(self) -> None:
        """Set the clock's speed according to the faults; 0 during a freeze."""
        remaining_s = self.frozen_until - time.monotonic()
        if remaining_s > 0:
            gevent.spawn_later(remaining_s, self.set_speed)
        self.clock.set_speed(0.0 if remaining_s > 0 else 1 / self.faults.slow_factor)
        self.wake.set()

    def on_sequence_start(self, sequence: Sequence) -> None:
        """Count an execution; crash if the prompt matches the injected fault."""
        self.executions[sequence.request_id] += 1
        if self.faults.crash_on and self.faults.crash_on in sequence.prompt:
            self.crash()

    def wait_for_tokens(
        self, sequence: Sequence, known_length: int, environ: dict[str, Any]
    ) -> None:
        """Wait until a sequence has more than `known_length` tokens, or ended.

        Raises
        ------
        BrokenPipeError
            If the client disconnected; the sequence is cancelled.
        """
        while len(sequence.tokens) == known_length and sequence.finish_reason is None:
            sequence.changed.clear()
            sequence.changed.wait(DISCONNECT_CHECK_S)
            # After its client has disconnected, nobody reads the sequence's tokens,
            # but it would still take a place in the batch.
            if serving.client_disconnected(environ):
                self.cancel_sequence(sequence)
                raise serving.connection_closed_error()

    def cancel_sequence(self, sequence: Sequence) -> None:
        """End a sequence before its completion is finished."""
        self.batch.end(sequence, "cancelled")
        self.record_load()
        self.wake.set()

    def post_completions(self, call: CompletionRequest) -> HTTPResponse:
        """Complete a prompt."""
        return self.complete(call, call.prompt, chat=False)

    def post_chat_completions(self, call: CompletionRequest) -> HTTPResponse:
        """Complete a chat."""
        prompt = "\n".join(message.content for message in call.messages)
        return self.complete(call, prompt, chat=True)

    def complete(
        self, call: CompletionRequest, prompt: str, chat: bool
    ) -> HTTPResponse:
        """Execute a completion request, or refuse it before it starts to run."""
        environ = request.environ
        sequence = self.new_sequence(call, prompt)
        self.batch.add(sequence)
        self.record_load()
        self.wake.set()
        self.wait_for_tokens(sequence, sequence.resumed_length, environ)
        if sequence.started_at is None:
            return serving.not_executed_response(sequence.finish_reason)
        if call.stream:
            stream = EventStream(self, sequence, chat, environ)
            return HTTPResponse(stream, 200, {"Content-Type": "text/event-stream"})
        while sequence.finish_reason is None:
            self.wait_for_tokens(sequence, len(sequence.tokens), environ)
        return serving.json_response(completion_body(sequence, chat, call.model))

    def new_sequence(self, call: CompletionRequest, prompt: str) -> Sequence:
        """Create and retain the sequence of a completion request."""
        number = next(self.numbers)
        request_id = call.request_id or f"{self.settings.id}-{number}"
        tokens = list(call.resume.tokens) if call.resume else []
        sequence = Sequence(
            serial=number,
            request_id=request_id,
            attempt=call.attempt,
            prompt=prompt,
            max_tokens=call.max_tokens,
            priority=call.priority,
            tokens=tokens,
            kv=self.imports.get(call.kv_handle),
        )
        self.sequences[request_id] = sequence
        self.sequences.move_to_end(request_id)
        if len(self.sequences) > MAX_RETAINED_SEQUENCES:
            self.sequences.popitem(last=False)
        return sequence

    def cancel_request(self, request_id: str) -> Sequence | None:
        """Cancel all attempts at a request; return the last one, None if unknown."""
        for sequence in [*self.batch.running, *self.batch.waiting]:
            if sequence.request_id == request_id:
                self.cancel_sequence(sequence)
        return self.sequences.get(request_id)

    def post_cancel(self, reference: RequestReference) -> dict[str, Any]:
        """Cancel a request."""
        sequence = self.cancel_request(reference.request_id)
        if sequence is None:
            return {"stopped": False, "known": False}
        return {"stopped": True, "known": True, "tokens": sequence.tokens}

    def post_export(self, reference: RequestReference) -> Any:
        """Cancel a request and return its tokens and its KV cache."""
        sequence = self.cancel_request(reference.request_id)
        if sequence is None:
            return serving.error_response(404, "unknown_request")
        return {"tokens": sequence.tokens, "blob": sequence.export()}

    def post_import(self, kv_import: KvImport) -> dict[str, Any]:
        """Store a KV cache and return a handle for a completion request."""
        handle = f"kv-{next(self.numbers)}"
        self.imports[handle] = kv_import.blob
        return {"kv_handle": handle}

    def get_load(self) -> dict[str, Any]:
        """Return the load as of `report_lag_s` seconds ago."""
        running, waiting, cached_blocks = self.load.get()
        return {
            "running": running,
            "waiting": waiting,
            "cached_blocks": cached_blocks,
            "capacity": self.settings.max_batch,
            "time": time.time() - self.settings.report_lag_s,
        }

    def get_events(self) -> dict[str, Any]:
        """Return the events of blocks stored in and evicted from the prefix cache."""
        return self.events.read(serving.query_parameter("from", int, 0))

    def post_orders(self, order: Order) -> Any:
        """Apply an order, unless fencing is checked and its token is out of date."""
        highest = self.state["fence"]
        if self.settings.checks_fencing and order.fence < highest:
            return serving.error_response(409, "stale_fence", fence=highest)
        self.state = {"desired": order.desired, "fence": order.fence}
        return {"applied": True}

    def get_stats(self) -> dict[str, Any]:
        """Return totals of the work done, and the executions of each request."""
        return {**asdict(self.batch.counts), "executions": self.executions}


if __name__ == "__main__":
    serving.main(Engine)
