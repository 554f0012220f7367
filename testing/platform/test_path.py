"""Tests of a gateway and a control replica with the platform's protocol."""

import http.client
import json
import threading
import time

import pytest
from support import platform_site as sites
import urllib3

from wisteriawall.gateway import start_gate
from wisteriawall.platform import headers

PROMPT = {
    "X-Wisteriawall-Model": "m",
    "X-Wisteriawall-Token-Counts": "900,20",
    "X-Wisteriawall-Prompt-Prefix": "aa:500,bb:400",
}


def test_answer_reaches_the_caller_unchanged(site: sites.Site) -> None:
    runner = site.add_runner("i-1", "shop")
    site.start_serving()
    answer = site.call("/pay/x%2Fy?q=1", attempt="a1", body=b"order")
    assert (answer.status, answer.data) == (200, b"answer to order")
    assert answer.headers[sites.SEAL] == "seal-i-1"
    method, target, headers_by_name, body = runner.received[0]
    assert (method, target, body) == ("POST", "/pay/x%2Fy?q=1", b"order")
    assert headers_by_name["x-wisteriawall-expect-instance"] == "i-1"
    assert (
        0 < int(headers_by_name["x-wisteriawall-deadline-remaining"]) <= 4_000
    )


@pytest.mark.parametrize(
    ("behavior", "path", "status", "runs"),
    [
        pytest.param("reset", "/pay/", 502, 1, id="payment-reset"),
        pytest.param("reset", "/read/", 502, 2, id="lookup-reset"),
        pytest.param("foreign", "/pay/", 502, 1, id="payment-foreign-answer"),
        # Only X-Wisteriawall-Not-Executed says that a request did not run.
        pytest.param("408 Timeout", "/pay/", 502, 1, id="payment-ran-408"),
        pytest.param("429 Too Many", "/pay/", 502, 1, id="payment-ran-429"),
        pytest.param("503 Unavailable", "/pay/", 502, 1, id="payment-ran-503"),
        pytest.param("503 Unavailable", "/read/", 502, 2, id="lookup-ran-503"),
        pytest.param("unsealed", "/pay/", 502, 1, id="payment-unsealed"),
        pytest.param("unsealed", "/read/", 502, 2, id="lookup-unsealed"),
        pytest.param("reject", "/pay/", 503, 0, id="payment-rejected"),
        pytest.param("hang", "/quick/", 504, 1, id="time-out-of-the-route"),
    ],
)
def test_failure_is_reported_with_its_status_and_run_count(
    site: sites.Site, behavior: str, path: str, status: int, runs: int
) -> None:
    for name in ("i-1", "i-2"):
        site.add_runner(name, "shop").behavior = behavior
    site.start_serving()
    answer = site.call(path, attempt="a1")
    ran = sum(runner.runs_by_attempt["a1"] for runner in site.runners)
    assert (answer.status, ran) == (status, runs)
    assert (answer.status == 503) is ("Retry-After" in answer.headers)
    assert sites.SEAL not in answer.headers
    last = site.decisions("a1")[-1]
    assert (last["decision"], last["status"]) == ("refused", status)


def test_unexpected_error_ends_with_an_answer_to_the_caller(
    site: sites.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail(*_: object) -> None:
        raise RuntimeError("a fault of the program")

    site.add_runner("i-1", "shop")
    site.start_serving()
    monkeypatch.setattr(headers.PlatformDialect, "parse_answer_head", fail)
    answer = site.call("/pay/", attempt="a1")
    assert answer.status == 502
    assert json.loads(answer.data)["run"] == "unknown"
    decisions = [line["decision"] for line in site.decisions("a1")]
    assert decisions == [
        "placed",
        "sent",
        "request-error",
        "leg-failed",
        "refused",
    ]


def test_read_only_request_is_retried_after_a_failure(site: sites.Site) -> None:
    failing, healthy = (
        site.add_runner("i-1", "shop"),
        site.add_runner("i-2", "shop"),
    )
    failing.behavior = "reset"
    site.start_serving()
    answers = [
        site.call("/read/", attempt=f"a{n}", method="GET", body=None)
        for n in range(4)
    ]
    assert [answer.status for answer in answers] == [200] * 4
    assert sum(healthy.runs_by_attempt.values()) == 4


def test_error_answer_is_retried_only_on_read_only_routes(
    site: sites.Site,
) -> None:
    first, second = (
        site.add_runner("i-1", "shop"),
        site.add_runner("i-2", "shop"),
    )
    first.behavior = second.behavior = "fail"
    site.start_serving()
    lookup = site.call("/read/", attempt="a1", method="GET", body=None)
    assert (lookup.status, lookup.data) == (500, b"bad")
    assert (
        first.runs_by_attempt["a1"],
        second.runs_by_attempt["a1"],
    ) == (1, 1)
    payment = site.call("/pay/", attempt="a2")
    assert (payment.status, payment.data) == (500, b"bad")
    assert first.runs_by_attempt["a2"] + second.runs_by_attempt["a2"] == 1
    assert payment.headers[sites.SEAL].startswith("seal-i-")


def test_prompt_is_prefilled_and_decoded_on_separate_engines(
    site: sites.Site,
) -> None:
    prefiller = site.add_runner("i-1", "model", "prefill")
    decoder = site.add_runner("i-2", "model", "decode")
    decoder.behavior = "stream"
    site.start_serving()
    counts = {
        "X-Wisteriawall-Token-Counts": "9000,20",
        "X-Wisteriawall-Prompt-Prefix": "aa:5000,bb:4000",
    }
    answer = site.call("/talk/", attempt="a1", **{**PROMPT, **counts})
    assert answer.data.count(b"data:") == 4
    assert prefiller.runs_by_attempt["a1"] == 0
    headers_by_name = decoder.received[0][2]
    source = headers_by_name["x-wisteriawall-kv-cache-source"]
    assert source == f"{prefiller.address}/h-a1"


@pytest.mark.parametrize(
    ("path", "is_complete"),
    [
        pytest.param("/resume/", True, id="resumable-route"),
        pytest.param("/talk/", False, id="other-route"),
    ],
)
def test_broken_stream_resumes_only_on_resumable_routes(
    site: sites.Site, path: str, is_complete: bool
) -> None:
    for name in ("i-1", "i-2"):
        site.add_runner(name, "model", "decode").behavior = "stream-cut"
    site.start_serving()
    if not is_complete:
        with pytest.raises(urllib3.exceptions.HTTPError):
            site.call(path, attempt="a1", **PROMPT)
        return
    answer = site.call(path, attempt="a1", **PROMPT)
    ids = [line for line in answer.data.split(b"\n") if b"id:" in line]
    assert ids == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]
    assert [runner.runs_by_attempt["a1"] for runner in site.runners] == [
        1,
        1,
    ]


def test_disconnect_of_the_caller_cancels_the_request(site: sites.Site) -> None:
    runner = site.add_runner("i-1", "shop")
    runner.behavior = "hang"
    site.start_serving()
    caller = site.connect()
    caller.request(
        "GET",
        "/read/",
        headers={"Host": sites.HOST, sites.ATTEMPT_ID: "a1"},
    )
    sites.wait_until(
        lambda: runner.runs_by_attempt["a1"] == 1, "the request at the runner"
    )
    caller.close()
    assert runner.disconnected.wait(10)


def test_stop_closes_keep_alive_connections_and_finishes_streams(
    site: sites.Site,
) -> None:
    shop, model = (
        site.add_runner("i-1", "shop"),
        site.add_runner("i-2", "model", "decode"),
    )
    model.behavior = "stream-slow"
    site.start_serving()
    keep_alive = site.connect()
    keep_alive.request(
        "GET",
        "/read/",
        headers={"Host": sites.HOST, sites.ATTEMPT_ID: "a1"},
    )
    assert keep_alive.getresponse().read() == b"answer to "
    answers = []
    streaming = threading.Thread(
        target=lambda: answers.append(
            site.call("/talk/", attempt="a2", **PROMPT)
        )
    )
    streaming.start()
    sites.wait_until(
        lambda: model.runs_by_attempt["a2"] == 1, "the start of the stream"
    )
    threading.Timer(1.0, model.finish.set).start()
    site.gateway.stop()
    site.stopped = True
    streaming.join()
    assert answers[0].data.count(b"data:") == 4
    with pytest.raises((http.client.HTTPException, OSError)):
        keep_alive.request(
            "GET",
            "/read/",
            headers={
                "Host": sites.HOST,
                sites.ATTEMPT_ID: "a3",
            },
        )
        keep_alive.getresponse()
    assert shop.runs_by_attempt["a3"] == 0


@pytest.mark.parametrize(
    ("change", "status"),
    [
        pytest.param({}, 200, id="identical-table"),
        pytest.param({"version": 2}, 200, id="higher-number"),
        pytest.param({"version": 0}, 400, id="no-number"),
        pytest.param({"routes": []}, 409, id="same-number-other-content"),
        pytest.param({"services": []}, 400, id="unknown-service"),
        pytest.param({"routes": "x"}, 400, id="not-a-list"),
    ],
)
def test_published_table_is_accepted_or_rejected(
    site: sites.Site, change: dict[str, object], status: int
) -> None:
    site.add_runner("i-1", "shop")
    site.start_serving()
    published = sites.document(1) | change
    assert site.publish(published).status == status
    expected = published if status == 200 else sites.document(1)
    assert json.loads(site.read_table().data) == expected


def test_table_with_a_lower_number_is_acknowledged_and_ignored(
    site: sites.Site,
) -> None:
    site.publish_until_accepted(sites.document(7))
    assert site.publish(sites.document(3, routes=[])).status == 200
    sites.wait_until(
        lambda: site.read_table().status == 200, "a successful read"
    )
    assert json.loads(site.read_table().data)["version"] == 7


def test_invalid_list_entries_do_not_hide_a_valid_one(
    site: sites.Site,
) -> None:
    runner = site.add_runner("i-1", "shop")
    valid_entry = json.dumps(runner.entry())
    site.list_response_body = (
        '{"instances":[{"identifier":5},{"state":"odd"},"x",'
        + valid_entry
        + '],"next":null}'
    ).encode()
    site.start_serving()
    assert site.call("/read/", attempt="a1", method="GET").status == 200


def test_draining_runner_gets_no_new_requests(site: sites.Site) -> None:
    draining, ready = (
        site.add_runner("i-1", "shop"),
        site.add_runner("i-2", "shop"),
    )
    site.start_serving()
    draining.state = "draining"
    sites.wait_until(
        lambda: (
            site.gateway.upstream_by_id["i-1"].leaving
            if "i-1" in site.gateway.upstream_by_id
            else True
        ),
        "the updated list",
    )
    for number in range(6):
        site.call("/read/", attempt=f"a{number}", method="GET")
    assert (
        sum(draining.runs_by_attempt.values()),
        sum(ready.runs_by_attempt.values()),
    ) == (0, 6)


@pytest.mark.parametrize(
    ("path", "headers_by_name", "status"),
    [
        pytest.param("/none/", {sites.ATTEMPT_ID: "a1"}, 404, id="no-route"),
        pytest.param("/read/", {}, 400, id="no-attempt-id"),
        pytest.param(
            "/talk/",
            {
                sites.ATTEMPT_ID: "a1",
                "X-Wisteriawall-Token-Counts": "many",
            },
            400,
            id="token-counts",
        ),
        pytest.param(
            "/read/",
            {
                sites.ATTEMPT_ID: "a1",
                "X-Wisteriawall-Deadline-Remaining": "soon",
            },
            400,
            id="deadline",
        ),
    ],
)
def test_invalid_requests_are_refused_as_not_run(
    site: sites.Site, path: str, headers_by_name: dict[str, str], status: int
) -> None:
    site.add_runner("i-1", "shop")
    site.start_serving()
    answer = site.http.request(
        "GET",
        f"http://{site.gateway.address}{path}",
        headers={"Host": sites.HOST, **headers_by_name},
    )
    assert answer.status == status
    assert json.loads(answer.data)["run"] == "not_run"


def test_a_request_waits_for_the_first_table(
    site: sites.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After a restart of everything, callers arrive before the table."""
    monkeypatch.setattr(start_gate, "MAX_WAIT_MS", sites.WAIT_S * 1_000)
    monkeypatch.setattr(start_gate, "WAIT_SHARE", 1.0)
    site.add_runner("i-1", "shop")
    sites.wait_until(
        lambda: bool(site.gateway.upstream_by_id), "the list of runners"
    )
    status_by_attempt: dict[str, int] = {}

    def call(attempt: str) -> None:
        answer = site.call("/pay/", attempt=attempt)
        status_by_attempt[attempt] = answer.status

    callers = [threading.Thread(target=call, args=(f"a{n}",)) for n in range(3)]
    for caller in callers:
        caller.start()
    site.publish_until_accepted(sites.document(1))
    for caller in callers:
        caller.join(sites.WAIT_S)
    assert status_by_attempt == {"a0": 200, "a1": 200, "a2": 200}


def test_a_request_is_refused_when_no_table_arrives(site: sites.Site) -> None:
    answer = site.call("/pay/", attempt="a1")
    assert answer.status == 503
    assert answer.headers["Retry-After"] == "1.000"


def test_a_close_deadline_is_refused_in_time_without_a_table(
    site: sites.Site, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A caller with 500 ms got its refusal when it had given up."""
    monkeypatch.setattr(start_gate, "MAX_WAIT_MS", sites.WAIT_S * 1_000)
    started = time.monotonic()
    answer = site.call("/pay/", attempt="a1", deadline_ms=600)
    assert answer.status == 503
    assert time.monotonic() - started < 0.55
