"""Role planner."""

import hypothesis
from hypothesis import strategies as st
import pytest

from wisteriawall.policy import roles
from wisteriawall.wire import fleet

MIXED, PREFILL, DECODE = (
    fleet.Role.MIXED,
    fleet.Role.PREFILL,
    fleet.Role.DECODE,
)
LIVE = fleet.RunnerPhase.LIVE
CHANGE_MS = 8_000


class _Fleet:
    """Runners that carry out what the planner orders, in virtual time."""

    def __init__(self, count, *, min_engines, payback_s=10.0, role=MIXED):
        self.planner = roles.Planner()
        self.role_by_runner = {f"r{i}": role for i in range(count)}
        self.target_by_runner = {}
        self.back_ms_by_runner = {}
        self.min_engines = min_engines
        self.payback_s = payback_s
        self.changes = []
        self.now_ms = 0

    def second(self, prefill, decode, *, unclear=()):
        self.now_ms += 1_000
        for runner, back_ms in list(self.back_ms_by_runner.items()):
            if back_ms <= self.now_ms:
                self.role_by_runner[runner] = self.target_by_runner.pop(runner)
                del self.back_ms_by_runner[runner]
        demand = fleet.ServiceDemand("briefs", prefill, decode)
        roles.observe(self.planner, demand, now_ms=self.now_ms)
        service = roles.Service(
            service="briefs",
            runners=list(self._runners(unclear)),
            min_engines=self.min_engines,
            payback_s=self.payback_s,
        )
        for change in roles.plan(self.planner, [service], now_ms=self.now_ms):
            self.changes.append((self.now_ms, change))
            self.target_by_runner[change.runner] = change.role
            back_ms = self.now_ms + CHANGE_MS
            self.back_ms_by_runner[change.runner] = back_ms

    def _runners(self, unclear):
        for index, (runner, role) in enumerate(self.role_by_runner.items()):
            away = runner in self.back_ms_by_runner
            yield roles.Runner(
                runner=runner,
                zone=f"zone-{index % 3}",
                role=role,
                phase=fleet.RunnerPhase.CHANGING if away else LIVE,
                is_clear=runner not in unclear,
                target=self.target_by_runner.get(runner),
            )

    def live(self, unclear=()):
        return [
            role
            for runner, role in self.role_by_runner.items()
            if runner not in self.back_ms_by_runner and runner not in unclear
        ]


@pytest.mark.parametrize(
    ("prefill", "decode", "changes_at_most", "changes_at_least"),
    [
        pytest.param(5_000, 1_000, 0, 0, id="light load"),
        pytest.param(42_000, 300, 5, 2, id="lasting prompts"),
        pytest.param(0, 0, 0, 0, id="nothing"),
    ],
)
def test_changes_follow_lasting_token_demand(
    prefill, decode, changes_at_most, changes_at_least
):
    run = _Fleet(5, min_engines=4)
    for _ in range(300):
        run.second(prefill, decode)
    assert changes_at_least <= len(run.changes) <= changes_at_most


def test_a_short_swing_moves_no_engine():
    run = _Fleet(5, min_engines=4)
    for second in range(300):
        heavy = second // 10 % 2
        run.second(42_000 if heavy else 5_000, 300 if heavy else 2_000)
    assert not run.changes


def test_a_higher_weight_makes_fewer_changes():
    light = _Fleet(9, min_engines=7, payback_s=10.0)
    heavy = _Fleet(9, min_engines=7, payback_s=2_000.0)
    for _ in range(200):
        light.second(80_000, 500)
        heavy.second(80_000, 500)
    assert light.changes
    assert not heavy.changes


def test_changes_under_way_count():
    run = _Fleet(9, min_engines=2)
    for _ in range(300):
        run.second(70_000, 2_000)
    assert 0 < len(run.changes) <= 9


RATES = st.lists(
    st.tuples(st.integers(0, 120_000), st.integers(0, 20_000)),
    min_size=1,
    max_size=12,
)


@hypothesis.given(
    rates=RATES,
    count=st.integers(1, 9),
    spare=st.integers(0, 3),
    unclear=st.sets(st.sampled_from([f"r{i}" for i in range(9)]), max_size=2),
    payback_s=st.sampled_from([0.0, 10.0]),
)
def test_share_needed_roles_and_spacing_hold(
    rates, count, spare, unclear, payback_s
):
    min_engines = max(1, count - spare)
    run = _Fleet(count, min_engines=min_engines, payback_s=payback_s)
    for prefill, decode in rates:
        for _ in range(20):
            before = len(run.changes)
            run.second(prefill, decode, unclear=unclear)
            if len(run.changes) == before:
                continue
            live = run.live(unclear)
            assert len(live) >= min_engines
            assert run.changes[-1][1].runner not in unclear
            assert MIXED in live or {PREFILL, DECODE} <= set(live)
    by_zone = {}
    for at_ms, change in run.changes:
        zone = int(change.runner[1:]) % 3
        last_ms = by_zone.get(zone, -roles.ZONE_SPACING_MS)
        assert at_ms - last_ms >= roles.ZONE_SPACING_MS
        by_zone[zone] = at_ms
