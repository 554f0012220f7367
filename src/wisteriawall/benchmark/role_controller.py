"""Role changes in a simulated run, by the planner or by a baseline."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import final

from wisteriawall.benchmark import engine as engine_lib
from wisteriawall.benchmark import variants
from wisteriawall.benchmark import workload
from wisteriawall.policy import roles
from wisteriawall.wire import fleet

__all__ = ["ROLE_CHANGE_S", "RoleController", "initial_roles"]

ROLE_CHANGE_S = 5.0
REACTIVE_WAITING_TOKENS = 4_000
REACTIVE_STREAMS_SHARE = 0.8
REACTIVE_INTERVAL_MS = 5_000


def initial_roles(
    variant: variants.Variant, runner_count: int
) -> list[fleet.Role]:
    """Return the role of each runner at the start of a run."""
    match variant.roles:
        case (
            variants.RoleAssignment.STATIC_SPLIT
            | variants.RoleAssignment.REACTIVE
        ):
            prefill_count = max(1, round(runner_count * variant.prefill_share))
            decode_count = runner_count - prefill_count
            return [fleet.Role.PREFILL] * prefill_count + [
                fleet.Role.DECODE
            ] * decode_count
        case _:
            return [fleet.Role.MIXED] * runner_count


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class RoleController:
    """Decides role changes; the simulation calls it once a second.

    `load_report_by_runner` holds the latest report of each runner, and
    `last_change_ms` the time of the reactive baseline's last change.
    """

    variant: variants.Variant
    deployment: workload.Deployment
    planner_state: roles.PlannerState = dataclasses.field(
        default_factory=roles.PlannerState
    )
    last_change_ms: float = 0.0
    load_report_by_runner: dict[str, fleet.LoadReport] = dataclasses.field(
        default_factory=dict
    )

    def decide_changes(
        self,
        engines: Sequence[engine_lib.Engine],
        demands: Sequence[fleet.ServiceDemand],
        now_ms: float,
        *,
        queued_tokens: int,
        target_by_runner: Mapping[str, fleet.Role],
    ) -> Iterator[roles.RoleChange]:
        """Yield the role changes to start now.

        Args:
            engines: All engines of the deployment.
            demands: Tokens that each entry received since the last call.
            now_ms: Virtual time.
            queued_tokens: Tokens queued at the entries; only the reactive
                baseline uses them.
            target_by_runner: New role of each engine whose role is changing.
        """
        match self.variant.roles:
            case variants.RoleAssignment.PLANNED:
                yield from self._plan_changes(
                    engines, demands, now_ms, target_by_runner
                )
            case variants.RoleAssignment.REACTIVE:
                yield from self._react_to_load(engines, now_ms, queued_tokens)
            case _:
                return

    def _plan_changes(
        self,
        engines: Sequence[engine_lib.Engine],
        demands: Sequence[fleet.ServiceDemand],
        now_ms: float,
        target_by_runner: Mapping[str, fleet.Role],
    ) -> Iterator[roles.RoleChange]:
        for demand in demands:
            roles.add_demand(self.planner_state, demand, now_ms=int(now_ms))
        runners = [
            roles.Runner(
                runner=engine.runner,
                zone=engine.zone,
                role=engine.role,
                phase=engine.phase,
                streams=self._reported_streams(engine),
                target_role=target_by_runner.get(engine.runner),
            )
            for engine in engines
        ]
        service = roles.Service(
            service=self.deployment.name,
            runners=runners,
            min_engines=self.deployment.min_engines,
            payback_s=self.deployment.payback_s,
            change_cost_s=ROLE_CHANGE_S,
        )
        yield from roles.plan(self.planner_state, [service], now_ms=int(now_ms))

    def _react_to_load(
        self,
        engines: Sequence[engine_lib.Engine],
        now_ms: float,
        queued_tokens: int,
    ) -> Iterator[roles.RoleChange]:
        """Move one engine to the role whose load exceeds its threshold."""
        if now_ms - self.last_change_ms < REACTIVE_INTERVAL_MS:
            return
        live_engines = [
            engine
            for engine in engines
            if engine.phase is fleet.RunnerPhase.LIVE
        ]
        prefill_engines = [
            engine
            for engine in live_engines
            if engine.role is fleet.Role.PREFILL
        ]
        decode_engines = [
            engine
            for engine in live_engines
            if engine.role is fleet.Role.DECODE
        ]
        if not prefill_engines or not decode_engines:
            return
        waiting_tokens = _mean(
            report.waiting_prefill_tokens
            for report in self._latest_reports(prefill_engines)
        )
        waiting_tokens += queued_tokens / len(prefill_engines)
        streams = _mean(
            report.running_streams
            for report in self._latest_reports(decode_engines)
        )
        streams_threshold = (
            decode_engines[0].speed.max_streams * REACTIVE_STREAMS_SHARE
        )
        needs_prefill = waiting_tokens > REACTIVE_WAITING_TOKENS
        needs_decode = streams > streams_threshold
        if not needs_prefill and not needs_decode:
            return
        role = fleet.Role.DECODE if needs_decode else fleet.Role.PREFILL
        movable = prefill_engines if needs_decode else decode_engines
        if len(movable) < 2:
            return
        self.last_change_ms = now_ms
        yield roles.RoleChange(
            service=self.deployment.name,
            runner=movable[0].runner,
            role=role,
            cause="threshold",
        )

    def _reported_streams(self, engine: engine_lib.Engine) -> int:
        report = self.load_report_by_runner.get(engine.runner)
        return report.running_streams if report else 0

    def _latest_reports(
        self, engines: Sequence[engine_lib.Engine]
    ) -> Iterator[fleet.LoadReport]:
        for engine in engines:
            report = self.load_report_by_runner.get(engine.runner)
            if report is not None:
                yield report


def _mean(values: Iterable[int]) -> float:
    listed = list(values)
    return sum(listed) / max(1, len(listed))
