"""One attempt over HTTP: send it to an agent and read the answer back."""

from collections.abc import Iterator
from typing import final

import msgspec
import urllib3

from wisteriawall import errors
from wisteriawall.entry import events
from wisteriawall.entry import parsing
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import headers

__all__ = ["AnswerBroken", "AttemptRefused", "Relay", "Upstream"]

ATTEMPT_TIMEOUT = urllib3.Timeout(connect=2.0, read=120.0)
CHUNK_BYTES = 65_536


@final
class AttemptRefused(errors.WisteriawallError):
    """The attempt ended before an answer began."""

    def __init__(self, run: refusal_lib.RunState, message: str) -> None:
        super().__init__(message)
        self.run = run


@final
class AnswerBroken(errors.WisteriawallError):
    """The answer stopped before its end, or was not this attempt's."""


@final
class RefusalBody(msgspec.Struct, frozen=True):
    """The field of a refusal's JSON that decides about a retry."""

    run: refusal_lib.RunState


@final
class Upstream:
    """An answer in progress; closing it early drops its connection."""

    def __init__(self, response: urllib3.BaseHTTPResponse) -> None:
        self._response = response
        self.status = response.status
        self.content_type = response.headers.get(
            "Content-Type", "application/octet-stream"
        )

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives.

        Raises:
            AnswerBroken: The body stopped before its end.
        """
        try:
            yield from self._response.stream(CHUNK_BYTES, decode_content=False)
        except urllib3.exceptions.HTTPError as error:
            raise AnswerBroken(type(error).__name__) from error
        self._response.release_conn()

    def close(self) -> None:
        """Drop the connection unless the whole body was read."""
        self._response.close()


@final
class Relay:
    """Send attempts to agents.

    Args:
        token: Secret that agents expect.
    """

    def __init__(self, *, token: str) -> None:
        self._token = token
        self._pool = urllib3.PoolManager(
            retries=False, num_pools=256, maxsize=256
        )

    def open(
        self, dispatch: events.Dispatch, request: parsing.CallerRequest
    ) -> Upstream:
        """Start one attempt and return its answer in progress.

        Raises:
            AttemptRefused: No answer began.
        """
        try:
            response = self._pool.request(
                request.method,
                f"http://{dispatch.address}{request.path}",
                body=request.body,
                headers=self._headers(dispatch, request),
                timeout=ATTEMPT_TIMEOUT,
                preload_content=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            raise AttemptRefused(
                refusal_lib.RunState.NOT_RUN, type(error).__name__
            ) from error
        except urllib3.exceptions.HTTPError as error:
            raise AttemptRefused(
                refusal_lib.RunState.UNKNOWN, type(error).__name__
            ) from error
        _check_identity(response, dispatch)
        return Upstream(response)

    def _headers(
        self, dispatch: events.Dispatch, request: parsing.CallerRequest
    ) -> dict[str, str]:
        named = {
            headers.REQUEST: dispatch.request_id,
            headers.ATTEMPT: str(dispatch.attempt),
            headers.NUMBER: str(dispatch.config_number),
            headers.CLAIM: str(dispatch.claim_id),
            headers.TOKEN: self._token,
            "Content-Type": request.content_type,
        }
        if request.key:
            named["Idempotency-Key"] = request.key
        return named


def _check_identity(
    response: urllib3.BaseHTTPResponse, dispatch: events.Dispatch
) -> None:
    """Accept only an answer to exactly this attempt."""
    answered = response.headers.get(headers.REQUEST)
    attempt = response.headers.get(headers.ATTEMPT)
    expected = (dispatch.request_id, str(dispatch.attempt))
    if (answered, attempt) == expected:
        return
    data = response.read() if answered is None else b""
    response.close()
    try:
        run = msgspec.json.decode(data, type=RefusalBody).run
    except msgspec.DecodeError:
        run = refusal_lib.RunState.UNKNOWN
    raise AttemptRefused(run, f"agent answered {response.status}")
