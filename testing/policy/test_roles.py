"""Role planner."""

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


class _Fleet:
    """Runners that carry out what the planner orders, in virtual time."""

    def __init__(self, count, *, min_engines, payback_s=10.0, zones=3):
        self.zones = zones
        self.planner = roles.Planner()
        self.role_by_runner = {f"r{i}": MIXED for i in range(count)}
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
                zone=f"zone-{index % self.zones}",
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


def _plan_standing_still(runners, prefill, decode, *, min_engines=1):
    """Return the changes proposed to a fleet that carries none out."""
    planner = roles.Planner()
    service = roles.Service(
        service="briefs", runners=runners, min_engines=min_engines
    )
    changes = []
    for now_ms in range(0, 200_000, 1_000):
        demand = fleet.ServiceDemand("briefs", prefill, decode)
        roles.observe(planner, demand, now_ms=now_ms)
        changes.extend(roles.plan(planner, [service], now_ms=now_ms))
    return changes


def _runner(number, role=MIXED, **fields):
    defaults = {"zone": f"zone-{number}", "phase": LIVE}
    return roles.Runner(runner=f"r{number}", role=role, **(defaults | fields))


UNDER_WAY = {"phase": fleet.RunnerPhase.CHANGING, "target": PREFILL}


@pytest.mark.parametrize(
    ("runners", "demand", "min_engines", "wanted"),
    [
        pytest.param(
            [_runner(i) for i in range(5)], (36_000, 100), 3, True, id="short"
        ),
        pytest.param(
            [_runner(i, is_clear=i < 3) for i in range(5)],
            (36_000, 100),
            3,
            False,
            id="unclear engines are lost to the share",
        ),
        pytest.param(
            [_runner(0, **UNDER_WAY), _runner(1, **UNDER_WAY)]
            + [_runner(i) for i in range(2, 5)],
            (36_000, 100),
            1,
            False,
            id="changes under way are enough",
        ),
        pytest.param(
            [_runner(i, PREFILL) for i in range(4)] + [_runner(4)],
            (60_000, 0),
            1,
            False,
            id="the last decoder stays",
        ),
        pytest.param(
            [_runner(i, DECODE) for i in range(4)] + [_runner(4)],
            (0, 20_000),
            1,
            False,
            id="the last reader of prompts stays",
        ),
    ],
)
def test_a_change_needs_a_free_engine(runners, demand, min_engines, wanted):
    changes = _plan_standing_still(runners, *demand, min_engines=min_engines)
    assert bool(changes) == wanted


def test_changes_in_one_zone_are_spaced():
    run = _Fleet(6, min_engines=1, zones=1)
    for _ in range(200):
        run.second(55_000, 300)
    times = [at_ms for at_ms, _ in run.changes]
    assert len(times) >= 2
    for earlier, later in itertools.pairwise(times):
        assert later - earlier >= roles.MIN_ZONE_INTERVAL_MS


def test_a_short_swing_moves_no_engine():
    run = _Fleet(5, min_engines=4)
    for second in range(300):
        heavy = second // 25 % 2
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
        last_ms = by_zone.get(zone, -roles.MIN_ZONE_INTERVAL_MS)
        assert at_ms - last_ms >= roles.MIN_ZONE_INTERVAL_MS
        by_zone[zone] = at_ms
