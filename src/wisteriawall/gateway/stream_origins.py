"""Software versions that began streams, and streams that callers take up.

What two versions of a runner's software write doesn't fit together, so that a
stream goes on only at the version that wrote its first event. Every gateway
hears of the streams of all others. Control keeps them as well while a service
has runners of several versions, for gateways that have started again since.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
from typing import final

from wisteriawall.config import route_table
from wisteriawall.gateway import events
from wisteriawall.gateway import final_answers
from wisteriawall.gateway import refusals
from wisteriawall.gateway import state as state_lib
from wisteriawall.policy import stream_origins as store_lib
from wisteriawall.wire import gateway_messages

__all__ = [
    "MAX_LOGGED_ID_LENGTH",
    "accept_mixed_services",
    "apply_events",
    "begin",
    "fits",
    "is_take_up",
    "note_ended",
    "prove",
    "prove_by_control",
]

MAX_LOGGED_ID_LENGTH = 64
# The list of runners shows the end of a runner after some seconds. Until then
# another version may have started under its identifier.
ENDED_KEPT_MS = 15_000


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _Proof:
    """What is known of the version that began a stream.

    `source` is where from, or why nothing is known; it appears in the decision
    log. `age_ms` is the time since the first event, -1 if that isn't known.
    """

    source: str
    origin: store_lib.Origin | None = None
    age_ms: int = -1


def is_take_up(request: state_lib.Request) -> bool:
    """Return whether a caller goes on with a stream after an event."""
    return (
        request.route.kind is route_table.RequestKind.STREAM
        and request.head.last_event_id != ""
    )


def fits(
    gateway: state_lib.Gateway,
    request: state_lib.Request,
    upstream: gateway_messages.Upstream,
    now_ms: int,
) -> bool:
    """Return whether a runner may go on with the request's stream, if any."""
    origin = request.origin
    if origin is None:
        return True
    return (
        origin.version != ""
        and upstream.service == origin.service
        and _version_of(gateway, upstream, now_ms) == origin.version
    )


def note_ended(
    gateway: state_lib.Gateway, upstream_id: str, now_ms: int
) -> None:
    """Record that a runner has ended, or can't be reached."""
    upstream = gateway.upstream_by_id.get(upstream_id)
    if upstream is not None:
        gateway.ended_ms_by_start[upstream.start_id] = now_ms


def begin(
    gateway: state_lib.Gateway, event: events.StreamBegan
) -> Iterator[events.Effect]:
    """Record the version that writes the first event of a stream."""
    request = gateway.request_by_key.get(event.request_key)
    if request is None or request.current_send is None:
        return
    upstream = request.current_send.upstream
    if request.origin is None:
        request.origin = store_lib.Origin(
            service=upstream.service,
            version=_version_of(gateway, upstream, event.now_ms),
            fingerprint=request.fingerprint,
        )
    if not request.origin.version:
        return
    gateway.origins.record(request.request_id, request.origin, event.now_ms)
    yield events.BroadcastLoad(
        load_event=gateway_messages.LoadEvent(
            gateway_messages.LoadEventKind.STREAM_BEGAN,
            upstream.upstream_id,
            request.request_id,
            origin=_to_wire(request.origin),
        )
    )
    if _is_mixed(gateway, upstream.service):
        yield _keep(request, request.origin)


def apply_events(
    gateway: state_lib.Gateway,
    load_events: Iterable[gateway_messages.LoadEvent],
    now_ms: int,
) -> None:
    """Record the streams of other gateways, and the ends of runners."""
    for event in load_events:
        match event:
            case gateway_messages.LoadEvent(
                kind=gateway_messages.LoadEventKind.STREAM_BEGAN,
                origin=gateway_messages.StreamOrigin() as origin,
            ):
                gateway.origins.record(
                    event.request_id, _from_wire(origin), now_ms
                )
            case gateway_messages.LoadEvent(
                kind=gateway_messages.LoadEventKind.CUT_OFF, has_crashed=True
            ):
                note_ended(gateway, event.upstream_id, now_ms)


def accept_mixed_services(
    gateway: state_lib.Gateway, event: events.ControlUpdate
) -> Iterator[events.KeepOrigin]:
    """Let control keep the streams in progress of services with more versions.

    Until then, that a service had one version proved the version of a stream.
    """
    added = set(event.mixed_services) - gateway.mixed_services
    gateway.mixed_services = set(event.mixed_services)
    for request in gateway.request_by_key.values():
        origin = request.origin
        if origin is not None and origin.version and origin.service in added:
            yield _keep(request, origin)


def prove(
    gateway: state_lib.Gateway, request: state_lib.Request, now_ms: int
) -> Iterator[events.Effect]:
    """Look for the version that began the stream that a caller takes up.

    The request then has its `origin`, or it is refused, or control is asked.
    """
    resumes = request.head.resumes
    kept = gateway.origins.find(resumes, now_ms) if resumes else None
    if kept is None:
        yield events.FindOrigin(
            attempt_id=resumes, service=request.service.name
        )
        return
    proof = _Proof(source="gateway", origin=kept.origin, age_ms=kept.age_ms)
    yield from _accept(gateway, request, proof)


def prove_by_control(
    gateway: state_lib.Gateway,
    request: state_lib.Request,
    event: events.OriginFound,
) -> Iterator[events.Effect]:
    """Use what control knows of a stream that a caller takes up."""
    found = event.found
    if found is None:
        yield from _accept(gateway, request, _Proof(source="unavailable"))
        return
    if found.is_kept:
        origin = None if found.origin is None else _from_wire(found.origin)
        proof = _Proof(source="control", origin=origin, age_ms=found.age_ms)
    elif _only_version(request, found):
        origin = store_lib.Origin(
            service=request.service.name,
            version=found.versions[0],
            fingerprint=request.fingerprint,
        )
        proof = _Proof(source="only-version", origin=origin)
    else:
        proof = _Proof(source="unknown")
    yield from _accept(gateway, request, proof)


def _only_version(
    request: state_lib.Request, found: gateway_messages.StreamFound
) -> bool:
    """Return whether one version alone can have begun the stream."""
    return (
        len(request.route.shares) == 1
        and len(found.versions) == 1
        and found.versions[0] != ""
    )


def _accept(
    gateway: state_lib.Gateway, request: state_lib.Request, proof: _Proof
) -> Iterator[events.Effect]:
    """Set the origin of a request if the proof is for it, or refuse it."""
    origin = proof.origin
    outcome = "goes-on"
    if origin is None:
        outcome = "no-proof"
    elif origin.fingerprint != request.fingerprint:
        outcome = "other-request"
    elif origin.service not in {s.service for s in request.route.shares}:
        outcome = "other-service"
    yield events.LogDecision(
        decision="take-up",
        request_id=request.request_id,
        inputs={
            "resumes": request.head.resumes[:MAX_LOGGED_ID_LENGTH],
            "after": request.head.last_event_id[:MAX_LOGGED_ID_LENGTH],
            "version": origin.version if origin is not None else "",
            "source": proof.source,
            "age_ms": proof.age_ms,
            "outcome": outcome,
        },
    )
    if outcome == "goes-on" and origin is not None:
        assert gateway.route_index is not None
        request.origin = origin
        request.service = gateway.route_index.service_by_name[origin.service]
        return
    refusal = (
        refusals.ORIGIN_UNAVAILABLE
        if proof.source == "unavailable"
        else refusals.ORIGIN_UNKNOWN
    )
    yield from final_answers.refuse(gateway, request, refusal, outcome)


def _version_of(
    gateway: state_lib.Gateway,
    upstream: gateway_messages.Upstream,
    now_ms: int,
) -> str:
    """Return the version of a start of a runner, empty if it isn't sure."""
    ended_ms = gateway.ended_ms_by_start.get(upstream.start_id)
    if ended_ms is not None and now_ms - ended_ms <= ENDED_KEPT_MS:
        return ""
    return upstream.version


def _is_mixed(gateway: state_lib.Gateway, service: str) -> bool:
    """Return whether several versions may have begun a service's streams."""
    if service in gateway.mixed_services:
        return True
    versions = {
        upstream.version
        for upstream in gateway.upstream_by_id.values()
        if upstream.service == service
    }
    return len(versions) > 1


def _keep(
    request: state_lib.Request, origin: store_lib.Origin
) -> events.KeepOrigin:
    return events.KeepOrigin(
        attempt_id=request.request_id, origin=_to_wire(origin)
    )


def _to_wire(origin: store_lib.Origin) -> gateway_messages.StreamOrigin:
    return gateway_messages.StreamOrigin(
        origin.service, origin.version, origin.fingerprint
    )


def _from_wire(origin: gateway_messages.StreamOrigin) -> store_lib.Origin:
    return store_lib.Origin(
        service=origin.service,
        version=origin.version,
        fingerprint=origin.fingerprint,
    )
