"""HTTP client of the operator API of the control replicas.

Each kind of failure is an exception with its own exit code, for scripts.
"""

from collections.abc import Iterator
from collections.abc import Mapping
from typing import TypeVar
from typing import final
from urllib import parse
import uuid

import msgspec

from wisteriawall import errors
from wisteriawall.wire import http_call

__all__ = ["OperatorClient", "OperatorResponse", "Refused", "Unavailable"]

TIMEOUT_S = 10.0
ATTEMPTS_PER_ADDRESS = 3

BodyT = TypeVar("BodyT")


class Refused(errors.WisteriawallError):
    """The cluster refused the request."""


@final
class Conflict(Refused):
    """The request conflicts with the current state, to be read again first."""

    exit_code = errors.ExitCode.CONFLICT


@final
class Invalid(Refused):
    """The request or its token is invalid and must be corrected."""

    exit_code = errors.ExitCode.USAGE


@final
class Unavailable(errors.WisteriawallError):
    """No replica gave a usable response; a write may have been carried out."""

    exit_code = errors.ExitCode.UNAVAILABLE


@final
class OperatorResponse(msgspec.Struct, frozen=True):
    """Successful response of a replica.

    `holding` tells how many processes have the configuration that a patch made,
    as `4 of 5`; it is empty for other requests.
    """

    body: bytes
    holding: str = ""

    def decode(self, body_type: type[BodyT]) -> BodyT:
        """Return the body, decoded from JSON as `body_type`.

        Raises:
            Unavailable: The body is of another form.
        """
        try:
            return msgspec.json.decode(self.body, type=body_type)
        except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
            raise Unavailable(f"malformed response: {error}") from error


@final
class _ErrorDetail(msgspec.Struct, frozen=True):
    code: str
    message: str


@final
class _ErrorBody(msgspec.Struct, frozen=True):
    error: _ErrorDetail


@final
class OperatorClient:
    """Client that calls the first control replica that answers.

    Args:
        addresses: Operator addresses of the replicas, `HOST:PORT` each.
        token: Bearer token of the operator.
    """

    def __init__(self, *, addresses: tuple[str, ...], token: str) -> None:
        self._addresses = addresses
        self._token = token

    def call(
        self,
        method: str,
        path: str,
        *,
        query: Mapping[str, object] | None = None,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> OperatorResponse:
        """Return the response of the first replica that answers.

        A request may reach several replicas, some of them late. Every copy of
        a write has the same `Idempotency-Key`, so that a patch or drain is
        carried out once; the others change nothing when they are repeated.

        Raises:
            Refused: The cluster refused the request.
            Unavailable: No replica answered, or each answered 503.
        """
        headers = dict(headers or {})
        if method != "GET":
            headers.setdefault("Idempotency-Key", uuid.uuid4().hex)
        last_error = "no address given"
        for address in self._addresses_to_try():
            url = f"http://{address}{path}"
            if query:
                url += "?" + parse.urlencode(query)
            try:
                response = self._request(method, url, body, headers)
            except http_call.CallFailed as error:
                last_error = f"{address}: {error}"
                continue
            if response.status == 503:
                last_error = f"{address}: {_error_message(response.body)}"
                continue
            return _parse_response(response)
        raise Unavailable(
            f"no control replica answered; last error: {last_error}"
        )

    def _addresses_to_try(self) -> Iterator[str]:
        for _ in range(ATTEMPTS_PER_ADDRESS):
            yield from self._addresses

    def _request(
        self, method: str, url: str, body: bytes, headers: Mapping[str, str]
    ) -> http_call.Response:
        return http_call.call(
            method,
            url,
            body=body,
            headers={"Authorization": f"Bearer {self._token}", **headers},
            timeout_s=TIMEOUT_S,
        )


def _parse_response(response: http_call.Response) -> OperatorResponse:
    if response.status == 200:
        holding = response.headers.get("Wisteriawall-Processes", "")
        return OperatorResponse(response.body, holding)
    message = _error_message(response.body)
    if response.status in (409, 412):
        raise Conflict(message)
    if response.status < 500:
        raise Invalid(message)
    raise Refused(f"HTTP {response.status}: {message}")


def _error_message(body: bytes) -> str:
    try:
        error = msgspec.json.decode(body, type=_ErrorBody).error
    except (msgspec.DecodeError, UnicodeError, RecursionError):
        return body.decode(errors="replace")[:200]
    return f"{error.code}: {error.message}"
