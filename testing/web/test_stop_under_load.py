"""Test of a server that stops while many requests arrive."""

from concurrent import futures
import threading
import time

from support import http_harness

from wisteriawall.web import server as server_lib

CALLERS = 12
BODY = b"b" * 300
REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 300\r\n\r\n" + BODY


def test_every_request_that_was_read_gets_a_response(
    harness: http_harness.Harness,
) -> None:
    """Those that had just been accepted were cut off without one."""
    ran: list[int] = []
    stopped = threading.Event()

    def app(
        environ: server_lib.Environ, start_response: server_lib.StartResponse
    ) -> server_lib.Response:
        body = server_lib.read_body(environ)
        time.sleep(0.01)
        ran.append(len(body))
        return server_lib.send_response(start_response, status=200, body=b"{}")

    server = harness.serve(app, threads=4)

    def call() -> list[str]:
        results = []
        while not stopped.is_set():
            try:
                caller = http_harness.Caller(server.address)
            except OSError:
                break
            with caller.socket:
                try:
                    caller.socket.sendall(REQUEST)
                    start = caller.socket.recv(13)
                    results.append(start.decode())
                except ConnectionError:
                    # Still in the kernel's queue when the listener closed.
                    results.append("unread")
        return results

    with futures.ThreadPoolExecutor(CALLERS) as pool:
        calls = [pool.submit(call) for _ in range(CALLERS)]
        time.sleep(0.5)
        server.stop(response_timeout_s=5.0)
        stopped.set()
        results = [result for each in calls for result in each.result()]
    counts = {result: results.count(result) for result in set(results)}
    assert counts.pop("HTTP/1.1 200 ") == len(ran)
    assert set(counts) <= {"HTTP/1.1 503 ", "unread"}
