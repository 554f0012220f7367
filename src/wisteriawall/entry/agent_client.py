"""Client of the agents: sends attempts over pooled connections."""

from typing import final

from wisteriawall.entry import attempt as attempt_lib
from wisteriawall.entry import events
from wisteriawall.entry import parsing
from wisteriawall.web import connection_pool
from wisteriawall.wire import headers

__all__ = ["AgentClient"]


@final
class AgentClient:
    """Sends attempts to all agents; shared by the threads of an entry.

    Args:
        token: Secret by which agents authenticate an entry.
        timeouts: Timeouts of one attempt.
    """

    def __init__(
        self, *, token: str, timeouts: attempt_lib.AttemptTimeouts
    ) -> None:
        self._token = token
        self._timeouts = timeouts
        self._pool = connection_pool.ConnectionPool()

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
        """Send the request and read the status and headers of its answer.

        Raises:
            AttemptRefused: No answer began.
        """
        attempt.open(
            dispatch,
            request,
            request_headers=self._headers(dispatch, request),
            body=body,
            timeouts=self._timeouts,
        )

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    def _headers(
        self, dispatch: events.Dispatch, request: parsing.CallerRequest
    ) -> dict[str, str]:
        header_by_name = {
            headers.REQUEST_ID: dispatch.request_id,
            headers.ATTEMPT: str(dispatch.attempt),
            headers.CONFIG_NUMBER: str(dispatch.config_number),
            headers.CLAIM_ID: str(dispatch.claim_id),
            headers.TOKEN: self._token,
            "Content-Type": request.content_type,
        }
        if request.key:
            header_by_name["Idempotency-Key"] = request.key
        return header_by_name
