"""Learned prefill speeds of engines, relative to the nominal speeds.

The load patterns:

- Deployments whose engines differ from the nominal ones by a factor of up to
  three. A gateway sees a few prompts a second at first, so the speed of a
  service's engines is learned from all of them together. An engine of which
  little is known is taken to have that speed, also after its restart.
- Engines of different speed in one service. Each has a factor of its own, which
  counts the more, the more recent measurements there are.
- Stalls of half a second at several times the cost, and wrong guesses of an
  engine's queue or KV cache. They are a minority of the measurements, so the
  speed is their median. What stalls add on average is learned for the service
  as a whole, since a stall says nothing about the engine's next one.

A measurement is the ratio of the measured prefill time to the nominal one. The
gateway that sent the prompt takes it and broadcasts it, so that all gateways
learn the same. Prefill engines and decode engines are kept apart.
"""

from collections import deque
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import math
from typing import final

__all__ = [
    "MIN_NOMINAL_MS",
    "EngineSpeed",
    "ServiceSpeed",
    "SpeedReport",
    "Speeds",
]

# Shorter prefills measure the network more than the engine.
MIN_NOMINAL_MS = 30.0
# A measurement outside is taken as the nearest value inside.
MIN_RATIO = 0.1
MAX_RATIO = 10.0
# At 3 prompts a second and engine, an engine's last 15 took about 5 s.
ENGINE_MEASUREMENTS = 15
SERVICE_MEASUREMENTS = 96
# The value that is known without measurements counts as many as these.
SERVICE_PRIOR_MEASUREMENTS = 2.0
ENGINE_PRIOR_MEASUREMENTS = 3.0
# Once the service has this many measurements, its median changes slowly and is
# computed only after every `MEDIAN_INTERVAL` of them, to save processor time.
STEADY_MEASUREMENTS = 16
MEDIAN_INTERVAL = 32
# Measurements of an engine lose half of their weight in this time, so that an
# engine that was slow is tried again.
HALF_LIFE_MS = 30_000
# What is learned of one stage counts half for the other, as both change with
# the kind of engine.
OTHER_STAGE_SHARE = 0.5
# Logarithmic spread of the ratios before there are enough measurements.
PRIOR_SPREAD = 0.4
# Fewer measurements of an engine don't tell a stall from its speed.
MIN_MEASUREMENTS_FOR_STALLS = 5
STALL_SMOOTHING = 0.02
MAX_STALL_RATIO = 4.0
# 15 % of the time at 2.5 times the cost make 1.23.
MAX_STALL_FACTOR = 1.6
OVERHEAD_MEASUREMENTS = 31
OVERHEAD_PRIOR_MEASUREMENTS = 8.0
MAX_OVERHEAD_MS = 80.0
# Above the number of services of any deployment.
MAX_SERVICES = 256


@final
class ServiceSpeed:
    """Speed of all engines of a service in one stage.

    Attributes:
        log_ratio: Logarithm of the typical ratio.
        spread: Typical distance of a measurement from `log_ratio`.
        stall_factor: Mean cost of a prefill divided by its typical cost.
        ratio: Typical ratio with the mean of stalls.
        revision: Number of times that `log_ratio` was computed.
        measurements: Number of measurements in use.
        overhead_ms: Time from the end of a prefill to its report.
    """

    __slots__ = (
        "_measured",
        "_other",
        "_overheads",
        "_prior_overhead_ms",
        "_since_median",
        "log_ratio",
        "overhead_ms",
        "ratio",
        "revision",
        "spread",
        "stall_factor",
    )

    def __init__(self, *, prior_overhead_ms: float = 0.0) -> None:
        self._measured: deque[tuple[float, float]] = deque(
            maxlen=SERVICE_MEASUREMENTS
        )
        self._overheads: deque[float] = deque(maxlen=OVERHEAD_MEASUREMENTS)
        self._other: ServiceSpeed | None = None
        self._since_median = 0
        self._prior_overhead_ms = prior_overhead_ms
        self.log_ratio = 0.0
        self.spread = PRIOR_SPREAD
        self.stall_factor = 1.0
        self.ratio = 1.0
        self.revision = 0
        self.overhead_ms = prior_overhead_ms

    @property
    def measurements(self) -> int:
        """Return the number of measurements in use."""
        return len(self._measured)

    def set_other_stage(self, other: "ServiceSpeed") -> None:
        """Set the speed of the service's engines in the other stage."""
        self._other = other

    def add(self, log_ratio: float, weight: float) -> None:
        """Add one measurement; a longer prefill has a larger weight."""
        self._measured.append((log_ratio, weight))
        self._since_median += 1
        if (
            len(self._measured) >= STEADY_MEASUREMENTS
            and self._since_median < MEDIAN_INTERVAL
        ):
            return
        self._since_median = 0
        self._update()
        if self._other is not None and not self._other._measured:
            self._other._update()

    def add_stall_ratio(self, ratio: float) -> None:
        """Add the cost of a prefill, divided by what its engine needs."""
        ratio = min(MAX_STALL_RATIO, ratio)
        factor = self.stall_factor + STALL_SMOOTHING * (
            ratio - self.stall_factor
        )
        self.stall_factor = min(MAX_STALL_FACTOR, max(1.0, factor))

    def add_overhead(self, overhead_ms: float) -> None:
        """Add the part of a measured time that is not prefill."""
        self._overheads.append(min(MAX_OVERHEAD_MS, max(0.0, overhead_ms)))
        middle = sorted(self._overheads)[len(self._overheads) // 2]
        self.overhead_ms = _shrink(
            middle,
            len(self._overheads),
            self._prior_overhead_ms,
            OVERHEAD_PRIOR_MEASUREMENTS,
        )

    def _update(self) -> None:
        self.revision += 1
        prior = (
            OTHER_STAGE_SHARE * self._other.log_ratio
            if self._other is not None and self._other._measured
            else 0.0
        )
        if not self._measured:
            self.log_ratio = prior
            self.ratio = math.exp(prior)
            return
        middle = _weighted_median(self._measured)
        count = len(self._measured)
        self.log_ratio = _shrink(
            middle, count, prior, SERVICE_PRIOR_MEASUREMENTS
        )
        self.ratio = math.exp(self.log_ratio) * self.stall_factor
        deviation = _weighted_median(
            (abs(log_ratio - middle), weight)
            for log_ratio, weight in self._measured
        )
        self.spread = _shrink(
            deviation, count, PRIOR_SPREAD, SERVICE_PRIOR_MEASUREMENTS
        )


@final
class EngineSpeed:
    """Speed of one engine, which starts from that of its service."""

    __slots__ = (
        "_last_ms",
        "_log_ratio",
        "_measured",
        "_typical",
        "_weight",
        "service",
    )

    def __init__(self, service: ServiceSpeed) -> None:
        self.service = service
        self._measured: deque[tuple[float, float]] = deque(
            maxlen=ENGINE_MEASUREMENTS
        )
        self._last_ms = 0
        self._log_ratio: float | None = None
        self.update(0)

    @property
    def typical(self) -> float:
        """Return the ratio of a typical prefill, without stalls."""
        return self._typical

    @property
    def slowdown(self) -> float:
        """Return the expected ratio of a prefill, with the mean of stalls."""
        return self._typical * self.service.stall_factor

    @property
    def uncertainty(self) -> float:
        """Return the standard error of `slowdown`, as a share of it."""
        return self.service.spread * math.sqrt(
            ENGINE_PRIOR_MEASUREMENTS
            / (self._weight + ENGINE_PRIOR_MEASUREMENTS)
        )

    def add(self, ratio: float, *, nominal_ms: float, now_ms: int) -> None:
        """Add one measured prefill; `update` takes it into account.

        Args:
            ratio: Measured prefill time divided by the nominal one.
            nominal_ms: Nominal prefill time.
            now_ms: Monotonic clock.
        """
        ratio = min(MAX_RATIO, max(MIN_RATIO, ratio))
        if len(self._measured) >= MIN_MEASUREMENTS_FOR_STALLS:
            self.service.add_stall_ratio(ratio / self._typical)
        log_ratio = math.log(ratio)
        self.service.add(log_ratio, nominal_ms)
        self._measured.append((log_ratio, nominal_ms))
        self._log_ratio = None
        self._last_ms = now_ms

    def update(self, now_ms: int) -> None:
        """Compute the speed from the measurements and their age."""
        self._weight = 0.0
        if self._measured:
            if self._log_ratio is None:
                self._log_ratio = _weighted_median(self._measured)
            age_ms = max(0, now_ms - self._last_ms)
            self._weight = len(self._measured) * math.pow(
                0.5, age_ms / HALF_LIFE_MS
            )
        self._typical = math.exp(
            _shrink(
                self._log_ratio or 0.0,
                self._weight,
                self.service.log_ratio,
                ENGINE_PRIOR_MEASUREMENTS,
            )
        )


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class SpeedReport:
    """What is learned of a service's engines in one stage, for the log."""

    service: str
    is_prefill_engine: bool
    ratio: float
    spread: float
    stall_factor: float
    overhead_ms: float
    measurements: int


@final
class Speeds:
    """Learned speeds of all services; the oldest is dropped at the limit."""

    __slots__ = ("_prior_overhead_ms", "_speed_by_key")

    def __init__(self, *, prior_overhead_ms: float = 0.0) -> None:
        self._prior_overhead_ms = prior_overhead_ms
        self._speed_by_key: dict[tuple[str, bool], ServiceSpeed] = {}

    def service_speed(
        self, service: str, *, is_prefill_engine: bool
    ) -> ServiceSpeed:
        """Return the speed of a service's engines in one stage."""
        speed = self._speed_by_key.get((service, is_prefill_engine))
        if speed is not None:
            return speed
        while len(self._speed_by_key) >= 2 * MAX_SERVICES:
            del self._speed_by_key[next(iter(self._speed_by_key))]
        prefill, decode = (
            ServiceSpeed(prior_overhead_ms=self._prior_overhead_ms)
            for _ in range(2)
        )
        prefill.set_other_stage(decode)
        decode.set_other_stage(prefill)
        self._speed_by_key[service, True] = prefill
        self._speed_by_key[service, False] = decode
        return prefill if is_prefill_engine else decode

    def report(self) -> Iterator[SpeedReport]:
        """Yield what is learned of each service and stage."""
        for (service, is_prefill_engine), speed in self._speed_by_key.items():
            if speed.measurements:
                yield SpeedReport(
                    service=service,
                    is_prefill_engine=is_prefill_engine,
                    ratio=math.exp(speed.log_ratio),
                    spread=speed.spread,
                    stall_factor=speed.stall_factor,
                    overhead_ms=speed.overhead_ms,
                    measurements=speed.measurements,
                )


def _shrink(
    value: float, count: float, prior: float, prior_count: float
) -> float:
    """Return the mean of a measured value and a prior, weighted by counts."""
    return (value * count + prior * prior_count) / (count + prior_count)


def _weighted_median(measured: Iterable[tuple[float, float]]) -> float:
    """Return the value with half of the weight on each side of it."""
    ordered = sorted(measured)
    remaining = sum(weight for _, weight in ordered) / 2
    for value, weight in ordered:
        remaining -= weight
        if remaining <= 0:
            return value
    return ordered[-1][0]
