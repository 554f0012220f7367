"""Changes of the configuration that were acknowledged too late in calm.

"A proper order of the operator (a valid configuration, with 3 ms more for each
route) has no acknowledgement after `ack_ms` in one stretch in which the core
was stable and no link disrupted." Links are those between the system's
machines; slow syncs alone disrupt nothing.
"""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import json
import pathlib
from typing import final

from soak import core_history
from soak import disks
from soak import records

__all__ = ["Wait", "describe", "find", "timing_lines", "waits"]

ACK_S = 4.0
ROUTE_S = 0.003
MS_PER_S = 1_000
TIMING_DECISIONS = (
    "slow-sync",
    "late-tick",
    "lease-lost",
    "lease-held",
    disks.NOTE,
)
MAX_TIMING_LINES = 40


@final
@dataclasses.dataclass(frozen=True, slots=True)
class Wait:
    """The longest calm stretch in which a change was not acknowledged."""

    publication: records.Publication
    from_s: float
    until_s: float

    @property
    def calm_s(self) -> float:
        """Return the length of the stretch."""
        return self.until_s - self.from_s

    @property
    def is_too_long(self) -> bool:
        """Return whether the rule is broken."""
        routes = len(self.publication.prefixes)
        return self.calm_s > ACK_S + ROUTE_S * routes


def waits(seen: records.Records) -> list[Wait]:
    """Return how long each change waited in calm, by the time of its sending.

    Nothing counts before all replicas have answered once.
    """
    history = core_history.CoreHistory(seen)
    found = []
    for publication in sorted(seen.publications, key=lambda p: p.sent_s):
        from_s = max(publication.sent_s, seen.all_answer_s)
        spans = history.calm_spans(from_s, _ended_s(publication))
        longest = max(
            spans, key=lambda span: span[1] - span[0], default=(from_s, from_s)
        )
        found.append(Wait(publication, *longest))
    return found


def find(seen: records.Records) -> Iterator[tuple[Wait, str, tuple[str, ...]]]:
    """Yield each change that waited too long, with its tries."""
    for wait in waits(seen):
        if not wait.is_too_long:
            continue
        publication = wait.publication
        took = (
            f"acknowledged after"
            f" {publication.acknowledged_s - publication.sent_s:.3f} s"
            if publication.acknowledged_s
            else "never acknowledged"
        )
        yield (
            wait,
            f"no acknowledgement in {wait.calm_s:.3f} s of one stretch in which"
            f" the core was stable, from {wait.from_s:.3f}; sent"
            f" {publication.sent_s:.3f}, {took}",
            tuple(
                f"  try at {attempt.at_s:.3f}, {attempt.at_s - wait.from_s:.3f}"
                f" s into the stretch: {attempt.replica}"
                f" {attempt.status or attempt.error} after"
                f" {attempt.ended_s - attempt.at_s:.3f} s"
                for attempt in publication.tries
            ),
        )


def describe(seen: records.Records) -> Iterator[str]:
    """Yield lines with the times of acknowledgements."""
    took_s = sorted(
        publication.acknowledged_s - publication.sent_s
        for publication in seen.publications
        if publication.acknowledged_s
    ) or [0.0]
    median_s, most_s = (
        took_s[round(part * (len(took_s) - 1))] for part in (0.5, 0.9)
    )
    never = sum(not p.acknowledged_s for p in seen.publications)
    yield (
        f"configurations: {len(seen.publications)}, {never} never"
        f" acknowledged, the others after {median_s:.3f} s at the median,"
        f" 90% {most_s:.3f} s, {took_s[-1]:.3f} s at most"
    )
    waited = waits(seen)
    calm = [wait for wait in waited if wait.calm_s > 0.0]
    if calm:
        longest = max(calm, key=lambda wait: wait.calm_s)
        yield (
            f"longest calm that a change waited for: {longest.calm_s:.3f} s,"
            f" version {longest.publication.version}; {len(calm)} waited in"
            f" calm, {sum(w.calm_s > 1.0 for w in calm)} over 1 s,"
            f" {sum(w.is_too_long for w in calm)} too long"
        )
    ends = core_history.CoreHistory(seen).own_ends
    listed = ", ".join(
        f"{end.name} at {end.at_s:.3f} with code {end.code}" for end in ends
    )
    yield f"processes that ended by themselves: {len(ends)} {listed}".rstrip()


def timing_lines(
    log_by_replica: Mapping[str, pathlib.Path],
    from_s: float,
    until_s: float,
    wall_offset_s: float,
) -> Iterator[str]:
    """Yield what replicas logged of their disks, ticks and leases in a span.

    Changes of the lease go first if there are too many lines, then the longest
    delays.

    Args:
        log_by_replica: Path of the log of each replica.
        from_s: Begin of the span.
        until_s: End of the span.
        wall_offset_s: Unix time less that of `time.monotonic`.
    """
    found = []
    for name, path in log_by_replica.items():
        for text in path.read_bytes().splitlines() if path.exists() else ():
            if not any(d.encode() in text for d in TIMING_DECISIONS):
                continue
            try:
                line = json.loads(text)
            except ValueError:
                continue  # A killed process may not have written all.
            at_s = line["t"] / MS_PER_S - wall_offset_s
            if from_s <= at_s <= until_s:
                is_lease = line["decision"].startswith("lease")
                weight = float("inf") if is_lease else line.get("ms", 0)
                text_of_it = f"  {name} {at_s:.3f}: {text.decode()}"
                found.append((weight, at_s, text_of_it))
    found.sort(reverse=True)
    most = sorted(found[:MAX_TIMING_LINES], key=lambda entry: entry[1])
    yield from (text_of_it for _, _, text_of_it in most)
    if len(found) > MAX_TIMING_LINES:
        yield f"  and {len(found) - MAX_TIMING_LINES} more such lines"


def _ended_s(publication: records.Publication) -> float:
    """Return when a change was acknowledged or given up."""
    if publication.acknowledged_s:
        return publication.acknowledged_s
    return max((t.ended_s for t in publication.tries), default=0.0)
