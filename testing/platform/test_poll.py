"""Test of a gateway's thread that polls control."""

import pytest
from support import platform_site as sites


def test_gateway_polls_on_after_an_unexpected_error(
    site: sites.Site,
    monkeypatch: pytest.MonkeyPatch,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """The thread ended, and the gateway kept its table for good."""
    site.add_runner("i-1", "shop")
    site.start_serving()
    failures: list[object] = []
    apply_reply = site.gateway._apply_reply

    def fail_once(*args: object) -> None:
        if not failures:
            failures.append(args)
            raise RuntimeError("a fault of the program")
        apply_reply(*args)  # type: ignore[arg-type]

    monkeypatch.setattr(site.gateway, "_apply_reply", fail_once)
    sites.wait_until(lambda: bool(failures), "the error")
    site.publish_until_accepted(
        sites.document(2, routes=[sites.route("/new/", "read_only", "shop")])
    )
    sites.wait_until(
        lambda: site.call("/new/", attempt="a1").status == 200, "the new route"
    )
    assert "a fault of the program" in caplog.text
