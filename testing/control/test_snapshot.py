"""Tests of `wisteriawall.control.snapshot`."""

from collections import OrderedDict
import copy
import dataclasses

import msgspec
import pytest

from wisteriawall.control import commands
from wisteriawall.control import ledger
from wisteriawall.control import snapshot
from wisteriawall.control import state
from wisteriawall.wire import fleet

CHANGE = {
    "capacity_pieces": 2,
    "services": {
        "s": {"kind": "model", "share_pieces": 1, "models": ["m"]},
        "p": {"kind": "plain", "share_pieces": 1},
    },
    "runners": {
        "r1": {"service": "s", "address": "h:1", "zone": "a", "vm": "v"}
    },
}
COMMANDS = [
    commands.RecordLeader("a", 1),
    commands.PatchConfig("p1", "op", 0, msgspec.json.encode(CHANGE), 2),
    commands.PatchConfig("p2", "op", 0, b"{}", 3),
    commands.GrantClaim("acme", "p", "key", "digest", "q1", "e1", 1, 4),
    commands.IssueOrder(
        "r1", fleet.OrderAction.SET_ROLE, "decode", "test", 5, 1
    ),
    commands.SetDrain("r1", True, "op", 6, "d1"),
]
LATER_COMMANDS = [
    commands.PatchConfig("p1", "op", 0, msgspec.json.encode(CHANGE), 7),
    commands.SettleClaim(
        4, "q1", False, fleet.StoredAnswer(200, "text/plain", b"done"), 8
    ),
    commands.GrantClaim("acme", "p", "key", "digest", "q2", "e2", 1, 9),
]


def test_restored_ledger_behaves_like_the_original() -> None:
    source_ledger = state.Ledger()
    for index, command in enumerate(COMMANDS, 1):
        ledger.apply(source_ledger, index=index, term=1, command=command)
    restored = snapshot.decode(snapshot.encode(source_ledger))
    assert restored == source_ledger
    for name in (field.name for field in dataclasses.fields(source_ledger)):
        kept, found = getattr(source_ledger, name), getattr(restored, name)
        assert type(found) is type(kept)
        if isinstance(kept, OrderedDict | dict):
            assert list(found) == list(kept)
    assert source_ledger.claim_by_key
    earlier_copy = copy.deepcopy(source_ledger)
    for index, command in enumerate(LATER_COMMANDS, 100):
        outcomes = [
            ledger.apply(tested_ledger, index=index, term=2, command=command)
            for tested_ledger in (source_ledger, restored)
        ]
        assert outcomes[0] == outcomes[1]
    assert restored == source_ledger != earlier_copy


def test_damaged_snapshot_is_reported() -> None:
    assert snapshot.decode(b"") == state.Ledger()
    with pytest.raises(snapshot.SnapshotDamaged, match="expected a ledger"):
        snapshot.decode(b"\x93\x01\x02\x03")
