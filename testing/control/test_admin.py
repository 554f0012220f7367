"""Tests of the forwarding of operators' requests to the leader."""

from collections.abc import Iterator
import hashlib

import pytest
from support import stuttering_server
import urllib3

from wisteriawall.control import admin
from wisteriawall.control import events
from wisteriawall.web import server as server_lib
from wisteriawall.wire import control_messages

WAIT_S = 20.0
TOKEN = "secret"


class FollowerShell:
    """Shell of a replica that knows the leader."""

    def call(self, _: object) -> events.Reply:
        """Name the leader."""
        return control_messages.NotLeader("c2")


class Forwarding:
    """A replica that forwards to a leader on raw sockets."""

    def __init__(self) -> None:
        """Start both."""
        self.leader = stuttering_server.StutteringServer(
            lambda request: stuttering_server.answer_bytes(
                b"result of " + request.body,
                f"ETag: {request.headers['idempotency-key']}",
            )
        )
        self._server = server_lib.HttpServer(
            address="127.0.0.1:0",
            app=admin.AdminApp(
                shell=FollowerShell(),  # type: ignore[arg-type]
                address_by_replica={"c2": self.leader.address},
                operator_by_token_digest={
                    hashlib.sha256(TOKEN.encode()).hexdigest(): "o"
                },
            ),
            threads=2,
        )
        self._server.start()

    def patch(self, patch_id: str) -> urllib3.BaseHTTPResponse:
        """Send a patch to the follower."""
        return urllib3.request(
            "PATCH",
            f"http://{self._server.address}/v1/config",
            headers={
                "Authorization": f"Bearer {TOKEN}",
                "If-Match": '"1"',
                "Idempotency-Key": patch_id,
            },
            body=b'{"capacity_pieces":1}',
            retries=False,
            timeout=WAIT_S,
        )

    def close(self) -> None:
        """Stop both."""
        self._server.stop(response_timeout_s=0.1)
        self.leader.close()


@pytest.fixture
def forwarding() -> Iterator[Forwarding]:
    """Yield a replica that forwards."""
    forwarding = Forwarding()
    yield forwarding
    forwarding.close()


@pytest.mark.parametrize(
    "late_answer",
    [
        pytest.param(None, id="whole-answer"),
        pytest.param(
            stuttering_server.answer_bytes(b"{}", status="412 Stale"),
            id="late-refusal",
        ),
    ],
)
def test_late_answer_is_not_the_result_of_the_next_patch(
    forwarding: Forwarding, late_answer: bytes | None
) -> None:
    forwarding.leader.stutter = lambda previous: (
        previous and (late_answer or previous)
    )
    answers = [forwarding.patch(patch_id) for patch_id in ("a", "b", "c")]
    assert [(answer.status, answer.headers["ETag"]) for answer in answers] == [
        (200, "a"),
        (200, "b"),
        (200, "c"),
    ]


@pytest.mark.parametrize(
    "answer_bytes",
    [
        pytest.param(b"HTTP/1.1 OK 200\r\n\r\n", id="bad-status-line"),
        pytest.param(
            stuttering_server.answer_bytes(b"{", length=99), id="half-a-body"
        ),
        pytest.param(
            stuttering_server.answer_bytes(
                b"no gzip", "Content-Encoding: gzip"
            ),
            id="bad-gzip",
        ),
        pytest.param(b"HTTP/1.1 103 Hints\r\n\r\n", id="interim-alone"),
    ],
)
def test_malformed_answer_of_the_leader_is_an_unknown_outcome(
    forwarding: Forwarding, answer_bytes: bytes
) -> None:
    forwarding.leader.respond = lambda _: answer_bytes
    forwarding.leader.closes_after_answer = True
    answer = forwarding.patch("a")
    assert answer.status == 503
    assert answer.json()["run"] == "unknown"


def test_interim_answer_of_the_leader_is_not_its_result(
    forwarding: Forwarding,
) -> None:
    forwarding.leader.respond = lambda _: (
        b"HTTP/1.1 103 Hints\r\nETag: interim\r\n\r\n"
        + stuttering_server.answer_bytes(b"{}", "ETag: a")
    )
    answer = forwarding.patch("a")
    assert (answer.status, answer.headers["ETag"]) == (200, "a")
    assert answer.json() == {}
