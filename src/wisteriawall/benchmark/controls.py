"""Who changes roles in a benchmark run: the planner or a baseline."""

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

__all__ = ["CHANGE_S", "Controls", "first_roles"]

CHANGE_S = 5.0
REACTIVE_WAITING_TOKENS = 4_000
REACTIVE_STREAMS_SHARE = 0.8
REACTIVE_EVERY_MS = 5_000


def first_roles(variant: variants.Variant, runners: int) -> list[fleet.Role]:
    """Return the roles that a run starts from."""
    match variant.roles:
        case variants.Roles.STATIC | variants.Roles.REACTIVE:
            prefill = max(1, round(runners * variant.prefill_share))
            decode = runners - prefill
            return [fleet.Role.PREFILL] * prefill + [fleet.Role.DECODE] * decode
        case _:
            return [fleet.Role.MIXED] * runners


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Controls:
    """Decides role changes once a second."""

    variant: variants.Variant
    deployment: workload.Deployment
    planner: roles.PlannerState = dataclasses.field(
        default_factory=roles.PlannerState
    )
    changed_ms: float = 0.0
    report_by_runner: dict[str, fleet.LoadReport] = dataclasses.field(
        default_factory=dict
    )

    def tick(
        self,
        engines: Sequence[engine_lib.Engine],
        demands: Sequence[fleet.ServiceDemand],
        now_ms: float,
        *,
        queued_tokens: int,
        target_by_runner: Mapping[str, fleet.Role],
    ) -> Iterator[roles.RoleChange]:
        """Yield the changes to carry out now.

        Args:
            engines: The fleet.
            demands: What each entry took in since the last call.
            now_ms: Now.
            queued_tokens: Work that waits at the entries, for the baseline.
            target_by_runner: Roles that changes under way will give.
        """
        match self.variant.roles:
            case variants.Roles.PLANNED:
                yield from self._plan(
                    engines, demands, now_ms, target_by_runner
                )
            case variants.Roles.REACTIVE:
                yield from self._react(engines, now_ms, queued_tokens)
            case _:
                return

    def _plan(
        self,
        engines: Sequence[engine_lib.Engine],
        demands: Sequence[fleet.ServiceDemand],
        now_ms: float,
        target_by_runner: Mapping[str, fleet.Role],
    ) -> Iterator[roles.RoleChange]:
        for demand in demands:
            roles.add_demand(self.planner, demand, now_ms=int(now_ms))
        runners = [
            roles.Runner(
                runner=e.runner,
                zone=e.zone,
                role=e.role,
                phase=e.phase,
                streams=self._streams(e),
                target_role=target_by_runner.get(e.runner),
            )
            for e in engines
        ]
        service = roles.Service(
            service=self.deployment.name,
            runners=runners,
            min_engines=self.deployment.min_engines,
            payback_s=self.deployment.payback_s,
            change_cost_s=CHANGE_S,
        )
        yield from roles.plan(self.planner, [service], now_ms=int(now_ms))

    def _react(
        self,
        engines: Sequence[engine_lib.Engine],
        now_ms: float,
        queued_tokens: int,
    ) -> Iterator[roles.RoleChange]:
        """Move one engine to the side whose load passed its threshold."""
        if now_ms - self.changed_ms < REACTIVE_EVERY_MS:
            return
        live = [e for e in engines if e.phase is fleet.RunnerPhase.LIVE]
        readers = [e for e in live if e.role is fleet.Role.PREFILL]
        writers = [e for e in live if e.role is fleet.Role.DECODE]
        if not readers or not writers:
            return
        waiting = _mean(
            r.waiting_prefill_tokens for r in self._reports(readers)
        )
        waiting += queued_tokens / len(readers)
        streams = _mean(r.running_streams for r in self._reports(writers))
        most = writers[0].speed.max_streams * REACTIVE_STREAMS_SHARE
        wants_prefill = waiting > REACTIVE_WAITING_TOKENS
        wants_decode = streams > most
        if not wants_prefill and not wants_decode:
            return
        role = fleet.Role.DECODE if wants_decode else fleet.Role.PREFILL
        source = readers if wants_decode else writers
        if len(source) < 2:
            return
        self.changed_ms = now_ms
        yield roles.RoleChange(
            service=self.deployment.name,
            runner=source[0].runner,
            role=role,
            cause="threshold",
        )

    def _streams(self, engine: engine_lib.Engine) -> int:
        report = self.report_by_runner.get(engine.runner)
        return report.running_streams if report else 0

    def _reports(
        self, engines: Sequence[engine_lib.Engine]
    ) -> Iterator[fleet.LoadReport]:
        for engine in engines:
            report = self.report_by_runner.get(engine.runner)
            if report is not None:
                yield report


def _mean(values: Iterable[int]) -> float:
    listed = list(values)
    return sum(listed) / max(1, len(listed))
