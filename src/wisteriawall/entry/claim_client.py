"""Calls of one entry to control about requests that run at most once."""

from collections import deque
from collections.abc import Callable
import logging
import time
from typing import final

from wisteriawall import clock
from wisteriawall.entry import events
from wisteriawall.wire import control_client
from wisteriawall.wire import control_messages

__all__ = ["ControlClaimClient"]

_LOG = logging.getLogger("entry")

CLAIM_RETRY_DELAY_S = 0.1
SETTLE_ATTEMPTS = 2
MAX_UNSETTLED = 10_000


@final
class ControlClaimClient:
    """Requests claims and settles them.

    Outcomes that control does not confirm are kept in memory and sent again
    by `retry_unsettled`.

    Args:
        name: Name of this entry.
        incarnation: Incarnation of this entry.
        control: Client of the control replicas.
        submit: Applies an event to the entry's state.
    """

    def __init__(
        self,
        *,
        name: str,
        incarnation: int,
        control: control_client.ControlClient,
        submit: Callable[[events.Event], None],
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._control = control
        self._submit = submit
        self._unsettled: deque[events.Settle | events.RequestClaim] = deque(
            maxlen=MAX_UNSETTLED
        )

    @property
    def unsettled_count(self) -> int:
        """Return the number of outcomes that control has not confirmed."""
        return len(self._unsettled)

    def request_claim(self, request: events.RequestClaim) -> None:
        """Request a claim and submit control's answer as an event.

        Without an answer it waits before it submits the failure, which limits
        the rate of the reducer's retries.
        """
        message = self._claim_message(request)
        reply = self._call(message)
        if isinstance(reply, control_messages.ClaimReply):
            self._submit(
                events.ClaimDecided(
                    request.request_id, reply, clock.monotonic_ms()
                )
            )
            return
        time.sleep(CLAIM_RETRY_DELAY_S)
        self._submit(
            events.ClaimFailed(request.request_id, clock.monotonic_ms())
        )

    def settle(self, settle: events.Settle) -> None:
        """Send an outcome to control; queue it for a retry if that fails."""
        for _ in range(SETTLE_ATTEMPTS):
            if self._try_settle(settle):
                return
        _LOG.warning(
            "entry: control did not confirm the outcome of claim %d, "
            "it will be sent again",
            settle.claim_id,
        )
        self._unsettled.append(settle)

    def release_later(self, request: events.RequestClaim) -> None:
        """Queue the release of a claim that may have been recorded."""
        self._unsettled.append(request)

    def retry_unsettled(self) -> None:
        """Send unconfirmed outcomes again, until one fails."""
        for _ in range(len(self._unsettled)):
            unsettled = self._unsettled.popleft()
            if isinstance(unsettled, events.Settle):
                done = self._try_settle(unsettled)
            else:
                done = self._try_release(unsettled)
            if not done:
                self._unsettled.append(unsettled)
                return

    def _try_release(self, request: events.RequestClaim) -> bool:
        # A request id whose claim was recorded is granted the same claim
        # again, so the answer holds the id of the claim to release.
        reply = self._call(self._claim_message(request))
        if not isinstance(reply, control_messages.ClaimReply):
            return False
        if reply.verdict is not control_messages.ClaimVerdict.GRANTED:
            return True
        return self._try_settle(
            events.Settle(request.request_id, reply.claim_id, True, None)
        )

    def _try_settle(self, settle: events.Settle) -> bool:
        message = control_messages.SettleRequest(
            settle.claim_id, settle.request_id, settle.released, settle.answer
        )
        reply = self._call(message)
        return isinstance(reply, control_messages.SettleReply)

    def _claim_message(
        self, request: events.RequestClaim
    ) -> control_messages.ClaimRequest:
        return control_messages.ClaimRequest(
            request.account,
            request.service,
            request.key,
            request.digest,
            request.request_id,
            self._name,
            self._incarnation,
        )

    def _call(
        self, message: control_messages.ControlRequest
    ) -> control_messages.ControlReply | None:
        try:
            return self._control.call(message)
        except control_client.ControlUnavailable:
            return None
