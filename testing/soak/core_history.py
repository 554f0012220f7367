"""When the core of a soak was stable, and which gateways were in touch.

The core is the control replicas that have started and were not removed.
"""

import bisect
import collections
from collections.abc import Iterator
import itertools
from typing import final

from soak import own_ends
from soak import records

__all__ = ["CATCH_UP_S", "CONTACT_S", "CoreHistory"]

CONTACT_S = 3.0
# A machine that is back stays lost for this long, `catch_up_s` of the settings.
CATCH_UP_S = 4.0
DISRUPTIONS = (
    records.Change.START,
    records.Change.END,
    records.Change.TERM,
    records.Change.KILL,
    records.Change.FREEZE,
    records.Change.THAW,
)
# Changes that begin and end a span in which a process doesn't run.
SPANS = (
    (records.Change.START, records.Change.END),
    (records.Change.FREEZE, records.Change.THAW),
)
# Longest time from the start of a process to that of its servers.
START_S = 3.0
Span = tuple[float, float]


def is_replica(name: str) -> bool:
    """Return whether a machine of the soak runs a control replica."""
    return name.startswith("c")


@final
class CoreHistory:
    """What happened to the processes and to the links between them.

    Args:
        seen: Records of a soak.
    """

    def __init__(self, seen: records.Records) -> None:
        counted, self.own_ends = own_ends.split(seen.incidents)
        incidents_by_name = collections.defaultdict(list)
        # All cuts and stalls of disks, then those of the core.
        self._cuts: list[Span] = []
        self._stalls_by_name: dict[str, list[Span]] = {}
        # Cuts between replicas, and those between a replica and a gateway.
        self._core_cuts: list[tuple[frozenset[str], float, float]] = []
        self._cuts_by_gateway = collections.defaultdict(list)
        self._removed_s_by_name: dict[str, float] = {}
        for incident in counted:
            match incident.change:
                case records.Change.CUT:
                    pair = frozenset((incident.name, incident.other))
                    self._cuts.append((incident.at_s, incident.until_s))
                    gateways = [n for n in pair if not is_replica(n)]
                    cut = pair, incident.at_s, incident.until_s
                    if not gateways:
                        self._core_cuts.append(cut)
                    elif len(gateways) == 1:
                        self._cuts_by_gateway[gateways[0]].append(cut)
                case records.Change.REMOVED:
                    self._removed_s_by_name[incident.name] = incident.at_s
                case records.Change.DISK_STALLED:
                    self._stalls_by_name.setdefault(incident.name, []).append(
                        (incident.at_s, incident.until_s)
                    )
                case change if change in DISRUPTIONS:
                    incidents_by_name[incident.name].append(incident)
        self._disrupted_s_by_name = {
            name: [incident.at_s for incident in incidents]
            for name, incidents in incidents_by_name.items()
        }
        self._counted_runs_by_name, self._freezes_by_name = (
            {
                name: list(_spans(incidents, begin, end))
                for name, incidents in incidents_by_name.items()
            }
            for begin, end in SPANS
        )
        # Those of processes that ended by themselves too.
        self._runs_by_name = dict(self._counted_runs_by_name)
        for name in {end.name for end in self.own_ends}:
            self._runs_by_name[name] = list(
                _spans(
                    sorted(
                        (i for i in seen.incidents if i.name == name),
                        key=lambda i: i.at_s,
                    ),
                    *SPANS[0],
                )
            )
        self._replicas = sorted(filter(is_replica, incidents_by_name))
        self._core_changes_s = sorted(
            itertools.chain(
                *(self._disrupted_s_by_name[name] for name in self._replicas),
                self._removed_s_by_name.values(),
                *((from_s, until_s) for _, from_s, until_s in self._core_cuts),
                *itertools.chain(*self._stalls_by_name.values()),
            )
        )

    def is_calm(self, name: str, from_s: float, until_s: float) -> bool:
        """Return whether nothing disrupted a machine, beside cuts."""
        return not _between(
            self._disrupted_s_by_name.get(name, ()), from_s, until_s
        ) and not _overlaps(self._stalls_by_name.get(name, ()), from_s, until_s)

    def is_stable(self, from_s: float, until_s: float) -> bool:
        """Return whether the core was not disrupted, and was connected."""
        if _between(self._core_changes_s, from_s, until_s) or any(
            _overlaps(stalls, from_s, until_s)
            for stalls in self._stalls_by_name.values()
        ):
            return False
        is_cut = any(
            cut_s <= until_s <= healed_s
            for _, cut_s, healed_s in self._core_cuts
        )
        return not is_cut or any(
            self.reaches_most(name, until_s) for name in self._replicas
        )

    def has_run(self, from_s: float, until_s: float) -> bool:
        """Return whether more than half of the core ran all the while.

        A machine counts from when it has been back and connected for
        `CATCH_UP_S`.
        """
        times_s = _between(self._core_changes_s, from_s, until_s)
        return all(
            any(
                self.reaches_most(name, at_s, rest_s=CATCH_UP_S)
                for name in self._replicas
            )
            for at_s in (from_s, *times_s)
        )

    def has_paths(self, name: str, from_s: float, until_s: float) -> bool:
        """Return whether a machine reached the core.

        It needs a path to each replica that runs and reaches more than half of
        the core.
        """
        for pair, cut_s, healed_s in self._cuts_by_gateway.get(name, ()):
            if cut_s > until_s or healed_s < from_s:
                continue
            (other,) = pair - {name}
            first_s, last_s = max(cut_s, from_s), min(healed_s, until_s)
            changes_s = _between(self._core_changes_s, first_s, last_s)
            if any(
                self.reaches_most(other, at_s) for at_s in (first_s, *changes_s)
            ):
                return False
        return True

    def calm_spans(self, from_s: float, until_s: float) -> Iterator[Span]:
        """Yield when the core was stable and no link was cut.

        Each span begins `CONTACT_S` after the last disruption of the core.
        """
        stalls = itertools.chain(*self._stalls_by_name.values())
        absences = sorted(
            itertools.chain(
                ((at_s, at_s + CONTACT_S) for at_s in self._core_changes_s),
                ((at_s, end_s + CONTACT_S) for at_s, end_s in stalls),
                self._cuts,
                ((until_s, until_s),),
            )
        )
        for gone_s, back_s in absences:
            end_s = min(gone_s, until_s)
            if end_s > from_s and any(
                self.reaches_most(name, from_s) for name in self._replicas
            ):
                yield from_s, end_s
            from_s = max(from_s, back_s)

    def longest_calm_s(
        self, replicas: list[str], from_s: float, until_s: float
    ) -> float:
        """Return for how long at most all replicas ran, and were connected.

        A replica that was started needs `START_S` until it takes part.
        """
        absences = sorted(
            itertools.chain(
                (
                    (gone_s, back_s + START_S)
                    for name in replicas
                    for gone_s, back_s in _gaps(self._runs_by_name[name])
                ),
                (
                    span
                    for name in replicas
                    for span in self._freezes_by_name[name]
                ),
                (
                    (cut_s, healed_s)
                    for pair, cut_s, healed_s in self._core_cuts
                    if pair <= set(replicas)
                ),
                (
                    (removed_s, removed_s)
                    for removed_s in self._removed_s_by_name.values()
                ),
                ((until_s, until_s),),
            )
        )
        longest_s = 0.0
        for gone_s, back_s in absences:
            longest_s = max(longest_s, min(gone_s, until_s) - from_s)
            from_s = max(from_s, back_s)
        return longest_s

    def runs_of(self, name: str) -> list[Span]:
        """Return when the processes of a machine started and ended."""
        return self._runs_by_name.get(name, [])

    def _members(self, at_s: float) -> list[str]:
        return [
            name
            for name in self._replicas
            if self._disrupted_s_by_name[name][0] <= at_s
            and self._removed_s_by_name.get(name, at_s + 1.0) > at_s
        ]

    def reaches_most(
        self, name: str, at_s: float, *, rest_s: float = 0.0
    ) -> bool:
        """Return whether a replica ran and reached more than half of the core.

        Those that were down, frozen or cut in the last `rest_s` don't count,
        nor do, if there is one, those whose disk stalls.
        """
        members = self._members(at_s)
        if name not in members or not self._runs(name, at_s, rest_s):
            return False
        reached = sum(
            self._runs(other, at_s, rest_s)
            and not any(
                pair == {name, other} and cut_s <= at_s <= healed_s + rest_s
                for pair, cut_s, healed_s in self._core_cuts
            )
            for other in members
            if other != name
        )
        return 1 + reached > len(members) / 2

    def _runs(self, name: str, at_s: float, rest_s: float) -> bool:
        if rest_s and _overlaps(self._stalls_by_name.get(name, ()), at_s, at_s):
            return False
        return any(
            started_s + rest_s <= at_s < ended_s
            for started_s, ended_s in self._counted_runs_by_name[name]
        ) and not any(
            frozen_s <= at_s <= thawed_s + rest_s
            for frozen_s, thawed_s in self._freezes_by_name[name]
        )


def _spans(
    incidents: list[records.Incident],
    begin: records.Change,
    end: records.Change,
) -> Iterator[Span]:
    """Yield spans between two changes; the last one may not have ended."""
    since_s = None
    for incident in incidents:
        if incident.change is begin:
            since_s = incident.at_s
        elif since_s is not None and incident.change in (
            end,
            records.Change.END,
        ):
            yield since_s, incident.at_s
            since_s = None
    if since_s is not None:
        yield since_s, float("inf")


def _overlaps(
    spans: list[Span] | tuple[()], from_s: float, until_s: float
) -> bool:
    return any(
        begin_s <= until_s and from_s <= end_s for begin_s, end_s in spans
    )


def _gaps(spans: list[Span]) -> Iterator[Span]:
    """Yield the time between spans, and that after a last one that ended."""
    ends_s = [ended_s for _, ended_s in spans if ended_s < float("inf")]
    starts_s = [started_s for started_s, _ in spans[1:]]
    yield from itertools.zip_longest(ends_s, starts_s, fillvalue=float("inf"))


def _between(
    times_s: list[float] | tuple[float, ...], from_s: float, until_s: float
) -> list[float]:
    """Return those of the sorted times that are in a span."""
    return list(
        times_s[
            bisect.bisect_left(times_s, from_s) : bisect.bisect_right(
                times_s, until_s
            )
        ]
    )
