"""Test of the time that a connection waits for a worker thread."""

import threading

from support import platform_site
import urllib3

from wisteriawall.web import server as server_lib

WAIT_S = 10.0


def test_the_wait_for_a_worker_thread_is_measured() -> None:
    release = threading.Event()
    waits_ms: list[int] = []

    def app(
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        server_lib.read_body(environ)
        waits_ms.append(server_lib.queued_ms(environ))
        release.wait(WAIT_S)
        return server_lib.send_response(start_response, status=200, body=b"")

    server = server_lib.HttpServer(address="127.0.0.1:0", app=app, threads=1)
    server.start()
    url = f"http://{server.address}/"
    callers = [
        threading.Thread(target=urllib3.request, args=("GET", url))
        for _ in range(2)
    ]
    for caller in callers:
        caller.start()
    platform_site.wait_until(
        lambda: server._server.requests.qsize == 1, "a queued connection"
    )
    threading.Event().wait(0.3)
    release.set()
    for caller in callers:
        caller.join(WAIT_S)
    server.stop()
    assert waits_ms[1] >= 250
