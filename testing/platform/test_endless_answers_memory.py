"""Whether one runner whose answers don't end takes what others need."""

from concurrent import futures
import threading

import pytest
from support import platform_site as sites

from wisteriawall.gateway import answer_memory
from wisteriawall.gateway import run

CALLERS = 24


@pytest.fixture
def mixed_site(site: sites.Site) -> sites.Site:
    """Return a site whose service `shop` has a runner without end."""
    endless = site.add_runner("i-endless", "shop")
    endless.behavior = "endless-body"
    site.start_serving()
    sites.wait_until(
        lambda: "i-endless" in site.gateway.upstream_by_id, "the runner"
    )
    return site


def test_answers_without_end_share_the_memory_of_one_runner(
    mixed_site: sites.Site,
) -> None:
    """Each worker held up to 4 MiB of such an answer, twice."""
    memory = mixed_site.memory
    share_bytes = round(memory.max_bytes * answer_memory.RUNNER_SHARE)
    peak_bytes = 0
    ended = threading.Event()

    def watch() -> None:
        nonlocal peak_bytes
        while not ended.wait(0.001):
            peak_bytes = max(peak_bytes, memory.usage.held_bytes)

    watching = threading.Thread(target=watch)
    watching.start()
    with futures.ThreadPoolExecutor(CALLERS) as pool:
        statuses = {
            answer.status
            for answer in pool.map(
                lambda number: mixed_site.call("/pay/", attempt=f"a{number}"),
                range(CALLERS),
            )
        }
    ended.set()
    watching.join()
    assert statuses <= {502, 503}
    assert memory.usage.held_bytes == 0
    small_bytes = CALLERS * 64 * 1024
    # What the answers hold is counted.
    assert peak_bytes >= run.MAX_BUFFERED_BYTES // 2
    assert peak_bytes <= share_bytes + run.MAX_BUFFERED_BYTES + small_bytes
