"""Commands that the replicated log holds; each changes the ledger once."""

from typing import final

import msgspec

from wisteriawall.wire import fleet

__all__ = [
    "ChangeReplica",
    "Command",
    "CompleteOrder",
    "GrantClaim",
    "IssueOrder",
    "PatchConfig",
    "SetPhase",
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
    """Give an order to a runner's engine, unless one is pending there."""

    runner: str
    action: fleet.Action
    argument: str
    cause: str
    at_ms: int


@final
class CompleteOrder(msgspec.Struct, frozen=True, tag="order-done"):
    """Record the result of an order and the engine's role after it."""

    order_id: int
    runner: str
    succeeded: bool
    detail: str
    role: fleet.Role
    at_ms: int


@final
class SetPhase(msgspec.Struct, frozen=True, tag="phase"):
    """Record that a runner entered a phase."""

    runner: str
    phase: fleet.RunnerPhase
    cause: str
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
    | GrantClaim
    | SettleClaim
    | IssueOrder
    | CompleteOrder
    | SetPhase
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
