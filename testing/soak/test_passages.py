"""When an answer counts as passed on by the proxy."""

import math
import socket
import time

import pytest

from soak import passages as passages_lib
from soak import proxy as proxy_lib
from soak import records
from soak import runners

REQUEST = (
    b"GET /read/1 HTTP/1.1\r\nX-Wisteriawall-Attempt-Id: %s\r\n"
    b"X-Wisteriawall-Expect-Instance: another\r\n\r\n"
)
WAIT_S = 15.0


def _arrival() -> records.Arrival:
    return records.Arrival(
        attempt="a1",
        runner="i-r1-1",
        place="r1",
        stage="",
        service="shop",
        method="GET",
        target="/read/1",
        header_by_name={},
        body=b"",
        at_s=0.0,
    )


def test_answer_is_passed_on_with_its_last_byte() -> None:
    """What follows on the connection doesn't move that moment."""
    passage, first, second = passages_lib.Passage(), _arrival(), _arrival()
    passage.expect(first, 100)
    passage.pass_on(99)
    assert first.passed_s == math.inf
    passage.pass_on(51)
    passed_s = first.passed_s
    passage.expect(second, 200)
    passage.pass_on(49)
    assert (first.passed_s, second.passed_s) == (passed_s, math.inf)
    assert first.is_passed
    assert not second.is_passed
    assert passed_s < math.inf


def test_proxy_may_be_faster_than_the_record_of_the_runner() -> None:
    passage, arrival = passages_lib.Passage(), _arrival()
    passage.pass_on(100)
    passage.expect(arrival, 100)
    assert arrival.passed_s is not None
    assert 0 < arrival.passed_s < math.inf


def test_gateway_that_closes_waits_for_nothing_more() -> None:
    passage, first, second = passages_lib.Passage(), _arrival(), _arrival()
    passage.expect(first, 100)
    passage.close()
    closed_s = first.passed_s
    passage.close()
    passage.expect(second, 200)
    assert closed_s is not None
    assert second.passed_s == closed_s < math.inf
    assert not first.is_passed


def test_connection_without_a_proxy_has_no_passage() -> None:
    passages = passages_lib.Passages()
    passage = passages.add(1, 2)
    assert passages.get(1, 2) is passage
    assert passages.get(2, 1) is None


@pytest.mark.parametrize("is_cut", [False, True])
def test_proxy_tells_which_answers_it_passed_on(*, is_cut: bool) -> None:
    seen = records.Records()
    proxy = proxy_lib.Proxy(seen=seen)
    runner = runners.StandInRunner(
        name="r1",
        service="shop",
        stage="",
        seed=1,
        late_share=0.0,
        seen=seen,
        handles=runners.HandleStore(),
        passages=proxy.passages,
    )
    address = proxy.add(runner.address)
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=WAIT_S) as gateway:
        gateway.sendall(REQUEST % b"a1")
        assert gateway.recv(100).startswith(b"HTTP/1.1 421")
        _wait_for_passage(seen, 0, is_passed=True)
        if is_cut:
            what = proxy_lib.Disturbance.CUT_ANSWERS
            proxy.disturb(address, "r1", what, 3_600.0)
        gateway.sendall(REQUEST % b"a2")
        _wait_for_passage(seen, 1, is_passed=not is_cut)
    # The gateway has closed.
    _wait_for_passage(seen, 1, is_passed=True)
    runner.close()
    proxy.close()


def _wait_for_passage(
    seen: records.Records, index: int, *, is_passed: bool
) -> None:
    deadline_s = time.monotonic() + WAIT_S
    while True:
        passed_s = seen.arrivals[index : index + 1] and (
            seen.arrivals[index].passed_s
        )
        if passed_s and math.isfinite(passed_s) == is_passed:
            return
        assert time.monotonic() < deadline_s
        time.sleep(0.01)
