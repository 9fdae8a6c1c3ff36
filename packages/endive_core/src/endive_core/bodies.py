"""Validation of request bodies for the endpoints that reach model engines."""

from typing import Annotated, Any, Literal, Self

import msgspec
from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from endive_core.exceptions import EndiveError, ErrorKind
from endive_core.messages import Endpoint
from endive_core.resources import field_errors

DEFAULT_MAX_TOKENS = 256
MAX_MAX_TOKENS = 131_072


class StreamOptions(BaseModel):
    """What a streamed answer holds besides its tokens."""

    model_config = ConfigDict(extra="forbid")

    include_usage: bool = False


class _Body(BaseModel):
    """Fields common to both endpoints; unknown fields are rejected, not ignored."""

    model_config = ConfigDict(extra="forbid")

    model: str = Field(min_length=1, max_length=200)
    max_tokens: int = Field(DEFAULT_MAX_TOKENS, ge=1, le=MAX_MAX_TOKENS)
    stream: bool = False
    stream_options: StreamOptions | None = None
    n: Literal[1] | None = None
    temperature: float | None = Field(None, ge=0, le=2)
    top_p: float | None = Field(None, ge=0, le=1)
    seed: int | None = None
    stop: str | list[str] | None = None
    user: str | None = None

    @model_validator(mode="after")
    def _check_stream_options(self) -> Self:
        if self.stream_options is not None and not self.stream:
            raise ValueError("stream_options is allowed only with stream: true")
        return self

    @property
    def include_usage(self) -> bool:
        """Whether a streamed answer ends with its token counts."""
        return self.stream_options is not None and self.stream_options.include_usage

    def server_fields(self) -> dict[str, Any]:
        """Return the fields that are sent on to the backend server."""
        own = {"stream", "stream_options"}
        return self.model_dump(mode="json", exclude_none=True, exclude=own)


class Message(BaseModel):
    """One message of a chat."""

    model_config = ConfigDict(extra="forbid")

    role: Literal["system", "user", "assistant", "tool"]
    content: str
    name: str | None = None


class ChatBody(_Body):
    """Body of ``/v1/chat/completions``."""

    messages: Annotated[list[Message], Field(min_length=1, max_length=10_000)]

    def prompt_text(self) -> str:
        """Return the contents of all messages, one per line."""
        return "\n".join(message.content for message in self.messages)


class CompletionBody(_Body):
    """Body of ``/v1/completions``."""

    prompt: str = Field(min_length=1)

    def prompt_text(self) -> str:
        """Return the prompt."""
        return self.prompt


_MODELS = {Endpoint.CHAT: ChatBody, Endpoint.COMPLETIONS: CompletionBody}


def decode_json(data: bytes) -> Any:
    """Return the JSON value in `data`.

    Raises
    ------
    EndiveError
        ``malformed_body`` if `data` is not JSON.
    """
    try:
        return msgspec.json.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise EndiveError(
            ErrorKind.MALFORMED_BODY, f"the body is not JSON: {error}"
        ) from None


def parse_body(endpoint: Endpoint, data: bytes) -> ChatBody | CompletionBody:
    """Return the validated body of a call to `endpoint`.

    Raises
    ------
    EndiveError
        ``malformed_body``, ``unknown_field`` or ``invalid_field``, with the fields
        concerned.
    """
    value = decode_json(data)
    try:
        return _MODELS[endpoint].model_validate(value)
    except ValidationError as error:
        fields = field_errors(error)
        unknown = any(e["type"] == "extra_forbidden" for e in error.errors())
        kind = ErrorKind.UNKNOWN_FIELD if unknown else ErrorKind.INVALID_FIELD
        message = "; ".join(f"{f['field']}: {f['problem']}" for f in fields)
        raise EndiveError(kind, message, details={"fields": fields}) from None
