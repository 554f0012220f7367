"""Tests of the prefix cache, weight store, VM list and plain service."""

import msgspec
import pytest
import urllib3

from wisteriawall.standin import faults as faults_lib
from wisteriawall.standin import plain_service
from wisteriawall.standin import prefix_cache
from wisteriawall.standin import vm_list
from wisteriawall.standin import weight_store


def _cache(*, gap_every: int = 0) -> prefix_cache.PrefixCache:
    return prefix_cache.PrefixCache(
        pieces=3, delay_s=1.0, faults=faults_lib.Faults(gap_every=gap_every)
    )


def test_cache_is_bounded_and_its_events_are_delayed() -> None:
    cache = _cache()
    cache.store((1, 2, 3, 4), now_s=0.0)
    assert len(cache) == 3
    assert cache.cached_pieces((1, 2)) == 0
    assert cache.page(from_number=1, now_s=0.5).changes == []
    delayed_page = cache.page(from_number=1, now_s=1.0)
    assert [(c.prefix, c.stored) for c in delayed_page.changes] == [
        (1, True),
        (2, True),
        (3, True),
        (4, True),
        (1, False),
    ]
    assert (delayed_page.first, delayed_page.next) == (1, 6)


def test_page_ends_at_gap_and_next_page_starts_after_it() -> None:
    cache = _cache(gap_every=2)
    cache.store((1, 2, 3), now_s=0.0)
    page = cache.page(from_number=1, now_s=2.0)
    assert (page.first, page.next) == (1, 2)
    assert cache.page(from_number=2, now_s=2.0).first == 3
    complete_page = cache.page(from_number=None, now_s=2.0)
    assert complete_page.complete
    assert {c.prefix for c in complete_page.changes} == {1, 2, 3}


@pytest.mark.parametrize(
    ("now_s", "waits_s"),
    [
        pytest.param([0.0, 0.0, 0.0], [0.1, 0.2, 0.3], id="simultaneous"),
        pytest.param([0.0, 0.05, 0.4], [0.1, 0.15, 0.1], id="spread-out"),
    ],
)
def test_readers_share_the_weight_store_rate(
    now_s: list[float], waits_s: list[float]
) -> None:
    rate = weight_store.SharedRate(bytes_per_s=1_000)
    measured_waits_s = [rate.reserve(100, now_s=now) for now in now_s]
    assert measured_waits_s == pytest.approx(waits_s)


def test_weight_store_sends_all_bytes_and_counts_the_fetch() -> None:
    store = weight_store.StandInWeightStore(
        address="127.0.0.1:0", weights_bytes=100_000, bytes_per_s=10**8
    )
    store.start()
    response = urllib3.request("GET", f"http://{store.address}/weights/m")
    assert (len(response.data), store.fetches) == (100_000, 1)
    store.stop()


def test_vm_list_change_shows_after_the_lag() -> None:
    delayed_list = vm_list.DelayedList(lag_s=5.0)
    entries = [vm_list.VmEntry("v1", vm_list.VmState.LEAVING)]
    delayed_list.set(entries, now_s=10.0)
    assert [delayed_list.read(now_s=now) for now in (10.0, 14.9, 15.0)] == [
        [],
        [],
        entries,
    ]


def test_vm_list_refuses_malformed_body() -> None:
    server = vm_list.StandInVmList(address="127.0.0.1:0", lag_s=0.0)
    server.start()
    url = f"http://{server.address}/vms"
    entries = [{"vm": "v1", "state": "leaving"}]
    assert urllib3.request("POST", url, body=b'{"vm": 1}').status == 400
    urllib3.request("POST", url, body=msgspec.json.encode(entries))
    assert msgspec.json.decode(urllib3.request("GET", url).data) == entries
    server.stop()


def test_plain_service_counts_runs_of_each_key() -> None:
    service = plain_service.StandInPlainService(address="127.0.0.1:0")
    service.start()
    url = f"http://{service.address}/payments"
    for key in ("a", "b", "a"):
        urllib3.request("POST", url, headers={"Idempotency-Key": key})
    assert service.runs_by_key == {"a": 2, "b": 1}
    service.stop()
