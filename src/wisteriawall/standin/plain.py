"""Stand-in plain service that counts how often each key ran."""

from collections import Counter
import threading
import time
from typing import final

import msgspec

from wisteriawall.web import server as server_lib

__all__ = ["StandInPlain"]


@final
class StandInPlain:
    """Serve one plain upstream: POST runs a key, GET reads the counts.

    Args:
        address: Host and port; port 0 takes a free one.
        runs_by_key: Counts shared by upstreams of one service.
        answer_s: Seconds between a run and its answer.
    """

    def __init__(
        self,
        *,
        address: str,
        runs_by_key: Counter[str] | None = None,
        answer_s: float = 0.0,
    ) -> None:
        self._answer_s = answer_s
        self.runs_by_key = Counter() if runs_by_key is None else runs_by_key
        self._lock = threading.Lock()
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
        body = server_lib.read_body(environ)
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        if environ["REQUEST_METHOD"] == "POST":
            with self._lock:
                self.runs_by_key[key] += 1
            time.sleep(self._answer_s)
        answer = msgspec.json.encode(
            {
                "path": environ["PATH_INFO"],
                "bytes": len(body),
                "runs": self.runs_by_key[key],
            }
        )
        return server_lib.respond(start_response, status=200, body=answer)
