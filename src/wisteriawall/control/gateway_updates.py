"""Updates from the leader to gateways: route table, runners and peers."""

import dataclasses
from typing import final
import zlib

from wisteriawall.control import events
from wisteriawall.control import raft as raft_lib
from wisteriawall.control import redirect
from wisteriawall.control import state
from wisteriawall.wire import gateway_messages

__all__ = ["GatewayUpdates", "accept_upstreams", "follow"]

# Gateways send requests several times a second.
GATEWAY_TIMEOUT_MS = 3_000


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class _Gateway:
    """A gateway that requests updates here, the last time at `seen_ms`."""

    address: str
    incarnation: int
    seen_ms: int
    stopping: bool


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class GatewayUpdates:
    """The runners and gateways as the leader sends them to gateways.

    `upstreams` is the list of runners that this replica last read, None until
    it has read one as leader. `peers_version` is 0 until the version of the
    list of gateways is computed.
    """

    upstreams: gateway_messages.UpstreamList | None = None
    gateway_by_name: dict[str, _Gateway] = dataclasses.field(
        default_factory=dict
    )
    peers_version: int = 0


def accept_upstreams(
    updates: GatewayUpdates,
    upstreams: list[gateway_messages.Upstream],
    term: int,
) -> None:
    """Store a list of runners read in `term`.

    Its version, the pair of term and sequence number, stays the same if both
    the term and the list do.
    """
    current = updates.upstreams
    same_term = current is not None and current.reader_term == term
    if current is not None and same_term and current.upstreams == upstreams:
        return
    sequence = current.sequence + 1 if current is not None and same_term else 1
    updates.upstreams = gateway_messages.UpstreamList(term, sequence, upstreams)


def follow(
    updates: GatewayUpdates,
    raft: raft_lib.Raft,
    ledger: state.Ledger,
    request: gateway_messages.FollowRequest,
    now_ms: int,
) -> events.Reply:
    """Return the updates that a gateway lacks.

    Only the leader answers; other replicas redirect to it.
    """
    if not raft.holds_lease(now_ms):
        return redirect.to_leader(raft)
    _record_gateway(updates, request, now_ms)
    published = ledger.published
    number = published.table.number if published else 0
    lacks_table = published is not None and request.table_number < number
    upstreams = updates.upstreams
    if upstreams is not None and upstreams.reader_term != raft.term:
        # This replica read the list in an earlier term as leader, so it may be
        # outdated.
        upstreams = None
    if upstreams is not None and upstreams.version == request.list_version:
        upstreams = None
    peers_version = _peers_version(updates)
    return gateway_messages.Followed(
        age_ms=now_ms - raft.quorum_acknowledged_ms(now_ms),
        table_number=number,
        table=published.table if published and lacks_table else None,
        upstreams=upstreams,
        # All gateways ask several times a second, so that the list goes only to
        # those that lack it.
        peers=None
        if request.peers_version == peers_version
        else [
            gateway_messages.GatewayPeer(name, gateway.address)
            for name, gateway in sorted(updates.gateway_by_name.items())
            if name != request.gateway and not gateway.stopping
        ],
        rpc_address_by_replica={
            m.replica: m.rpc_address for m in raft.members if m.rpc_address
        },
        peers_version=peers_version,
    )


def _peers_version(updates: GatewayUpdates) -> int:
    """Return a number that differs for different lists of gateways, never 0."""
    if not updates.peers_version:
        names = sorted(
            f"{name}={gateway.address}"
            for name, gateway in updates.gateway_by_name.items()
            if not gateway.stopping
        )
        updates.peers_version = zlib.crc32(" ".join(names).encode()) or 1
    return updates.peers_version


def _record_gateway(
    updates: GatewayUpdates,
    request: gateway_messages.FollowRequest,
    now_ms: int,
) -> None:
    """Record a gateway's request, and drop gateways that sent none lately."""
    known = updates.gateway_by_name.get(request.gateway)
    if known is not None and known.incarnation > request.incarnation:
        return
    if (
        known is None
        or known.address != request.address
        or known.stopping != request.stopping
    ):
        updates.peers_version = 0
    updates.gateway_by_name[request.gateway] = _Gateway(
        address=request.address,
        incarnation=request.incarnation,
        seen_ms=now_ms,
        stopping=request.stopping,
    )
    for name, gateway in list(updates.gateway_by_name.items()):
        if now_ms - gateway.seen_ms > GATEWAY_TIMEOUT_MS:
            del updates.gateway_by_name[name]
            updates.peers_version = 0
