"""Stand-in engine over HTTP: OpenAI completions, orders and state."""

from collections.abc import Iterator
import threading
from typing import final

import msgspec

from wisteriawall.agent import engine_messages
from wisteriawall.config import document
from wisteriawall.standin import engine_core
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.web import server as server_lib
from wisteriawall.wire import fleet
from wisteriawall.wire import headers

__all__ = ["StandInEngine"]

CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATHS = (CHAT_PATH, "/v1/completions")


@final
class Message(msgspec.Struct, frozen=True):
    """One chat message."""

    role: str
    content: str = ""


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


@final
class StandInEngine:
    """Serve one stand-in engine.

    Args:
        address: Host and port; port 0 takes a free one.
        timing: Speed of the engine.
        fencing: Whether orders with an old fencing number are refused.
    """

    def __init__(
        self,
        *,
        address: str,
        timing: engine_core.EngineTiming,
        fencing: document.Fencing = document.Fencing.ENFORCED,
    ) -> None:
        self.core = engine_core.EngineCore(timing=timing)
        self._fencing = fencing
        self._fence = fleet.Fence(0, 0)
        self._order_lock = threading.Lock()
        self._http = server_lib.HttpServer(
            address=address, app=self._serve, threads=96
        )
        self.address = self._http.address

    def start(self) -> None:
        """Start serving."""
        self.core.start()
        self._http.start()

    def stop(self) -> None:
        """Stop serving."""
        self._http.stop()
        self.core.stop()

    def _serve(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        path = environ["PATH_INFO"]
        if path in COMPLETION_PATHS:
            return self._complete(environ, start_response)
        if path == "/admin/orders":
            return self._order(environ, start_response)
        if path == "/admin/state":
            return self._respond_state(start_response)
        return server_lib.refuse(start_response, _NOT_FOUND)

    def _complete(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        body = msgspec.json.decode(
            server_lib.read_body(environ), type=CompletionBody
        )
        if self.core.busy:
            return server_lib.refuse(start_response, _BUSY)
        is_chat = environ["PATH_INFO"] == CHAT_PATH
        request_id = environ.get(
            headers.environ_name(headers.REQUEST), body.request_id
        )
        prompt = body.prompt or " ".join(m.content for m in body.messages)
        generation = self.core.submit(
            prompt=prompt,
            max_tokens=body.max_tokens,
            first_token=body.resume_tokens,
        )
        if body.stream:
            start_response("200 OK", [("Content-Type", "text/event-stream")])
            return StreamedAnswer(generation, request_id, body.model, is_chat)
        text = "".join(iter(generation.tokens.get, None))
        answer = _completion(request_id, body.model, is_chat, text)
        return server_lib.respond(start_response, status=200, body=answer)

    def _order(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        order = msgspec.json.decode(
            server_lib.read_body(environ), type=engine_messages.OrderBody
        )
        fence = fleet.Fence(order.term, order.order_id)
        with self._order_lock:
            enforced = self._fencing is document.Fencing.ENFORCED
            if enforced and fence < self._fence:
                return server_lib.refuse(start_response, _FENCED)
            self._fence = max(fence, self._fence)
            if order.action is fleet.Action.SET_ROLE:
                self.core.change_role(fleet.Role(order.argument))
        return self._respond_state(start_response)

    def _respond_state(
        self, start_response: server_lib.StartResponse
    ) -> server_lib.Response:
        state = engine_messages.EngineState(self.core.role, self.core.busy)
        return server_lib.respond(
            start_response, status=200, body=msgspec.json.encode(state)
        )


@final
class StreamedAnswer:
    """SSE body of a completion; closing it early cancels the generation."""

    def __init__(
        self,
        generation: engine_core.Generation,
        request_id: str,
        model: str,
        is_chat: bool,
    ) -> None:
        self._generation = generation
        self._request_id = request_id
        self._model = model
        self._is_chat = is_chat

    def __iter__(self) -> Iterator[bytes]:
        """Yield one event for each token, then the end mark."""
        generation = self._generation
        for text in iter(generation.tokens.get, None):
            data = _chunk(self._request_id, self._model, self._is_chat, text)
            yield b"data: " + data + b"\n\n"
        left = generation.max_tokens - generation.first_token
        if generation.produced < left:
            raise ConnectionAbortedError("generation was cut")
        yield b"data: [DONE]\n\n"

    def close(self) -> None:
        """Stop generating."""
        self._generation.cancelled = True


_NOT_FOUND = refusal_lib.Refusal(
    status=404, code=refusal_lib.Code.NOT_FOUND, message="no such resource"
)
_BUSY = refusal_lib.Refusal(
    status=503,
    code=refusal_lib.Code.DRAINING,
    message="the engine is carrying out an order",
)
_FENCED = refusal_lib.Refusal(
    status=409,
    code=refusal_lib.Code.FENCED,
    message="the order carries an old fencing number",
)


def _chunk(request_id: str, model: str, is_chat: bool, text: str) -> bytes:
    if is_chat:
        choice: dict[str, object] = {"index": 0, "delta": {"content": text}}
    else:
        choice = {"index": 0, "text": text}
    kind = "chat.completion.chunk" if is_chat else "text_completion"
    return msgspec.json.encode(
        {
            "id": request_id,
            "object": kind,
            "model": model,
            "choices": [choice],
        }
    )


def _completion(request_id: str, model: str, is_chat: bool, text: str) -> bytes:
    if is_chat:
        message = {"role": "assistant", "content": text}
        choice: dict[str, object] = {"index": 0, "message": message}
    else:
        choice = {"index": 0, "text": text}
    kind = "chat.completion" if is_chat else "text_completion"
    return msgspec.json.encode(
        {
            "id": request_id,
            "object": kind,
            "model": model,
            "choices": [choice],
        }
    )
