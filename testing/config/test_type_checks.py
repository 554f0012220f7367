"""Tests that a patch reports every invalid field of the document.

They cover the modules `type_checks` and `validation` of `wisteriawall.config`.
"""

import msgspec
import pytest

from wisteriawall.config import document
from wisteriawall.config import patch

SERVICE = {"kind": "model", "share_pieces": 2, "models": ["m"]}
RUNNER = {"service": "s", "address": "h:1", "zone": "a", "vm": "v"}
DIGEST = "0" * 64


@pytest.mark.parametrize(
    ("change", "paths"),
    [
        pytest.param(
            {
                "capacity_pieces": "many",
                "services": {"s": SERVICE | {"deadline_ms": "x", "odd": 1}},
                "runners": {"r": {"service": 3}},
            },
            [
                "capacity_pieces",
                "services.s.deadline_ms",
                "services.s.odd",
                "runners.r.service",
                "runners.r.address",
                "runners.r.zone",
                "runners.r.vm",
            ],
            id="wrong-types",
        ),
        pytest.param(
            {
                "capacity_pieces": 2,
                "weight_store": {"fetches_at_once": 0},
                "services": {
                    "s": SERVICE
                    | {"limits": {"max_queued": 0}, "version": "1@2"}
                },
                "runners": {
                    "r": RUNNER | {"model": "other"},
                    "q": RUNNER | {"feed": "nowhere", "zone": ""},
                },
                "accounts": {
                    "a": {"token_digest": "secret"},
                    "b": {"token_digest": DIGEST, "weight": 0},
                    "c": {"token_digest": DIGEST},
                },
            },
            [
                "weight_store.fetches_at_once",
                "services.s.limits.max_queued",
                "services.s.version",
                "runners.r.model",
                "runners.q.zone",
                "runners.q.feed",
                "runners.q.address",
                "accounts.a.token_digest",
                "accounts.b.weight",
                "accounts.c.token_digest",
            ],
            id="invalid-values",
        ),
        pytest.param({"services": 7}, ["services"], id="section-is-no-object"),
    ],
)
def test_patch_reports_every_invalid_field(
    change: dict[str, object], paths: list[str]
) -> None:
    with pytest.raises(patch.PatchInvalid) as caught:
        patch.apply_patch(
            current=document.empty(), change=msgspec.json.encode(change)
        )
    reported_paths = [fault.partition(":")[0] for fault in caught.value.faults]
    assert sorted(reported_paths) == sorted(paths)
