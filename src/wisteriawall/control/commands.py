"""Commands that log entries hold; applying one changes the ledger.

In every command `at_ms` is the Unix time at which the leader made it. Log
files keep the commands under these tags and field names.
"""

from typing import final

import msgspec

from wisteriawall.config import route_table
from wisteriawall.control import state
from wisteriawall.wire import fleet
from wisteriawall.wire import gateway_messages

__all__ = [
    "ChangeBlock",
    "ChangeTable",
    "Command",
    "FixUsage",
    "GatewayUsage",
    "GrantClaim",
    "IssueOrder",
    "PatchConfig",
    "PublishTable",
    "RecordEngine",
    "RecordEntryLost",
    "RecordLeader",
    "RecordMembershipChange",
    "RecordOrderResult",
    "RecordStreams",
    "RecordUsage",
    "SetDrain",
    "SetPresence",
    "SetVersions",
    "SettleClaim",
    "SettleUsage",
    "decode",
    "encode",
]


@final
class RecordLeader(msgspec.Struct, frozen=True, tag="lead"):
    """Record in the audit trail that a replica was elected leader."""

    replica: str
    at_ms: int


@final
class PatchConfig(msgspec.Struct, frozen=True, tag="patch"):
    """Apply a JSON merge patch if `base_number` is still the current number."""

    patch_id: str
    operator: str
    base_number: int
    change: bytes
    at_ms: int


@final
class PublishTable(msgspec.Struct, frozen=True, tag="table"):
    """Publish a whole routing table; `source` is the text that was sent.

    Leaders write `ChangeTable` instead; older logs hold this command.
    """

    table: route_table.RouteTable
    source: bytes
    operator: str
    at_ms: int


@final
class ChangeTable(msgspec.Struct, frozen=True, tag="table-change"):
    """Publish the routing table that results from a change.

    `table_change` and `source_change` are the encoded differences of the table
    and of its text from those of the table `base_number`, both empty when the
    table that was sent is not newer. `digest` is that of the table as it was
    sent.
    """

    number: int
    base_number: int
    digest: bytes
    table_change: bytes
    source_change: bytes
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
    """Record the outcome of a claimed run, or release the claim.

    `released` says that the request was proved not to have run. Otherwise
    `answer` is the run's answer, or None when the outcome is unknown.
    """

    claim_id: int
    request_id: str
    released: bool
    answer: fleet.StoredAnswer | None
    at_ms: int


@final
class IssueOrder(msgspec.Struct, frozen=True, tag="order"):
    """Issue an order to a runner's engine if it may start now.

    `term` is the leader's term at its decision. `planned` marks orders of the
    role planner, which start only under stricter conditions than orders that
    the configuration requires.
    """

    runner: str
    action: fleet.OrderAction
    argument: str
    cause: str
    at_ms: int
    term: int
    planned: bool = False


@final
class RecordOrderResult(msgspec.Struct, frozen=True, tag="order-done"):
    """Record the result of an order and the engine's state after it.

    `engine` is None if the agent had not inspected its engine.
    """

    order_id: int
    runner: str
    succeeded: bool
    detail: str
    role: fleet.Role
    at_ms: int
    engine: fleet.EngineStatus | None = None


@final
class SetPresence(msgspec.Struct, frozen=True, tag="presence"):
    """Record a runner's presence as the leader of `term` determined it.

    `is_restart` says that an incarnation lower than the recorded one is a
    later start, after the clock was set back.
    """

    runner: str
    presence: state.Presence
    incarnation: int
    cause: str
    at_ms: int
    term: int
    is_restart: bool = False


@final
class RecordEngine(msgspec.Struct, frozen=True, tag="engine"):
    """Record the engine state that an agent found by inspection."""

    runner: str
    incarnation: int
    engine: fleet.EngineStatus
    at_ms: int


@final
class SetDrain(msgspec.Struct, frozen=True, tag="drain"):
    """Record that an operator drains a runner, or undoes that.

    A command whose `drain_id` was applied before changes nothing. It is empty
    in logs from before it existed and for clients that send none.
    """

    runner: str
    drained: bool
    operator: str
    at_ms: int
    drain_id: str = ""


@final
class RecordEntryLost(msgspec.Struct, frozen=True, tag="entry-gone"):
    """Record that an entry's incarnation is lost.

    Without `only`, as in older logs, all lower incarnations are lost too. One
    of them may be the entry's present start, after its clock was set back.
    """

    entry: str
    incarnation: int
    at_ms: int
    only: bool = False


@final
class RecordMembershipChange(msgspec.Struct, frozen=True, tag="replica"):
    """Record the membership change that the same log entry holds.

    `change` is `added` or `removed`.
    """

    change: str
    replica: str
    operator: str
    at_ms: int


@final
class ChangeBlock(msgspec.Struct, frozen=True, tag="block"):
    """Change the block `name` of requests under which runners crash.

    `gateway` reported it, or gets the trial; it contains the incarnation.
    `trials` is the number of earlier trials, so that one is granted once.
    """

    name: str
    change: state.BlockChange
    gateway: str
    trials: int
    at_ms: int


@final
class SetVersions(msgspec.Struct, frozen=True, tag="versions"):
    """Replace the software versions of a service that may have streams."""

    service: str
    versions: list[str]
    at_ms: int


@final
class RecordStreams(msgspec.Struct, frozen=True, tag="streams"):
    """Keep the origins of streams, by attempt id."""

    origin_by_attempt: dict[str, gateway_messages.StreamOrigin]
    at_ms: int


@final
class GatewayUsage(msgspec.Struct, frozen=True, array_like=True):
    """Usage that a gateway reported up to `version`.

    `gateway` contains the incarnation.
    """

    gateway: str
    version: int
    count_by_account_by_window: dict[int, dict[str, int]]


@final
class RecordUsage(msgspec.Struct, frozen=True, tag="usage"):
    """Keep counts of usage, of which a larger one replaces a smaller one.

    `first_window` is the first window to be reported, if none was before.
    """

    gateways: list[GatewayUsage]
    first_window: int
    at_ms: int


@final
class FixUsage(msgspec.Struct, frozen=True, tag="usage-fix"):
    """Fix the reports of all windows up to `window` that are not fixed yet."""

    window: int
    at_ms: int


@final
class SettleUsage(msgspec.Struct, frozen=True, tag="usage-settled"):
    """Record that the platform accepted a report, or that it was dropped.

    `holder` and `token` are those of the last call.
    """

    window: int
    result: str
    holder: str
    token: int
    at_ms: int


Command = (
    RecordLeader
    | RecordMembershipChange
    | PatchConfig
    | PublishTable
    | ChangeTable
    | GrantClaim
    | SettleClaim
    | IssueOrder
    | RecordOrderResult
    | SetPresence
    | RecordEngine
    | SetDrain
    | RecordEntryLost
    | ChangeBlock
    | SetVersions
    | RecordStreams
    | RecordUsage
    | FixUsage
    | SettleUsage
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Command)


def encode(command: Command) -> bytes:
    """Return `command` as MessagePack, as log entries hold it."""
    return _ENCODER.encode(command)


def decode(data: bytes) -> Command:
    """Return the command that a log entry holds."""
    command: Command = _DECODER.decode(data)
    return command
