"""Tests of the role planner."""

import itertools

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


class _SimulatedFleet:
    """Runners that apply planned changes after `CHANGE_MS` of virtual time."""

    def __init__(self, count, *, min_engines, payback_s=10.0, zones=3):
        self.zones = zones
        self.planner = roles.PlannerState()
        self.role_by_runner = {f"r{i}": MIXED for i in range(count)}
        self.target_by_runner = {}
        self.done_ms_by_runner = {}
        self.min_engines = min_engines
        self.payback_s = payback_s
        self.changes = []
        self.now_ms = 0

    def run_second(self, prefill, decode, *, unknown_runners=()):
        self.now_ms += 1_000
        for runner, done_ms in list(self.done_ms_by_runner.items()):
            if done_ms <= self.now_ms:
                self.role_by_runner[runner] = self.target_by_runner.pop(runner)
                del self.done_ms_by_runner[runner]
        demand = fleet.ServiceDemand("briefs", prefill, decode)
        roles.add_demand(self.planner, demand, now_ms=self.now_ms)
        service = roles.Service(
            service="briefs",
            runners=list(self._runners(unknown_runners)),
            min_engines=self.min_engines,
            payback_s=self.payback_s,
        )
        for change in roles.plan(self.planner, [service], now_ms=self.now_ms):
            self.changes.append((self.now_ms, change))
            self.target_by_runner[change.runner] = change.role
            done_ms = self.now_ms + CHANGE_MS
            self.done_ms_by_runner[change.runner] = done_ms

    def _runners(self, unknown_runners):
        for index, (runner, role) in enumerate(self.role_by_runner.items()):
            is_changing = runner in self.done_ms_by_runner
            yield roles.Runner(
                runner=runner,
                zone=f"zone-{index % self.zones}",
                role=role,
                phase=fleet.RunnerPhase.CHANGING if is_changing else LIVE,
                is_state_known=runner not in unknown_runners,
                target_role=self.target_by_runner.get(runner),
            )

    def live_roles(self, unknown_runners=()):
        return [
            role
            for runner, role in self.role_by_runner.items()
            if runner not in self.done_ms_by_runner
            and runner not in unknown_runners
        ]


@pytest.mark.parametrize(
    ("prefill", "decode", "changes_at_most", "changes_at_least"),
    [
        pytest.param(5_000, 1_000, 0, 0, id="light load"),
        pytest.param(42_000, 300, 5, 2, id="lasting prompts"),
        pytest.param(0, 0, 0, 0, id="no load"),
    ],
)
def test_role_changes_follow_lasting_demand(
    prefill, decode, changes_at_most, changes_at_least
):
    fleet_run = _SimulatedFleet(5, min_engines=4)
    for _ in range(300):
        fleet_run.run_second(prefill, decode)
    assert changes_at_least <= len(fleet_run.changes) <= changes_at_most


def _plan_without_applying(runners, prefill, decode, *, min_engines=1):
    """Return the changes that are proposed while none is applied."""
    planner = roles.PlannerState()
    service = roles.Service(
        service="briefs", runners=runners, min_engines=min_engines
    )
    changes = []
    for now_ms in range(0, 200_000, 1_000):
        demand = fleet.ServiceDemand("briefs", prefill, decode)
        roles.add_demand(planner, demand, now_ms=now_ms)
        changes.extend(roles.plan(planner, [service], now_ms=now_ms))
    return changes


def _runner(number, role=MIXED, **fields):
    defaults = {"zone": f"zone-{number}", "phase": LIVE}
    return roles.Runner(runner=f"r{number}", role=role, **(defaults | fields))


CHANGING_TO_PREFILL = {
    "phase": fleet.RunnerPhase.CHANGING,
    "target_role": PREFILL,
}


@pytest.mark.parametrize(
    ("runners", "demand", "min_engines", "expected"),
    [
        pytest.param(
            [_runner(i) for i in range(5)],
            (36_000, 100),
            3,
            True,
            id="shortage of prefill",
        ),
        pytest.param(
            [_runner(i, is_state_known=i < 3) for i in range(5)],
            (36_000, 100),
            3,
            False,
            id="engines with unknown state do not count as serving",
        ),
        pytest.param(
            [
                _runner(0, **CHANGING_TO_PREFILL),
                _runner(1, **CHANGING_TO_PREFILL),
            ]
            + [_runner(i) for i in range(2, 5)],
            (36_000, 100),
            1,
            False,
            id="changes in progress suffice",
        ),
        pytest.param(
            [_runner(i, PREFILL) for i in range(4)] + [_runner(4)],
            (60_000, 0),
            1,
            False,
            id="last engine that decodes stays",
        ),
        pytest.param(
            [_runner(i, DECODE) for i in range(4)] + [_runner(4)],
            (0, 20_000),
            1,
            False,
            id="last engine that prefills stays",
        ),
    ],
)
def test_change_needs_a_spare_engine(runners, demand, min_engines, expected):
    changes = _plan_without_applying(runners, *demand, min_engines=min_engines)
    assert bool(changes) == expected


def test_changes_in_one_zone_keep_the_minimum_interval():
    fleet_run = _SimulatedFleet(6, min_engines=1, zones=1)
    for _ in range(200):
        fleet_run.run_second(55_000, 300)
    times = [at_ms for at_ms, _ in fleet_run.changes]
    assert len(times) >= 2
    for earlier, later in itertools.pairwise(times):
        assert later - earlier >= roles.MIN_ZONE_INTERVAL_MS


def test_short_swing_of_demand_causes_no_change():
    fleet_run = _SimulatedFleet(5, min_engines=4)
    for second in range(300):
        is_heavy = second // 25 % 2
        fleet_run.run_second(
            42_000 if is_heavy else 5_000, 300 if is_heavy else 2_000
        )
    assert not fleet_run.changes


def test_higher_payback_prevents_changes():
    low_payback = _SimulatedFleet(9, min_engines=7, payback_s=10.0)
    high_payback = _SimulatedFleet(9, min_engines=7, payback_s=2_000.0)
    for _ in range(200):
        low_payback.run_second(80_000, 500)
        high_payback.run_second(80_000, 500)
    assert low_payback.changes
    assert not high_payback.changes


RATES = st.lists(
    st.tuples(st.integers(0, 120_000), st.integers(0, 20_000)),
    min_size=1,
    max_size=12,
)


@hypothesis.given(
    rates=RATES,
    count=st.integers(1, 9),
    spare=st.integers(0, 3),
    unknown_runners=st.sets(
        st.sampled_from([f"r{i}" for i in range(9)]), max_size=2
    ),
    payback_s=st.sampled_from([0.0, 10.0]),
)
def test_minimum_engines_both_phases_and_intervals_hold(
    rates, count, spare, unknown_runners, payback_s
):
    min_engines = max(1, count - spare)
    fleet_run = _SimulatedFleet(
        count, min_engines=min_engines, payback_s=payback_s
    )
    for prefill, decode in rates:
        for _ in range(20):
            before = len(fleet_run.changes)
            fleet_run.run_second(
                prefill, decode, unknown_runners=unknown_runners
            )
            if len(fleet_run.changes) == before:
                continue
            live_roles = fleet_run.live_roles(unknown_runners)
            assert len(live_roles) >= min_engines
            assert fleet_run.changes[-1][1].runner not in unknown_runners
            assert MIXED in live_roles or {PREFILL, DECODE} <= set(live_roles)
    last_change_ms_by_zone = {}
    for at_ms, change in fleet_run.changes:
        zone = int(change.runner[1:]) % 3
        last_change_ms = last_change_ms_by_zone.get(
            zone, -roles.MIN_ZONE_INTERVAL_MS
        )
        assert at_ms - last_change_ms >= roles.MIN_ZONE_INTERVAL_MS
        last_change_ms_by_zone[zone] = at_ms
