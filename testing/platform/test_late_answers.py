"""Tests with runners that send more than one answer on a connection."""

from collections.abc import Callable
from collections.abc import Iterator
import itertools

import pytest
from support import platform_site as sites
import urllib3

NOT_EXECUTED = b"X-Wisteriawall-Not-Executed: 1\r\n"
ID = sites.ATTEMPT_ID.encode()
KV_SOURCE = "x-wisteriawall-kv-cache-source"


def _answer(status: bytes, head: bytes = b"", body: bytes = b"late") -> bytes:
    return b"HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s" % (
        status,
        head,
        len(body),
        body,
    )


def _head_of(previous: bytes) -> bytes:
    return previous[: previous.find(b"\r\n\r\n") + 4]


# What a runner sends between a request and its answer, made from its previous
# answer on that connection.
IDENTIFIED = [
    pytest.param(lambda previous: previous, id="whole-answer"),
    pytest.param(lambda previous: 2 * previous, id="whole-answer-twice"),
    pytest.param(
        lambda _: _answer(b"503 Busy", NOT_EXECUTED + ID + b": old\r\n"),
        id="rejection",
    ),
    pytest.param(
        lambda _: _answer(b"500 Error", ID + b": old\r\n"), id="error"
    ),
    pytest.param(lambda _: b"HTTP/1.1 102 Processing\r\n\r\n", id="interim"),
    pytest.param(
        lambda _: b"HTTP/1.1 103 Hints\r\n" + ID + b": old\r\n\r\n",
        id="interim-with-an-id",
    ),
    pytest.param(
        lambda _: (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
            + ID
            + b": old\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
        ),
        id="stream",
    ),
]
UNIDENTIFIED = [
    pytest.param(
        lambda _: _answer(b"503 Busy", NOT_EXECUTED),
        id="rejection-without-an-id",
    ),
    pytest.param(lambda _: _answer(b"500 Error"), id="error-without-an-id"),
    pytest.param(_head_of, id="head-alone"),
    pytest.param(
        lambda previous: previous[len(previous) // 2 :], id="half-an-answer"
    ),
    pytest.param(lambda _: b"\x16\x03\x01\x00*\x02\x00\x00\r\n", id="binary"),
    pytest.param(lambda _: b"HTTP/1.1 OK 200\r\n\r\n", id="bad-status-line"),
    pytest.param(
        lambda _: b"HTTP/1.1 200 OK\r\n" + ID + b": old\r\n\r\n",
        id="no-length",
    ),
]
Stutter = Callable[[bytes], bytes]


class ServingSite:
    """A site that serves for all tests of this module.

    `shops` are plain runners, `prefiller` and `decoder` are engines. A test
    gets attempt ids that no other test has used.
    """

    def __init__(self, site: sites.Site) -> None:
        """Start two plain runners and two engines."""
        self.site = site
        self.shops = [site.add_runner(name, "shop") for name in ("i-1", "i-2")]
        self.prefiller = site.add_runner("i-3", "model", "prefill")
        self.decoder = site.add_runner("i-4", "model", "decode")
        self.decoder.behavior = "stream"
        self._numbers = itertools.count()
        site.start_serving()

    def new_attempts(self, count: int) -> list[str]:
        """Return attempt ids that were not used before."""
        return [f"a{next(self._numbers)}" for _ in range(count)]

    def stutter(self, stutter: Stutter | None) -> None:
        """Make every runner stutter, or stop that with None."""
        for runner in self.site.runners:
            runner.stutter = stutter

    def talk(
        self, attempt: str, *, deadline_ms: int = 500
    ) -> urllib3.BaseHTTPResponse:
        """Send a prompt that no engine has in its KV cache."""
        return self.site.call(
            "/talk/",
            attempt=attempt,
            deadline_ms=deadline_ms,
            **{
                "X-Wisteriawall-Model": "m",
                "X-Wisteriawall-Token-Counts": "9000,20",
                "X-Wisteriawall-Prompt-Prefix": f"{attempt}:9000",
            },
        )

    def source_by_attempt(self) -> dict[str, str]:
        """Return the source of the KV cache of each request that had one."""
        return {
            headers[sites.ATTEMPT_ID.lower()]: headers[KV_SOURCE]
            for _, _, headers, _ in self.decoder.received
            if KV_SOURCE in headers
        }

    def runs_once_begun(self, attempt: str, at_least: int = 1) -> int:
        """Return how often the plain runners ran a request.

        Waits for `at_least` runs: a runner counts a run after what it sends
        before its answer, and the caller may have its answer by then.
        """
        sites.wait_until(
            lambda: self._runs(attempt) >= at_least, f"runs of {attempt}"
        )
        return self._runs(attempt)

    def _runs(self, attempt: str) -> int:
        return sum(runner.runs_by_attempt[attempt] for runner in self.shops)


@pytest.fixture(scope="module")
def module_site(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[ServingSite]:
    """Return a serving site that the tests of this module share."""
    site = sites.Site(tmp_path_factory.mktemp("site"))
    yield ServingSite(site)
    site.close()


@pytest.fixture
def serving(module_site: ServingSite) -> Iterator[ServingSite]:
    """Return the serving site, and stop stuttering after the test."""
    yield module_site
    module_site.stutter(None)


@pytest.mark.parametrize("stutter", [*IDENTIFIED, *UNIDENTIFIED])
def test_late_answer_does_not_decide_about_a_payment(
    serving: ServingSite, stutter: Stutter
) -> None:
    first, *attempts = serving.new_attempts(4)
    serving.site.call("/pay/", attempt=first)
    serving.stutter(lambda previous: previous and stutter(previous))
    for attempt in attempts:
        answer = serving.site.call(
            "/pay/", attempt=attempt, body=attempt.encode(), deadline_ms=500
        )
        assert serving.runs_once_begun(attempt) == 1
        assert answer.status in (200, 502, 504)
        if answer.status == 200:
            assert answer.data == b"answer to " + attempt.encode()


@pytest.mark.parametrize("stutter", IDENTIFIED)
@pytest.mark.parametrize("path", ["/pay/", "/read/"])
def test_answer_after_a_late_one_reaches_its_caller(
    serving: ServingSite, path: str, stutter: Stutter
) -> None:
    first, *attempts = serving.new_attempts(4)
    serving.site.call(path, attempt=first)
    serving.stutter(lambda previous: previous and stutter(previous))
    answers = [
        serving.site.call(path, attempt=attempt, body=attempt.encode())
        for attempt in attempts
    ]
    assert [(answer.status, answer.data) for answer in answers] == [
        (200, b"answer to " + attempt.encode()) for attempt in attempts
    ]


@pytest.mark.parametrize("path", ["/pay/", "/read/"])
def test_request_that_repeats_an_id_gets_no_answer_of_the_one_before(
    serving: ServingSite, path: str
) -> None:
    """A runner sent the answer to an earlier request with that id once more."""
    (attempt,) = serving.new_attempts(1)
    serving.site.call(path, attempt=attempt, body=b"one")
    serving.stutter(lambda previous: previous)
    answers = [
        serving.site.call(path, attempt=attempt, body=body).data
        for body in (b"two", b"three")
    ]
    assert answers == [b"answer to two", b"answer to three"]


@pytest.mark.parametrize("stutter", IDENTIFIED)
def test_prompt_goes_on_from_its_own_transfer_handle(
    serving: ServingSite, stutter: Stutter
) -> None:
    attempts = serving.new_attempts(4)
    events = []
    for attempt in attempts:
        events.append(serving.talk(attempt).data.count(b"data:"))
        serving.stutter(lambda previous: previous and stutter(previous))
    assert events == [4, 4, 4, 4]
    source_by_attempt = serving.source_by_attempt()
    assert [source_by_attempt[attempt] for attempt in attempts] == [
        f"{serving.prefiller.address}/h-{attempt}" for attempt in attempts
    ]


@pytest.mark.parametrize("stutter", UNIDENTIFIED)
def test_prompt_never_goes_on_from_another_transfer_handle(
    site: sites.Site, stutter: Stutter
) -> None:
    serving = ServingSite(site)
    first, *attempts = serving.new_attempts(4)
    # Every engine answers it, however busy the machine is.
    assert serving.talk(first, deadline_ms=5_000).status == 200
    serving.prefiller.stutter = lambda previous: previous and stutter(previous)
    for attempt in attempts:
        serving.talk(attempt)
    source_by_attempt = serving.source_by_attempt()
    assert first in source_by_attempt
    assert source_by_attempt == {
        attempt: f"{serving.prefiller.address}/h-{attempt}"
        for attempt in source_by_attempt
    }


@pytest.mark.parametrize(
    "answer_bytes",
    [
        pytest.param(b"\x16\x03\x01\x00*\x02\x00\x00\r\n", id="binary"),
        pytest.param(b"HTTP/1.1 OK 200\r\n\r\n", id="bad-status-line"),
        pytest.param(b"HTTP/1.1 200 OK\r\n" + 101 * b"a: b\r\n", id="headers"),
        pytest.param(b"HTTP/1.1 " + 70_000 * b"2" + b"\r\n", id="long-line"),
    ],
)
def test_malformed_answer_ends_with_an_answer_to_the_caller(
    site: sites.Site, answer_bytes: bytes
) -> None:
    serving = ServingSite(site)
    serving.stutter(lambda _: answer_bytes)
    for path, attempt, runs in (("/pay/", "a1", 1), ("/read/", "a2", 2)):
        answer = site.call(path, attempt=attempt)
        assert answer.status == 502
        assert serving.runs_once_begun(attempt, runs) == runs
        last = site.decisions(attempt)[-1]
        assert (last["decision"], last["status"]) == ("refused", 502)
