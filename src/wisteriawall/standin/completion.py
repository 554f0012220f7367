"""Request and answer bodies of the stand-in engine's completion interface.

They follow the OpenAI API, with additional fields to resume an answer and to
transfer a KV cache.
"""

from collections.abc import Iterator
import queue
from typing import final

import msgspec

from wisteriawall.standin import engine_core
from wisteriawall.standin import faults as faults_lib

__all__ = [
    "CHAT_PATH",
    "COMPLETION_PATHS",
    "Answer",
    "CompletionBody",
    "KvTransfer",
]

CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATHS = (CHAT_PATH, "/v1/completions")
KEEP_ALIVE_INTERVAL_S = 1.0
KEEP_ALIVE_COMMENT = b": waiting\n\n"
END_MARK = b"data: [DONE]\n\n"


@final
class Message(msgspec.Struct, frozen=True):
    """One chat message."""

    role: str
    content: str = ""


@final
class KvTransfer(msgspec.Struct, frozen=True):
    """KV cache transfer between two engines.

    Mode `export` only prefills the prompt and returns a KV transfer handle.
    Mode `import` fetches the KV cache that `handle` names and then decodes.
    Any other mode, such as the empty one, transfers nothing.
    """

    mode: str
    handle: str = ""


@final
class CompletionBody(msgspec.Struct, frozen=True):
    """Completion request.

    `resume_tokens` is the number of tokens that the caller already has of an
    interrupted answer; generation continues after them. `resume_text` is their
    text, which the stand-in ignores. A lower `priority` is served first.
    """

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
        """Return the prompt, or the joined contents of the chat messages."""
        return self.prompt or " ".join(m.content for m in self.messages)


@final
class Answer:
    """Answer to one completion request, streamed or as one body.

    Iterating over it yields the server-sent events of a stream. Closing it
    early cancels the generation.
    """

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
        self._cut_after_tokens = faults.cut_after_tokens

    def __iter__(self) -> Iterator[bytes]:
        """Yield one event for each token, then the end mark.

        A keep-alive comment is sent after every second without a token. The
        write fails if the caller has disconnected, which ends the generation.

        Raises:
            ConnectionAbortedError: An order aborted the generation, or the
                fault `cut_after_tokens` applies.
        """
        sent_tokens = 0
        for text in self._token_texts():
            if self._cut_after_tokens and sent_tokens >= self._cut_after_tokens:
                raise ConnectionAbortedError(
                    "stream cut by the fault cut_after_tokens"
                )
            if text is None:
                yield KEEP_ALIVE_COMMENT
            else:
                yield (
                    b"data: " + self._encode_chunk(sent_tokens, text) + b"\n\n"
                )
                sent_tokens += 1
        if self._generation.remaining_tokens > 0:
            raise ConnectionAbortedError("an order aborted the generation")
        yield END_MARK

    def complete_body(self) -> bytes:
        """Wait for the last token and return the answer as one JSON body.

        Raises:
            ConnectionAbortedError: An order aborted the generation.
        """
        text = "".join(filter(None, self._token_texts()))
        if self._generation.remaining_tokens > 0:
            raise ConnectionAbortedError("an order aborted the generation")
        field_name = "message" if self._is_chat else "text"
        content: object = text
        if self._is_chat:
            content = {"role": "assistant", "content": text}
        return self._encode({field_name: content}, is_last=True, is_chunk=False)

    def close(self) -> None:
        """Cancel the generation; called when the caller disconnects."""
        self._generation.cancelled = True

    def _token_texts(self) -> Iterator[str | None]:
        """Yield each token's text, and None after each second without one."""
        while True:
            try:
                text = self._generation.token_queue.get(
                    timeout=KEEP_ALIVE_INTERVAL_S
                )
            except queue.Empty:
                yield None
                continue
            if text is None:
                return
            yield text

    def _encode_chunk(self, sent_tokens: int, text: str) -> bytes:
        position = self._generation.first_token_index + sent_tokens + 1
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
        chat_object = "chat.completion.chunk" if is_chunk else "chat.completion"
        fields: dict[str, object] = {
            "id": self._request_id,
            "object": chat_object if self._is_chat else "text_completion",
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
            prompt_tokens = self._generation.prompt_tokens
            completion_tokens = self._generation.max_tokens
            fields["usage"] = {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": completion_tokens,
                "total_tokens": prompt_tokens + completion_tokens,
            }
        return msgspec.json.encode(fields)
