"""One attempt over HTTP: send it to an agent and read the answer back."""

from collections.abc import Iterator
import contextlib
import dataclasses
import socket
import threading
from typing import final

import msgspec
import urllib3
import urllib3.connection

from wisteriawall import errors
from wisteriawall.entry import events
from wisteriawall.entry import parsing
from wisteriawall.entry import sse
from wisteriawall.web import connections
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import headers

__all__ = ["AnswerBroken", "Attempt", "AttemptRefused", "Timeouts"]

CHUNK_BYTES = 65_536
MAX_REFUSAL_BYTES = 65_536
DRAIN_S = 1.0
GATEWAY_FAULTS = (502, 503, 504)


@final
class AttemptRefused(errors.WisteriawallError):
    """The attempt ended before an answer began.

    `by_agent` means that the agent itself refused it.
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
    """The answer stopped before its end, or was not this attempt's."""


@final
class RefusalBody(msgspec.Struct, frozen=True):
    """The field of a refusal's JSON that decides about a retry."""

    run: refusal_lib.RunState


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Timeouts:
    """Longest waits of one attempt.

    `first_byte_s` spans queueing and prefill; `idle_s` is the longest gap
    inside an answer.
    """

    first_byte_s: float = 120.0
    idle_s: float = 10.0


@final
class Attempt:
    """One attempt; `cancel` may come from any thread at any time."""

    def __init__(self, pool: connections.ConnectionPool) -> None:
        self._pool = pool
        self._lock = threading.Lock()
        self._socket: socket.socket | None = None
        self._connection: urllib3.connection.HTTPConnection | None = None
        self._response: urllib3.BaseHTTPResponse | None = None
        self._address = ""
        self._cancelled = False
        self.status = 0
        self.content_type = ""

    def cancel(self) -> None:
        """Break the connection, which wakes the thread that reads it."""
        with self._lock:
            self._cancelled = True
            if self._socket is not None:
                with contextlib.suppress(OSError):
                    self._socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Drop the connection unless the whole body was read."""
        with self._lock:
            self._socket = None
        if self._response is not None:
            self._response.close()
        if self._connection is not None:
            self._connection.close()

    @property
    def is_stream(self) -> bool:
        """Tell whether the answer is a stream of events."""
        return self.content_type.startswith("text/event-stream")

    def stream(self, request_id: str) -> Iterator[bytes]:
        """Yield whole events up to and with the end mark.

        Raises:
            AnswerBroken: The stream stopped, stalled or carried an event of
                another request before its end mark.
        """
        scanner = sse.EventScanner(request_id=request_id)
        try:
            for chunk in self._chunks():
                for event in scanner.feed(chunk):
                    yield event
                    if event == sse.END_MARK:
                        self._drain()
                        return
        except sse.ForeignEvent as error:
            raise AnswerBroken(str(error)) from error
        raise AnswerBroken("the stream ended without its end mark")

    def body(self) -> Iterator[bytes]:
        """Yield the whole body as it arrives.

        Raises:
            AnswerBroken: The body stopped before its end.
        """
        yield from self._chunks()
        self._release()

    def _chunks(self) -> Iterator[bytes]:
        assert self._response is not None
        try:
            yield from self._response.stream(CHUNK_BYTES, decode_content=False)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise AnswerBroken(type(error).__name__) from error

    def _drain(self) -> None:
        """Read past the end mark; a connection with more is not reused."""
        if self._socket is not None:
            self._socket.settimeout(DRAIN_S)
        with contextlib.suppress(AnswerBroken):
            if not any(self._chunks()):
                self._release()

    def _release(self) -> None:
        with self._lock:
            connection, self._connection = self._connection, None
            self._socket = None
        if connection is not None and not self._cancelled:
            self._pool.give_back(self._address, connection)

    def open(
        self,
        dispatch: events.Dispatch,
        request: parsing.CallerRequest,
        *,
        named: dict[str, str],
        body: bytes,
        timeouts: Timeouts,
    ) -> None:
        """Send the request and read the head of its answer.

        Args:
            dispatch: Which attempt this is, and where it goes.
            request: The caller's request.
            named: Headers to send.
            body: Body to send, which differs when an answer is resumed.
            timeouts: Longest waits.

        Raises:
            AttemptRefused: No answer began.
        """
        self._address = dispatch.address
        self._connect(fresh=bool(dispatch.claim_id))
        connection = self._connection
        assert connection is not None
        upstream = connection.sock
        connection.timeout = timeouts.first_byte_s
        try:
            connection.request(
                request.method,
                request.path,
                body=body,
                headers=named,
                preload_content=False,
                decode_content=False,
            )
            self._response = connection.getresponse()
            upstream.settimeout(timeouts.idle_s)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise AttemptRefused(
                refusal_lib.RunState.UNKNOWN, type(error).__name__
            ) from error
        self.status = self._response.status
        self.content_type = self._response.headers.get(
            "Content-Type", "application/octet-stream"
        )
        self._check_identity(dispatch)
        if request.is_completion and self.status in GATEWAY_FAULTS:
            raise AttemptRefused(
                refusal_lib.RunState.UNKNOWN, f"engine answered {self.status}"
            )

    def _connect(self, *, fresh: bool) -> None:
        try:
            self._connection = self._pool.take(self._address, fresh=fresh)
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
        """Accept only an answer to exactly this attempt."""
        assert self._response is not None
        answered = self._response.headers.get(headers.REQUEST)
        number = self._response.headers.get(headers.ATTEMPT)
        if (answered, number) == (dispatch.request_id, str(dispatch.attempt)):
            return
        run = refusal_lib.RunState.UNKNOWN
        if answered is None:
            # Agents mark relayed answers, so this refusal is the agent's own.
            run = self._read_refusal()
        by_agent = run is refusal_lib.RunState.NOT_RUN and self.status != 502
        raise AttemptRefused(
            run, f"agent answered {self.status}", by_agent=by_agent
        )

    def _read_refusal(self) -> refusal_lib.RunState:
        try:
            data = b"".join(self._chunks())
            run = msgspec.json.decode(data, type=RefusalBody).run
        except (AnswerBroken, msgspec.DecodeError):
            return refusal_lib.RunState.UNKNOWN
        self._release()
        return run
