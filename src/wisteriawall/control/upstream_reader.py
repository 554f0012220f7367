"""Reader of the platform's list of runners, active on the leader only."""

from collections.abc import Callable
import logging
import threading
from typing import Protocol
from typing import final

import msgspec

from wisteriawall import errors
from wisteriawall.wire import gateway_messages

__all__ = ["ListUnreadable", "UpstreamReader"]

_LOG = logging.getLogger("control")

# Every gateway must receive the state of a draining runner within its drain
# deadline of a few seconds. Reads are not more frequent because each one is
# charged for.
READ_INTERVAL_S = 1.0
LEADERSHIP_CHECK_INTERVAL_S = 0.1


@final
class ListUnreadable(errors.WisteriawallError):
    """The list of runners could not be read completely."""


class Leader(Protocol):
    """The members of this replica's shell that the reader uses."""

    @property
    def is_leader(self) -> bool:
        """Whether this replica holds the leader's lease now."""

    def accept_upstreams(
        self, upstreams: list[gateway_messages.Upstream]
    ) -> None:
        """Accept a list that was read."""


@final
class UpstreamReader:
    """Polls the list in a thread while this replica is the leader.

    A failed read is logged and otherwise ignored, as is a list that can't be
    sent to gateways.

    Args:
        leader: Replica that receives the lists.
        read: Returns the complete list, or raises `ListUnreadable`.
    """

    def __init__(
        self,
        *,
        leader: Leader,
        read: Callable[[], list[gateway_messages.Upstream]],
    ) -> None:
        self._leader = leader
        self._read = read
        self._stopping = threading.Event()
        self._is_readable = True
        self._thread = threading.Thread(
            target=self._run, name="upstreams", daemon=True
        )

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def stop(self) -> None:
        """Signal the thread to end, without waiting for it."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            if not self._leader.is_leader:
                self._stopping.wait(LEADERSHIP_CHECK_INTERVAL_S)
                continue
            self._read_once()
            self._stopping.wait(READ_INTERVAL_S)

    def _read_once(self) -> None:
        try:
            upstreams = self._read()
            # A list that can't be sent would stop all answers to gateways.
            msgspec.msgpack.encode(upstreams)
        except Exception as error:
            # Nothing but this thread would read the list again.
            if self._is_readable:
                _LOG.warning(
                    "control: reading the list of runners failed, retrying: %s",
                    error,
                    exc_info=not isinstance(error, ListUnreadable),
                )
            self._is_readable = False
            return
        if not self._is_readable:
            _LOG.info("control: the list of runners can be read again")
        self._is_readable = True
        self._leader.accept_upstreams(upstreams)
