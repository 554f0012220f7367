"""Tests of two requests with the same id in one gateway at the same time.

A caller that gives up an attempt may send the request again before the gateway
has noticed.
"""

from collections.abc import Callable
import http.client

import pytest
from support import platform_site as sites

ATTEMPT = "a1"


def send(site: sites.Site, path: str) -> http.client.HTTPConnection:
    """Send a request on a connection of its own."""
    caller = site.connect()
    caller.request(
        "POST",
        path,
        headers={
            "Host": sites.HOST,
            sites.ATTEMPT_ID: ATTEMPT,
            "X-Wisteriawall-Deadline-Remaining": "4000",
            "X-Wisteriawall-Model": "m",
            "X-Wisteriawall-Token-Counts": "900,20",
            "X-Wisteriawall-Prompt-Prefix": "aa:900",
        },
    )
    return caller


def leave(site: sites.Site) -> None:
    """Send the request, and close the connection once its answer began."""
    caller = send(site, "/resume/")
    assert caller.getresponse().status == 200
    caller.close()


def be_refused(site: sites.Site) -> None:
    """Send a request with the same id for which there is no runner."""
    assert send(site, "/read/").getresponse().status == 503


def open_stream(site: sites.Site, path: str) -> http.client.HTTPResponse:
    """Send a request and wait for the head of its answer."""
    response = send(site, path).getresponse()
    assert response.status == 200
    return response


@pytest.fixture
def cut_site(site: sites.Site) -> sites.Site:
    """Return a site whose streams pause, and are cut when they go on."""
    for name in ("i-1", "i-2"):
        site.add_runner(name, "model", "decode").behavior = "stream-slow-cut"
    site.start_serving()
    return site


def go_on(site: sites.Site) -> None:
    """Let all streams go on."""
    for runner in site.runners:
        runner.finish.set()


@pytest.mark.parametrize("end_other", [leave, be_refused])
def test_stream_resumes_after_the_end_of_a_request_with_its_id(
    cut_site: sites.Site, end_other: Callable[[sites.Site], None]
) -> None:
    """It ended after its first events, and looked complete."""
    response = open_stream(cut_site, "/resume/")
    end_other(cut_site)
    cut_site.decisions(ATTEMPT)
    go_on(cut_site)
    assert response.read().count(b"data:") == 4


@pytest.mark.parametrize("end_other", [leave, be_refused])
def test_broken_stream_looks_broken_after_a_request_with_its_id(
    cut_site: sites.Site, end_other: Callable[[sites.Site], None]
) -> None:
    response = open_stream(cut_site, "/talk/")
    end_other(cut_site)
    cut_site.decisions(ATTEMPT)
    go_on(cut_site)
    with pytest.raises((http.client.IncompleteRead, ConnectionError)):
        response.read()
