"""Test of runners that left, around a restart of a gateway."""

from support import platform_site as sites


def test_runner_that_left_is_not_in_use_after_a_restart(
    site: sites.Site,
) -> None:
    """Other operators report it in use again after a restart."""
    left = site.add_runner("i-left", "shop")
    site.add_runner("i-kept", "shop")
    site.start_serving()
    sites.wait_until(
        lambda: len(site.gateway.upstream_by_id) == 2, "both runners"
    )
    site.runners.remove(left)
    sites.wait_until(
        lambda: set(site.gateway.upstream_by_id) == {"i-kept"}, "the leave"
    )
    received = len(left.received)
    started = site.add_gateway("g1-again")
    seen: set[str] = set()

    def has_list() -> bool:
        seen.update(started.upstream_by_id)
        return started.is_ready

    sites.wait_until(has_list, "the new gateway")
    for number in range(8):
        answer = site.call(
            "/read/", attempt=f"a{number}", gateway=started.address
        )
        assert answer.status == 200
        seen.update(started.upstream_by_id)
    started.stop()
    left.close()
    assert seen == {"i-kept"}
    assert len(left.received) == received
