"""Calls of one entry to control about non-repeatable requests."""

from collections import deque
from collections.abc import Callable
import logging
import time
from typing import final

from wisteriawall.entry import events
from wisteriawall.wire import control_client
from wisteriawall.wire import control_messages

__all__ = ["ClaimCalls"]

_LOG = logging.getLogger("entry")

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
        self._unsettled: deque[events.Settle] = deque(maxlen=MAX_UNSETTLED)

    @property
    def unsettled(self) -> int:
        """Return how many outcomes control has not confirmed."""
        return len(self._unsettled)

    def ask(self, ask: events.AskClaim) -> None:
        """Ask for a claim and submit the outcome as an event."""
        message = control_messages.ClaimRequest(
            ask.account,
            ask.service,
            ask.key,
            ask.digest,
            ask.request_id,
            self._name,
            self._incarnation,
        )
        try:
            reply = self._control.call(message)
        except control_client.ControlUnavailable:
            reply = None
        if isinstance(reply, control_messages.ClaimReply):
            self._submit(events.ClaimDecided(ask.request_id, reply, _now_ms()))
        else:
            self._submit(events.ClaimFailed(ask.request_id, _now_ms()))

    def settle(self, settle: events.Settle) -> None:
        """Record an outcome; keep it for later if control is away."""
        for _ in range(SETTLE_TRIES):
            if self._settle_once(settle):
                return
        _LOG.warning("claim %d not settled yet", settle.claim_id)
        self._unsettled.append(settle)

    def settle_rest(self) -> None:
        """Try once more to record what control has not confirmed."""
        for _ in range(len(self._unsettled)):
            settle = self._unsettled.popleft()
            if not self._settle_once(settle):
                self._unsettled.append(settle)
                return

    def _settle_once(self, settle: events.Settle) -> bool:
        message = control_messages.SettleRequest(
            settle.claim_id, settle.request_id, settle.released, settle.answer
        )
        try:
            reply = self._control.call(message)
        except control_client.ControlUnavailable:
            return False
        return isinstance(reply, control_messages.SettleReply)


def _now_ms() -> int:
    return time.monotonic_ns() // 1_000_000
