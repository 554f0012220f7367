"""Tests with a part of prompts that crashes every runner."""

import contextlib
import time
from typing import Any

from support import crashing_runner
from support import platform_site as sites

DEADLY = "dead"
MAX_CRASHES = 5
REQUESTS = 40
PAUSE_S = 0.15
PREFIX = "X-Wisteriawall-Prompt-Prefix"


class CrashingRunner(crashing_runner.CrashingRunner):
    """Crashes when it begins an answer on the deadly part.

    `deadly_arrivals` counts the requests with that part.
    """

    def __init__(self, name: str) -> None:
        """Listen on a free port."""
        self.deadly_arrivals = 0
        super().__init__(name, "model")
        self.behavior = "stream"

    def _run(
        self,
        connection: Any,
        headers_by_name: dict[str, str],
        head: str,
        body: bytes,
    ) -> bool:
        if DEADLY not in headers_by_name.get(PREFIX.lower(), ""):
            return super()._run(connection, headers_by_name, head, body)
        self.deadly_arrivals += 1
        connection.sendall(
            (
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                f"Transfer-Encoding: chunked\r\n{head}\r\n"
            ).encode()
        )
        self.crash()
        return False


def ask(site: sites.Site, attempt: str, parts: str) -> int:
    """Return the status of a request, 0 if its answer was cut off."""
    with contextlib.suppress(sites.urllib3.exceptions.HTTPError):
        return site.call(
            "/talk/",
            attempt=attempt,
            **{
                PREFIX: parts,
                "X-Wisteriawall-Model": "m",
                "X-Wisteriawall-Token-Counts": "20,4",
            },
        ).status
    return 0


def test_part_that_crashes_runners_is_blocked(site: sites.Site) -> None:
    """Requests with it crashed one runner after the other."""
    crashing = [CrashingRunner(f"i-{number}") for number in range(3)]
    site.runners += crashing
    site.start_serving()
    sites.wait_until(
        lambda: len(site.gateway.upstream_by_id) == len(crashing), "the runners"
    )
    assert ask(site, "first", "a1:10,b1:4") == 200
    for number in range(REQUESTS):
        ask(site, f"d{number}", f"a1:10,{DEADLY}:5,c{number}:3")
        time.sleep(PAUSE_S)
    assert sum(r.deadly_arrivals for r in crashing) <= MAX_CRASHES
    assert ask(site, "again", f"a1:10,{DEADLY}:5,e1:3") == 503
    # The runners are back, and sound requests share the other parts.
    time.sleep(2 * crashing_runner.RESTART_S)
    sound = [
        ask(site, f"s{number}", f"a1:10,f{number}:4") for number in range(5)
    ]
    assert sound == [200] * 5
