"""Stand-in plain service that counts the runs of each idempotency key."""

from collections import Counter
import threading
import time
from typing import final

import msgspec

from wisteriawall.web import server as server_lib

__all__ = ["StandInPlainService"]


@final
class StandInPlainService:
    """HTTP server of one plain upstream.

    A POST counts as one run of its `Idempotency-Key`, and a GET runs nothing.
    Both answer with the number of runs of that key.

    Args:
        address: Host and port to listen on; port 0 selects a free one.
        runs_by_key: Run counts, shared by the upstreams of one service; None
            counts for this upstream alone.
        answer_delay_s: Delay in seconds between a run and its answer.
    """

    def __init__(
        self,
        *,
        address: str,
        runs_by_key: Counter[str] | None = None,
        answer_delay_s: float = 0.0,
    ) -> None:
        self._answer_delay_s = answer_delay_s
        self.runs_by_key = Counter() if runs_by_key is None else runs_by_key
        self._lock = threading.Lock()
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
        body = server_lib.read_body(environ)
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        if environ["REQUEST_METHOD"] == "POST":
            with self._lock:
                self.runs_by_key[key] += 1
            time.sleep(self._answer_delay_s)
        answer = msgspec.json.encode(
            {
                "path": environ["PATH_INFO"],
                "bytes": len(body),
                "runs": self.runs_by_key[key],
            }
        )
        return server_lib.send_response(start_response, status=200, body=answer)
