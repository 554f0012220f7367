"""Time from the acknowledgement of a configuration to its use at gateways.

It is measured, not judged: it is taken from the gateways' logs.
"""

import bisect
import collections
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import json
import pathlib
from typing import Any
from typing import final

from soak import core_history
from soak import records

__all__ = ["describe"]

MAX_LISTED = 4
MS_PER_S = 1_000
# Changes after which a gateway doesn't use newer tables for sure.
ENDS = (records.Change.TERM, records.Change.KILL, records.Change.FREEZE)


@final
@dataclasses.dataclass(frozen=True, slots=True)
class _Delay:
    """One configuration at one gateway; it may not have come at all."""

    version: int
    gateway: str
    acknowledged_s: float
    used_s: float
    # What disturbed the gateway or the core meanwhile.
    around: str
    has_come: bool

    @property
    def delay_s(self) -> float:
        """Return the time from the acknowledgement to the use."""
        return max(0.0, self.used_s - self.acknowledged_s)


def describe(
    seen: records.Records,
    log_by_gateway: Mapping[str, pathlib.Path],
    wall_offset_s: float,
) -> Iterator[str]:
    """Yield lines with the median, the 99th percentile and the longest times.

    Args:
        seen: Records of the soak.
        log_by_gateway: Path of the log of each gateway.
        wall_offset_s: Unix time less that of `time.monotonic`.
    """
    delays_by_state: dict[str, list[_Delay]] = collections.defaultdict(list)
    history = core_history.CoreHistory(seen)
    last_s = max((call.ended_s for call in seen.calls), default=0.0)
    for gateway, path in log_by_gateway.items():
        tables = _tables(path, wall_offset_s)
        for delay in _delays(seen, history, gateway, tables, last_s):
            delays_by_state[delay.around].append(delay)
    for state, delays in sorted(delays_by_state.items()):
        delays.sort(key=lambda delay: delay.delay_s)
        median, most = (
            delays[round(part * (len(delays) - 1))].delay_s
            for part in (0.5, 0.99)
        )
        yield (
            f"from acknowledgement to use, {state}: {len(delays)},"
            f" median {median:.3f} s, 99th {most:.3f} s, most"
            f" {delays[-1].delay_s:.3f} s"
        )
        for delay in reversed(delays[-MAX_LISTED:]):
            yield (
                f"  {delay.gateway} version {delay.version}, acknowledged"
                f" {delay.acknowledged_s:.3f}"
                f" (t {(delay.acknowledged_s + wall_offset_s) * MS_PER_S:.0f}):"
                f" {delay.delay_s:.3f} s"
                + ("" if delay.has_come else ", not used by then")
            )


def _tables(
    path: pathlib.Path, wall_offset_s: float
) -> list[tuple[float, int]]:
    """Return when a gateway began to use which tables."""
    return [
        (line["t"] / MS_PER_S - wall_offset_s, line["number"])
        for text in path.read_bytes().splitlines()
        if b'"decision":"table"' in text
        for line in [_parse(text)]
        if line
    ]


def _parse(text: bytes) -> dict[str, Any]:
    """Return a line of a log; a killed process may not have written all."""
    try:
        line: dict[str, Any] = json.loads(text)
    except ValueError:
        return {}
    return line


def _delays(
    seen: records.Records,
    history: core_history.CoreHistory,
    gateway: str,
    tables: list[tuple[float, int]],
    last_s: float,
) -> Iterator[_Delay]:
    """Yield the delays of processes that were not disturbed meanwhile."""
    ends_s = sorted(
        incident.at_s
        for incident in seen.incidents
        if incident.name == gateway and incident.change in ENDS
    )
    for started_s, ended_s in history.runs_of(gateway):
        for publication in seen.publications:
            from_s = publication.acknowledged_s
            if not from_s or started_s + core_history.CONTACT_S > from_s:
                continue
            next_end = bisect.bisect_left(
                ends_s, from_s - core_history.CONTACT_S
            )
            end_s = min([ended_s, last_s, *ends_s[next_end : next_end + 1]])
            used_s = next(
                (
                    max(at_s, from_s)
                    for at_s, number in tables
                    if at_s >= started_s and number >= publication.version
                ),
                float("inf"),
            )
            until_s = min(used_s, end_s)
            if until_s >= from_s:
                yield _Delay(
                    publication.version,
                    gateway,
                    from_s,
                    until_s,
                    _state(history, gateway, from_s, until_s),
                    used_s <= end_s,
                )


def _state(
    history: core_history.CoreHistory,
    gateway: str,
    from_s: float,
    until_s: float,
) -> str:
    """Return what the rules say of a gateway and the core in a time."""
    from_s -= core_history.CONTACT_S
    if not history.has_paths(gateway, from_s, until_s):
        return "cut from the core"
    if history.is_stable(from_s, until_s):
        return "in touch"
    if history.has_run(from_s, until_s):
        return "core not stable"
    return "most of the core lost"
