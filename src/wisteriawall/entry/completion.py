"""Bodies of completion requests and answers that span several attempts."""

from typing import Any
from typing import final

import msgspec

from wisteriawall.entry import sse

__all__ = ["Transcript", "assemble"]

CHUNK_KIND = "chat.completion.chunk"
WHOLE_KIND = "chat.completion"


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
    def produced(self) -> str:
        """Return the text that this event adds to its choice."""
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
    """Events of one answer so far, over all its attempts."""

    __slots__ = ("ended", "events")

    def __init__(self) -> None:
        self.events: list[bytes] = []
        self.ended = False

    def add(self, event: bytes) -> None:
        """Record an event that goes to the caller."""
        if event == sse.END_MARK:
            self.ended = True
        elif not sse.is_comment(event):
            self.events.append(event)

    @property
    def text(self) -> str:
        """Return the text produced so far."""
        return "".join(
            choice.produced
            for event in self.events
            for choice in _decode(event).choices
        )

    def request_body(self, body: bytes) -> bytes:
        """Return `body` changed to stream on from where this one stands."""
        fields: dict[str, Any] = msgspec.json.decode(body)
        fields["stream"] = True
        if self.events:
            fields["resume_tokens"] = len(self.events)
            fields["resume_text"] = self.text
        return msgspec.json.encode(fields)


def assemble(events: list[bytes]) -> bytes:
    """Return the unstreamed answer that the events of one choice add up to."""
    chunks = [_decode(event) for event in events]
    if not chunks:
        return b'{"choices":[]}'
    first = chunks[0]
    whole: dict[str, Any] = {"id": first.id}
    is_chat = first.object == CHUNK_KIND
    whole["object"] = WHOLE_KIND if is_chat else first.object
    if first.created is not None:
        whole["created"] = first.created
    whole["model"] = first.model
    whole["choices"] = [_whole_choice(chunks, is_chat=is_chat)]
    usages = [c.usage for c in chunks if bytes(c.usage) != b"null"]
    if usages:
        whole["usage"] = usages[-1]
    return msgspec.json.encode(whole)


def _whole_choice(chunks: list[_Chunk], *, is_chat: bool) -> dict[str, Any]:
    choices = [choice for chunk in chunks for choice in chunk.choices]
    text = "".join(choice.produced for choice in choices)
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
