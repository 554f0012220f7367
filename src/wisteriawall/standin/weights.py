"""Stand-in weight store: sends model weights at one shared rate."""

import threading
import time
from typing import final

from wisteriawall.web import server as server_lib

__all__ = ["SharedRate", "StandInWeights"]

CHUNK_BYTES = 65_536


@final
class SharedRate:
    """Rate that readers share.

    Args:
        bytes_per_s: Bytes that all readers together get in a second.
    """

    def __init__(self, *, bytes_per_s: int) -> None:
        self._bytes_per_s = bytes_per_s
        self._lock = threading.Lock()
        self._free_at_s = 0.0

    def reserve(self, size: int, *, now_s: float) -> float:
        """Return the seconds to wait before sending `size` bytes."""
        with self._lock:
            self._free_at_s = max(self._free_at_s, now_s)
            self._free_at_s += size / self._bytes_per_s
            return self._free_at_s - now_s


@final
class StandInWeights:
    """Serve `GET /weights/<name>` to any number of readers.

    Args:
        address: Host and port; port 0 takes a free one.
        weights_bytes: Size of one model's weights.
        bytes_per_s: Rate shared by all readers.
    """

    def __init__(
        self, *, address: str, weights_bytes: int, bytes_per_s: int
    ) -> None:
        self._weights_bytes = weights_bytes
        self._rate = SharedRate(bytes_per_s=bytes_per_s)
        self._lock = threading.Lock()
        self.fetches = 0
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
        left = self._weights_bytes
        while left > 0:
            size = min(left, CHUNK_BYTES)
            time.sleep(self._rate.reserve(size, now_s=time.monotonic()))
            yield bytes(size)
            left -= size
