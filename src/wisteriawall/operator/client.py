"""HTTP client of the operators' interface, with errors that scripts can use."""

from collections.abc import Iterator
from collections.abc import Mapping
from typing import TypeVar
from typing import final
from urllib import parse

import msgspec
import urllib3

from wisteriawall import errors

__all__ = ["Answer", "OperatorClient", "Refused", "Unavailable"]

TIMEOUT_S = 10.0
ATTEMPTS = 3

AnswerT = TypeVar("AnswerT")


class Refused(errors.WisteriawallError):
    """The cluster refused a request."""


@final
class Conflict(Refused):
    """The request conflicts with the agreed state: read it and decide anew."""

    exit_code = errors.ExitCode.CONFLICT


@final
class Invalid(Refused):
    """The request or its token must be corrected."""

    exit_code = errors.ExitCode.USAGE


@final
class Unavailable(errors.WisteriawallError):
    """No replica answered; a write may have been carried out."""

    exit_code = errors.ExitCode.UNAVAILABLE


@final
class Answer(msgspec.Struct, frozen=True):
    """A successful answer: its body, and who holds a patched number."""

    body: bytes
    holding: str = ""

    def decode(self, wanted: type[AnswerT]) -> AnswerT:
        """Return the typed body."""
        return msgspec.json.decode(self.body, type=wanted)


@final
class _ErrorDetail(msgspec.Struct, frozen=True):
    code: str
    message: str


@final
class _ErrorBody(msgspec.Struct, frozen=True):
    error: _ErrorDetail


@final
class OperatorClient:
    """Call the first control replica that answers.

    Args:
        addresses: Operators' addresses of replicas, `HOST:PORT` each.
        token: Bearer token of the operator.
    """

    def __init__(self, *, addresses: tuple[str, ...], token: str) -> None:
        self._addresses = addresses
        self._token = token
        self._pool = urllib3.PoolManager(retries=False)

    def call(
        self,
        method: str,
        path: str,
        *,
        query: Mapping[str, object] | None = None,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
    ) -> Answer:
        """Return the answer of one replica.

        Every request may be repeated: a patch carries its id, and the others
        change nothing the second time.

        Raises:
            Refused: The cluster refused; the exit code says how.
            Unavailable: No replica answered.
        """
        fault = "no address"
        for address in self._attempts():
            url = f"http://{address}{path}"
            if query:
                url += "?" + parse.urlencode(query)
            try:
                response = self._request(method, url, body, headers or {})
            except urllib3.exceptions.HTTPError as error:
                fault = f"{address}: {error}"
                continue
            if response.status == 503:
                fault = f"{address}: {_message(response.data)}"
                continue
            return _answer(response)
        raise Unavailable(f"no control replica answered; last {fault}")

    def _attempts(self) -> Iterator[str]:
        for _ in range(ATTEMPTS):
            yield from self._addresses

    def _request(
        self, method: str, url: str, body: bytes, headers: Mapping[str, str]
    ) -> urllib3.BaseHTTPResponse:
        return self._pool.request(
            method,
            url,
            body=body,
            headers={"Authorization": f"Bearer {self._token}", **headers},
            timeout=TIMEOUT_S,
        )


def _answer(response: urllib3.BaseHTTPResponse) -> Answer:
    if response.status == 200:
        holding = response.headers.get("Wisteriawall-Processes", "")
        return Answer(response.data, holding)
    message = _message(response.data)
    if response.status in (409, 412):
        raise Conflict(message)
    if response.status < 500:
        raise Invalid(message)
    raise Refused(f"HTTP {response.status}: {message}")


def _message(body: bytes) -> str:
    try:
        error = msgspec.json.decode(body, type=_ErrorBody).error
    except msgspec.DecodeError:
        return body.decode(errors="replace")[:200]
    return f"{error.code}: {error.message}"
