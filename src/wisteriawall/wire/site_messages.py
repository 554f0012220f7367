"""Messages of gateways: following control, and load told to each other."""

import enum
from typing import final

import msgspec

from wisteriawall.config import route_table

__all__ = [
    "Follow",
    "Followed",
    "GatewayPeer",
    "JoinReplicas",
    "JoinReply",
    "LoadEvent",
    "LoadNews",
    "LoadStep",
    "Stage",
    "Upstream",
    "UpstreamList",
]


@final
class Stage(enum.StrEnum):
    """Work that an engine takes; plain upstreams have no stage."""

    NONE = ""
    PREFILL = "prefill"
    DECODE = "decode"


@final
class Upstream(msgspec.Struct, frozen=True, kw_only=True):
    """One runner as the platform lists it.

    `upstream_id` changes with most starts of the runner; an address may
    belong to a runner of another service later.
    """

    upstream_id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool = False
    stage: Stage = Stage.NONE
    weights_version: int = 0
    born_ms: int = 0


@final
class UpstreamList(msgspec.Struct, frozen=True):
    """Every usable runner at one reading; `sequence` rises with changes.

    `reader_term` is the term of the leader that read the list. A newer term
    starts its sequence anew.
    """

    reader_term: int
    sequence: int
    upstreams: list[Upstream]

    @property
    def position(self) -> tuple[int, int]:
        """Return what orders two lists by age."""
        return self.reader_term, self.sequence


@final
class GatewayPeer(msgspec.Struct, frozen=True, array_like=True):
    """A gateway and the datagram address at which it hears of load."""

    name: str
    address: str


@final
class Follow(msgspec.Struct, frozen=True, array_like=True, tag="follow"):
    """Ask a control replica for what is new, and report liveness."""

    gateway: str
    incarnation: int
    address: str
    table_number: int
    list_position: tuple[int, int]
    leaving: bool = False


@final
class Followed(msgspec.Struct, frozen=True, array_like=True, tag="followed"):
    """What the asking gateway lacks.

    `age_ms` bounds how long ago the answer was known to be current. `table`
    and `upstreams` are None when the asker holds the newest.
    `rpc_address_by_replica` names every control replica.
    """

    age_ms: int
    table_number: int
    table: route_table.RouteTable | None
    upstreams: UpstreamList | None
    peers: list[GatewayPeer]
    rpc_address_by_replica: dict[str, str]


@final
class JoinReplicas(msgspec.Struct, frozen=True, array_like=True, tag="join"):
    """Ask the leader to add this replica; it learns before it votes.

    The replica's VM is known by the host of its addresses: an earlier replica
    of the same VM lost its data folder and is removed first.
    """

    replica: str
    peer_address: str
    rpc_address: str
    admin_address: str


@final
class JoinReply(msgspec.Struct, frozen=True, array_like=True, tag="joining"):
    """Whether the replica is a member now, and why not yet.

    `peer_address_by_replica` is where the members hear each other: the joining
    replica's own log does not tell it yet.
    """

    joined: bool
    reason: str
    peer_address_by_replica: dict[str, str]


@final
class LoadStep(enum.StrEnum):
    """What happened to a request at a runner."""

    SENT = "s"
    BEGAN = "b"
    ENDED = "e"


@final
class LoadEvent(msgspec.Struct, frozen=True, array_like=True):
    """One step of one request at one runner.

    `parts` are the prompt's parts in order, as id and tokens, and
    `unread_tokens` how many of them the sender expects to be read anew.
    """

    step: LoadStep
    upstream_id: str
    request_id: str
    unread_tokens: int = 0
    parts: tuple[tuple[str, int], ...] = ()
    rank: int = 0


@final
class LoadNews(msgspec.Struct, frozen=True, array_like=True, tag="load-news"):
    """Steps that one gateway took; lost datagrams are not repeated."""

    events: list[LoadEvent]
