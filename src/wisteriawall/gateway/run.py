"""Forwarding of one caller's request, on the thread that serves the caller."""

from collections.abc import Callable
from collections.abc import Generator
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import dataclasses
import functools
import http.client
import threading
import traceback
from typing import TypeAlias
from typing import final

import urllib3

from wisteriawall import clock
from wisteriawall.gateway import answer_memory
from wisteriawall.gateway import events
from wisteriawall.gateway import protocol
from wisteriawall.gateway import stream
from wisteriawall.web import connection_pool
from wisteriawall.web import http_exchange
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.web import runner_connection
from wisteriawall.web import server as server_lib
from wisteriawall.web import server_connection
from wisteriawall.wire import gateway_messages

__all__ = ["CallerRequest", "ForwardedResponse", "end_to_end_headers"]

Head: TypeAlias = urllib3.BaseHTTPResponse
OriginFinder: TypeAlias = Callable[
    [events.FindOrigin], gateway_messages.StreamFound | None
]

MS_PER_S = 1_000
# A whole answer is held in memory until it is complete.
MAX_BUFFERED_BYTES = 4 * 1024 * 1024
# Chunks of an answer that are smaller than a usual packet.
MAX_TINY_CHUNKS = 4_096
# The answer to a prefill names a handle.
MAX_PREFILL_BYTES = 64 * 1024
# Reading the rest of an answer costs more than a new connection beyond these.
MAX_DISCARDED_BYTES = 64 * 1024
DISCARD_TIMEOUT_MS = 200
# A host whose process has ended refuses a connection at once.
PROBE_TIMEOUT_S = 0.05
# Longest time that a thread waits for the processor to read what arrived.
MAX_LATE_READ_MS = 2_000
MAX_LOGGED_LENGTH = 80
# Whom the thread of a request deals with, as the log names them.
WAITS_FOR_RUNNER = "runner"
WAITS_FOR_CALLER = "caller"
WAITS_FOR_CONTROL = "control"
SUCCESS_STATUSES = range(200, 300)
# By these a caller takes its request for not run. 421 of a runner always means
# that, the others only beside its own statement.
NOT_RUN_STATUSES = frozenset({408, 429, 503})
# Headers that apply to one connection only, see RFC 9110, section 7.6.1, and
# headers that this server and the HTTP client handle themselves.
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class CallerRequest:
    """A caller's request as it arrived, and what its route allows.

    `target` is path and query. `request_key` is the number of the request in
    this process, `request_id` the caller's id. `deadline_at_ms` is on the
    monotonic clock. With `notes_times` it matters when answers arrived.
    """

    request_key: int
    request_id: str
    method: str
    target: str
    # They may have the caller's key, which must not get into a log.
    headers: dict[str, str] = dataclasses.field(repr=False)
    body: bytes
    head: protocol.RequestHead
    deadline_at_ms: int
    is_stream: bool
    is_resumable: bool
    is_repeatable: bool
    notes_times: bool = False


@final
class ForwardedResponse:
    """WSGI response body that forwards a request and yields the answer.

    Iterating carries out the reducer's effects: it sends the request to runners
    until one has answered or the request is refused.

    Args:
        request: The caller's request.
        effects: Effects of the request's arrival.
        caller: The caller's connection.
        start_response: WSGI callback.
        submit: Reduces an event and returns the effects for this request.
        find_origin: Asks control for the origin of a stream.
        dialect: Translates headers.
        pool: Connections to runners.
        memory: Room for answers that are read whole.
        on_close: Called when the WSGI server closes the body.
    """

    def __init__(
        self,
        *,
        request: CallerRequest,
        effects: list[events.Effect],
        caller: server_connection.CallerConnection,
        start_response: server_lib.StartResponse,
        submit: Callable[[events.Event], list[events.Effect]],
        find_origin: OriginFinder,
        dialect: protocol.Dialect,
        pool: connection_pool.ConnectionPool,
        memory: answer_memory.AnswerMemory,
        on_close: Callable[[], None],
    ) -> None:
        self._request = request
        self._effects = effects
        self._caller = caller
        self._start_response = start_response
        self._submit = submit
        self._find_origin = find_origin
        self._dialect = dialect
        self._pool = pool
        self._memory = memory
        self._on_close = on_close
        self._lock = threading.Lock()
        self._exchange: http_exchange.HttpExchange | None = None
        self._cancelled = False
        self._ended_by_stop = False
        self._sent_addresses: set[str] = set()
        self._head_sent = False
        self._has_begun = False
        self._complete = False
        self._status = 0
        self._scanner = stream.EventScanner()
        self._began_as_events = False
        self._waits_for = WAITS_FOR_RUNNER
        self._chunk_iterator = self._note_writes(self._execute_effects())

    def cancel(self) -> None:
        """Abort the current exchange and all later ones, from any thread.

        Called when the caller disconnects or a stop cuts the answer.
        """
        with self._lock:
            self._cancelled = True
            exchange = self._exchange
        if exchange is not None:
            exchange.cancel()

    def end_by_stop(self) -> None:
        """End what waits for a runner, and tell the caller; from any thread.

        An answer that has arrived at this host up to its end is delivered.
        Otherwise a caller that has got nothing yet learns whether its request
        may have run, and an answer that has begun ends incomplete.
        """
        with self._lock:
            self._ended_by_stop = True
            exchange = self._exchange
        if exchange is not None:
            exchange.receive_no_more()

    @property
    def request_key(self) -> int:
        """Return the number of the request in this process."""
        return self._request.request_key

    def progress(self) -> events.AnswerProgress:
        """Return how far the answer has come, from any thread."""
        with self._lock:
            exchange = self._exchange
        quiet_ms, unread_bytes = exchange.received() if exchange else (None, 0)
        return events.AnswerProgress(
            waits_for=self._waits_for,
            is_whole=exchange is not None and exchange.is_whole,
            quiet_ms=quiet_ms,
            unread_bytes=unread_bytes,
            unsent_bytes=self._caller.unsent_bytes,
        )

    def __iter__(self) -> Iterator[bytes]:
        """Return an iterator over the chunks of the answer."""
        return self._chunk_iterator

    def close(self) -> None:
        """Report the end of the request, complete or not; called by WSGI."""
        self._chunk_iterator.close()
        ended = events.Ended(
            request_key=self._request.request_key,
            is_complete=self._complete,
            now_ms=clock.monotonic_ms(),
            is_success=self._complete and self._status in SUCCESS_STATUSES,
        )
        self._submit(ended)
        self._on_close()

    def _note_writes(
        self, chunks: Generator[bytes, None, None]
    ) -> Generator[bytes, None, None]:
        """Yield the chunks, and note that the caller gets each meanwhile."""
        with contextlib.closing(chunks):
            for chunk in chunks:
                self._waits_for = WAITS_FOR_CALLER
                yield chunk
                self._waits_for = WAITS_FOR_RUNNER

    def _execute_effects(self) -> Generator[bytes, None, None]:
        """Carry out the effects, and yield the bytes of the answer."""
        effects = self._effects
        while effects:
            match effects[0]:
                case events.Refuse(refusal=refusal):
                    yield from self._refuse(refusal)
                    return
                case protocol.Send() as send:
                    effects = yield from self._run_phase(send)
                case events.FindOrigin() as find:
                    self._waits_for = WAITS_FOR_CONTROL
                    found = events.OriginFound(
                        request_key=self._request.request_key,
                        found=self._find_origin(find),
                        now_ms=clock.monotonic_ms(),
                    )
                    self._waits_for = WAITS_FOR_RUNNER
                    effects = self._submit(found)
                case effect:
                    raise AssertionError(f"unexpected {type(effect).__name__}")
        if not self._complete:
            # Returning would mark the end of a response in chunks.
            self._abort("the request was dropped without an answer")

    def _run_phase(
        self, send: protocol.Send
    ) -> Generator[bytes, None, list[events.Effect]]:
        """Yield the answer to one phase; return the effects that follow it."""
        exchange = http_exchange.HttpExchange(self._pool)
        with self._lock:
            self._exchange = exchange
            cancelled = self._cancelled or self._ended_by_stop
        if cancelled:
            exchange.cancel()
        try:
            return (yield from self._exchange_phase(exchange, send))
        except http_exchange.Unreachable as error:
            return self._report_failure(
                refusal_lib.RunState.NOT_RUN, str(error), unreachable=True
            )
        except http_exchange.NotSent:
            # The key is looked up again before another runner is tried.
            return self._report_failure(
                refusal_lib.RunState.NOT_RUN,
                "the proof that the key is valid ended before the sending",
                unreachable=True,
                runner_failed=False,
            )
        except http_exchange.Broken as error:
            status = 504 if error.timed_out else 502
            return self._report_failure(
                refusal_lib.RunState.UNKNOWN,
                str(error),
                status=status,
                cut_off=error.cut_off,
                peer_state=self._probe_after(error, send),
            )
        except answer_memory.NoRoom as error:
            return self._report_failure(
                refusal_lib.RunState.UNKNOWN,
                str(error),
                status=502,
                runner_failed=False,
            )
        except ConnectionAbortedError:
            # Raised by `_abort`, to reset the caller's connection.
            raise
        except Exception as error:
            self._submit(
                events.UnexpectedError(
                    request_id=self._request.request_id,
                    error=repr(error),
                    trace=traceback.format_exc(),
                )
            )
            return self._report_failure(
                refusal_lib.RunState.UNKNOWN,
                f"internal error: {type(error).__name__}",
                runner_failed=False,
            )
        finally:
            exchange.close()

    def _exchange_phase(
        self, exchange: http_exchange.HttpExchange, send: protocol.Send
    ) -> Generator[bytes, None, list[events.Effect]]:
        if clock.monotonic_ms() >= self._request.deadline_at_ms:
            # The process had no processor time since the runner was chosen.
            return self._report_failure(
                refusal_lib.RunState.NOT_RUN,
                "the deadline passed before the request was sent",
                unreachable=True,
                runner_failed=False,
            )
        sent_ms = clock.monotonic_ms()
        head = self._open(exchange, send)
        answer = self._dialect.parse_answer_head(
            head.status, dict(head.headers)
        )
        if (
            answer.leaving
            or answer.pause_ms is not None
            or answer.limit is not None
            or send.is_limited
        ):
            self._submit(
                events.RunnerNoticed(
                    request_id=self._request.request_id,
                    upstream=send.upstream,
                    leaving=answer.leaving,
                    pause_ms=answer.pause_ms,
                    now_ms=clock.monotonic_ms(),
                    limit=answer.limit,
                    sent_ms=sent_ms,
                )
            )
        if answer.not_run:
            self._discard_body(exchange)
            return self._report_failure(
                refusal_lib.RunState.NOT_RUN,
                f"rejected with {head.status}",
                runner_failed=False,
            )
        fault = self._find_fault(send, head, answer)
        if fault:
            return self._report_failure(refusal_lib.RunState.UNKNOWN, fault)
        if send.phase is protocol.Phase.PREFILL:
            return self._finish_prefill(exchange, answer)
        if answer.has_seal and not (
            self._request.is_stream and head.status == 200
        ):
            # A stream runs from its first token on.
            self._report_run(
                _received_wall_ms(exchange)
                if self._request.is_stream
                else _to_wall_ms(exchange.sent_ms)
            )
        if answer.status in NOT_RUN_STATUSES:
            self._discard_body(exchange)
            return self._report_failure(
                refusal_lib.RunState.UNKNOWN,
                f"answered {answer.status}, but may have run",
            )
        is_streamed = self._request.is_stream and head.status == 200
        if is_streamed:
            return (yield from self._relay_stream(exchange, head))
        return (yield from self._relay_buffered(exchange, send, head, answer))

    def _find_fault(
        self, send: protocol.Send, head: Head, answer: protocol.AnswerHead
    ) -> str:
        """Return why an answer can't be used, empty if it can."""
        if answer.attempt_id != self._request.request_id:
            return "the answer names no request"
        if send.phase is protocol.Phase.PREFILL:
            return ""
        if answer.status in SUCCESS_STATUSES and not answer.has_seal:
            return "a success without a seal"
        is_resumed = head.status == 200 and self._resumes_after != ""
        if self._head_sent or is_resumed:
            other_kind = _find_other_kind(head)
            if other_kind:
                return f"resuming the stream was answered with {other_kind}"
        return ""

    @property
    def _resumes_after(self) -> str:
        """Return the id after which a stream is to go on, empty if it begins.

        It is the last event of this answer, or the one that the caller names.
        """
        if not self._request.is_resumable:
            return ""
        return self._scanner.last_event_id or self._request.head.last_event_id

    def _open(
        self, exchange: http_exchange.HttpExchange, send: protocol.Send
    ) -> Head:
        request = self._request
        remaining_ms = max(1, request.deadline_at_ms - clock.monotonic_ms())
        headers = self._dialect.runner_request_headers(
            request.headers,
            send,
            remaining_ms=remaining_ms,
            last_event_id=self._scanner.last_event_id,
        )
        address = send.upstream.address
        # A late answer to an earlier phase would have this request's id.
        was_sent_here = address in self._sent_addresses
        self._sent_addresses.add(address)
        return exchange.send(
            address,
            method=request.method,
            target=request.target,
            headers=headers,
            body=request.body or None,
            timeout_s=remaining_ms / MS_PER_S,
            deadline_at_ms=request.deadline_at_ms,
            send_by_ms=send.valid_until_ms,
            force_new=was_sent_here,
            answer_id=runner_connection.AnswerId(
                header=self._dialect.answer_id_header,
                value=request.request_id,
                on_mismatch=functools.partial(
                    self._report_foreign_answer, exchange
                ),
            ),
            max_idle_ms=connection_pool.NO_LIMIT_MS
            if send.max_idle_ms is None
            else send.max_idle_ms,
            notes_times=self._request.notes_times,
        )

    def _probe_after(
        self, error: http_exchange.Broken, send: protocol.Send
    ) -> connection_pool.PeerState:
        """Return whether the runner that cut the request off still listens.

        It tells a crash from the loss of one connection.
        """
        if not error.cut_off or self._cancelled or self._ended_by_stop:
            return connection_pool.PeerState.UNKNOWN
        return connection_pool.probe(
            send.upstream.address, timeout_s=PROBE_TIMEOUT_S
        )

    def _report_foreign_answer(
        self,
        exchange: http_exchange.HttpExchange,
        response: http.client.HTTPResponse,
    ) -> None:
        answer = self._dialect.parse_answer_head(
            response.status, dict(response.headers)
        )
        self._submit(
            events.ForeignAnswer(
                request_key=self._request.request_key,
                request_id=self._request.request_id,
                answer_id=answer.attempt_id,
                status=answer.status,
                not_run=answer.not_run,
                connection_requests=exchange.connection_requests,
            )
        )

    def _discard_body(self, exchange: http_exchange.HttpExchange) -> None:
        """Read the rest of an answer, so that its connection can be reused."""
        exchange.discard_body(
            max_bytes=MAX_DISCARDED_BYTES, timeout_ms=DISCARD_TIMEOUT_MS
        )

    def _finish_prefill(
        self, exchange: http_exchange.HttpExchange, answer: protocol.AnswerHead
    ) -> list[events.Effect]:
        body = b"".join(exchange.body_chunks(max_bytes=MAX_PREFILL_BYTES))
        exchange.release()
        prefill = (
            self._dialect.parse_prefill_answer(body)
            if answer.status == 200
            else None
        )
        if prefill is None:
            return self._report_failure(
                refusal_lib.RunState.NOT_RUN,
                f"reading the prompt was answered {answer.status}",
            )
        prefill_done = events.PrefillDone(
            request_key=self._request.request_key,
            transfer_handle=prefill.transfer_handle,
            now_ms=clock.monotonic_ms(),
        )
        return self._submit(prefill_done)

    def _relay_stream(
        self,
        exchange: http_exchange.HttpExchange,
        head: Head,
    ) -> Generator[bytes, None, list[events.Effect]]:
        """Forward a streamed answer as it arrives."""
        self._report_answer_started()
        resumes_after = self._resumes_after
        self._scanner.resume(resumes_after)
        chunks = self._stream_chunks(exchange, is_framed=_is_framed(head))
        # The first event shows whether a stream goes on. Until it is there, the
        # caller can get another answer.
        first = next(chunks, b"")
        if not self._head_sent:
            self._began_as_events = _find_other_kind(head) == ""
            self._send_head(
                head.status, end_to_end_headers(head.headers.items())
            )
        if first:
            yield first
        yield from chunks
        self._complete = True
        exchange.release()
        return []

    def _stream_chunks(
        self, exchange: http_exchange.HttpExchange, *, is_framed: bool
    ) -> Iterator[bytes]:
        """Yield the chunks of a stream.

        A resumable stream yields complete events only, so that another runner
        can continue after the last one. What follows the last event of a
        complete answer is yielded too.

        Raises:
            http_exchange.Broken: The stream broke off, or is none of events.
        """
        is_resumable = self._request.is_resumable
        # A stream that goes on after the last event has nothing more.
        is_empty = not self._resumes_after
        is_first = True
        for chunk in exchange.body_chunks():
            if is_first:
                self._report_run(_received_wall_ms(exchange))
            is_first = is_empty = False
            try:
                complete = self._scanner.feed(chunk)
            except (stream.EventTooLong, stream.NotContinued) as error:
                raise http_exchange.Broken(str(error)) from error
            if not is_resumable:
                yield chunk
            elif complete:
                self._report_stream_began()
                yield complete
        if not is_framed and (is_empty or self._scanner.incomplete):
            # Only its events tell whether such a stream is complete.
            raise http_exchange.Broken(
                "the stream ended within an event", cut_off=True
            )
        if is_resumable and self._scanner.incomplete:
            if self._scanner.awaits_next:
                raise http_exchange.Broken("the stream goes on with no event")
            yield self._scanner.incomplete

    def _report_stream_began(self) -> None:
        """Report the first event, before the caller gets it."""
        if self._has_begun:
            return
        self._has_begun = True
        self._submit(
            events.StreamBegan(
                request_key=self._request.request_key,
                now_ms=clock.monotonic_ms(),
            )
        )

    def _relay_buffered(
        self,
        exchange: http_exchange.HttpExchange,
        send: protocol.Send,
        head: Head,
        answer: protocol.AnswerHead,
    ) -> Generator[bytes, None, list[events.Effect]]:
        """Read the complete answer, then send it.

        A server error is reported as a failure first, if the answer has no seal
        or the request may be repeated. It is sent only if the reducer decides
        to deliver it.
        """
        with self._memory.open(
            send.upstream.address,
            until_ms=self._request.deadline_at_ms,
            is_cancelled=lambda: self._cancelled or self._ended_by_stop,
        ) as buffer:
            for chunk in exchange.body_chunks(
                max_bytes=MAX_BUFFERED_BYTES,
                max_tiny_chunks=MAX_TINY_CHUNKS,
            ):
                buffer.append(chunk)
            exchange.release()
            effects = self._report_server_error(head, answer)
            if effects is not None:
                return effects
            self._report_answer_started()
            self._complete = True
            headers = [
                *end_to_end_headers(head.headers.items()),
                ("Content-Length", str(buffer.size_bytes)),
            ]
            self._send_head(head.status, headers)
            yield buffer.take()
        return []

    def _report_server_error(
        self, head: Head, answer: protocol.AnswerHead
    ) -> list[events.Effect] | None:
        """Return the effects of a server error, None to send the answer."""
        if head.status < 500 or (
            answer.has_seal and not self._request.is_repeatable
        ):
            return None
        effects = self._report_failure(
            refusal_lib.RunState.UNKNOWN,
            f"answered {head.status}",
            answered=answer.has_seal,
        )
        if any(isinstance(e, events.DeliverErrorAnswer) for e in effects):
            return None
        return effects

    def _report_answer_started(self) -> None:
        self._submit(
            events.AnswerStarted(
                request_key=self._request.request_key,
                now_ms=clock.monotonic_ms(),
            )
        )

    def _report_run(self, began_wall_ms: int) -> None:
        """Report that a runner began the request, at a Unix time."""
        self._submit(
            events.RunBegan(
                request_key=self._request.request_key,
                began_wall_ms=began_wall_ms,
            )
        )

    def _report_failure(
        self,
        run: refusal_lib.RunState,
        reason: str,
        *,
        unreachable: bool = False,
        answered: bool = False,
        status: int = 0,
        runner_failed: bool = True,
        cut_off: bool = False,
        peer_state: connection_pool.PeerState = (
            connection_pool.PeerState.UNKNOWN
        ),
    ) -> list[events.Effect]:
        if self._cancelled or (self._ended_by_stop and self._head_sent):
            self._abort("the caller disconnected, or the gateway's stop cut it")
        is_final = self._ended_by_stop
        if is_final and not answered:
            reason = "the gateway stops before the answer is complete"
            status, cut_off, runner_failed = 0, False, False
        failed = events.PhaseFailed(
            request_key=self._request.request_key,
            run=run,
            reason=reason,
            now_ms=clock.monotonic_ms(),
            unreachable=unreachable,
            answered=answered,
            status=status,
            runner_failed=runner_failed,
            cut_off=cut_off,
            peer_state=peer_state,
            can_go_on=not self._head_sent
            or (self._began_as_events and self._scanner.may_resume),
            is_final=is_final,
        )
        return self._submit(failed)

    def _send_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        self._head_sent = True
        self._status = status
        self._start_response(server_lib.status_line(status), headers)

    def _refuse(self, refusal: refusal_lib.Refusal) -> Iterator[bytes]:
        if self._head_sent:
            self._abort(refusal.message)
        yield from server_lib.send_refusal(
            self._start_response, refusal, fractional_retry_after=True
        )

    def _abort(self, message: str) -> None:
        """Abort the caller's connection, so that no answer looks complete.

        Raises:
            ConnectionAbortedError: Always.
        """
        self._caller.abort_response()
        if not self._head_sent:
            self._send_head(500, [])
        raise ConnectionAbortedError(message)


def _to_wall_ms(monotonic_ms: int) -> int:
    """Return the Unix time of a time on the monotonic clock."""
    return clock.wall_ms() - (clock.monotonic_ms() - monotonic_ms)


def _received_wall_ms(exchange: http_exchange.HttpExchange) -> int:
    """Return the Unix time when what was read last arrived at this VM.

    This thread may have waited for the processor since then.
    """
    now_ms = clock.wall_ms()
    received_ms = exchange.received_wall_ms
    if received_ms is None or not 0 <= now_ms - received_ms <= MAX_LATE_READ_MS:
        # Unknown, or the clock was set in between.
        return now_ms
    return received_ms


def _find_other_kind(head: Head) -> str:
    """Return how an answer differs from a stream of events, empty if not."""
    if head.status != 200:
        return f"status {head.status}"
    content_type = head.headers.get("Content-Type", "")
    if not stream.is_event_stream(content_type):
        return f"content type {content_type[:MAX_LOGGED_LENGTH]!r}"
    if "Content-Encoding" in head.headers:
        return "an encoded body"
    return ""


def _is_framed(head: Head) -> bool:
    """Return whether an answer says where its body ends."""
    return "Content-Length" in head.headers or (
        "Transfer-Encoding" in head.headers
    )


def end_to_end_headers(
    headers: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return the headers to forward, without the hop-by-hop headers."""
    header_pairs = list(headers)
    connection_options = {
        token.strip().lower()
        for name, value in header_pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    return [
        (name, value)
        for name, value in header_pairs
        if name.lower() not in HOP_BY_HOP_HEADERS | connection_options
    ]
