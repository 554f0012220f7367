"""Send attempts to agents over shared connections."""

from typing import final

from wisteriawall.entry import attempt as attempt_lib
from wisteriawall.entry import events
from wisteriawall.entry import parsing
from wisteriawall.web import connections
from wisteriawall.wire import headers

__all__ = ["Relay"]


@final
class Relay:
    """Send attempts to agents.

    Args:
        token: Secret that agents expect.
        timeouts: Longest waits of one attempt.
    """

    def __init__(self, *, token: str, timeouts: attempt_lib.Timeouts) -> None:
        self._token = token
        self._timeouts = timeouts
        self._pool = connections.ConnectionPool()

    def new_attempt(self) -> attempt_lib.Attempt:
        """Return an attempt that can be cancelled before it is opened."""
        return attempt_lib.Attempt(self._pool)

    def open(
        self,
        attempt: attempt_lib.Attempt,
        dispatch: events.Dispatch,
        request: parsing.CallerRequest,
        body: bytes,
    ) -> None:
        """Send the request and read the head of its answer.

        Raises:
            AttemptRefused: No answer began.
        """
        attempt.open(
            dispatch,
            request,
            named=self._headers(dispatch, request),
            body=body,
            timeouts=self._timeouts,
        )

    def close(self) -> None:
        """Drop idle connections."""
        self._pool.close()

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
