"""Maps write requests to log commands, and command outcomes to replies."""

from wisteriawall.control import commands
from wisteriawall.control import events
from wisteriawall.control import outcomes
from wisteriawall.control import state
from wisteriawall.control import tables
from wisteriawall.wire import control_messages
from wisteriawall.wire import gateway_messages

__all__ = ["command_for", "reply_for"]


def command_for(
    newest: state.PublishedTable | None, request: events.Request, wall_ms: int
) -> commands.Command:
    """Return the command that carries out a write request.

    Args:
        newest: Table to which the change of a routing table refers.
        request: Request that changes the ledger.
        wall_ms: Unix time at the leader, which becomes part of the command.
    """
    match request:
        case events.PatchRequest(patch_id, operator, base_number, change):
            return commands.PatchConfig(
                patch_id, operator, base_number, change, wall_ms
            )
        case events.PublishRequest():
            return tables.command_for(newest, request, wall_ms)
        case events.DrainRequest(operator, runner, undo, drain_id):
            return commands.SetDrain(
                runner, not undo, operator, wall_ms, drain_id
            )
        case control_messages.ClaimRequest():
            return commands.GrantClaim(
                request.account,
                request.service,
                request.key,
                request.digest,
                request.request_id,
                request.entry,
                request.incarnation,
                wall_ms,
            )
        case control_messages.SettleRequest():
            return commands.SettleClaim(
                request.claim_id,
                request.request_id,
                request.released,
                request.answer,
                wall_ms,
            )
        case control_messages.OrderReport():
            return commands.RecordOrderResult(
                request.order_id,
                request.runner,
                request.succeeded,
                request.detail,
                request.role,
                wall_ms,
                request.engine,
            )
        case gateway_messages.RecordStreamsRequest(origin_by_attempt):
            return commands.RecordStreams(origin_by_attempt, wall_ms)
        case events.SettleUsageRequest(window, result, holder, token):
            return commands.SettleUsage(window, result, holder, token, wall_ms)
        case _:
            raise AssertionError(f"not a write: {type(request).__name__}")


def reply_for(
    command: commands.Command, outcome: outcomes.Outcome
) -> events.Reply:
    """Return the reply to a write whose command was applied.

    The reply to a patch leaves the process counts at 0; the reducer fills
    them in for an accepted patch.
    """
    match command, outcome:
        case commands.PatchConfig(), (
            outcomes.ConfigChanged()
            | outcomes.ConfigStale()
            | outcomes.ConfigInvalid()
            | outcomes.PatchIdReused()
        ):
            return events.PatchReply(outcome, 0, 0)
        case commands.ChangeTable(), (
            outcomes.TableInForce() | outcomes.TableConflict()
        ):
            return events.PublishReply(outcome)
        case commands.GrantClaim(), outcomes.ClaimOutcome(
            verdict, claim_id, answer
        ):
            return control_messages.ClaimReply(verdict, claim_id, answer)
        case commands.SettleClaim(claim_id), _:
            return control_messages.SettleReply(claim_id)
        case commands.RecordOrderResult(order_id), _:
            return control_messages.OrderReportReply(order_id)
        case commands.SetDrain(runner), outcomes.Dropped(reason):
            return events.DrainReply(runner, reason)
        case commands.SetDrain(runner), _:
            return events.DrainReply(runner)
        case commands.RecordStreams(), _:
            return gateway_messages.StreamsRecorded()
        case commands.SettleUsage(window), _:
            return events.UsageSettled(window)
        case _:
            raise AssertionError(f"no reply to {type(command).__name__}")
