"""Expected completion times at the runners of plain services.

The load patterns:

- Requests that cost a runner very different amounts of work. The work is
  learned by route, so that a runner's load is the work in flight and not a
  count of requests.
- Runners that stall, or are slower than others. The time of a runner's answers
  relative to those of all runners is its factor; it gets less work, and as the
  factor fades without new answers, it is tried again.
- Bursts at a few runners with a bounded queue. A request is refused only if no
  runner can finish it in time, or each of them would shed it. At how many
  requests a runner sheds is learned from its refusals.
- Many gateways that decide at once. Load events reach the others after some
  milliseconds, so the cost rises before the last slot is taken, and gateways
  differ slightly in their preferences.

A runner serves `slots` requests at once and the others in order of arrival.
Only requests that found a free slot are measured; the time of the others
depends on the queue.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
import math
from typing import final

__all__ = ["Forecast", "PlainTimes", "RunnerLoad", "choose", "retry_ms"]

# Before the first answer of a service.
PRIOR_MS = 30.0
# A route with fewer measurements is taken to be like its service.
MIN_MEASUREMENTS = 3
# Weight of one measurement in the moving averages.
TIME_SMOOTHING = 0.05
FACTOR_SMOOTHING = 0.05
# A measurement counts as at most this many times the expected one.
MAX_MEASURED_RATIO = 8.0
MIN_FACTOR = 0.3
MAX_FACTOR = 4.0
FACTOR_HALF_LIFE_MS = 20_000
MAX_ROUTES = 1_024
MAX_RUNNERS = 1_024
# Runners of the present deployments have a queue of four times their slots.
# Eight of 30 places are left free: for requests that are not known here yet,
# and since an answer after a longer queue misses its target latency.
MAX_IN_FLIGHT_PER_SLOT = 22 / 6
# A runner that shed a request is given one more after this time.
SHED_RECOVERY_MS = 500
# Runners whose factors differ by less are taken as equally fast. The noise of
# the measurements would send most requests to one of them.
MIN_FACTOR_DIFFERENCE = 0.35
# Share of a request's work that the risk of a queue costs when all slots are
# taken. It rises with the square of the taken share: while most slots are free,
# gateways stay in their zones, and don't all choose the one idle runner.
RISK_SHARE = 0.4
CROSS_ZONE_COST_MS = 4.0
# Largest difference between gateways in the cost of a queue, as a share of it.
SPREAD_SHARE = 0.15
# Standard deviations of a completion time that must fit before the deadline.
DEADLINE_DEVIATIONS = 1.0
MIN_RETRY_MS = 50.0


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RunnerLoad:
    """Load of one runner that may serve the request.

    Attributes:
        upstream_id: The runner.
        start_id: The runner's present start.
        slots: Requests that it serves at once.
        in_flight: Requests of all gateways that it has not finished.
        work_ms: Expected work of these requests, at a typical runner.
        same_zone: Whether it is in the gateway's zone.
        preference: Number from 0 to 1 that differs between gateways.
    """

    upstream_id: str
    start_id: str
    slots: int
    in_flight: int
    work_ms: float
    same_zone: bool
    preference: float


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Forecast:
    """Expected times of a request at one runner.

    Attributes:
        load: The runner.
        wait_ms: Time until a slot is free.
        run_ms: Time in the slot.
        factor: Learned factor of the runner.
        max_in_flight: Requests from which on the runner sheds.
        cost_ms: Time to the completion, with the cost of risk and distance.
    """

    load: RunnerLoad
    wait_ms: float
    run_ms: float
    factor: float
    max_in_flight: int
    cost_ms: float

    @property
    def completion_ms(self) -> float:
        """Return the expected time to the completion."""
        return self.wait_ms + self.run_ms

    @property
    def is_mostly_idle(self) -> bool:
        """Return whether half of the slots are free."""
        return 2 * self.load.in_flight <= self.load.slots


@final
@dataclasses.dataclass(slots=True)
class _RouteTime:
    """Decaying mean and variance of the times of one route."""

    mean_ms: float
    variance: float
    count: int


@final
@dataclasses.dataclass(slots=True)
class _Runner:
    """Learned factor of a runner, and the requests from which on it sheds."""

    factor: float = 1.0
    measured_ms: int = 0
    shed_at: int = 0
    shed_ms: int = 0


@final
class PlainTimes:
    """Learned times by service and route, and factors by runner start."""

    __slots__ = ("_runner_by_start", "_time_by_route")

    def __init__(self) -> None:
        self._time_by_route: dict[tuple[str, str], _RouteTime] = {}
        self._runner_by_start: dict[str, _Runner] = {}

    def work_ms(self, service: str, route: str) -> float:
        """Return the expected work of a request at a typical runner."""
        known = self._known(service, route)
        return known.mean_ms if known else PRIOR_MS

    def is_measured(self, service: str, route: str) -> bool:
        """Return whether enough is known to compare runners by a request."""
        return self._known(service, route) is not None

    def deviation_ms(self, service: str, route: str) -> float:
        """Return the standard deviation of the work of a route's requests."""
        known = self._known(service, route)
        return math.sqrt(known.variance) if known else PRIOR_MS

    def add_time(self, service: str, route: str, measured_ms: float) -> None:
        """Learn from a request that found a free slot.

        An empty route stands for all routes of the service, of which other
        gateways tell.
        """
        known = self._time_by_route.get((service, route))
        if known is None:
            if len(self._time_by_route) >= MAX_ROUTES:
                del self._time_by_route[next(iter(self._time_by_route))]
            self._time_by_route[service, route] = _RouteTime(
                max(1.0, measured_ms), (measured_ms / 2) ** 2, 1
            )
            return
        known.count += 1
        weight = max(TIME_SMOOTHING, 1 / known.count)
        measured_ms = min(measured_ms, MAX_MEASURED_RATIO * known.mean_ms)
        difference_ms = measured_ms - known.mean_ms
        known.mean_ms = max(1.0, known.mean_ms + weight * difference_ms)
        known.variance += weight * (difference_ms**2 - known.variance)

    def add_ratio(self, start_id: str, ratio: float, now_ms: int) -> None:
        """Learn from a measured time divided by the expected one."""
        runner = self._runner(start_id)
        factor = _factor(runner, now_ms)
        factor += FACTOR_SMOOTHING * (min(MAX_MEASURED_RATIO, ratio) - factor)
        runner.factor = min(MAX_FACTOR, max(MIN_FACTOR, factor))
        runner.measured_ms = now_ms

    def add_shed(self, start_id: str, in_flight: int, now_ms: int) -> None:
        """Learn that a runner shed one of so many requests."""
        runner = self._runner(start_id)
        runner.shed_at, runner.shed_ms = max(1, in_flight), now_ms

    def drop_unlisted(self, listed: Collection[str]) -> None:
        """Forget runners that are no longer listed."""
        for start_id in set(self._runner_by_start).difference(listed):
            del self._runner_by_start[start_id]

    def forecast(
        self, load: RunnerLoad, service: str, route: str, now_ms: int
    ) -> Forecast:
        """Return the expected times of a route's request at a runner."""
        slots = max(1, load.slots)
        runner = self._runner_by_start.get(load.start_id)
        factor = _factor(runner, now_ms) if runner else 1.0
        if abs(factor - 1.0) < MIN_FACTOR_DIFFERENCE:
            factor = 1.0
        run_ms = factor * self.work_ms(service, route)
        wait_ms = 0.0
        if load.in_flight >= slots:
            ahead = (load.in_flight - slots + 1) / load.in_flight
            wait_ms = factor * load.work_ms * ahead / slots
        return Forecast(
            load=load,
            wait_ms=wait_ms,
            run_ms=run_ms,
            factor=factor,
            max_in_flight=_max_in_flight(runner, slots, now_ms),
            cost_ms=wait_ms * (1 + SPREAD_SHARE * load.preference)
            + run_ms
            + RISK_SHARE * run_ms * (load.in_flight / slots) ** 2
            + (0.0 if load.same_zone else CROSS_ZONE_COST_MS),
        )

    def _known(self, service: str, route: str) -> _RouteTime | None:
        for key in (service, route), (service, ""):
            known = self._time_by_route.get(key)
            if known is not None and known.count >= MIN_MEASUREMENTS:
                return known
        return None

    def _runner(self, start_id: str) -> _Runner:
        runner = self._runner_by_start.get(start_id)
        if runner is None:
            if len(self._runner_by_start) >= MAX_RUNNERS:
                del self._runner_by_start[next(iter(self._runner_by_start))]
            runner = self._runner_by_start[start_id] = _Runner()
        return runner


def choose(
    forecasts: Iterable[Forecast],
    *,
    remaining_ms: float,
    deviation_ms: float,
    at_most_once: bool,
) -> Forecast | None:
    """Return the runner for a request, None if none can finish it in time.

    Args:
        forecasts: Runners that may serve it.
        remaining_ms: Time until the caller's deadline.
        deviation_ms: Standard deviation of the work of such requests.
        at_most_once: Whether the request must not run twice. It then goes to
            the runner with the most free slots.
    """

    def fits(forecast: Forecast) -> bool:
        spread_ms = forecast.factor * deviation_ms * DEADLINE_DEVIATIONS
        return forecast.is_mostly_idle or (
            forecast.load.in_flight < forecast.max_in_flight
            and forecast.completion_ms + spread_ms <= remaining_ms
        )

    key: Callable[[Forecast], tuple[float, float]] = (
        _risk if at_most_once else _cost
    )
    return min(filter(fits, forecasts), key=key, default=None)


def retry_ms(forecasts: Iterable[Forecast], jitter: float) -> float:
    """Return when a runner's queue is about half as long as now.

    Args:
        forecasts: Runners of which none can serve the request now.
        jitter: Number from 0 to 1 that spreads the callers over the time in
            which the rest of the queue is served.
    """
    wait_ms = min((forecast.wait_ms for forecast in forecasts), default=0.0)
    return max(MIN_RETRY_MS, wait_ms / 2) * (1 + jitter)


def _cost(forecast: Forecast) -> tuple[float, float]:
    return forecast.cost_ms, forecast.load.preference


def _risk(forecast: Forecast) -> tuple[float, float]:
    return forecast.load.in_flight / max(1, forecast.load.slots), (
        forecast.cost_ms
    )


def _factor(runner: _Runner, now_ms: int) -> float:
    age_ms = max(0, now_ms - runner.measured_ms)
    return 1.0 + (runner.factor - 1.0) * math.pow(
        0.5, age_ms / FACTOR_HALF_LIFE_MS
    )


def _max_in_flight(runner: _Runner | None, slots: int, now_ms: int) -> int:
    limit = max(slots, round(MAX_IN_FLIGHT_PER_SLOT * slots))
    if runner is None or not runner.shed_at:
        return limit
    regained = max(0, now_ms - runner.shed_ms) // SHED_RECOVERY_MS
    return min(limit, runner.shed_at + regained)
