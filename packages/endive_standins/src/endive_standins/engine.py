"""Stand-in for a model engine."""

if __name__ == "__main__":
    from gevent import monkey

    monkey.patch_all()

import itertools
import json
import time
from collections import Counter, OrderedDict
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from typing import Any

import gevent
import msgspec
from bottle import HTTPResponse, request
from gevent.event import Event

from endive_standins.batching import Batch, KvBlob, Sequence, WorkClock, answer_token
from endive_standins.prefixes import CacheEvents, PrefixCache
from endive_standins.serving import (
    Delayed,
    Faults,
    StandIn,
    answer,
    connection_lost,
    disconnected,
    failure,
    main,
    not_run,
    query,
    read,
)

KNOWN_SEQUENCES = 4096
DISCONNECT_CHECK_S = 0.1


class Message(msgspec.Struct):
    """One message of a chat."""

    content: str
    role: str = "user"


class Resume(msgspec.Struct):
    """The answer so far."""

    tokens: list[str]


class Call(msgspec.Struct):
    """The body of a call for a completion."""

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


class RequestName(msgspec.Struct):
    """The body of an order about one request."""

    request_id: str


class Import(msgspec.Struct):
    """The body of an import of a KV cache."""

    blob: KvBlob


class Desired(msgspec.Struct):
    """What an engine is told to serve."""

    model: str = ""
    version: str = ""
    adapters: list[str] = []
    role: str = ""


class Order(msgspec.Struct):
    """The body of an order to the engine."""

    order_id: str
    fence: int
    desired: Desired


class Garble(msgspec.Struct):
    """Every how many events a stream goes wrong in which way; 0 is never."""

    repeat: int = 0
    reorder: int = 0
    foreign: int = 0


class EngineFaults(Faults):
    """The engine's faults."""

    crash_on: str = ""
    slow_factor: float = 1.0
    drop_after: int | None = None
    garble: Garble | None = None


@dataclass
class EngineSettings:
    """The engine's flags."""

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


class Garbler:
    """Makes the events of one stream go wrong as ordered."""

    def __init__(self, garble: Garble | None) -> None:
        self.garble = garble or Garble()
        self.count = 0
        self.held: list[dict[str, Any]] = []

    def feed(self, event: dict[str, Any], last: bool) -> list[dict[str, Any]]:
        """Return what is sent when `event` is due."""
        self.count += 1
        events = [event]
        if self._is_nth(self.garble.repeat):
            events.append(event)
        if self._is_nth(self.garble.foreign):
            events.insert(0, self._foreign(event))
        if self._is_nth(self.garble.reorder) and not self.held and not last:
            self.held = events
            return []
        events += self.held
        self.held = []
        return events

    def _is_nth(self, every: int) -> bool:
        return every > 0 and self.count % every == 0

    def _foreign(self, event: dict[str, Any]) -> dict[str, Any]:
        choice = text_choice(False, answer_token("foreign", event["index"]), None)
        if "delta" in event["choices"][0]:
            choice = text_choice(True, choice["text"], None)
        return {**event, "id": f"foreign-{event['id']}", "choices": [choice]}


def text_choice(chat: bool, text: str, finish_reason: str | None) -> dict[str, Any]:
    """Return the choice of a streamed event."""
    content = {"delta": {"content": text}} if chat else {"text": text}
    return {"index": 0, **content, "finish_reason": finish_reason}


def usage(sequence: Sequence) -> dict[str, int]:
    """Return the token counts of a whole answer."""
    return {
        "prompt_tokens": len(sequence.prompt_tokens),
        "completion_tokens": len(sequence.tokens),
        "cached_tokens": sequence.covered,
    }


def whole(sequence: Sequence, call: Call, chat: bool) -> dict[str, Any]:
    """Return an answer that isn't streamed."""
    text = "".join(sequence.tokens)
    message = {"message": {"role": "assistant", "content": text}}
    content = message if chat else {"text": text}
    choice = {"index": 0, **content, "finish_reason": sequence.finish_reason}
    counts = usage(sequence)
    total = counts["prompt_tokens"] + counts["completion_tokens"]
    return {
        "id": sequence.request_id,
        "object": "chat.completion" if chat else "text_completion",
        "created": int(time.time()),
        "model": call.model,
        "choices": [choice],
        "usage": {**counts, "total_tokens": total},
    }


class EventStream:
    """The server-sent events of one sequence; closing it cancels the sequence."""

    def __init__(self, engine: "Engine", sequence: Sequence, chat: bool) -> None:
        self.engine = engine
        self.sequence = sequence
        self.chat = chat
        self.environ = request.environ
        self.sent = sequence.resumed
        self.ended = False
        self.garbler = Garbler(engine.faults.garble)
        self.limit = engine.stream_limit(sequence)

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        if self.ended:
            raise StopIteration
        if self.sent == self.limit:
            self.close()
            raise connection_lost()
        self.wait()
        return self._take().encode()

    def wait(self) -> None:
        """Wait for a token or for the end."""
        self.engine.wait(self.sequence, self.sent, self.environ)

    def close(self) -> None:
        """End the sequence if it still runs."""
        self.engine.stop_sequence(self.sequence)

    def _take(self) -> str:
        sequence = self.sequence
        texts = sequence.tokens[self.sent : self.limit]
        at_end = self.sent + len(texts) == len(sequence.tokens)
        self.ended = sequence.finish_reason is not None and at_end
        if self.ended and not texts:
            texts = [""]
        last = len(texts) - 1 if self.ended else None
        lines = [self._lines(text, i == last) for i, text in enumerate(texts)]
        lines += ["data: [DONE]\n\n"] if self.ended else []
        return "".join(lines)

    def _lines(self, text: str, last: bool) -> str:
        sequence = self.sequence
        reason = sequence.finish_reason if last else None
        event = {
            "id": sequence.request_id,
            "attempt": sequence.attempt,
            "index": self.sent,
            "choices": [text_choice(self.chat, text, reason)],
        }
        if last:
            event["usage"] = usage(sequence)
        self.sent += 1
        events = self.garbler.feed(event, last)
        return "".join(f"data: {json.dumps(event)}\n\n" for event in events)


class Engine(StandIn):
    """Model engine with continuous batching and a prefix cache."""

    settings_type = EngineSettings
    faults_type = EngineFaults

    def __init__(self, settings: EngineSettings) -> None:
        super().__init__(settings)
        lag_s, gap = settings.event_lag_s, settings.event_gap
        self.events = CacheEvents(lag_s, gap, settings.seed)
        self.cache = PrefixCache(
            settings.cache_blocks, settings.block_tokens, self.events.add
        )
        self.clock = WorkClock()
        self.batch = Batch(settings, self.cache, self.clock, self.started)
        self.load = Delayed(settings.report_lag_s, (0, 0, 0))
        self.reported = (0, 0, 0)
        self.serials = itertools.count()
        self.sequences: OrderedDict[str, Sequence] = OrderedDict()
        self.imports: dict[str, KvBlob] = {}
        self.executions: Counter[str] = Counter()
        self.desired: Desired | None = None
        self.fence = -1
        self.wake = Event()
        self.scheduler: gevent.Greenlet | None = None
        self._route()

    def _route(self) -> None:
        route = self.app.route
        route("/v1/completions", "POST", self.post_completions)
        route("/v1/chat/completions", "POST", self.post_chat_completions)
        route("/cancel", "POST", self.post_cancel)
        route("/kv/export", "POST", self.post_export)
        route("/kv/import", "POST", self.post_import)
        route("/load", "GET", self.get_load)
        route("/cache/events", "GET", self.get_events)
        route("/orders", "POST", self.post_orders)
        route("/state", "GET", self.get_state)
        route("/stats", "GET", self.get_stats)

    def start(self) -> None:
        """Start the scheduler."""
        self.scheduler = gevent.spawn(self.schedule)

    def stop(self) -> None:
        """End the scheduler."""
        if self.scheduler is not None:
            self.scheduler.kill(block=False)

    def schedule(self) -> None:
        """Step whenever there is work."""
        while True:
            self.wake.clear()
            if self.clock.speed:
                self.batch.step()
                self.report()
            self.wake.wait(self._pause_s())

    def _pause_s(self) -> float | None:
        due = self.batch.next_due()
        if due is None or not self.clock.speed:
            return None
        return max(0.0, due - self.clock.now()) / self.clock.speed

    def report(self) -> None:
        """Note the load if it changed."""
        batch = self.batch
        load = (len(batch.running), len(batch.waiting), len(self.cache.blocks))
        if load != self.reported:
            self.reported = load
            self.load.set(load)

    def is_work(self, method: str, path: str) -> bool:
        """Return whether the call asks for a completion."""
        return path.startswith("/v1/")

    def ordered(self, given: dict[str, Any]) -> None:
        """Let the ordered faults begin."""
        super().ordered(given)
        self.set_speed()
        if "freeze_s" in given:
            gevent.spawn_later(self.faults.freeze_s, self.set_speed)

    def set_speed(self) -> None:
        """Let the work go on as fast as the faults allow."""
        frozen = time.monotonic() < self.frozen_until - 0.001
        self.clock.set_speed(0.0 if frozen else 1 / self.faults.slow_factor)
        self.wake.set()

    def started(self, sequence: Sequence) -> None:
        """Note that a sequence starts to run, or crash on it."""
        self.executions[sequence.request_id] += 1
        if self.faults.crash_on and self.faults.crash_on in sequence.prompt:
            self.crash()

    def stream_limit(self, sequence: Sequence) -> int | None:
        """Return the token before which the next stream's connection closes."""
        drop_after = self.faults.drop_after
        self.faults.drop_after = None
        return None if drop_after is None else sequence.resumed + drop_after

    def wait(self, sequence: Sequence, seen: int, environ: dict[str, Any]) -> None:
        """Wait for more than the tokens seen or for the end of a sequence."""
        while len(sequence.tokens) == seen and sequence.finish_reason is None:
            sequence.changed.clear()
            if not sequence.changed.wait(DISCONNECT_CHECK_S):
                self.check_connection(sequence, environ)

    def check_connection(self, sequence: Sequence, environ: dict[str, Any]) -> None:
        """End a sequence whose client is gone, as nobody wants its tokens."""
        if disconnected(environ):
            self.stop_sequence(sequence)
            raise connection_lost()

    def stop_sequence(self, sequence: Sequence) -> None:
        """End a sequence before its answer is whole."""
        self.batch.end(sequence, "cancelled")
        self.report()
        self.wake.set()

    def post_completions(self) -> HTTPResponse:
        """Complete a prompt."""
        call = read(Call)
        return self.complete(call, call.prompt, chat=False)

    def post_chat_completions(self) -> HTTPResponse:
        """Answer a chat."""
        call = read(Call)
        prompt = "\n".join(message.content for message in call.messages)
        return self.complete(call, prompt, chat=True)

    def complete(self, call: Call, prompt: str, chat: bool) -> HTTPResponse:
        """Run a call, or refuse it before it starts."""
        environ = request.environ
        sequence = self.new_sequence(call, prompt)
        self.batch.add(sequence)
        self.report()
        if sequence.finish_reason is None:
            self.wake.set()
        stream = EventStream(self, sequence, chat) if call.stream else None
        self.wait(sequence, sequence.resumed, environ)
        if not sequence.started:
            return not_run(sequence.finish_reason)
        if stream is not None:
            headers = {"Content-Type": "text/event-stream"}
            return HTTPResponse(stream, 200, headers)
        while sequence.finish_reason is None:
            self.wait(sequence, len(sequence.tokens), environ)
            self.check_connection(sequence, environ)
        return answer(whole(sequence, call, chat))

    def new_sequence(self, call: Call, prompt: str) -> Sequence:
        """Build the sequence of a call."""
        serial = next(self.serials)
        sequence = Sequence(
            serial=serial,
            request_id=call.request_id or f"{self.settings.id}-{serial}",
            attempt=call.attempt,
            prompt=prompt,
            max_tokens=call.max_tokens,
            priority=call.priority,
            tokens=list(call.resume.tokens) if call.resume else [],
            kv=self.imports.get(call.kv_handle),
        )
        self.sequences.pop(sequence.request_id, None)
        self.sequences[sequence.request_id] = sequence
        if len(self.sequences) > KNOWN_SEQUENCES:
            self.sequences.popitem(last=False)
        return sequence

    def stop_request(self) -> Sequence | None:
        """End every attempt at the request that is named; return the last one."""
        name = read(RequestName).request_id
        for sequence in [*self.batch.running, *self.batch.waiting]:
            if sequence.request_id == name:
                self.stop_sequence(sequence)
        return self.sequences.get(name)

    def post_cancel(self) -> HTTPResponse:
        """Cancel a request."""
        sequence = self.stop_request()
        if sequence is None:
            return answer({"stopped": False, "known": False})
        return answer({"stopped": True, "known": True, "tokens": sequence.tokens})

    def post_export(self) -> HTTPResponse:
        """Stop a sequence and hand out its KV cache."""
        sequence = self.stop_request()
        if sequence is None:
            return failure(404, "unknown_request")
        return answer({"tokens": sequence.tokens, "blob": sequence.export()})

    def post_import(self) -> HTTPResponse:
        """Take a KV cache in."""
        handle = f"kv-{next(self.serials)}"
        self.imports[handle] = read(Import).blob
        return answer({"kv_handle": handle})

    def get_load(self) -> HTTPResponse:
        """Report the load as it was a while ago."""
        running, waiting, cached_blocks = self.load.get()
        report = {
            "running": running,
            "waiting": waiting,
            "cached_blocks": cached_blocks,
            "capacity": self.settings.max_batch,
            "time": time.time() - self.settings.report_lag_s,
        }
        return answer(report)

    def get_events(self) -> HTTPResponse:
        """Report what entered and left the prefix cache."""
        return answer(self.events.view(query("from", int, 0)))

    def post_orders(self) -> HTTPResponse:
        """Take an order, unless its fence is old and the engine checks it."""
        order = read(Order)
        if self.settings.checks_fencing and order.fence < self.fence:
            return failure(409, "stale_fence", fence=self.fence)
        self.fence = order.fence
        self.desired = order.desired
        return answer({"applied": True})

    def get_state(self) -> HTTPResponse:
        """Report what the engine was told to serve."""
        return answer({"desired": self.desired, "fence": self.fence})

    def get_stats(self) -> HTTPResponse:
        """Report the work done."""
        stats = {**asdict(self.batch.counts), "executions": self.executions}
        return answer(stats)


if __name__ == "__main__":
    main(Engine)
