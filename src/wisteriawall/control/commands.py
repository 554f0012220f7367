"""Commands that the replicated log holds; each changes the ledger once."""

from typing import final

import msgspec

from wisteriawall.config import route_table
from wisteriawall.control import state
from wisteriawall.wire import fleet

__all__ = [
    "ChangeReplica",
    "Command",
    "CompleteOrder",
    "ForgetEntry",
    "GrantClaim",
    "IssueOrder",
    "PatchConfig",
    "PublishTable",
    "RecordEngine",
    "SetDrain",
    "SetPresence",
    "SettleClaim",
    "TakeLead",
    "decode",
    "encode",
]


@final
class TakeLead(msgspec.Struct, frozen=True, tag="lead"):
    """Record that a replica leads from here on."""

    replica: str
    at_ms: int


@final
class PatchConfig(msgspec.Struct, frozen=True, tag="patch"):
    """Apply a merge patch if the configuration still has `base_number`."""

    patch_id: str
    operator: str
    base_number: int
    change: bytes
    at_ms: int


@final
class PublishTable(msgspec.Struct, frozen=True, tag="table"):
    """Publish a whole routing table; `source` is the text that was sent."""

    table: route_table.RouteTable
    source: bytes
    operator: str
    at_ms: int


@final
class GrantClaim(msgspec.Struct, frozen=True, tag="claim"):
    """Claim the only run of a non-repeatable request."""

    account: str
    service: str
    key: str
    digest: str
    request_id: str
    entry: str
    incarnation: int
    at_ms: int


@final
class SettleClaim(msgspec.Struct, frozen=True, tag="settle"):
    """Record a claimed run's outcome, or release a claim proved not run."""

    claim_id: int
    request_id: str
    released: bool
    answer: fleet.KeptAnswer | None
    at_ms: int


@final
class IssueOrder(msgspec.Struct, frozen=True, tag="order"):
    """Give an order to a runner's engine, unless something is against it.

    `term` is the leader's term when it decided; `planned` marks orders of
    the role planner, which yield to those of the configuration.
    """

    runner: str
    action: fleet.Action
    argument: str
    cause: str
    at_ms: int
    term: int
    planned: bool = False


@final
class CompleteOrder(msgspec.Struct, frozen=True, tag="order-done"):
    """Record the result of an order and the engine's role after it."""

    order_id: int
    runner: str
    succeeded: bool
    detail: str
    role: fleet.Role
    at_ms: int
    engine: fleet.EngineView | None = None


@final
class SetPresence(msgspec.Struct, frozen=True, tag="presence"):
    """Record what membership says of a runner, as judged in `term`."""

    runner: str
    presence: state.Presence
    incarnation: int
    cause: str
    at_ms: int
    term: int


@final
class RecordEngine(msgspec.Struct, frozen=True, tag="engine"):
    """Record what an agent found when it inspected its engine."""

    runner: str
    incarnation: int
    engine: fleet.EngineView
    at_ms: int


@final
class SetDrain(msgspec.Struct, frozen=True, tag="drain"):
    """Record an operator's drain order, or that it is undone."""

    runner: str
    drained: bool
    operator: str
    at_ms: int


@final
class ForgetEntry(msgspec.Struct, frozen=True, tag="entry-gone"):
    """Record that an entry's incarnation and all before it are gone."""

    entry: str
    incarnation: int
    at_ms: int


@final
class ChangeReplica(msgspec.Struct, frozen=True, tag="replica"):
    """Record why the membership changes in this entry of the log."""

    change: str
    replica: str
    operator: str
    at_ms: int


Command = (
    TakeLead
    | ChangeReplica
    | PatchConfig
    | PublishTable
    | GrantClaim
    | SettleClaim
    | IssueOrder
    | CompleteOrder
    | SetPresence
    | RecordEngine
    | SetDrain
    | ForgetEntry
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Command)


def encode(command: Command) -> bytes:
    """Return the log form of `command`."""
    return _ENCODER.encode(command)


def decode(data: bytes) -> Command:
    """Return the command whose log form is `data`."""
    command: Command = _DECODER.decode(data)
    return command
