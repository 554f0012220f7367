"""Reader of the platform's list of live and leaving VMs."""

from collections.abc import Callable
import logging
import threading
from typing import TypeAlias
from typing import final

import msgspec

from wisteriawall.control import membership
from wisteriawall.wire import http_call

__all__ = ["VmListReader", "parse"]

_LOG = logging.getLogger("control")

POLL_INTERVAL_S = 1.0
TIMEOUT_S = 2.0

VmStateByName: TypeAlias = dict[str, membership.VmState]


@final
class _ListedVm(msgspec.Struct, frozen=True):
    vm: str
    state: membership.VmState


def parse(body: bytes) -> VmStateByName:
    """Return the state of each listed VM.

    Raises:
        msgspec.DecodeError: The body is not `[{"vm": ..., "state": ...}]`.
    """
    listed = msgspec.json.decode(body, type=list[_ListedVm])
    return {entry.vm: entry.state for entry in listed}


@final
class VmListReader:
    """Polls the list every second in a thread; a failed read is skipped.

    Args:
        url: Address of the list.
        deliver: Called with each list that was read.
    """

    def __init__(
        self, *, url: str, deliver: Callable[[VmStateByName], None]
    ) -> None:
        self._url = url
        self._deliver = deliver
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="vm-list", daemon=True
        )

    def start(self) -> None:
        """Start polling."""
        self._thread.start()

    def stop(self) -> None:
        """Stop polling; wait for a pending read up to its timeout."""
        self._stopping.set()
        self._thread.join(timeout=TIMEOUT_S)

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._deliver(self._read())
            except Exception as error:
                # Nothing but this thread would read the list again.
                _LOG.warning(
                    "control: reading the VM list failed, retrying: %r", error
                )
            self._stopping.wait(POLL_INTERVAL_S)

    def _read(self) -> VmStateByName:
        response = http_call.call("GET", self._url, timeout_s=TIMEOUT_S)
        if response.status != 200:
            raise http_call.CallFailed(f"HTTP {response.status}")
        return parse(response.body)
