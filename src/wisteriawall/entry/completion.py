"""Completion answers that are assembled from events of several attempts."""

from typing import Any
from typing import final

import msgspec

from wisteriawall.entry import sse

__all__ = ["Transcript", "assemble"]

CHAT_CHUNK_OBJECT = "chat.completion.chunk"
CHAT_COMPLETION_OBJECT = "chat.completion"


@final
class _Delta(msgspec.Struct, frozen=True):
    role: str | None = None
    content: str | None = None


@final
class _Choice(msgspec.Struct, frozen=True):
    index: int = 0
    text: str | None = None
    delta: _Delta | None = None
    finish_reason: str | None = None

    @property
    def generated_text(self) -> str:
        """Return the text that the event adds to this choice."""
        return (self.delta.content if self.delta else self.text) or ""


@final
class _Chunk(msgspec.Struct, frozen=True):
    id: str = ""
    object: str = ""
    created: int | None = None
    model: str = ""
    choices: list[_Choice] = []
    usage: msgspec.Raw = msgspec.Raw(b"null")


_DECODER = msgspec.json.Decoder(_Chunk)


@final
class Transcript:
    """Events of one answer so far, from all its attempts.

    `events` holds no comments and not the end mark; `ended` is set by the
    end mark.
    """

    __slots__ = ("ended", "events")

    def __init__(self) -> None:
        self.events: list[bytes] = []
        self.ended = False

    def add(self, event: bytes) -> None:
        """Record an event; comments are ignored."""
        if event == sse.END_MARK:
            self.ended = True
        elif not sse.is_comment(event):
            self.events.append(event)

    @property
    def text(self) -> str:
        """Return the text generated so far."""
        return "".join(
            choice.generated_text
            for event in self.events
            for choice in _decode(event).choices
        )

    def request_body(self, body: bytes) -> bytes:
        """Return a request body that streams the rest of this answer.

        Args:
            body: The caller's JSON body.
        """
        fields: dict[str, Any] = msgspec.json.decode(body)
        fields["stream"] = True
        if self.events:
            fields["resume_tokens"] = len(self.events)
            fields["resume_text"] = self.text
        return msgspec.json.encode(fields)


def assemble(events: list[bytes]) -> bytes:
    """Return the JSON answer to which the events of one choice add up."""
    chunks = [_decode(event) for event in events]
    if not chunks:
        return b'{"choices":[]}'
    first = chunks[0]
    completion: dict[str, Any] = {"id": first.id}
    is_chat = first.object == CHAT_CHUNK_OBJECT
    completion["object"] = CHAT_COMPLETION_OBJECT if is_chat else first.object
    if first.created is not None:
        completion["created"] = first.created
    completion["model"] = first.model
    completion["choices"] = [_assemble_choice(chunks, is_chat=is_chat)]
    usages = [c.usage for c in chunks if bytes(c.usage) != b"null"]
    if usages:
        completion["usage"] = usages[-1]
    return msgspec.json.encode(completion)


def _assemble_choice(chunks: list[_Chunk], *, is_chat: bool) -> dict[str, Any]:
    choices = [choice for chunk in chunks for choice in chunk.choices]
    text = "".join(choice.generated_text for choice in choices)
    choice: dict[str, Any] = {"index": 0}
    if is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    reasons = [c.finish_reason for c in choices if c.finish_reason]
    if reasons:
        choice["finish_reason"] = reasons[-1]
    return choice


def _decode(event: bytes) -> _Chunk:
    data = event.removeprefix(b"data:")
    return _DECODER.decode(data)
