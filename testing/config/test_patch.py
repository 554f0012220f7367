"""Tests of `wisteriawall.config.patch`."""

import json

import msgspec
import pytest

from wisteriawall.config import document
from wisteriawall.config import patch

SERVICE = {"kind": "plain", "share_pieces": 2}


@pytest.mark.parametrize(
    ("change", "fault"),
    [
        pytest.param(
            {"services": {"shop": SERVICE}},
            "capacity_pieces = 0",
            id="share-over-capacity",
        ),
        pytest.param(
            {
                "capacity_pieces": 2,
                "services": {"shop": SERVICE},
                "runners": {
                    "r": {
                        "service": "shop",
                        "address": "",
                        "zone": "a",
                        "vm": "v",
                        "fencing": "ignored",
                    }
                },
            },
            "runners.r.address",
            id="unfenced-engine-without-agent",
        ),
        pytest.param({"surprise": 1}, "surprise", id="unknown-field"),
    ],
)
def test_invalid_patch_reports_the_field(change: object, fault: str) -> None:
    with pytest.raises(patch.PatchInvalid, match=fault):
        patch.apply_patch(
            current=document.empty(), change=msgspec.json.encode(change)
        )


@pytest.mark.parametrize(
    ("change", "field"),
    [
        pytest.param({"capacity_pieces": 2**63}, "capacity_pieces", id="top"),
        pytest.param(
            {
                "capacity_pieces": 2,
                "services": {"shop": {**SERVICE, "deadline_ms": 2**70}},
            },
            "services.shop.deadline_ms",
            id="in-a-service",
        ),
    ],
)
def test_patch_with_an_integer_over_64_bits_is_invalid(
    change: object, field: str
) -> None:
    """The integer was applied, and encoding a grant with it ended replicas."""
    with pytest.raises(patch.PatchInvalid, match=f"{field}: .*64-bit"):
        # msgspec's encoder can't write such an integer.
        patch.apply_patch(
            current=document.empty(), change=json.dumps(change).encode()
        )


def test_valid_patch_increments_the_number() -> None:
    change = {"capacity_pieces": 2, "services": {"shop": SERVICE}, "number": 9}
    result = patch.apply_patch(
        current=document.empty(), change=msgspec.json.encode(change)
    )
    assert result.number == 1
    assert result.services["shop"].share_pieces == 2


def test_regression_valid_patch_checked_every_field(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The slow check of every field must run only after a failed conversion."""
    checked_values: list[object] = []
    monkeypatch.setattr(
        patch.type_checks,
        "find_faults",
        lambda *value: checked_values.append(value) or [],
    )
    patch.apply_patch(current=document.empty(), change=b"{}")
    assert checked_values == []
