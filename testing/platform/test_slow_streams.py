"""Tests of streams that are slow but sound, and of streams that stall.

Other operators report that the former were cut and the latter never ended.
"""

import socket
import time

import pytest
from support import platform_site as sites
from support import raw_server
import urllib3

STALL_DEADLINE_MS = 1_500
# A stalled stream ends at its deadline, not at the next byte.
MAX_OVERRUN_S = 1.0
HEAD = (
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n%s: %s\r\n%s: s\r\n\r\n"
)


class DrippingEngine(raw_server.RawServer):
    """Engine that sends `pieces`, one each `pause_s`, as chunks."""

    def __init__(self, pieces: list[bytes], pause_s: float) -> None:
        """Listen on a free port."""
        self._pieces = pieces
        self._pause_s = pause_s
        super().__init__()

    def _serve(self, connection: socket.socket) -> None:
        reader = connection.makefile("rb")
        reader.readline()
        headers = sites._read_head(reader)
        attempt = headers[sites.ATTEMPT_ID.lower()]
        try:
            connection.sendall(
                (HEAD % (sites.ATTEMPT_ID, attempt, sites.SEAL)).encode()
            )
            for piece in self._pieces:
                connection.sendall(b"%x\r\n%s\r\n" % (len(piece), piece))
                time.sleep(self._pause_s)
            connection.sendall(b"0\r\n\r\n")
        except OSError:
            return


def serve(site: sites.Site, engine: DrippingEngine) -> None:
    """Wait until the site serves streams with the engine."""
    runner = site.add_runner("i-1", "model")
    runner.address = engine.address
    site.start_serving()
    sites.wait_until(lambda: "i-1" in site.gateway.upstream_by_id, "the runner")


def test_stream_of_rare_events_is_not_cut(site: sites.Site) -> None:
    events = [b"id: %d\ndata: t\n\n" % number for number in range(1, 7)]
    engine = DrippingEngine(events, 0.4)
    serve(site, engine)
    answer = site.call("/talk/", attempt="a1", deadline_ms=4_000)
    assert answer.data == b"".join(events)
    engine.close()


@pytest.mark.parametrize("path", ["/talk/", "/resume/"])
@pytest.mark.parametrize(
    "piece",
    [
        pytest.param(b":", id="a-comment-without-end"),
        pytest.param(b":\n\n", id="comments"),
    ],
)
def test_stalled_stream_ends_at_its_deadline(
    site: sites.Site, path: str, piece: bytes
) -> None:
    engine = DrippingEngine([b"id: 1\ndata: t\n\n", *([piece] * 200)], 0.1)
    serve(site, engine)
    begun_s = time.monotonic()
    with pytest.raises(urllib3.exceptions.HTTPError):
        site.call(path, attempt="a1", deadline_ms=STALL_DEADLINE_MS)
    took_s = time.monotonic() - begun_s
    assert took_s < STALL_DEADLINE_MS / 1_000 + MAX_OVERRUN_S
    engine.close()
