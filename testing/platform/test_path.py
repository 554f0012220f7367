"""Tests of the whole path on the platform's protocol, on loopback."""

import http.client
import json
import threading

import pytest
from support import platform_site as sites
import urllib3

PROMPT = {
    "X-Wisteriawall-Model": "m",
    "X-Wisteriawall-Token-Counts": "900,20",
    "X-Wisteriawall-Prompt-Prefix": "aa:500,bb:400",
}


def test_answer_reaches_the_caller_unchanged(site: sites.Site) -> None:
    runner = site.add("i-1", "shop")
    site.serve()
    answer = site.call("/pay/x%2Fy?q=1", attempt="a1", body=b"order")
    assert (answer.status, answer.data) == (200, b"answer to order")
    assert answer.headers[sites.SEAL] == "seal-i-1"
    method, target, named, body = runner.seen[0]
    assert (method, target, body) == ("POST", "/pay/x%2Fy?q=1", b"order")
    assert named["x-wisteriawall-expect-instance"] == "i-1"
    assert 0 < int(named["x-wisteriawall-deadline-remaining"]) <= 4_000


@pytest.mark.parametrize(
    ("behave", "path", "status", "runs"),
    [
        pytest.param("reset", "/pay/", 502, 1, id="payment-reset"),
        pytest.param("reset", "/read/", 502, 2, id="lookup-reset"),
        pytest.param("foreign", "/pay/", 502, 1, id="payment-foreign-answer"),
        pytest.param("reject", "/pay/", 503, 0, id="payment-rejected"),
        pytest.param("hang", "/quick/", 504, 1, id="time-out-of-the-route"),
    ],
)
def test_failure_is_final_and_true(
    site: sites.Site, behave: str, path: str, status: int, runs: int
) -> None:
    for name in ("i-1", "i-2"):
        site.add(name, "shop").behave = behave
    site.serve()
    answer = site.call(path, attempt="a1")
    ran = sum(runner.ran["a1"] for runner in site.runners)
    assert (answer.status, ran) == (status, runs)
    assert (answer.status == 503) is ("Retry-After" in answer.headers)
    assert sites.SEAL not in answer.headers
    last = site.decisions("a1")[-1]
    assert (last["decision"], last["status"]) == ("refused", status)


def test_lookup_is_repeated_after_a_failure(site: sites.Site) -> None:
    bad, good = site.add("i-1", "shop"), site.add("i-2", "shop")
    bad.behave = "reset"
    site.serve()
    answers = [
        site.call("/read/", attempt=f"a{n}", method="GET", body=None)
        for n in range(4)
    ]
    assert [answer.status for answer in answers] == [200] * 4
    assert sum(good.ran.values()) == 4


def test_own_failure_of_a_runner_is_asked_elsewhere_once(
    site: sites.Site,
) -> None:
    first, second = site.add("i-1", "shop"), site.add("i-2", "shop")
    first.behave = second.behave = "fail"
    site.serve()
    lookup = site.call("/read/", attempt="a1", method="GET", body=None)
    assert (lookup.status, lookup.data) == (500, b"bad")
    assert (first.ran["a1"], second.ran["a1"]) == (1, 1)
    payment = site.call("/pay/", attempt="a2")
    assert (payment.status, payment.data) == (500, b"bad")
    assert first.ran["a2"] + second.ran["a2"] == 1
    assert payment.headers[sites.SEAL].startswith("seal-i-")


def test_prompt_is_read_apart_and_handed_over(site: sites.Site) -> None:
    reader = site.add("i-1", "model", "prefill")
    answerer = site.add("i-2", "model", "decode")
    answerer.behave = "stream"
    site.serve()
    counts = {
        "X-Wisteriawall-Token-Counts": "9000,20",
        "X-Wisteriawall-Prompt-Prefix": "aa:5000,bb:4000",
    }
    answer = site.call("/talk/", attempt="a1", **{**PROMPT, **counts})
    assert answer.data.count(b"data:") == 4
    assert reader.ran["a1"] == 0
    named = answerer.seen[0][2]
    source = named["x-wisteriawall-kv-cache-source"]
    assert source == f"{reader.address}/h1"


@pytest.mark.parametrize(
    ("path", "whole"),
    [
        pytest.param("/resume/", True, id="resumable-goes-on"),
        pytest.param("/talk/", False, id="other-looks-broken"),
    ],
)
def test_broken_stream(site: sites.Site, path: str, whole: bool) -> None:
    for name in ("i-1", "i-2"):
        site.add(name, "model", "decode").behave = "stream-cut"
    site.serve()
    if not whole:
        with pytest.raises(urllib3.exceptions.HTTPError):
            site.call(path, attempt="a1", **PROMPT)
        return
    answer = site.call(path, attempt="a1", **PROMPT)
    ids = [line for line in answer.data.split(b"\n") if b"id:" in line]
    assert ids == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]
    assert [runner.ran["a1"] for runner in site.runners] == [1, 1]


def test_caller_that_leaves_ends_the_run(site: sites.Site) -> None:
    runner = site.add("i-1", "shop")
    runner.behave = "hang"
    site.serve()
    host, _, port = site.gateway.address.rpartition(":")
    caller = http.client.HTTPConnection(host, int(port))
    caller.request(
        "GET",
        "/read/",
        headers={"Host": sites.HOST, sites.ATTEMPT_ID: "a1"},
    )
    sites.wait_until(lambda: runner.ran["a1"] == 1, "the run")
    caller.close()
    assert runner.broke.wait(10)


def test_stop_ends_kept_connections_and_finishes_answers(
    site: sites.Site,
) -> None:
    shop, model = site.add("i-1", "shop"), site.add("i-2", "model", "decode")
    model.behave = "stream-slow"
    site.serve()
    host, _, port = site.gateway.address.rpartition(":")
    kept = http.client.HTTPConnection(host, int(port))
    kept.request(
        "GET",
        "/read/",
        headers={"Host": sites.HOST, sites.ATTEMPT_ID: "a1"},
    )
    assert kept.getresponse().read() == b"answer to "
    answers = []
    talk = threading.Thread(
        target=lambda: answers.append(
            site.call("/talk/", attempt="a2", **PROMPT)
        )
    )
    talk.start()
    sites.wait_until(lambda: model.ran["a2"] == 1, "the stream")
    threading.Timer(1.0, model.finish.set).start()
    site.gateway.stop()
    site.stopped = True
    talk.join()
    assert answers[0].data.count(b"data:") == 4
    with pytest.raises((http.client.HTTPException, OSError)):
        kept.request(
            "GET",
            "/read/",
            headers={
                "Host": sites.HOST,
                sites.ATTEMPT_ID: "a3",
            },
        )
        kept.getresponse()
    assert shop.ran["a3"] == 0


@pytest.mark.parametrize(
    ("change", "status"),
    [
        pytest.param({}, 200, id="the-same-again"),
        pytest.param({"version": 2}, 200, id="higher"),
        pytest.param({"version": 0}, 400, id="no-number"),
        pytest.param({"routes": []}, 409, id="same-number-other-content"),
        pytest.param({"services": []}, 400, id="unknown-service"),
        pytest.param({"routes": "x"}, 400, id="not-a-list"),
    ],
)
def test_publication(
    site: sites.Site, change: dict[str, object], status: int
) -> None:
    site.add("i-1", "shop")
    site.serve()
    sent = sites.document(1) | change
    assert site.publish(sent).status == status
    held = sent if status == 200 else sites.document(1)
    assert json.loads(site.read().data) == held


def test_overtaken_table_is_acknowledged_and_changes_nothing(
    site: sites.Site,
) -> None:
    site.serve_only_table(sites.document(7))
    assert site.publish(sites.document(3, routes=[])).status == 200
    sites.wait_until(lambda: site.read().status == 200, "a sure read")
    assert json.loads(site.read().data)["version"] == 7


def test_unreadable_entries_of_the_list_hurt_no_other(
    site: sites.Site,
) -> None:
    runner = site.add("i-1", "shop")
    good = json.dumps(runner.entry())
    site.list_body = (
        '{"instances":[{"identifier":5},{"state":"odd"},"x",'
        + good
        + '],"next":null}'
    ).encode()
    site.serve()
    assert site.call("/read/", attempt="a1", method="GET").status == 200


def test_leaving_runner_gets_no_new_work(site: sites.Site) -> None:
    leaving, staying = site.add("i-1", "shop"), site.add("i-2", "shop")
    site.serve()
    leaving.state = "draining"
    sites.wait_until(
        lambda: (
            site.gateway.known_upstreams["i-1"].leaving
            if "i-1" in site.gateway.known_upstreams
            else True
        ),
        "the list",
    )
    for number in range(6):
        site.call("/read/", attempt=f"a{number}", method="GET")
    assert (sum(leaving.ran.values()), sum(staying.ran.values())) == (0, 6)


@pytest.mark.parametrize(
    ("path", "named", "status"),
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
def test_bad_requests_are_refused(
    site: sites.Site, path: str, named: dict[str, str], status: int
) -> None:
    site.add("i-1", "shop")
    site.serve()
    answer = site.http.request(
        "GET",
        f"http://{site.gateway.address}{path}",
        headers={"Host": sites.HOST, **named},
    )
    assert answer.status == status
    assert json.loads(answer.data)["run"] == "not_run"
