"""Test of what connections to runners keep of the ids of earlier requests."""

from support import platform_site as sites

# Well below the limit of a head.
ID_BYTES = 30_000
REQUESTS = 40
# 32 idle connections to each of many runners keep as much each.
MAX_KEPT_BYTES = 64 * 1024


def test_long_ids_do_not_fill_the_memory(site: sites.Site) -> None:
    """A connection kept the last 64 ids, of up to 32 kB each."""
    site.add_runner("i-1", "shop")
    site.start_serving()
    sites.wait_until(lambda: "i-1" in site.gateway.upstream_by_id, "the runner")
    for number in range(REQUESTS):
        attempt = f"{number}-{'x' * ID_BYTES}"
        assert site.call("/read/", attempt=attempt).status == 200
    kept = [
        len(recent)
        for idle in site.gateway._pool._idle_by_address.values()
        for entry in idle
        for recent in map(str, entry.connection._recent_ids)
    ]
    assert kept
    assert sum(kept) <= MAX_KEPT_BYTES
