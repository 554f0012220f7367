"""Stand-in of the platform's VM list, whose changes show after a lag."""

import enum
import threading
import time
from typing import final

import msgspec

from wisteriawall.web import refusal as refusal_lib
from wisteriawall.web import server as server_lib

__all__ = ["DelayedList", "StandInVmList", "VmEntry", "VmState"]


@final
class VmState(enum.StrEnum):
    """Whether a VM stays, or is about to be removed."""

    LIVE = "live"
    LEAVING = "leaving"


@final
class VmEntry(msgspec.Struct, frozen=True):
    """Name and state of one VM, as the list's document has them."""

    vm: str
    state: VmState


@final
class DelayedList:
    """VM list whose readers see each change after a lag.

    Args:
        lag_s: Seconds between a change and its first visible read.
    """

    def __init__(self, *, lag_s: float) -> None:
        self._lag_s = lag_s
        self._lock = threading.Lock()
        self._changes: list[tuple[float, list[VmEntry]]] = [(0.0, [])]

    def set(self, entries: list[VmEntry], *, now_s: float) -> None:
        """Replace the list; readers see it `lag_s` after `now_s`."""
        with self._lock:
            self._changes.append((now_s + self._lag_s, entries))

    def read(self, *, now_s: float) -> list[VmEntry]:
        """Return the newest list that is at least `lag_s` old, empty if none.

        `now_s` must not decrease between calls.
        """
        with self._lock:
            while len(self._changes) > 1 and self._changes[1][0] <= now_s:
                del self._changes[0]
            return self._changes[0][1]


@final
class StandInVmList:
    """HTTP server of the VM list.

    A POST replaces the list. Each request is answered with the list that is
    visible after the lag.

    Args:
        address: Host and port to listen on; port 0 selects a free one.
        lag_s: Seconds between a change and its first visible read.
    """

    def __init__(self, *, address: str, lag_s: float) -> None:
        self._list = DelayedList(lag_s=lag_s)
        self._server = server_lib.HttpServer(address=address, app=self._serve)
        self.address = self._server.address

    def start(self) -> None:
        """Start the server in its own thread."""
        self._server.start()

    def stop(self) -> None:
        """Finish requests in progress and stop the server."""
        self._server.stop()

    def _serve(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        if environ["REQUEST_METHOD"] == "POST":
            try:
                entries = msgspec.json.decode(
                    server_lib.read_body(environ), type=list[VmEntry]
                )
            except msgspec.DecodeError as error:
                return server_lib.send_refusal(
                    start_response, _malformed_list(error)
                )
            self._list.set(entries, now_s=time.monotonic())
        current = self._list.read(now_s=time.monotonic())
        return server_lib.send_response(
            start_response, status=200, body=msgspec.json.encode(current)
        )


def _malformed_list(error: msgspec.DecodeError) -> refusal_lib.Refusal:
    return refusal_lib.Refusal(
        status=400,
        code=refusal_lib.Code.BAD_REQUEST,
        message=f"expected a list of VMs: {error}",
    )
