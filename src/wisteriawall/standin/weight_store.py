"""Stand-in weight store with one send rate for all readers together."""

import threading
import time
from typing import final

from wisteriawall.web import server as server_lib

__all__ = ["SharedRate", "StandInWeightStore"]

CHUNK_BYTES = 65_536


@final
class SharedRate:
    """Limit on the total send rate of concurrent readers.

    Args:
        bytes_per_s: Bytes per second, summed over all readers.
    """

    def __init__(self, *, bytes_per_s: int) -> None:
        self._bytes_per_s = bytes_per_s
        self._lock = threading.Lock()
        self._free_at_s = 0.0

    def reserve(self, chunk_bytes: int, *, now_s: float) -> float:
        """Reserve `size` bytes; return the seconds to wait before sending."""
        with self._lock:
            self._free_at_s = max(self._free_at_s, now_s)
            self._free_at_s += chunk_bytes / self._bytes_per_s
            return self._free_at_s - now_s


@final
class StandInWeightStore:
    """HTTP server of the weight store.

    Every request is answered with the same number of zero bytes. `fetches`
    counts the requests.

    Args:
        address: Host and port to listen on; port 0 selects a free one.
        weights_bytes: Size of the weights of each model.
        bytes_per_s: Bytes per second, summed over all readers.
    """

    def __init__(
        self, *, address: str, weights_bytes: int, bytes_per_s: int
    ) -> None:
        self._weights_bytes = weights_bytes
        self._rate = SharedRate(bytes_per_s=bytes_per_s)
        self._lock = threading.Lock()
        self.fetches = 0
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
        with self._lock:
            self.fetches += 1
        start_response(
            "200 OK",
            [
                ("Content-Type", "application/octet-stream"),
                ("Content-Length", str(self._weights_bytes)),
            ],
        )
        return self._chunks()

    def _chunks(self) -> server_lib.Response:
        remaining_bytes = self._weights_bytes
        while remaining_bytes > 0:
            chunk_bytes = min(remaining_bytes, CHUNK_BYTES)
            time.sleep(self._rate.reserve(chunk_bytes, now_s=time.monotonic()))
            yield bytes(chunk_bytes)
            remaining_bytes -= chunk_bytes
