"""Streams and the software versions that began them, as control keeps them.

The ledger has every version of a service that may have begun a stream that
still goes on. While that is one version only, it is known for each stream.
Otherwise gateways report their streams, which the ledger keeps for a while. So
both outlive a restart of all gateways and replicas at once.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
from typing import final

from wisteriawall.control import commands
from wisteriawall.control import state
from wisteriawall.wire import gateway_messages

__all__ = [
    "KEPT_MS",
    "MAX_STREAMS",
    "Versions",
    "are_known",
    "find",
    "mixed_services",
    "note_list",
    "record",
    "set_versions",
]

# Longer than any caller goes on with one stream.
KEPT_MS = 60_000
MAX_STREAMS = 20_000
# A change that is not applied after this time is proposed again.
PROPOSED_MS = 1_000


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Versions:
    """What the leader knows of the versions in its list of runners.

    `listed_ms_by_version` is when a version of a service was last listed in
    this leader's `term`, and `proposed_by_service` the versions that were
    proposed last and when.
    """

    term: int = 0
    listed_ms_by_version: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    proposed_by_service: dict[str, tuple[list[str], int]] = dataclasses.field(
        default_factory=dict
    )


def set_versions(ledger: state.Ledger, command: commands.SetVersions) -> None:
    """Apply a committed change of a service's versions."""
    if command.versions:
        ledger.versions_by_service[command.service] = command.versions
    else:
        ledger.versions_by_service.pop(command.service, None)


def record(ledger: state.Ledger, command: commands.RecordStreams) -> None:
    """Apply a committed report of streams, and drop old ones."""
    kept_by_attempt = ledger.stream_by_attempt
    for attempt_id, origin in command.origin_by_attempt.items():
        kept = kept_by_attempt.pop(attempt_id, None)
        is_same = kept is None or kept.origin == origin
        kept_by_attempt[attempt_id] = state.KeptStream(
            origin if is_same else None, command.at_ms
        )
    while kept_by_attempt:
        oldest = next(iter(kept_by_attempt.values()))
        is_old = command.at_ms - oldest.at_ms > KEPT_MS
        if len(kept_by_attempt) <= MAX_STREAMS and not is_old:
            return
        kept_by_attempt.popitem(last=False)


def find(
    ledger: state.Ledger,
    request: gateway_messages.FindStreamRequest,
    wall_ms: int,
) -> gateway_messages.StreamFound:
    """Return what is known of the stream that a caller takes up."""
    versions = ledger.versions_by_service.get(request.service, [])
    kept = ledger.stream_by_attempt.get(request.attempt_id)
    if kept is None:
        return gateway_messages.StreamFound(False, None, -1, versions)
    return gateway_messages.StreamFound(
        True, kept.origin, wall_ms - kept.at_ms, versions
    )


def mixed_services(ledger: state.Ledger) -> list[str]:
    """Return the services of which several versions may have begun streams."""
    return [
        service
        for service, versions in ledger.versions_by_service.items()
        if len(versions) > 1
    ]


def are_known(
    ledger: state.Ledger, upstreams: Iterable[gateway_messages.Upstream]
) -> bool:
    """Return whether the ledger has the versions of all runners of a list.

    Only then may gateways use the list: a stream could begin at a version that
    is forgotten when all processes start again.
    """
    return all(
        upstream.version in ledger.versions_by_service.get(upstream.service, ())
        for upstream in upstreams
    )


def note_list(
    versions: Versions,
    ledger: state.Ledger,
    upstreams: Iterable[gateway_messages.Upstream],
    *,
    term: int,
    now_ms: int,
    wall_ms: int,
) -> Iterator[commands.SetVersions]:
    """Record a list of runners; yield the changes of versions to commit.

    A version that is no longer listed stays for as long as its streams may.
    """
    if versions.term != term:
        # Other leaders have read lists since, and committed other versions.
        versions.term = term
        versions.listed_ms_by_version.clear()
    listed_ms = versions.listed_ms_by_version
    for upstream in upstreams:
        listed_ms[upstream.service, upstream.version] = now_ms
    for service, known in ledger.versions_by_service.items():
        for version in known:
            listed_ms.setdefault((service, version), now_ms)
    for key, last_ms in list(listed_ms.items()):
        if now_ms - last_ms > KEPT_MS:
            del listed_ms[key]
    services = {*ledger.versions_by_service, *(s for s, _ in listed_ms)}
    for service in sorted(services):
        due = sorted(v for s, v in listed_ms if s == service)
        proposed, proposed_ms = versions.proposed_by_service.get(
            service, ([], now_ms)
        )
        is_pending = due == proposed and now_ms - proposed_ms < PROPOSED_MS
        if due != ledger.versions_by_service.get(service, []) and (
            not is_pending
        ):
            versions.proposed_by_service[service] = (due, now_ms)
            yield commands.SetVersions(service, due, wall_ms)
