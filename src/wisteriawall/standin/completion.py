"""OpenAI completion bodies that a stand-in engine reads and writes."""

from collections.abc import Iterator
import queue
from typing import final

import msgspec

from wisteriawall.standin import engine_core
from wisteriawall.standin import faults as faults_lib

__all__ = ["CHAT_PATH", "PATHS", "Answer", "CompletionBody", "KvTransfer"]

CHAT_PATH = "/v1/chat/completions"
PATHS = (CHAT_PATH, "/v1/completions")
HEARTBEAT_S = 1.0
HEARTBEAT = b": waiting\n\n"
END_MARK = b"data: [DONE]\n\n"


@final
class Message(msgspec.Struct, frozen=True):
    """One chat message."""

    role: str
    content: str = ""


@final
class KvTransfer(msgspec.Struct, frozen=True):
    """Prefill here for another engine, or go on from its KV cache."""

    mode: str
    handle: str = ""


@final
class CompletionBody(msgspec.Struct, frozen=True):
    """Completion request; `resume_tokens` continues a broken answer."""

    model: str
    prompt: str = ""
    messages: list[Message] = []
    max_tokens: int = 16
    stream: bool = False
    request_id: str = "cmpl"
    resume_tokens: int = 0
    resume_text: str = ""
    priority: int = 0
    kv_transfer: KvTransfer | None = None

    @property
    def text(self) -> str:
        """Return the whole prompt."""
        return self.prompt or " ".join(m.content for m in self.messages)


@final
class Answer:
    """Answer of one generation; closing it early cancels the generation."""

    def __init__(
        self,
        *,
        generation: engine_core.Generation,
        body: CompletionBody,
        request_id: str,
        is_chat: bool,
        faults: faults_lib.Faults,
    ) -> None:
        self._generation = generation
        self._body = body
        self._request_id = request_id
        self._is_chat = is_chat
        self._cut_after = faults.cut_after_tokens

    def __iter__(self) -> Iterator[bytes]:
        """Yield one event for each token, then the end mark.

        A comment goes out every second while the request waits: writing it
        is how a caller that has gone is noticed.
        """
        number = 0
        for text in self._texts():
            if self._cut_after and number >= self._cut_after:
                raise ConnectionAbortedError("fault: stream cut")
            if text is None:
                yield HEARTBEAT
            else:
                yield b"data: " + self._chunk(number, text) + b"\n\n"
                number += 1
        if self._generation.left > 0:
            raise ConnectionAbortedError("generation was cut")
        yield END_MARK

    def whole(self) -> bytes:
        """Return the answer in one piece."""
        text = "".join(filter(None, self._texts()))
        if self._generation.left > 0:
            raise ConnectionAbortedError("generation was cut")
        kind = "message" if self._is_chat else "text"
        value: object = text
        if self._is_chat:
            value = {"role": "assistant", "content": text}
        return self._encode({kind: value}, is_last=True, is_chunk=False)

    def close(self) -> None:
        """Stop generating."""
        self._generation.cancelled = True

    def _texts(self) -> Iterator[str | None]:
        """Yield each token; None while none has come for a while."""
        while True:
            try:
                text = self._generation.tokens.get(timeout=HEARTBEAT_S)
            except queue.Empty:
                yield None
                continue
            if text is None:
                return
            yield text

    def _chunk(self, number: int, text: str) -> bytes:
        position = self._generation.first_token + number + 1
        choice: dict[str, object] = {"text": text}
        if self._is_chat:
            delta = {"content": text}
            if position == 1:
                delta["role"] = "assistant"
            choice = {"delta": delta}
        is_last = position == self._generation.max_tokens
        return self._encode(choice, is_last=is_last, is_chunk=True)

    def _encode(
        self, choice: dict[str, object], *, is_last: bool, is_chunk: bool
    ) -> bytes:
        chat_kind = "chat.completion.chunk" if is_chunk else "chat.completion"
        fields: dict[str, object] = {
            "id": self._request_id,
            "object": chat_kind if self._is_chat else "text_completion",
            "model": self._body.model,
            "choices": [
                {
                    "index": 0,
                    **choice,
                    "finish_reason": "length" if is_last else None,
                }
            ],
        }
        if is_last:
            prompt = self._generation.prefill_total
            produced = self._generation.max_tokens
            fields["usage"] = {
                "prompt_tokens": prompt,
                "completion_tokens": produced,
                "total_tokens": prompt + produced,
            }
        return msgspec.json.encode(fields)
