"""Tests of the agent's proxy with an upstream on raw sockets."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import itertools
import queue

import msgspec
import pytest
from support import early_server
from support import status_lines
from support import stuttering_server
import urllib3

from wisteriawall.agent import events
from wisteriawall.agent import proxy as proxy_lib
from wisteriawall.observability import metrics
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.web import server as server_lib
from wisteriawall.wire import headers

WAIT_S = 20.0
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </s.css>\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class ProxyHarness:
    """A proxy that admits every attempt, and its upstream."""

    def __init__(self, upstream_address: str = "") -> None:
        """Start the upstream and the proxy, which may use another upstream."""
        self.echoes_id = False
        self.refusal: refusal_lib.Refusal | None = None
        self.ended: queue.SimpleQueue[events.AttemptEnded] = queue.SimpleQueue()
        self.upstream = stuttering_server.StutteringServer(self._answer)
        self.proxy = proxy_lib.UpstreamProxy(
            upstream=upstream_address or self.upstream.address,
            token="token",
            submit=self._submit,
            metrics=metrics.NullMetrics(),
        )
        self._server = server_lib.HttpServer(
            address="127.0.0.1:0", app=self.proxy, threads=4
        )
        self._server.start()
        self._numbers = itertools.count()

    def close(self) -> None:
        """Stop both."""
        self._server.stop(response_timeout_s=0.1)
        self.upstream.close()

    def send(
        self, body: bytes, *, path: str = "/x", **changed: str
    ) -> urllib3.BaseHTTPResponse:
        """Send one attempt and return its answer.

        `changed` replaces or adds headers.
        """
        return urllib3.request(
            "POST",
            f"http://{self._server.address}{path}",
            headers={
                headers.TOKEN: "token",
                headers.REQUEST_ID: f"q{next(self._numbers)}",
                headers.ATTEMPT: "1",
                headers.CONFIG_NUMBER: "1",
                **changed,
            },
            body=body,
            retries=False,
            timeout=WAIT_S,
        )

    def _answer(self, request: stuttering_server.Request) -> bytes:
        head = []
        if self.echoes_id:
            for name in (headers.REQUEST_ID, headers.ATTEMPT):
                head.append(f"{name}: {request.headers[name.lower()]}")
        return stuttering_server.answer_bytes(
            b"answer to " + request.body, *head
        )

    def _submit(self, event: events.Event) -> list[events.Effect]:
        match event:
            case events.AttemptArrived() if self.refusal:
                return [events.Reject(event.request_id, self.refusal)]
            case events.AttemptArrived():
                return [events.Admit(event.request_id)]
            case events.AttemptEnded():
                self.ended.put(event)
        return []


@pytest.fixture
def harness() -> Iterator[ProxyHarness]:
    """Yield a serving proxy."""
    harness = ProxyHarness()
    yield harness
    harness.close()


@pytest.mark.parametrize("echoes_id", [True, False], ids=["id", "no-id"])
@pytest.mark.parametrize(
    "stutter",
    [
        pytest.param(lambda previous: previous, id="whole-answer"),
        pytest.param(lambda previous: 2 * previous, id="whole-answer-twice"),
        pytest.param(
            lambda _: stuttering_server.answer_bytes(
                b"late", status="503 Busy"
            ),
            id="late-refusal",
        ),
        pytest.param(lambda previous: previous[9:], id="part-of-an-answer"),
        pytest.param(lambda _: b"HTTP/1.1 OK 200\r\n\r\n", id="malformed"),
        pytest.param(lambda _: INTERIM, id="interim"),
    ],
)
def test_late_answer_does_not_reach_the_next_attempt(
    harness: ProxyHarness, echoes_id: bool, stutter: Callable[[bytes], bytes]
) -> None:
    harness.echoes_id = echoes_id
    harness.upstream.stutter = lambda previous: previous and stutter(previous)
    bodies = [b"a", b"b", b"c", b"d"]
    answers = [harness.send(body) for body in bodies]
    assert [(answer.status, answer.data) for answer in answers] == [
        (200, b"answer to " + body) for body in bodies
    ]
    assert [request.body for request in harness.upstream.received] == bodies


def test_interim_answer_is_not_relayed(harness: ProxyHarness) -> None:
    harness.upstream.stutter = lambda _: INTERIM
    answer = harness.send(b"a")
    assert (answer.status, answer.data) == (200, b"answer to a")


def test_answer_that_names_another_attempt_is_not_relayed(
    harness: ProxyHarness,
) -> None:
    harness.echoes_id = True
    foreign = (f"{headers.REQUEST_ID}: other", f"{headers.ATTEMPT}: 1")
    harness.upstream.respond = lambda _: stuttering_server.answer_bytes(
        b"of another", *foreign
    )
    answer = harness.send(b"a")
    assert answer.status == 502
    assert msgspec.json.decode(answer.data)["run"] == "unknown"
    assert not harness.ended.get(timeout=WAIT_S).not_run
    assert answer.headers[headers.REFUSED] == "q0/1"


@pytest.mark.parametrize(
    "answer_bytes",
    [
        pytest.param(b"\x16\x03\x01\x00*\x02\x00\x00\r\n", id="binary"),
        pytest.param(b"HTTP/1.1 OK 200\r\n\r\n", id="bad-status-line"),
        pytest.param(b"HTTP/1.1 200 OK\r\n" + 101 * b"a: b\r\n", id="headers"),
        pytest.param(b"HTTP/1.1 " + 70_000 * b"2" + b"\r\n", id="long-line"),
        pytest.param(
            b"HTTP/1.1 200 OK\r\nContent-Length: 1, 2\r\n\r\nab",
            id="two-lengths",
        ),
    ],
)
def test_attempt_with_a_malformed_answer_ends_and_is_answered(
    harness: ProxyHarness, answer_bytes: bytes
) -> None:
    harness.upstream.respond = lambda _: answer_bytes
    harness.upstream.closes_after_answer = True
    answer = harness.send(b"a")
    assert answer.status == 502
    assert msgspec.json.decode(answer.data)["run"] == "unknown"
    assert not harness.ended.get(timeout=WAIT_S).not_run
    assert answer.headers[headers.REFUSED] == "q0/1"


@pytest.mark.parametrize("line", status_lines.MALFORMED)
def test_malformed_status_line_of_an_upstream_is_not_relayed(
    harness: ProxyHarness, line: bytes
) -> None:
    """`HTTP/1.1 2_00 OK` was relayed as a 200."""
    harness.upstream.respond = lambda _: (
        line + b"\r\nContent-Length: 1\r\n\r\na"
    )
    answer = harness.send(b"a")
    assert answer.status == 502
    assert msgspec.json.decode(answer.data)["run"] == "unknown"
    assert not harness.ended.get(timeout=WAIT_S).not_run


@pytest.mark.parametrize(
    ("changed", "status", "refused"),
    [
        pytest.param({}, 503, "q0/1", id="admission"),
        pytest.param({headers.TOKEN: "x"}, 401, "q0/1", id="token"),
        pytest.param({headers.CONFIG_NUMBER: "x"}, 400, "q0/1", id="headers"),
        pytest.param({headers.ATTEMPT: ""}, 400, "q0/", id="no-attempt"),
    ],
)
def test_refusal_names_the_attempt_and_no_answered_one(
    harness: ProxyHarness, changed: dict[str, str], status: int, refused: str
) -> None:
    harness.refusal = refusal_lib.Refusal(
        status=503, code=refusal_lib.Code.DRAINING, message="no"
    )
    answer = harness.send(b"a", **changed)
    assert answer.status == status
    assert msgspec.json.decode(answer.data)["run"] == "not_run"
    assert answer.headers[headers.REFUSED] == refused
    # An older entry takes an answer with this header for one of the upstream.
    assert headers.REQUEST_ID not in answer.headers
    assert harness.upstream.received == []


def test_refusal_to_connect_means_not_run(harness: ProxyHarness) -> None:
    harness.upstream.close()
    answer = harness.send(b"a")
    assert answer.status == 502
    assert msgspec.json.decode(answer.data)["run"] == "not_run"
    assert harness.ended.get(timeout=WAIT_S).not_run


@pytest.mark.parametrize(
    ("path", "target"),
    [
        pytest.param("/a%20b?c=%20d", "/a%20b?c=%20d", id="space"),
        pytest.param("/a//b?c", "/a//b?c", id="empty-segment"),
    ],
)
def test_upstream_gets_an_encoded_target(
    harness: ProxyHarness, path: str, target: str
) -> None:
    assert harness.send(b"a", path=path).status == 200
    assert harness.upstream.received[0].target == target


def test_redirect_with_a_malformed_location_is_relayed(
    harness: ProxyHarness,
) -> None:
    harness.upstream.respond = lambda _: stuttering_server.answer_bytes(
        b"moved", "Location: http://[", status="302 Found"
    )
    answer = harness.send(b"a")
    assert (answer.status, answer.data) == (302, b"moved")
    assert not harness.ended.get(timeout=WAIT_S).not_run


@pytest.mark.parametrize(
    "answer_bytes",
    [
        pytest.param(
            stuttering_server.answer_bytes(b"ab", length=3), id="half-a-body"
        ),
        pytest.param(CHUNKED + b"1\r\na\r\n", id="no-last-chunk"),
        pytest.param(CHUNKED + b"1\r\na\r\n" + INTERIM, id="head-as-chunk"),
    ],
)
def test_incomplete_body_ends_the_attempt_and_looks_incomplete(
    harness: ProxyHarness, answer_bytes: bytes
) -> None:
    harness.upstream.respond = lambda _: answer_bytes
    harness.upstream.closes_after_answer = True
    with pytest.raises(urllib3.exceptions.HTTPError):
        harness.send(b"a")
    assert not harness.ended.get(timeout=WAIT_S).not_run


@pytest.mark.parametrize(
    "answer_bytes",
    [
        pytest.param(
            stuttering_server.answer_bytes(b"", length=3), id="head-alone"
        ),
        pytest.param(CHUNKED + b"zz\r\n", id="bad-chunk"),
    ],
)
def test_body_that_breaks_before_its_first_byte_has_an_unknown_outcome(
    harness: ProxyHarness, answer_bytes: bytes
) -> None:
    harness.upstream.respond = lambda _: answer_bytes
    harness.upstream.closes_after_answer = True
    answer = harness.send(b"a")
    assert answer.status == 500
    assert msgspec.json.decode(answer.data)["run"] == "unknown"
    assert headers.REQUEST_ID not in answer.headers
    assert not harness.ended.get(timeout=WAIT_S).not_run


@pytest.mark.parametrize(
    "end",
    [early_server.End.END_AND_RESET, early_server.End.RESET],
    ids=["end-and-reset", "reset"],
)
def test_answer_whose_request_was_not_taken_looks_incomplete(
    end: early_server.End,
) -> None:
    upstream = early_server.EarlyServer()
    upstream.answer = b"HTTP/1.1 200 OK\r\n\r\npart"
    upstream.end = end
    harness = ProxyHarness(upstream.address)
    # An answer with the attempt's headers is one of the upstream.
    with contextlib.suppress(urllib3.exceptions.HTTPError):
        assert headers.REQUEST_ID not in harness.send(200_000 * b"x").headers
    assert not harness.ended.get(timeout=WAIT_S).not_run
    harness.close()
    upstream.close()


def test_answer_behind_the_first_is_not_relayed(harness: ProxyHarness) -> None:
    harness.upstream.respond = lambda request: (
        2 * stuttering_server.answer_bytes(request.body)
    )
    answers = [harness.send(body).data for body in (b"a", b"b", b"c")]
    assert answers == [b"a", b"b", b"c"]
