"""One attempt over HTTP: send it to an agent and read the answer."""

from collections.abc import Iterator
import contextlib
import dataclasses
import socket
import threading
from typing import final

import msgspec
import urllib3

from wisteriawall import errors
from wisteriawall.entry import events
from wisteriawall.entry import parsing
from wisteriawall.entry import sse
from wisteriawall.web import connection_pool
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.web import runner_connection
from wisteriawall.wire import headers

__all__ = ["AnswerBroken", "Attempt", "AttemptRefused", "AttemptTimeouts"]

CHUNK_BYTES = 65_536
MAX_REFUSAL_BYTES = 65_536
END_OF_RESPONSE_TIMEOUT_S = 1.0
UNAVAILABLE_STATUSES = (502, 503, 504)


@final
class AttemptRefused(errors.WisteriawallError):
    """The attempt ended before an answer began.

    `run` says whether the request may have run. `by_agent` means that the
    agent refused it without a call to its upstream.
    """

    def __init__(
        self,
        run: refusal_lib.RunState,
        message: str,
        *,
        by_agent: bool = False,
    ) -> None:
        super().__init__(message)
        self.run = run
        self.by_agent = by_agent


@final
class AnswerBroken(errors.WisteriawallError):
    """The answer ended early, or belongs to another request."""


@final
class RefusalBody(msgspec.Struct, frozen=True):
    """The part of a refusal's JSON that decides whether to retry."""

    run: refusal_lib.RunState


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AttemptTimeouts:
    """Timeouts of one attempt, in seconds.

    Attributes:
        first_byte_s: Wait for the start of the answer, which includes
            queueing and prefill.
        idle_s: Longest gap between two reads of an answer.
    """

    first_byte_s: float = 120.0
    idle_s: float = 10.0


@final
class Attempt:
    """One attempt; `cancel` may be called from any thread at any time."""

    def __init__(self, pool: connection_pool.ConnectionPool) -> None:
        self._pool = pool
        self._lock = threading.Lock()
        self._socket: socket.socket | None = None
        self._connection: runner_connection.RunnerConnection | None = None
        self._response: urllib3.BaseHTTPResponse | None = None
        self._address = ""
        self._cancelled = False
        self._connection_reused = False
        self.status = 0
        self.content_type = ""

    def cancel(self) -> None:
        """Shut the connection down, which unblocks the thread reading it."""
        with self._lock:
            self._cancelled = True
            if self._socket is not None:
                with contextlib.suppress(OSError):
                    self._socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection unless it is back in the pool."""
        with self._lock:
            self._socket = None
        if self._response is not None:
            self._response.close()
        if self._connection is not None:
            self._connection.close()

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self.content_type.startswith("text/event-stream")

    def stream(self, request_id: str) -> Iterator[bytes]:
        """Yield complete events up to and including the end mark.

        Raises:
            AnswerBroken: The stream ended, timed out or carried an event of
                another request before its end mark.
        """
        scanner = sse.EventScanner(request_id=request_id)
        try:
            for chunk in self._chunks():
                for event in scanner.feed(chunk):
                    yield event
                    if event == sse.END_MARK:
                        self._read_to_end()
                        return
        except sse.ForeignEvent as error:
            raise AnswerBroken(str(error)) from error
        raise AnswerBroken("the stream ended without its end mark")

    def body(self) -> Iterator[bytes]:
        """Yield the body as it arrives.

        Raises:
            AnswerBroken: The body ended early.
        """
        yield from self._chunks()
        self._return_connection()

    def _chunks(self) -> Iterator[bytes]:
        assert self._response is not None
        try:
            yield from self._response.stream(CHUNK_BYTES, decode_content=False)
        except runner_connection.EXCHANGE_ERRORS as error:
            raise AnswerBroken(type(error).__name__) from error

    def _read_to_end(self) -> None:
        """Read to the end of the response after the end mark.

        The connection is reused only if no more data follows.
        """
        if self._socket is not None:
            self._socket.settimeout(END_OF_RESPONSE_TIMEOUT_S)
        with contextlib.suppress(AnswerBroken):
            if not any(self._chunks()):
                self._return_connection()

    def _return_connection(self) -> None:
        with self._lock:
            connection, self._connection = self._connection, None
            self._socket = None
        if connection is not None and not self._cancelled:
            self._pool.release(self._address, connection)

    def open(
        self,
        dispatch: events.Dispatch,
        request: parsing.CallerRequest,
        *,
        request_headers: dict[str, str],
        body: bytes,
        timeouts: AttemptTimeouts,
    ) -> None:
        """Send the request and read the status and headers of its answer.

        Args:
            dispatch: Number and address of this attempt.
            request: The caller's request.
            request_headers: Headers to send.
            body: Body to send; it differs from the caller's when an answer
                is assembled or resumed.
            timeouts: Timeouts of this attempt.

        Raises:
            AttemptRefused: No answer began.
        """
        self._address = dispatch.address
        self._connect(force_new=bool(dispatch.claim_id))
        connection = self._connection
        assert connection is not None
        agent_socket = connection.sock
        connection.timeout = timeouts.first_byte_s
        self._connection_reused = connection.request_count > 0
        try:
            connection.request(
                request.method,
                request.path,
                body=body,
                headers=request_headers,
                preload_content=False,
                decode_content=False,
            )
            self._response = connection.getresponse()
            agent_socket.settimeout(timeouts.idle_s)
        except runner_connection.EXCHANGE_ERRORS as error:
            raise AttemptRefused(
                refusal_lib.RunState.UNKNOWN, type(error).__name__
            ) from error
        self.status = self._response.status
        self.content_type = self._response.headers.get(
            "Content-Type", "application/octet-stream"
        )
        self._check_identity(dispatch)
        if request.is_completion and self.status in UNAVAILABLE_STATUSES:
            raise AttemptRefused(
                refusal_lib.RunState.UNKNOWN, f"engine answered {self.status}"
            )

    def _connect(self, *, force_new: bool) -> None:
        try:
            self._connection = self._pool.acquire(
                self._address, force_new=force_new
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise AttemptRefused(
                refusal_lib.RunState.NOT_RUN, type(error).__name__
            ) from error
        with self._lock:
            self._socket = self._connection.sock
            cancelled = self._cancelled
        if cancelled:
            raise AttemptRefused(refusal_lib.RunState.NOT_RUN, "cancelled")

    def _check_identity(self, dispatch: events.Dispatch) -> None:
        """Raise AttemptRefused unless the answer names this attempt."""
        assert self._response is not None
        answered_id = self._response.headers.get(headers.REQUEST_ID)
        answered_attempt = self._response.headers.get(headers.ATTEMPT)
        if (answered_id, answered_attempt) == (
            dispatch.request_id,
            str(dispatch.attempt),
        ):
            return
        run = refusal_lib.RunState.UNKNOWN
        # Agents add this header to the upstream's answers, so an answer
        # without it is a refusal by the agent itself.
        if answered_id is None and self._refuses(dispatch):
            run = self._read_refusal()
        by_agent = run is refusal_lib.RunState.NOT_RUN and self.status != 502
        raise AttemptRefused(
            run, f"agent answered {self.status}", by_agent=by_agent
        )

    def _refuses(self, dispatch: events.Dispatch) -> bool:
        """Return whether a refusal is certainly that of this attempt."""
        assert self._response is not None
        refused = self._response.headers.get(headers.REFUSED)
        if refused is None:
            # Older agents name no attempt. The refusal may then be a late
            # one, of an earlier attempt on the connection.
            return not self._connection_reused
        return refused == headers.attempt_key(
            dispatch.request_id, dispatch.attempt
        )

    def _read_refusal(self) -> refusal_lib.RunState:
        try:
            data = b""
            for chunk in self._chunks():
                data += chunk
                if len(data) > MAX_REFUSAL_BYTES:
                    return refusal_lib.RunState.UNKNOWN
            run = msgspec.json.decode(data, type=RefusalBody).run
        except (AnswerBroken, msgspec.DecodeError):
            return refusal_lib.RunState.UNKNOWN
        self._return_connection()
        return run
