"""HTTP calls that each use a connection of their own.

On a connection with more than one request, a late second response to one of
them could be taken for the response to the next. It is the simplest protection
against that for calls that are rare, or whose servers name no request in their
responses.
"""

from collections.abc import Mapping
import dataclasses
import http.client
from typing import final

import urllib3

from wisteriawall import errors

__all__ = ["CallFailed", "Response", "call"]

FIRST_FINAL_STATUS = 200


@final
class CallFailed(errors.WisteriawallError):
    """No complete response arrived; the request may have been carried out."""


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Response:
    """A complete response; names in `headers` are case-insensitive."""

    status: int
    headers: Mapping[str, str]
    body: bytes


def call(
    method: str,
    url: str,
    *,
    timeout_s: float,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
) -> Response:
    """Send a request and return its complete response.

    A redirect is returned, not followed.

    Args:
        method: HTTP method.
        url: URL with scheme, host, path and query.
        timeout_s: Longest time to connect, and again to wait for each part of
            the response.
        body: Request body.
        headers: Further request headers.

    Raises:
        CallFailed: The connection failed, or the response is incomplete,
            malformed or interim.
    """
    try:
        with urllib3.PoolManager(retries=False, maxsize=1) as pool:
            response = pool.request(
                method,
                url,
                body=body,
                headers=headers,
                timeout=timeout_s,
                redirect=False,
            )
            data = response.data
    except (
        urllib3.exceptions.HTTPError,
        http.client.HTTPException,
        OSError,
        ValueError,
    ) as error:
        raise CallFailed(f"{type(error).__name__}: {error}") from error
    if response.status < FIRST_FINAL_STATUS:
        raise CallFailed(f"got only the interim status {response.status}")
    return Response(status=response.status, headers=response.headers, body=data)
