"""Calls of one entry to control about non-repeatable requests."""

from collections import deque
from collections.abc import Callable
import logging
import time
from typing import final

from wisteriawall import clock
from wisteriawall.entry import events
from wisteriawall.wire import control_client
from wisteriawall.wire import control_messages

__all__ = ["ClaimCalls"]

_LOG = logging.getLogger("entry")

ASK_PAUSE_S = 0.1
SETTLE_TRIES = 2
MAX_UNSETTLED = 10_000


@final
class ClaimCalls:
    """Ask for claims and settle them, again later where control is away.

    Args:
        name: Name of this entry.
        incarnation: Incarnation of this entry.
        control: Client of the control replicas.
        submit: Reduces an event.
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
        self._unsettled: deque[events.Settle | events.AskClaim] = deque(
            maxlen=MAX_UNSETTLED
        )

    @property
    def unsettled(self) -> int:
        """Return how many outcomes control has not confirmed."""
        return len(self._unsettled)

    def ask(self, ask: events.AskClaim) -> None:
        """Ask for a claim and submit the outcome as an event."""
        message = self._claim_request(ask)
        reply = self._call(message)
        if isinstance(reply, control_messages.ClaimReply):
            self._submit(
                events.ClaimDecided(ask.request_id, reply, clock.monotonic_ms())
            )
            return
        time.sleep(ASK_PAUSE_S)
        self._submit(events.ClaimFailed(ask.request_id, clock.monotonic_ms()))

    def settle(self, settle: events.Settle) -> None:
        """Record an outcome; keep it for later if control is away."""
        for _ in range(SETTLE_TRIES):
            if self._settle_once(settle):
                return
        _LOG.warning("entry: claim %d not settled yet", settle.claim_id)
        self._unsettled.append(settle)

    def return_later(self, ask: events.AskClaim) -> None:
        """Release a claim once it is known whether it was recorded."""
        self._unsettled.append(ask)

    def settle_rest(self) -> None:
        """Try once more to record what control has not confirmed."""
        for _ in range(len(self._unsettled)):
            rest = self._unsettled.popleft()
            if isinstance(rest, events.Settle):
                done = self._settle_once(rest)
            else:
                done = self._return_once(rest)
            if not done:
                self._unsettled.append(rest)
                return

    def _return_once(self, ask: events.AskClaim) -> bool:
        # The same request id is granted its own claim again, so that the
        # answer tells which claim to release.
        reply = self._call(self._claim_request(ask))
        if not isinstance(reply, control_messages.ClaimReply):
            return False
        if reply.verdict is not control_messages.ClaimVerdict.GRANTED:
            return True
        return self._settle_once(
            events.Settle(ask.request_id, reply.claim_id, True, None)
        )

    def _settle_once(self, settle: events.Settle) -> bool:
        message = control_messages.SettleRequest(
            settle.claim_id, settle.request_id, settle.released, settle.answer
        )
        reply = self._call(message)
        return isinstance(reply, control_messages.SettleReply)

    def _claim_request(
        self, ask: events.AskClaim
    ) -> control_messages.ClaimRequest:
        return control_messages.ClaimRequest(
            ask.account,
            ask.service,
            ask.key,
            ask.digest,
            ask.request_id,
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
