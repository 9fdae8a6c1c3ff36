"""Bodies of a model engine's responses: complete, or as server-sent events."""

import json
import time
from typing import Any

import msgspec

from endive_standins.batching import Sequence, completion_token


class StreamCorruption(msgspec.Struct):
    """Faults of an event stream; each applies to every n-th event, and 0 is never.

    Attributes
    ----------
    repeat : int
        The event is sent twice.
    reorder : int
        The event is sent after the next one.
    foreign : int
        An event of another request is sent before it.
    """

    repeat: int = 0
    reorder: int = 0
    foreign: int = 0


def usage(sequence: Sequence) -> dict[str, int]:
    """Return the token counts of a completion."""
    return {
        "prompt_tokens": len(sequence.prompt_tokens),
        "completion_tokens": len(sequence.tokens),
        "cached_tokens": sequence.reused_tokens,
    }


def completion_body(sequence: Sequence, chat: bool, model: str) -> dict[str, Any]:
    """Return the body of a response that isn't streamed."""
    text = "".join(sequence.tokens)
    message = {"message": {"role": "assistant", "content": text}}
    choice = {"index": 0, **(message if chat else {"text": text})}
    counts = usage(sequence)
    total = counts["prompt_tokens"] + counts["completion_tokens"]
    return {
        "id": sequence.request_id,
        "object": "chat.completion" if chat else "text_completion",
        "created": int(time.time()),
        "model": model,
        "choices": [{**choice, "finish_reason": sequence.finish_reason}],
        "usage": {**counts, "total_tokens": total},
    }


class EventWriter:
    """Formats the events of one stream, with the injected stream faults."""

    def __init__(
        self, sequence: Sequence, chat: bool, corruption: StreamCorruption | None
    ) -> None:
        self.sequence = sequence
        self.chat = chat
        self.corruption = corruption or StreamCorruption()
        self.count = 0
        self.held_events = ""

    def write(self, index: int, text: str, last: bool) -> str:
        """Return the text to send for one token; empty if its event is delayed."""
        self.count += 1
        event = self._event(index, text, last)
        lines = encode_event(event) * (2 if self._is_nth(self.corruption.repeat) else 1)
        if self._is_nth(self.corruption.foreign):
            lines = encode_event(self._foreign_event(index)) + lines
        hold_back = (
            self._is_nth(self.corruption.reorder) and not self.held_events and not last
        )
        if hold_back and self.count > 1:
            self.held_events = lines
            return ""
        lines, self.held_events = lines + self.held_events, ""
        return lines + ("data: [DONE]\n\n" if last else "")

    def _is_nth(self, every: int) -> bool:
        return every > 0 and self.count % every == 0

    def _event(self, index: int, text: str, last: bool) -> dict[str, Any]:
        sequence = self.sequence
        content = {"delta": {"content": text}} if self.chat else {"text": text}
        reason = sequence.finish_reason if last else None
        event = {
            "id": sequence.request_id,
            "attempt": sequence.attempt,
            "index": index,
            "choices": [{"index": 0, **content, "finish_reason": reason}],
        }
        return {**event, "usage": usage(sequence)} if last else event

    def _foreign_event(self, index: int) -> dict[str, Any]:
        event = self._event(index, completion_token("foreign", index), last=False)
        return {**event, "id": f"foreign-{self.sequence.request_id}"}


def encode_event(event: dict[str, Any]) -> str:
    """Return an event in the format of server-sent events."""
    return f"data: {json.dumps(event)}\n\n"
