"""Stand-in engine over HTTP: OpenAI completions, KV transfer and orders."""

from collections import OrderedDict
import itertools
import time
from typing import TypeVar
from typing import final
import urllib.parse

import msgspec
import urllib3

from wisteriawall import errors
from wisteriawall.agent import engine_messages
from wisteriawall.config import document
from wisteriawall.policy import prefix_index
from wisteriawall.standin import completion
from wisteriawall.standin import engine_core
from wisteriawall.standin import engine_orders
from wisteriawall.standin import faults as faults_lib
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.web import server as server_lib
from wisteriawall.wire import headers

__all__ = ["StandInEngine"]

KV_PATH = "/kv/"
KV_BYTES_PER_PIECE = 1_024
MAX_EXPORTS = 256
KV_TIMEOUT_S = 30.0
DRAIN_POLL_S = 0.02

MessageT = TypeVar("MessageT")


@final
class BadRequest(errors.WisteriawallError):
    """The request body is not the expected JSON, or a value is invalid."""


@final
class StandInEngine:
    """HTTP server of one stand-in engine.

    Args:
        address: Host and port to listen on; port 0 selects a free one.
        parameters: Speed and capacity of the engine.
        fencing: Whether orders with an old fencing number are refused.
        model: Model loaded at the start, as `model@version`.
        weight_store: Host and port of the weight store; if empty, loading a
            model or adapter fetches nothing.
    """

    def __init__(
        self,
        *,
        address: str,
        parameters: engine_core.EngineParameters,
        fencing: document.Fencing = document.Fencing.ENFORCED,
        model: str = "",
        weight_store: str = "",
    ) -> None:
        self.faults = faults_lib.Faults()
        self.core = engine_core.EngineCore(
            parameters=parameters, faults=self.faults
        )
        self.orders = engine_orders.EngineOrders(
            core=self.core,
            parameters=parameters,
            fencing=fencing,
            faults=self.faults,
            model=model,
            weight_store=weight_store,
        )
        self._parameters = parameters
        self._draining = False
        self._export_numbers = itertools.count(1)
        self._pieces_by_export: OrderedDict[int, int] = OrderedDict()
        self._kv_client = urllib3.PoolManager(retries=False, maxsize=8)
        self._server = server_lib.HttpServer(
            address=address, app=self._serve, threads=96
        )
        self.address = self._server.address

    def start(self) -> None:
        """Start the batch loop and the server, each in its own thread."""
        self.core.start()
        self._server.start()

    def stop(self) -> None:
        """Refuse new requests, wait for those in progress, then stop."""
        self._draining = True
        while not self.core.is_idle:
            time.sleep(DRAIN_POLL_S)
        self._server.stop()
        self.core.stop()

    def _serve(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        path = environ["PATH_INFO"]
        try:
            if path in completion.COMPLETION_PATHS:
                return self._handle_completion(environ, start_response)
            if path == "/admin/orders":
                return self._handle_order(environ, start_response)
            if path == "/admin/faults":
                self._replace_faults(_decode_body(environ, faults_lib.Faults))
                return _respond_json(start_response, self.faults)
        except BadRequest as error:
            return server_lib.send_refusal(start_response, _bad_request(error))
        if path.startswith(KV_PATH):
            return self._send_kv(path, start_response)
        match path:
            case "/admin/state":
                return _respond_json(start_response, self.orders.state())
            case "/admin/load":
                return _respond_json(start_response, self.core.load())
            case "/admin/cache":
                return self._send_cache(environ, start_response)
        return server_lib.send_refusal(start_response, _NOT_FOUND)

    def _handle_completion(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        body = _decode_body(environ, completion.CompletionBody)
        if not 0 <= body.resume_tokens < body.max_tokens:
            raise BadRequest("expected 0 <= resume_tokens < max_tokens")
        if self.orders.busy or self._draining:
            return server_lib.send_refusal(start_response, _ACCEPTS_NO_WORK)
        transfer = body.kv_transfer or completion.KvTransfer("")
        generation = self.core.submit(
            prompt=body.text,
            max_tokens=body.max_tokens,
            first_token_index=body.resume_tokens,
            priority=body.priority,
            prefill_only=transfer.mode == "export",
            has_imported_kv=transfer.mode == "import"
            and self._fetch_kv(transfer),
        )
        if generation.prefill_only:
            return self._answer_export(generation, start_response)
        answer = completion.Answer(
            generation=generation,
            body=body,
            request_id=environ.get(
                headers.wsgi_environ_key(headers.REQUEST_ID), body.request_id
            ),
            is_chat=environ["PATH_INFO"] == completion.CHAT_PATH,
            faults=self.faults,
        )
        if body.stream:
            start_response("200 OK", [("Content-Type", "text/event-stream")])
            return answer
        return server_lib.send_response(
            start_response, status=200, body=answer.complete_body()
        )

    def _answer_export(
        self,
        generation: engine_core.Generation,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        generation.token_queue.get()
        if generation.remaining_prefill_tokens > 0:
            raise ConnectionAbortedError("an order aborted the prefill")
        prompt_bytes = len(generation.prompt.encode())
        pieces = -(-prompt_bytes // prefix_index.PIECE_BYTES)
        export_number = next(self._export_numbers)
        self._pieces_by_export[export_number] = pieces
        while len(self._pieces_by_export) > MAX_EXPORTS:
            self._pieces_by_export.popitem(last=False)
        kv = {"handle": f"{self.address}/{export_number}", "pieces": pieces}
        return _respond_json(start_response, {"kv": kv})

    def _fetch_kv(self, transfer: completion.KvTransfer) -> bool:
        """Fetch the KV cache from another engine; return whether it arrived.

        Without it the engine prefills the prompt itself. The answer is the
        same either way.
        """
        address, _, export_number = transfer.handle.partition("/")
        try:
            response = self._kv_client.request(
                "GET",
                f"http://{address}{KV_PATH}{export_number}",
                timeout=KV_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError:
            return False
        return response.status == 200

    def _send_kv(
        self, path: str, start_response: server_lib.StartResponse
    ) -> server_lib.Response:
        # Export numbers start at 1, so that 0 is never found.
        export_number = path.removeprefix(KV_PATH)
        pieces = self._pieces_by_export.get(
            int(export_number) if export_number.isdecimal() else 0
        )
        if pieces is None:
            return server_lib.send_refusal(start_response, _NOT_FOUND)
        time.sleep(pieces * self._parameters.kv_transfer_s_per_piece)
        return server_lib.send_response(
            start_response,
            status=200,
            body=bytes(pieces * KV_BYTES_PER_PIECE),
            content_type="application/octet-stream",
        )

    def _send_cache(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        query = urllib.parse.parse_qs(environ.get("QUERY_STRING", ""))
        after_text = query.get("after", [""])[0]
        page = self.core.cache.page(
            from_number=int(after_text) if after_text.isdecimal() else None,
            now_s=time.monotonic(),
        )
        return _respond_json(start_response, page)

    def _handle_order(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        order = _decode_body(environ, engine_messages.OrderRequest)
        code = refusal_lib.Code
        try:
            self.orders.carry_out(order)
        except engine_orders.OrderFenced as error:
            return _refuse_order(start_response, 409, code.FENCED, error)
        except engine_orders.OrderConflict as error:
            return _refuse_order(start_response, 409, code.DRAINING, error)
        except engine_orders.OrderCrashed as error:
            return _refuse_order(start_response, 500, code.UNAVAILABLE, error)
        return _respond_json(start_response, self.orders.state())

    def _replace_faults(self, new_faults: faults_lib.Faults) -> None:
        for name in new_faults.__struct_fields__:
            setattr(self.faults, name, getattr(new_faults, name))


_NOT_FOUND = refusal_lib.Refusal(
    status=404, code=refusal_lib.Code.NOT_FOUND, message="no such resource"
)
_ACCEPTS_NO_WORK = refusal_lib.Refusal(
    status=503,
    code=refusal_lib.Code.DRAINING,
    message="the engine takes no new work",
)


def _bad_request(error: BadRequest) -> refusal_lib.Refusal:
    return refusal_lib.Refusal(
        status=400, code=refusal_lib.Code.BAD_REQUEST, message=str(error)
    )


def _refuse_order(
    start_response: server_lib.StartResponse,
    status: int,
    code: refusal_lib.Code,
    error: errors.WisteriawallError,
) -> server_lib.Response:
    has_not_run = status < 500
    refusal = refusal_lib.Refusal(
        status=status,
        code=code,
        message=str(error),
        run=refusal_lib.RunState.NOT_RUN
        if has_not_run
        else refusal_lib.RunState.UNKNOWN,
    )
    return server_lib.send_refusal(start_response, refusal)


def _decode_body(
    environ: server_lib.Environ, message_type: type[MessageT]
) -> MessageT:
    try:
        return msgspec.json.decode(
            server_lib.read_body(environ), type=message_type
        )
    except (msgspec.DecodeError, RecursionError, UnicodeError) as error:
        raise BadRequest(f"body: {error}") from error


def _respond_json(
    start_response: server_lib.StartResponse, message: object
) -> server_lib.Response:
    return server_lib.send_response(
        start_response, status=200, body=msgspec.json.encode(message)
    )
