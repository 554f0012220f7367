"""Test of answers that wait for memory when the stop of a gateway ends."""

from concurrent import futures
import threading
from typing import Any

import pytest
from support import platform_site as sites

from wisteriawall.gateway import answer_memory
from wisteriawall.gateway import shell as gateway_shell

# From the end of the time for answers to the cut.
CUT_DELAY_MS = 5_000


def test_request_without_room_for_its_answer_is_answered_at_a_stop(
    site: sites.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its connection is reset at the cut, since nothing ends the wait."""
    reserve_ms = CUT_DELAY_MS + 700
    monkeypatch.setattr(gateway_shell, "EXIT_RESERVE_MS", reserve_ms)
    site.gateway._grace_ms = reserve_ms + sites.UNREADY_MS
    waits = threading.Event()

    def has_no_room(
        _: Any, buffer: answer_memory.AnswerBuffer, size: int
    ) -> bool:
        del size
        # Its deadline is not what ends the wait.
        buffer.until_ms += 60_000
        waits.set()
        return False

    monkeypatch.setattr(answer_memory.AnswerMemory, "_try_reserve", has_no_room)
    site.add_runner("i-1", "shop")
    site.start_serving()
    sites.wait_until(lambda: "i-1" in site.gateway.upstream_by_id, "the runner")
    with futures.ThreadPoolExecutor() as pool:
        call = pool.submit(
            site.call, "/read/", attempt="a1", deadline_ms=60_000
        )
        assert waits.wait(sites.WAIT_S)
        site.stopped = True
        stopping = threading.Thread(target=site.gateway.stop, daemon=True)
        stopping.start()
        assert call.result().status == 502
        stopping.join(3 * sites.WAIT_S)
