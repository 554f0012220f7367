"""Stand-in list of live and leaving VMs, which lags behind."""

import enum
import threading
import time
from typing import final

import msgspec

from wisteriawall.web import refusal as refusal_lib
from wisteriawall.web import server as server_lib

__all__ = ["LaggingList", "StandInVms", "VmEntry", "VmState"]


@final
class VmState(enum.StrEnum):
    """Whether a VM stays or leaves."""

    LIVE = "live"
    LEAVING = "leaving"


@final
class VmEntry(msgspec.Struct, frozen=True):
    """One VM of the list."""

    vm: str
    state: VmState


@final
class LaggingList:
    """List whose changes show only after a lag.

    Args:
        lag_s: Seconds before a change shows.
    """

    def __init__(self, *, lag_s: float) -> None:
        self._lag_s = lag_s
        self._lock = threading.Lock()
        self._changes: list[tuple[float, list[VmEntry]]] = [(0.0, [])]

    def set(self, entries: list[VmEntry], *, now_s: float) -> None:
        """Replace the list."""
        with self._lock:
            self._changes.append((now_s + self._lag_s, entries))

    def read(self, *, now_s: float) -> list[VmEntry]:
        """Return the newest list that the lag lets through."""
        with self._lock:
            while len(self._changes) > 1 and self._changes[1][0] <= now_s:
                del self._changes[0]
            return self._changes[0][1]


@final
class StandInVms:
    """Serve the list: GET reads it with its lag, POST changes it.

    Args:
        address: Host and port; port 0 takes a free one.
        lag_s: Seconds before a change shows.
    """

    def __init__(self, *, address: str, lag_s: float) -> None:
        self._list = LaggingList(lag_s=lag_s)
        self._http = server_lib.HttpServer(address=address, app=self._serve)
        self.address = self._http.address

    def start(self) -> None:
        """Start serving."""
        self._http.start()

    def stop(self) -> None:
        """Stop serving."""
        self._http.stop()

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
                return server_lib.refuse(start_response, _bad_list(error))
            self._list.set(entries, now_s=time.monotonic())
        listed = self._list.read(now_s=time.monotonic())
        return server_lib.respond(
            start_response, status=200, body=msgspec.json.encode(listed)
        )


def _bad_list(error: msgspec.DecodeError) -> refusal_lib.Refusal:
    return refusal_lib.Refusal(
        status=400,
        code=refusal_lib.Code.BAD_REQUEST,
        message=f"expected a list of VMs: {error}",
    )
