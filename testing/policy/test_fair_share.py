"""Tests of the shares of client accounts."""

import pytest

from wisteriawall.policy import fair_share


@pytest.mark.parametrize(
    ("small_is_short", "now_ms", "large", "small"),
    [
        pytest.param(True, 0, "OVER", "UNDER", id="other-is-short"),
        pytest.param(False, 0, "NEUTRAL", "UNDER", id="nothing-is-short"),
        pytest.param(True, 2_500, "NEUTRAL", "UNDER", id="no-longer-short"),
        pytest.param(True, 60_000, "NEUTRAL", "NEUTRAL", id="work-has-faded"),
    ],
)
def test_account_over_its_share_yields_only_to_one_that_is_short(
    small_is_short: bool, now_ms: int, large: str, small: str
) -> None:
    shares = fair_share.FairShare()
    shares.add_work("large", 3_000, 0)
    shares.add_work("small", 100, 0)
    if small_is_short:
        shares.add_shortage("small", 0)
    assert shares.standing("large", now_ms).name == large
    assert shares.standing("small", now_ms).name == small
    assert shares.standing("", now_ms) is fair_share.Standing.NEUTRAL


def test_state_is_bounded() -> None:
    shares = fair_share.FairShare()
    for number in range(fair_share.MAX_ACCOUNTS + 50):
        shares.add_work(f"a{number}", 100, 0)
    shares.add_work("last", 1e6, 0)
    assert len(shares._account_by_name) == fair_share.MAX_ACCOUNTS
    assert shares.standing("a0", 0) is fair_share.Standing.UNDER
    assert shares.standing("a0", 3_600_000) is fair_share.Standing.NEUTRAL
    assert not shares._account_by_name
