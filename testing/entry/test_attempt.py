"""Tests of one attempt with an agent on raw sockets."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

import pytest
from support import early_server
from support import status_lines
from support import stuttering_server

from wisteriawall.entry import attempt as attempt_lib
from wisteriawall.entry import events
from wisteriawall.entry import parsing
from wisteriawall.web import connection_pool
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import headers

REQUEST = parsing.CallerRequest(
    account="a",
    service="s",
    method="POST",
    path="/x",
    content_type="text/plain",
    body=b"",
    key="",
    digest="",
    prefill_tokens=0,
    decode_tokens=0,
    prefix_hashes=(),
    is_completion=False,
    stream=False,
    assembled=False,
)
REFUSAL = refusal_lib.Refusal(
    status=503, code=refusal_lib.Code.DRAINING, message="no"
)
NOT_RUN = (refusal_lib.RunState.NOT_RUN, True)
UNKNOWN = (refusal_lib.RunState.UNKNOWN, False)


def refusal_bytes(refused: str | None) -> bytes:
    """Return a refusal of `refused`; with None, one of an older agent."""
    head = [] if refused is None else [f"{headers.REFUSED}: {refused}"]
    return stuttering_server.answer_bytes(
        refusal_lib.encode_json(REFUSAL), *head, status="503 Busy"
    )


def _answer(request: stuttering_server.Request) -> bytes:
    names = (headers.REQUEST_ID, headers.ATTEMPT)
    return stuttering_server.answer_bytes(
        b"answer to " + request.body,
        *(f"{name}: {request.headers[name.lower()]}" for name in names),
    )


class EntrySide:
    """Opens attempts at one agent over pooled connections."""

    def __init__(self) -> None:
        """Start the agent."""
        self.agent = stuttering_server.StutteringServer(_answer)
        self.address = self.agent.address
        self._pool = connection_pool.ConnectionPool()

    def send(
        self, request_id: str, *, attempt: int = 1, body: bytes = b""
    ) -> bytes | tuple[refusal_lib.RunState, bool]:
        """Return the answer, or the run state and origin of a refusal."""
        dispatch = events.Dispatch(
            request_id=request_id,
            attempt=attempt,
            runner="r",
            address=self.address,
            config_number=1,
            claim_id=0,
            delay_ms=0,
        )
        with contextlib.closing(attempt_lib.Attempt(self._pool)) as sent:
            try:
                sent.open(
                    dispatch,
                    REQUEST,
                    request_headers={
                        headers.REQUEST_ID: request_id,
                        headers.ATTEMPT: str(attempt),
                    },
                    body=body or request_id.encode(),
                    timeouts=attempt_lib.AttemptTimeouts(),
                )
                return b"".join(sent.body())
            except attempt_lib.AttemptRefused as refused:
                return refused.run, refused.by_agent

    def close(self) -> None:
        """Stop the agent."""
        self._pool.close()
        self.agent.close()


@pytest.fixture
def entry() -> Iterator[EntrySide]:
    """Yield the entry's side of an agent."""
    entry = EntrySide()
    yield entry
    entry.close()


@pytest.mark.parametrize(
    "stutter",
    [
        pytest.param(lambda previous: previous, id="whole-answer"),
        pytest.param(lambda previous: 2 * previous, id="whole-answer-twice"),
        pytest.param(lambda _: refusal_bytes(None), id="refusal-without-id"),
        pytest.param(lambda _: refusal_bytes("q0/1"), id="earlier-refusal"),
        pytest.param(lambda previous: previous[9:], id="part-of-an-answer"),
        pytest.param(lambda _: b"HTTP/1.1 OK 200\r\n\r\n", id="malformed"),
    ],
)
def test_late_answer_never_means_that_the_next_attempt_did_not_run(
    entry: EntrySide, stutter: Callable[[bytes], bytes]
) -> None:
    entry.agent.stutter = lambda previous: previous and stutter(previous)
    assert entry.send("q0") == b"answer to q0"
    assert entry.send("q1") == UNKNOWN
    assert entry.send("q2") == b"answer to q2"
    assert [request.position for request in entry.agent.received] == [1, 2, 1]


def test_late_answer_to_an_earlier_attempt_is_not_taken_for_the_next(
    entry: EntrySide,
) -> None:
    entry.agent.stutter = lambda previous: previous
    assert entry.send("q0") == b"answer to q0"
    assert entry.send("q0", attempt=2) == UNKNOWN


def test_interim_response_of_an_agent_is_skipped(entry: EntrySide) -> None:
    entry.agent.stutter = lambda _: b"HTTP/1.1 102 Processing\r\n\r\n"
    assert entry.send("q0") == b"answer to q0"
    assert entry.send("q1") == b"answer to q1"


@pytest.mark.parametrize(
    ("refused", "on_new", "on_kept"),
    [
        pytest.param("q1/2", NOT_RUN, NOT_RUN, id="this-attempt"),
        pytest.param("q1/1", UNKNOWN, UNKNOWN, id="another-attempt"),
        pytest.param("q0/2", UNKNOWN, UNKNOWN, id="another-request"),
        pytest.param(None, NOT_RUN, UNKNOWN, id="older-agent"),
    ],
)
def test_refusal_is_believed_only_if_it_refuses_this_attempt(
    entry: EntrySide, refused: str | None, on_new: object, on_kept: object
) -> None:
    entry.agent.respond = lambda _: refusal_bytes(refused)
    assert entry.send("q1", attempt=2) == on_new
    entry.agent.respond = _answer
    assert entry.send("q0") == b"answer to q0"
    entry.agent.respond = lambda _: refusal_bytes(refused)
    assert entry.send("q1", attempt=2) == on_kept
    assert entry.agent.received[-1].position > 1


@pytest.mark.parametrize(
    "answer_bytes",
    [
        pytest.param(b"\x16\x03\x01\x00*\x02\x00\x00\r\n", id="binary"),
        pytest.param(b"HTTP/1.1 OK 200\r\n\r\n", id="bad-status-line"),
        pytest.param(b"HTTP/1.1 200 OK\r\n" + 101 * b"a: b\r\n", id="headers"),
        pytest.param(b"HTTP/1.1 " + 70_000 * b"2" + b"\r\n", id="long-line"),
        pytest.param(
            refusal_bytes("q1/1").replace(b"503 Busy", b"200 OK")[:-3],
            id="half-a-refusal",
        ),
    ],
)
def test_malformed_answer_is_an_unknown_outcome(
    entry: EntrySide, answer_bytes: bytes
) -> None:
    entry.agent.respond = lambda _: answer_bytes
    entry.agent.closes_after_answer = True
    assert entry.send("q1") == UNKNOWN


@pytest.mark.parametrize("line", status_lines.MALFORMED)
def test_malformed_status_line_of_an_agent_is_an_unknown_outcome(
    entry: EntrySide, line: bytes
) -> None:
    """An answer passed as a 200, and a refusal as a promise."""
    for whole in (
        lambda request: _answer(request),
        lambda _: refusal_bytes("q1/1"),
    ):
        entry.agent.respond = lambda request, whole=whole: (
            line + b"\r\n" + whole(request).split(b"\r\n", 1)[1]
        )
        assert entry.send("q1") == UNKNOWN


@pytest.mark.parametrize(
    "end",
    [early_server.End.END_AND_RESET, early_server.End.RESET],
    ids=["end-and-reset", "reset"],
)
def test_answer_whose_request_was_not_taken_is_broken(
    entry: EntrySide, end: early_server.End
) -> None:
    """A part of an answer without a length would look whole."""
    agent = early_server.EarlyServer()
    agent.answer = b"HTTP/1.1 200 OK\r\n\r\npart"
    agent.echoes = (headers.REQUEST_ID, headers.ATTEMPT)
    agent.end = end
    entry.address = agent.address
    with contextlib.suppress(attempt_lib.AnswerBroken):
        assert entry.send("q1", body=200_000 * b"x") == UNKNOWN
    agent.close()
