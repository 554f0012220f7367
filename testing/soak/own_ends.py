"""Processes that ended by themselves: they count as running all the while.

"Unless it ends during a disruption on its machine or links or within a second
of it."
"""

from collections.abc import Iterable

from soak import records

__all__ = ["split"]

AFTER_S = 1.0
ENDING_SIGNALS = (
    records.Change.TERM,
    records.Change.KILL,
    records.Change.GRACE_KILL,
)


def split(
    incidents: Iterable[records.Incident],
) -> tuple[list[records.Incident], list[records.Incident]]:
    """Return the incidents that count by time, and the ends that don't.

    The start that follows such an end doesn't count either.
    """
    counted: list[records.Incident] = []
    own: list[records.Incident] = []
    disturbed_until_s: dict[str, float] = {}
    signalled: set[tuple[str, int]] = set()
    ended: set[str] = set()
    for incident in sorted(incidents, key=lambda i: i.at_s):
        name, change = incident.name, incident.change
        if change is records.Change.START and name in ended:
            ended.discard(name)
            continue
        if (
            change is records.Change.END
            and (name, incident.pid) not in signalled
            and disturbed_until_s.get(name, -AFTER_S) + AFTER_S < incident.at_s
        ):
            own.append(incident)
            ended.add(name)
            continue
        counted.append(incident)
        if change in ENDING_SIGNALS:
            signalled.add((name, incident.pid))
        until_s = max(incident.at_s, incident.until_s)
        for machine in (name, incident.other):
            disturbed_until_s[machine] = max(
                disturbed_until_s.get(machine, until_s), until_s
            )
    return counted, own
