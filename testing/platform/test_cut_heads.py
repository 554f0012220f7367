"""Tests with runners that send the start of an earlier answer before an answer.

Where the start is cut within its head, the two heads make one.
"""

from concurrent import futures

import pytest
from support import platform_site as sites

NOT_EXECUTED = b"X-Wisteriawall-Not-Executed: 1"
SEAL = sites.SEAL.encode()
CUT_HEADS = [
    pytest.param(b"HTTP/1.1 503 Busy\r\n" + NOT_EXECUTED, id="rejection"),
    pytest.param(b"HTTP/1.1 503 Service Un", id="reason-of-503"),
    pytest.param(b"HTTP/1.1 500 Internal Ser", id="reason-of-500"),
    pytest.param(b"HTTP/1.1 404 Not Fo", id="reason-of-404"),
    pytest.param(b"HTTP/1.1 500 Error\r\nDate: Fri", id="value-of-500"),
    pytest.param(b"HTTP/1.1 200 OK\r\n" + SEAL + b": seal-ol", id="seal"),
    pytest.param(
        b"HTTP/1.1 200 OK\r\n" + SEAL + b": seal-old\r\n", id="whole-lines"
    ),
]


@pytest.mark.parametrize("start", CUT_HEADS)
def test_cut_head_does_not_decide_about_a_payment(
    site: sites.Site, start: bytes
) -> None:
    shops = [site.add_runner(name, "shop") for name in ("i-1", "i-2")]
    site.start_serving()
    site.call("/pay/", attempt="a1")
    for shop in shops:
        shop.stutter = lambda previous: previous and start
    answer = site.call("/pay/", attempt="a2", body=b"a2", deadline_ms=1_500)
    sites.wait_until(
        lambda: any(shop.runs_by_attempt["a2"] for shop in shops), "the run"
    )
    assert sum(shop.runs_by_attempt["a2"] for shop in shops) == 1
    assert answer.status in (200, 502)
    if answer.status == 200:
        assert answer.headers[sites.SEAL] in ("seal-i-1", "seal-i-2")


@pytest.mark.parametrize("length", [45, 79, 83, 86])
def test_start_of_the_previous_answer_does_not_hold_a_request(
    site: sites.Site, length: int
) -> None:
    """The answer was skipped as that of the other request."""
    site.add_runner("i-1", "shop").stutter = lambda previous: previous[:length]
    site.start_serving()
    site.call("/pay/", attempt="a1")
    answer = site.call("/pay/", attempt="a2", deadline_ms=2_500)
    # 504 is the deadline.
    assert answer.status == 502


def test_lookup_that_was_answered_is_not_lost_in_a_stop(
    site: sites.Site,
) -> None:
    runner = site.add_runner("i-1", "shop")
    site.start_serving()
    site.call("/read/", attempt="a1")
    runner.stutter = lambda previous: previous[:79]
    with futures.ThreadPoolExecutor() as pool:
        answer = pool.submit(
            site.call, "/read/", attempt="a2", deadline_ms=8_000
        )
        sites.wait_until(
            lambda: runner.runs_by_attempt["a2"] > 0, "the first run"
        )
        site.stopped = True
        site.gateway.stop()
        assert answer.result().status in (200, 502, 503)
