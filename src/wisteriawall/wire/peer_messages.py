"""Messages between control replicas beside those of agreement."""

from typing import final

import msgspec

from wisteriawall.wire import control_messages
from wisteriawall.wire import fleet
from wisteriawall.wire import raft_messages

__all__ = ["Beat", "Gone", "Liveness", "PeerMessage"]


@final
class Beat(msgspec.Struct, frozen=True, array_like=True):
    """Newest renewal of one process, `age_ms` ago, without its demand."""

    process: str
    incarnation: int
    kind: control_messages.ProcessKind
    config_number: int
    runner: str
    leaving: bool
    engine: fleet.EngineView | None
    age_ms: int = 0


@final
class Gone(msgspec.Struct, frozen=True, array_like=True):
    """A process that fell silent; `age_ms` is the time since it renewed."""

    process: str
    age_ms: int


@final
class Liveness(msgspec.Struct, frozen=True, array_like=True, tag="liveness"):
    """Tell the leader which processes renew their lease at a follower.

    A process that was listed counts as live until it is listed in `gone`.
    `beats` holds what changed lately, or every process if `full`. Each change
    is repeated in several messages, so that losing one does no harm.
    `demand` is what the processes reported since the last message.
    """

    replica: str
    sequence: int
    full: bool
    beats: list[Beat]
    gone: list[Gone]
    demand: list[fleet.ServiceDemand]


PeerMessage = raft_messages.RaftMessage | Liveness
