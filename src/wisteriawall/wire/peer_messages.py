"""Messages between control replicas: Raft, and reports of live processes."""

from typing import final

import msgspec

from wisteriawall.wire import control_messages
from wisteriawall.wire import fleet
from wisteriawall.wire import raft_messages

__all__ = ["Beat", "Gone", "Liveness", "PeerMessage"]


@final
class Beat(msgspec.Struct, frozen=True, array_like=True):
    """Newest lease renewal of one process, received `age_ms` ago.

    The fields are those of `control_messages.Renew` that must be known after
    the renewal was answered.
    """

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
    """A process that sends no heartbeat; it last renewed `age_ms` ago."""

    process: str
    age_ms: int


@final
class Liveness(msgspec.Struct, frozen=True, array_like=True, tag="liveness"):
    """Report of a follower to the leader: the processes that renew there.

    `beats` lists the processes whose renewals changed recently, or all of them
    if `full`. A process that was listed once counts as live until it is listed
    in `gone`. Each change is repeated in several messages, so that the loss of
    one message does no harm. `demand` is what the processes reported since the
    last message.
    """

    replica: str
    sequence: int
    full: bool
    beats: list[Beat]
    gone: list[Gone]
    demand: list[fleet.ServiceDemand]


PeerMessage = raft_messages.RaftMessage | Liveness
