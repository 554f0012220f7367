"""Messages between control replicas: Raft, and reports of live processes."""

from typing import final

import msgspec

from wisteriawall.wire import control_messages
from wisteriawall.wire import fleet
from wisteriawall.wire import raft_messages

__all__ = ["LivenessSummary", "LostProcess", "PeerMessage", "ProcessHeartbeat"]


@final
class ProcessHeartbeat(msgspec.Struct, frozen=True, array_like=True):
    """Newest lease renewal of one process, received `age_ms` ago.

    The fields are those of `control_messages.RenewRequest` that must be known
    after the renewal was answered.
    """

    process: str
    incarnation: int
    kind: control_messages.ProcessKind
    config_number: int
    runner: str
    stopping: bool
    engine: fleet.EngineStatus | None
    age_ms: int = 0


@final
class LostProcess(msgspec.Struct, frozen=True, array_like=True):
    """A process that sends no heartbeat; it last renewed `age_ms` ago."""

    process: str
    age_ms: int


@final
class LivenessSummary(
    msgspec.Struct, frozen=True, array_like=True, tag="liveness"
):
    """Report of a follower to the leader: the processes that renew there.

    `heartbeats` lists the processes whose renewals changed recently, or all of
    them if `complete`. A process that was listed once counts as live until it
    is listed in `lost`. Each change is repeated in several messages, so that
    the loss of one message does no harm. `demand` is what the processes
    reported since the last message.
    """

    replica: str
    sequence: int
    complete: bool
    heartbeats: list[ProcessHeartbeat]
    lost: list[LostProcess]
    demand: list[fleet.ServiceDemand]


PeerMessage = raft_messages.RaftMessage | LivenessSummary
