"""Exchange with control about the software versions that began streams."""

from collections import OrderedDict
import logging
import threading
from typing import final

from wisteriawall.gateway import events
from wisteriawall.wire import control_client
from wisteriawall.wire import gateway_messages

__all__ = ["OriginKeeper"]

_LOG = logging.getLogger("gateway")

# Streams that begin in this time are reported together. Every gateway adds to
# it, so that the leader gets a bounded number of reports.
BATCH_DELAY_S = 0.01
BATCH_DELAY_PER_GATEWAY_S = 0.001
RETRY_DELAY_S = 0.1
MAX_PENDING = 2_000
# A longer id is none that was kept.
MAX_ATTEMPT_ID_LENGTH = 256
# Callers are refused rather than kept waiting.
TIMEOUT_MS = 300
CLOSE_TIMEOUT_S = 0.5


@final
class OriginKeeper:
    """Reports streams to control, and asks it for those of other gateways.

    Args:
        control: Client of its own, with the timeout `TIMEOUT_MS`.
    """

    def __init__(self, *, control: control_client.ControlClient) -> None:
        self._control = control
        self._lock = threading.Lock()
        self._origin_by_attempt: OrderedDict[
            str, gateway_messages.StreamOrigin
        ] = OrderedDict()
        self._has_pending = threading.Event()
        self._closing = threading.Event()
        self._gateway_count = 1
        self._thread = threading.Thread(
            target=self._send_batches, name="keep-origins", daemon=True
        )

    def start(self) -> None:
        """Start the thread that reports streams."""
        self._thread.start()

    def close(self) -> None:
        """Stop reporting; streams that were not reported are dropped."""
        self._closing.set()
        self._has_pending.set()
        self._control.close()
        if self._thread.is_alive():
            self._thread.join(timeout=CLOSE_TIMEOUT_S)

    def set_control(
        self, rpc_address_by_replica: dict[str, str], gateway_count: int
    ) -> None:
        """Use these replicas, and share control with that many gateways."""
        self._gateway_count = gateway_count
        if rpc_address_by_replica:
            self._control.set_replicas(rpc_address_by_replica)

    def keep(self, effect: events.KeepOrigin) -> None:
        """Queue a stream to report; the oldest ones are dropped if too many."""
        with self._lock:
            self._origin_by_attempt[effect.attempt_id] = effect.origin
            while len(self._origin_by_attempt) > MAX_PENDING:
                self._origin_by_attempt.popitem(last=False)
        self._has_pending.set()

    def find(
        self, effect: events.FindOrigin
    ) -> gateway_messages.StreamFound | None:
        """Return what control knows of a stream, None if it can't be asked."""
        request = gateway_messages.FindStreamRequest(
            effect.attempt_id[:MAX_ATTEMPT_ID_LENGTH], effect.service
        )
        try:
            reply = self._control.call(request)
        except control_client.ControlUnavailable as error:
            _LOG.warning("gateway: no answer about a stream: %s", error)
            return None
        except Exception:
            # The request still needs an answer.
            _LOG.exception("gateway: asking about a stream failed")
            return None
        if not isinstance(reply, gateway_messages.StreamFound):
            return None
        return reply

    def _send_batches(self) -> None:
        while not self._closing.is_set():
            self._has_pending.wait()
            self._closing.wait(
                BATCH_DELAY_S + BATCH_DELAY_PER_GATEWAY_S * self._gateway_count
            )
            self._has_pending.clear()
            with self._lock:
                batch, self._origin_by_attempt = (
                    self._origin_by_attempt,
                    OrderedDict(),
                )
            if batch and not self._closing.is_set():
                try:
                    self._send(batch)
                except Exception:
                    # Nothing but this thread would report streams.
                    _LOG.exception("gateway: reporting streams failed")

    def _send(
        self, batch: OrderedDict[str, gateway_messages.StreamOrigin]
    ) -> None:
        """Report streams; they are queued again if control does not answer."""
        try:
            self._control.call(
                gateway_messages.RecordStreamsRequest(dict(batch))
            )
        except control_client.ControlUnavailable as error:
            _LOG.warning(
                "gateway: %d streams not reported, retrying: %s",
                len(batch),
                error,
            )
            with self._lock:
                batch.update(self._origin_by_attempt)
                self._origin_by_attempt = batch
                while len(batch) > MAX_PENDING:
                    batch.popitem(last=False)
            self._closing.wait(RETRY_DELAY_S)
            self._has_pending.set()
