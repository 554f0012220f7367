"""Updates from the leader to gateways: route table, runners and peers."""

import dataclasses
from typing import final
import zlib

import msgspec

from wisteriawall.config import table_history
from wisteriawall.control import events
from wisteriawall.control import gateway_counts
from wisteriawall.control import load_events as load_events_lib
from wisteriawall.control import raft as raft_lib
from wisteriawall.control import redirect
from wisteriawall.control import state
from wisteriawall.control import stream_origins
from wisteriawall.control import suspect_blocks as suspect_blocks_lib
from wisteriawall.control import table_sources as table_sources_lib
from wisteriawall.wire import gateway_messages

__all__ = [
    "GatewayUpdates",
    "TableSpread",
    "accept_upstreams",
    "follow",
    "hold_upstreams",
    "keep_table",
    "publish_held_upstreams",
    "read_table_part",
    "table_spread",
]

# Gateways send requests several times a second.
GATEWAY_TIMEOUT_MS = 3_000
# A gateway polls more often. If its clock was set back before a restart, its
# new incarnation is lower, and is recorded after the former one was silent for
# this long.
RESTART_SILENCE_MS = 1_000
# Gateways go by a limit no longer than this without a newer answer.
LIMIT_KEPT_MS = 60_000
MAX_LIMITS = 256


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class _Gateway:
    """A gateway that requests updates here, the last time at `seen_ms`.

    `table_number` is the newest table that it has had.
    """

    address: str
    incarnation: int
    seen_ms: int
    stopping: bool
    table_address: str
    table_number: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class TableSpread:
    """How many gateways poll, and which of them lack a table."""

    gateways: int
    lacking: list[str]


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _HeldList:
    """A list of runners that was read in `term` and is not published yet."""

    term: int
    upstreams: list[gateway_messages.Upstream]


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class GatewayUpdates:
    """The runners and gateways as the leader sends them to gateways.

    `upstreams` is the list of runners that this replica last read, None until
    it has read one as leader. `peers_version` is 0 until the version of the
    list of gateways is computed. `tables` are the tables that this replica
    applied, and `table_sources` says which gateways have the newest.
    `suspect_blocks` are the blocks of requests under which runners crash.
    `versions` are the software versions of the runners, and `held_upstreams` a
    list of runners whose versions are not committed yet. They are committed
    once a gateway of this version asks (`commits_versions`): older replicas,
    which can't apply the command, are upgraded before it. `load_events` counts
    the load events of the gateways, and `counts` the gateways that share the
    retry budget.
    `limit_by_runner` are the newest limits that gateways know, and when the
    requests were sent whose answers named them.
    """

    upstreams: gateway_messages.UpstreamList | None = None
    gateway_by_name: dict[str, _Gateway] = dataclasses.field(
        default_factory=dict
    )
    peers_version: int = 0
    tables: table_history.TableHistory = dataclasses.field(
        default_factory=table_history.TableHistory
    )
    table_sources: table_sources_lib.TableSources = dataclasses.field(
        default_factory=table_sources_lib.TableSources
    )
    suspect_blocks: suspect_blocks_lib.SuspectBlocks = dataclasses.field(
        default_factory=suspect_blocks_lib.SuspectBlocks
    )
    limit_by_runner: dict[str, tuple[float, int]] = dataclasses.field(
        default_factory=dict
    )
    versions: stream_origins.Versions = dataclasses.field(
        default_factory=stream_origins.Versions
    )
    held_upstreams: _HeldList | None = None
    commits_versions: bool = False
    load_events: load_events_lib.LoadEventCounts = dataclasses.field(
        default_factory=load_events_lib.LoadEventCounts
    )
    counts: gateway_counts.GatewayCounts = dataclasses.field(
        default_factory=gateway_counts.GatewayCounts
    )


def keep_table(updates: GatewayUpdates, ledger: state.Ledger) -> None:
    """Keep the table in force, to send gateways changes of it."""
    if ledger.published is not None:
        updates.tables.add(ledger.published.table)


def read_table_part(
    updates: GatewayUpdates, request: gateway_messages.TablePartRequest
) -> events.Reply:
    """Return a part of a change of the routing table.

    Any replica that has the table answers. The change is that from an empty
    table if the base is not kept.
    """
    tables = updates.tables
    if not tables.has(request.base_number):
        request = msgspec.structs.replace(request, base_number=0)
    encoded = tables.encoded_change(request.base_number, request.number)
    return gateway_messages.table_part(request, encoded)


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


def hold_upstreams(
    updates: GatewayUpdates,
    upstreams: list[gateway_messages.Upstream],
    term: int,
) -> None:
    """Keep a list of runners read in `term` until it may be published."""
    updates.held_upstreams = _HeldList(term=term, upstreams=upstreams)


def publish_held_upstreams(
    updates: GatewayUpdates, ledger: state.Ledger, term: int
) -> None:
    """Store the list that was read, once all its versions are committed.

    One that was read in an earlier term may be outdated.
    """
    held = updates.held_upstreams
    if held is None or held.term != term:
        return
    if not updates.commits_versions or (
        stream_origins.are_known(ledger, held.upstreams)
    ):
        updates.held_upstreams = None
        accept_upstreams(updates, held.upstreams, term)


def follow(
    updates: GatewayUpdates,
    raft: raft_lib.Raft,
    ledger: state.Ledger,
    request: gateway_messages.FollowRequest,
    now_ms: int,
    *,
    usage: gateway_messages.UsageReceipt | None = None,
) -> events.Reply:
    """Return the updates that a gateway lacks.

    Only the leader answers; other replicas redirect to it.
    """
    if not raft.holds_lease(now_ms):
        return redirect.to_leader(raft)
    _record_gateway(updates, request, now_ms)
    gateways_heard, most_gateways = gateway_counts.note(
        updates.counts, request, now_ms
    )
    keep_table(updates, ledger)
    published = ledger.published
    number = published.table.number if published else 0
    lacks_table = published is not None and request.table_number < number
    own_address = _own_address(raft)
    can_fetch = bool(request.table_address and own_address)
    source = None
    if can_fetch:
        source = _find_table_source(updates, request, number, now_ms)
    upstreams = updates.upstreams
    if upstreams is not None and upstreams.reader_term != raft.term:
        # This replica read the list in an earlier term as leader, so it may be
        # outdated.
        upstreams = None
    if upstreams is not None and upstreams.version == request.list_version:
        upstreams = None
    peers_version = _peers_version(updates)
    blocked_ms_by_parts, known_suspects = suspect_blocks_lib.describe(
        updates.suspect_blocks, ledger, request, now_ms
    )
    return gateway_messages.Followed(
        age_ms=now_ms - raft.quorum_acknowledged_ms(now_ms),
        table_number=number,
        table=published.table
        if published and lacks_table and not can_fetch
        else None,
        upstreams=upstreams,
        # All gateways ask several times a second, so that the list goes only to
        # those that lack it.
        peers=None
        if request.peers_version == peers_version
        else [
            gateway_messages.GatewayPeer(
                name, gateway.address, gateway.table_address
            )
            for name, gateway in sorted(updates.gateway_by_name.items())
            if name != request.gateway and not gateway.stopping
        ],
        rpc_address_by_replica={
            m.replica: m.rpc_address for m in raft.members if m.rpc_address
        },
        peers_version=peers_version,
        table_source=(source.address or own_address) if source else "",
        table_source_number=source.number if source else 0,
        blocked_ms_by_parts=blocked_ms_by_parts,
        limit_by_runner=_merge_limits(updates, request, now_ms),
        suspects=known_suspects,
        mixed_services=stream_origins.mixed_services(ledger),
        load_events_of_others=updates.load_events.note(
            request.gateway,
            request.incarnation,
            request.load_events_sent,
            term=raft.term,
        ),
        usage=usage or gateway_messages.UsageReceipt(),
        gateways_heard=gateways_heard,
        most_gateways=most_gateways,
    )


def table_spread(
    updates: GatewayUpdates, number: int, now_ms: int
) -> TableSpread:
    """Return which gateways lack the table `number` and newer ones.

    Gateways that stop or have been silent don't count.
    """
    held_by_name = {
        name: gateway.table_number
        for name, gateway in updates.gateway_by_name.items()
        if not gateway.stopping
        and now_ms - gateway.seen_ms <= GATEWAY_TIMEOUT_MS
    }
    return TableSpread(
        gateways=len(held_by_name),
        lacking=sorted(n for n, held in held_by_name.items() if held < number),
    )


def _merge_limits(
    updates: GatewayUpdates,
    request: gateway_messages.FollowRequest,
    now_ms: int,
) -> dict[str, gateway_messages.RunnerLimit]:
    """Return the newest limit of each runner that any gateway knows.

    A gateway that starts keeps to them from its first request on.
    """
    limit_by_runner = updates.limit_by_runner
    for runner, limit in request.limit_by_runner.items():
        answered_ms = now_ms - limit.age_ms
        _, known_ms = limit_by_runner.get(runner, (0.0, -LIMIT_KEPT_MS))
        is_known = runner in limit_by_runner
        if answered_ms > known_ms and (
            is_known or len(limit_by_runner) < MAX_LIMITS
        ):
            limit_by_runner[runner] = (limit.per_s, answered_ms)
    for runner, (_, answered_ms) in list(limit_by_runner.items()):
        if now_ms - answered_ms > LIMIT_KEPT_MS:
            del limit_by_runner[runner]
    return {
        runner: gateway_messages.RunnerLimit(per_s, now_ms - answered_ms)
        for runner, (per_s, answered_ms) in limit_by_runner.items()
    }


def _own_address(raft: raft_lib.Raft) -> str:
    return next(
        (m.rpc_address for m in raft.members if m.replica == raft.replica), ""
    )


def _find_table_source(
    updates: GatewayUpdates,
    request: gateway_messages.FollowRequest,
    newest: int,
    now_ms: int,
) -> table_sources_lib.Source | None:
    """Return where the gateway fetches a newer table, if it lacks one."""
    sources = updates.table_sources
    number = request.table_number
    if request.stopping:
        sources.remove(request.gateway)
    elif not number:
        sources.remove_holder(request.gateway)
    else:
        sources.record_holder(
            request.gateway,
            address=request.table_address,
            number=number,
            now_ms=now_ms,
        )
    if number >= newest:
        return None
    return sources.assign(
        request.gateway,
        base_number=number,
        newest=newest,
        has_failed=request.table_fetch_failed,
        now_ms=now_ms,
    )


def _peers_version(updates: GatewayUpdates) -> int:
    """Return a number that differs for different lists of gateways, never 0."""
    if not updates.peers_version:
        names = sorted(
            f"{name}={gateway.address}={gateway.table_address}"
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
    if (
        known is not None
        and known.incarnation > request.incarnation
        and now_ms - known.seen_ms <= RESTART_SILENCE_MS
    ):
        return
    if (
        known is None
        or known.address != request.address
        or known.stopping != request.stopping
        or known.table_address != request.table_address
    ):
        updates.peers_version = 0
    table_number = request.table_number
    if known is not None and known.incarnation == request.incarnation:
        # A request may arrive after a later one.
        table_number = max(table_number, known.table_number)
    updates.gateway_by_name[request.gateway] = _Gateway(
        address=request.address,
        incarnation=request.incarnation,
        seen_ms=now_ms,
        stopping=request.stopping,
        table_address=request.table_address,
        table_number=table_number,
    )
    for name, gateway in list(updates.gateway_by_name.items()):
        if now_ms - gateway.seen_ms > GATEWAY_TIMEOUT_MS:
            del updates.gateway_by_name[name]
            updates.table_sources.remove(name)
            updates.load_events.remove(name)
            updates.peers_version = 0
