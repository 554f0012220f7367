"""Read the platform's list of runners on the leader, for the whole fleet."""

from collections.abc import Callable
import logging
import threading
from typing import Protocol
from typing import final

from wisteriawall import errors
from wisteriawall.wire import site_messages

__all__ = ["ListUnreadable", "UpstreamReader"]

_LOG = logging.getLogger("control")

# A leaving runner must reach every gateway within a drain bound of seconds;
# each reading is priced.
READ_S = 1.0
CHECK_S = 0.1


@final
class ListUnreadable(errors.WisteriawallError):
    """The list could not be read in full."""


class Leader(Protocol):
    """What the reader needs to know of its replica."""

    @property
    def leads(self) -> bool:
        """Tell whether this replica leads now."""

    def take_upstreams(self, upstreams: list[site_messages.Upstream]) -> None:
        """Take a list that was read."""


@final
class UpstreamReader:
    """Poll the list while this replica leads; a failed read changes nothing.

    Args:
        leader: The replica.
        read: Returns the whole list.
    """

    def __init__(
        self,
        *,
        leader: Leader,
        read: Callable[[], list[site_messages.Upstream]],
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
        """Stop polling."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            if not self._leader.leads:
                self._stopping.wait(CHECK_S)
                continue
            self._read_once()
            self._stopping.wait(READ_S)

    def _read_once(self) -> None:
        try:
            upstreams = self._read()
        except ListUnreadable as error:
            if self._is_readable:
                _LOG.warning("control: list of runners lost: %s", error)
            self._is_readable = False
            return
        if not self._is_readable:
            _LOG.info("control: list of runners is back")
        self._is_readable = True
        self._leader.take_upstreams(upstreams)
