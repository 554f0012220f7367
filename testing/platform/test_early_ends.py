"""Tests of runners that end an answer without a length before its upload."""

import json
import threading
from typing import Any

import pytest
from support import early_server
from support import platform_site as sites
import urllib3

from wisteriawall.web import connection_end

WAIT_S = 15.0
PART = b"id: 1\ndata: t1\n\n"
WHOLE = b"answer to "
LONG_UPLOADS = [200_000, 4_000_000]
# Until one of them is sent to the runner that answers early.
MAX_LOOKUPS = 40
TOKENS = {
    "X-Wisteriawall-Model": "m",
    "X-Wisteriawall-Token-Counts": "20,4",
    "X-Wisteriawall-Prompt-Prefix": "a1:10,b1:10",
}


def unframed(version: str, body: bytes, seal: str) -> bytes:
    """Return an answer without a length."""
    return (
        f"HTTP/{version} 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"{sites.SEAL}: {seal}\r\n\r\n"
    ).encode() + body


class EarlyRunner(early_server.EarlyServer):
    """Runner that answers early, with an entry in the platform's list."""

    def __init__(self, name: str, service: str, stage: str = "") -> None:
        """Listen on a free port."""
        super().__init__()
        self.echoes = (sites.ATTEMPT_ID,)
        self.answer = unframed("1.1", PART, "s")
        self.finish = threading.Event()
        self._name, self._service, self._stage = name, service, stage

    def entry(self) -> dict[str, Any]:
        """Return the runner's entry in the platform's list."""
        return {
            "identifier": self._name,
            "service": self._service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold_remaining_ms": 0,
            "stage": self._stage,
        }


class Fleet:
    """A site with runners that answer early, beside sound ones."""

    def __init__(self, site: sites.Site) -> None:
        """Start without runners."""
        self.site = site

    def add_early(self, service: str, stage: str = "") -> EarlyRunner:
        """Add a runner that answers early."""
        name = f"i-{len(self.site.runners)}"
        runner = EarlyRunner(name, service, stage)
        self.site.runners.append(runner)
        return runner

    def add_sound(self, service: str, stage: str = "") -> sites.StandInRunner:
        """Add a sound runner."""
        name = f"i-{len(self.site.runners)}"
        return self.site.add_runner(name, service, stage)

    def serve(self) -> None:
        """Wait until the site serves."""
        self.site.start_serving()
        count = len(self.site.runners)
        sites.wait_until(
            lambda: len(self.site.gateway.upstream_by_id) == count,
            "the runners",
        )


@pytest.fixture
def fleet(site: sites.Site) -> Fleet:
    """Return a site without runners."""
    return Fleet(site)


@pytest.mark.parametrize(
    ("version", "delay_s"), [("1.0", 0.0), ("1.1", 0.05), ("1.1", 0.3)]
)
@pytest.mark.parametrize(
    ("path", "service"),
    [
        pytest.param("/pay/", "shop", id="payment"),
        pytest.param("/talk/", "model", id="stream"),
    ],
)
@pytest.mark.parametrize("size", LONG_UPLOADS)
def test_part_of_an_answer_whose_upload_was_not_taken_is_not_whole(
    fleet: Fleet,
    size: int,
    path: str,
    service: str,
    version: str,
    delay_s: float,
) -> None:
    """Callers got the part as a whole 200."""
    runner = fleet.add_early(service)
    runner.answer = unframed(version, PART, "s")
    runner.end = early_server.End.END_AND_RESET
    runner.delay_s = delay_s
    fleet.serve()
    try:
        answer = fleet.site.call(path, attempt="a1", body=b"x" * size, **TOKENS)
    except urllib3.exceptions.HTTPError:
        # A stream that had begun is cut.
        assert path == "/talk/"
    else:
        assert answer.status == 502
        assert json.loads(answer.data)["run"] == "unknown"
        assert sites.SEAL not in answer.headers
    assert runner.requests == 1


@pytest.mark.parametrize("size", LONG_UPLOADS)
def test_lookup_whose_upload_was_not_taken_goes_to_another_runner(
    fleet: Fleet, size: int
) -> None:
    early = fleet.add_early("shop")
    sound = fleet.add_sound("shop")
    early.end = early_server.End.END_AND_RESET
    fleet.serve()
    upload = b"x" * size
    for number in range(MAX_LOOKUPS):
        answer = fleet.site.call("/read/", attempt=f"a{number}", body=upload)
        assert (answer.status, answer.data) == (200, WHOLE + upload)
        if early.requests:
            break
    assert early.requests == 1
    assert len(sound.received) == number + 1


@pytest.mark.parametrize("path", ["/read/", "/pay/"])
@pytest.mark.parametrize("size", [300, *LONG_UPLOADS])
def test_whole_answer_before_its_upload_is_read_is_delivered(
    fleet: Fleet, monkeypatch: pytest.MonkeyPatch, size: int, path: str
) -> None:
    """A runner may answer before it has read a long body."""
    for name in ("MAX_STALL_MS", "MAX_WAIT_MS"):
        monkeypatch.setattr(connection_end, name, 15_000)
    runner = fleet.add_early("shop")
    runner.end = early_server.End.READ_AND_CLOSE
    fleet.serve()
    answer = fleet.site.call(path, attempt="a1", body=b"x" * size)
    assert (answer.status, answer.data) == (200, PART)
    assert answer.headers[sites.SEAL] == "s"
    assert runner.received.get(timeout=WAIT_S) == size


@pytest.mark.parametrize(
    "end",
    [early_server.End.END_AND_RESET, early_server.End.RESET],
    ids=["end-and-reset", "reset"],
)
def test_handle_of_a_prompt_that_was_not_taken_is_not_used(
    fleet: Fleet, end: early_server.End
) -> None:
    """The answer to a prefill ends with its connection."""
    prefill = fleet.add_early("model", "prefill")
    decode = fleet.add_sound("model", "decode")
    decode.behavior = "stream"
    handle = json.dumps({"transfer_handle": "h-1", "tokens": 9}).encode()
    prefill.answer = unframed("1.1", handle, "s")
    prefill.end = end
    fleet.serve()
    fleet.site.call(
        "/talk/",
        attempt="a1",
        body=200_000 * b"x",
        **{
            "X-Wisteriawall-Model": "m",
            "X-Wisteriawall-Token-Counts": "9000,20",
            "X-Wisteriawall-Prompt-Prefix": "a1:9000",
        },
    )
    assert prefill.requests == 1
    sources = [
        headers.get("x-wisteriawall-kv-cache-source")
        for _, _, headers, _ in decode.received
    ]
    assert set(sources) <= {None}
