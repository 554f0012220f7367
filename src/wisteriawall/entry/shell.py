"""Entry's shell: callers' HTTP, lease renewal and the reducer's effects."""

from collections import Counter
from collections.abc import Callable
from collections.abc import Generator
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import functools
import logging
import queue
import threading
import time
from typing import final
import uuid

from wisteriawall.config import document
from wisteriawall.entry import events
from wisteriawall.entry import parsing
from wisteriawall.entry import reducer
from wisteriawall.entry import relay as relay_lib
from wisteriawall.web import server as server_lib
from wisteriawall.wire import control_client
from wisteriawall.wire import control_messages
from wisteriawall.wire import envelope
from wisteriawall.wire import fleet

__all__ = ["EntryShell"]

_LOG = logging.getLogger("entry")

RENEW_S = 0.3
DRAIN_POLL_S = 0.05
HTTP_THREADS = 256
MAX_KEPT_ANSWER_BYTES = 64 * 1024


@final
class EntryShell:
    """Run one entry.

    Args:
        name: Name of this entry.
        address: Host and port that callers use.
        zone: Availability zone of this VM.
        control_address_by_replica: RPC address of every control replica.
        key: Shared cluster key.
        token: Secret that agents expect.
        incarnation: Number that rises with every start of this process.
    """

    def __init__(
        self,
        *,
        name: str,
        address: str,
        zone: str,
        control_address_by_replica: Mapping[str, str],
        key: bytes,
        token: str,
        incarnation: int,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._entry = reducer.Entry(zone=zone)
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._effects_by_id: dict[str, queue.SimpleQueue[events.Effect]] = {}
        self._relay = relay_lib.Relay(token=token)
        self._control = control_client.ControlClient(
            address_by_replica=control_address_by_replica,
            key=key,
            sender=envelope.Sender(f"entry/{name}", incarnation),
        )
        self._http = server_lib.HttpServer(
            address=address, app=self._serve, threads=HTTP_THREADS
        )
        self.address = self._http.address
        self._demand: Counter[tuple[str, str]] = Counter()
        self._renewer = threading.Thread(
            target=self._renew_forever, name=f"renew-{name}", daemon=True
        )

    def start(self) -> None:
        """Start the entry."""
        self._http.start()
        self._renewer.start()

    def stop(self) -> None:
        """Finish what runs, then stop."""
        self._submit(events.Stopping(_now_ms()))
        while self._effects_by_id:
            time.sleep(DRAIN_POLL_S)
        self._stopping.set()
        self._http.stop()
        self._renewer.join(timeout=5.0)
        self._control.close()

    def is_ready(self) -> bool:
        """Tell whether callers should be sent here."""
        entry = self._entry
        return not entry.stopping and _now_ms() < entry.lease_until_ms

    @property
    def config(self) -> document.Document:
        """Return the newest configuration held here."""
        return self._entry.config

    def _submit(self, event: events.Event) -> None:
        """Reduce one event and hand each effect to its request's thread."""
        with self._lock:
            for effect in reducer.reduce(self._entry, event):
                waiting = self._effects_by_id.get(effect.request_id)
                if waiting is not None:
                    waiting.put(effect)

    def _serve(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        match environ["PATH_INFO"]:
            case "/healthz":
                return server_lib.respond(
                    start_response, status=200, body=b"{}"
                )
            case "/readyz":
                status = 200 if self.is_ready() else 503
                return server_lib.respond(
                    start_response, status=status, body=b"{}"
                )
        try:
            request = parsing.parse(environ, self._entry.config)
        except parsing.Refused as refused:
            return server_lib.refuse(start_response, refused.refusal)
        return self._run(request, start_response)

    def _run(
        self,
        request: parsing.CallerRequest,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        request_id = uuid.uuid4().hex
        waiting: queue.SimpleQueue[events.Effect] = queue.SimpleQueue()
        self._effects_by_id[request_id] = waiting
        self._submit(_arrived(request_id, request))
        return CallerAnswer(
            answer=self._answer(request_id, request, waiting, start_response),
            on_close=functools.partial(self._close, request_id),
        )

    def _close(self, request_id: str) -> None:
        self._submit(events.CallerGone(request_id, _now_ms()))
        waiting = self._effects_by_id.pop(request_id)
        with contextlib.suppress(queue.Empty):
            while True:
                self._carry_out_settle(waiting.get_nowait())

    def _answer(
        self,
        request_id: str,
        request: parsing.CallerRequest,
        waiting: queue.SimpleQueue[events.Effect],
        start_response: server_lib.StartResponse,
    ) -> Generator[bytes, None, None]:
        """Yield the answer's bytes while following the reducer's effects."""
        while True:
            match waiting.get():
                case events.AskClaim() as ask:
                    self._ask_claim(ask)
                case events.Settle() as settle:
                    self._carry_out_settle(settle)
                case events.Refuse(_, refusal):
                    yield from server_lib.refuse(start_response, refusal)
                    return
                case events.Replay(_, answer):
                    yield from _respond_kept(start_response, answer)
                    return
                case events.Dispatch() as dispatch:
                    ended = yield from self._attempt(
                        dispatch, request, start_response
                    )
                    if ended:
                        return

    def _attempt(
        self,
        dispatch: events.Dispatch,
        request: parsing.CallerRequest,
        start_response: server_lib.StartResponse,
    ) -> Generator[bytes, None, bool]:
        """Yield one attempt's answer; return whether the request ended."""
        try:
            upstream = self._relay.open(dispatch, request)
        except relay_lib.AttemptRefused as refused:
            self._submit(
                events.AttemptFailed(
                    dispatch.request_id,
                    dispatch.attempt,
                    refused.run,
                    str(refused),
                    _now_ms(),
                )
            )
            return False
        with contextlib.closing(upstream):
            if request.key:
                yield from self._relay_kept(dispatch, upstream, start_response)
            else:
                yield from self._relay_stream(
                    dispatch, upstream, start_response
                )
        return True

    def _relay_stream(
        self,
        dispatch: events.Dispatch,
        upstream: relay_lib.Upstream,
        start_response: server_lib.StartResponse,
    ) -> Iterator[bytes]:
        start_response(
            server_lib.status_line(upstream.status),
            [("Content-Type", upstream.content_type)],
        )
        yield from upstream.chunks()
        self._submit(events.Finished(dispatch.request_id, None, _now_ms()))

    def _relay_kept(
        self,
        dispatch: events.Dispatch,
        upstream: relay_lib.Upstream,
        start_response: server_lib.StartResponse,
    ) -> Iterator[bytes]:
        """Read the whole answer, have it kept, then send it."""
        body = b"".join(upstream.chunks())
        answer = fleet.KeptAnswer(upstream.status, upstream.content_type, body)
        kept = answer if len(body) <= MAX_KEPT_ANSWER_BYTES else None
        self._submit(events.Finished(dispatch.request_id, kept, _now_ms()))
        waiting = self._effects_by_id[dispatch.request_id]
        with contextlib.suppress(queue.Empty):
            self._carry_out_settle(waiting.get_nowait())
        yield from _respond_kept(start_response, answer)

    def _ask_claim(self, ask: events.AskClaim) -> None:
        message = control_messages.ClaimRequest(
            ask.account,
            ask.service,
            ask.key,
            ask.digest,
            ask.request_id,
            self._name,
            self._incarnation,
        )
        try:
            reply = self._control.call(message)
        except control_client.ControlUnavailable:
            reply = None
        if isinstance(reply, control_messages.ClaimReply):
            self._submit(events.ClaimDecided(ask.request_id, reply, _now_ms()))
        else:
            self._submit(events.ClaimFailed(ask.request_id, _now_ms()))

    def _carry_out_settle(self, effect: events.Effect) -> None:
        if not isinstance(effect, events.Settle):
            return
        message = control_messages.SettleRequest(
            effect.claim_id, effect.request_id, effect.released, effect.answer
        )
        with contextlib.suppress(control_client.ControlUnavailable):
            self._control.call(message)

    def _renew_forever(self) -> None:
        while not self._stopping.is_set():
            with contextlib.suppress(control_client.ControlUnavailable):
                self._renew_once()
            self._stopping.wait(RENEW_S)

    def _renew_once(self) -> None:
        asked_ms = _now_ms()
        message = control_messages.Renew(
            process=f"entry/{self._name}",
            incarnation=self._incarnation,
            kind=control_messages.ProcessKind.ENTRY,
            config_number=self._entry.config.number,
            fleet_version=self._entry.fleet_view.version,
            runner="",
            demand=[],
        )
        reply = self._control.call(message)
        if isinstance(reply, control_messages.Grant):
            self._submit_grant(events.Granted(reply, asked_ms))

    def _submit_grant(self, event: events.Granted) -> None:
        with self._lock:
            list(reducer.reduce(self._entry, event))


@final
class CallerAnswer:
    """Body of a caller's response; `close` runs however it ends."""

    def __init__(
        self,
        *,
        answer: Generator[bytes, None, None],
        on_close: Callable[[], None],
    ) -> None:
        self._answer = answer
        self._on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        """Return the answer's chunks."""
        return self._answer

    def close(self) -> None:
        """End the request, whether or not its answer was complete."""
        self._answer.close()
        self._on_close()


def _arrived(request_id: str, request: parsing.CallerRequest) -> events.Arrived:
    return events.Arrived(
        request_id=request_id,
        account=request.account,
        service=request.service,
        key=request.key,
        digest=request.digest,
        prefill_tokens=request.prefill_tokens,
        decode_tokens=request.decode_tokens,
        now_ms=_now_ms(),
    )


def _respond_kept(
    start_response: server_lib.StartResponse, answer: fleet.KeptAnswer
) -> server_lib.Response:
    return server_lib.respond(
        start_response,
        status=answer.status,
        body=answer.body,
        content_type=answer.content_type,
    )


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
