"""How a model engine words its answers, whole or as server-sent events."""

import json
import time
from typing import Any

import msgspec

from endive_standins.batching import Sequence, answer_token


class Garble(msgspec.Struct):
    """Every how many events a stream goes wrong in which way; 0 is never."""

    repeat: int = 0
    reorder: int = 0
    foreign: int = 0


def usage(sequence: Sequence) -> dict[str, int]:
    """Return the token counts of a whole answer."""
    return {
        "prompt_tokens": len(sequence.prompt_tokens),
        "completion_tokens": len(sequence.tokens),
        "cached_tokens": sequence.covered,
    }


def whole(sequence: Sequence, chat: bool, model: str) -> dict[str, Any]:
    """Return an answer that isn't streamed."""
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
    """Writes the events of one stream, or garbles them as ordered."""

    def __init__(self, sequence: Sequence, chat: bool, garble: Garble | None) -> None:
        self.sequence = sequence
        self.chat = chat
        self.garble = garble or Garble()
        self.count = 0
        self.held = ""

    def write(self, index: int, text: str, last: bool) -> str:
        """Return what is sent when a token is due."""
        self.count += 1
        event = self._event(index, text, last)
        lines = encode(event) * (2 if self._is_nth(self.garble.repeat) else 1)
        if self._is_nth(self.garble.foreign):
            lines = encode(self._foreign(index)) + lines
        held_back = self._is_nth(self.garble.reorder) and not self.held and not last
        if held_back and self.count > 1:
            self.held = lines
            return ""
        lines, self.held = lines + self.held, ""
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

    def _foreign(self, index: int) -> dict[str, Any]:
        event = self._event(index, answer_token("foreign", index), last=False)
        return {**event, "id": f"foreign-{self.sequence.request_id}"}


def encode(event: dict[str, Any]) -> str:
    """Return an event as it is sent."""
    return f"data: {json.dumps(event)}\n\n"
