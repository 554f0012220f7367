"""`wisteriawall status`: show replicas, runners and processes."""

from collections.abc import Iterator

import typer

from wisteriawall.control import events
from wisteriawall.operator import options
from wisteriawall.operator import text_tables

__all__ = ["status"]

# A process that was last seen this long ago is shown as lost.
HEARTBEAT_TIMEOUT_MS = 2_000


def status(
    control: options.OperatorControl = options.DEFAULT_ADDRESS,
    token: options.OperatorToken = "",
    as_json: options.JsonOutput = False,
) -> None:
    """Show replicas, runners and processes with their configuration number."""
    response = options.make_client(control, token).call("GET", "/v1/status")
    if as_json:
        typer.echo(response.body)
        return
    for section in _render_sections(response.decode(events.StatusReply)):
        typer.echo(section)


def _render_sections(reply: events.StatusReply) -> Iterator[str]:
    yield (
        f"configuration {reply.config_number}, leader {reply.leader or 'none'},"
        f" term {reply.term}; reported by {reply.replica} ({reply.role})"
    )
    if reply.usage is not None:
        usage = reply.usage
        yield (
            f"usage: window {usage.window or 'none'} {usage.result} for holder"
            f" {usage.holder or 'none'} with token {usage.token};"
            f" {usage.unsent} reports unsent, next window {usage.next_window}"
        )
    yield "\n" + text_tables.render(
        ("REPLICA", "PEER", "VOTES"),
        [
            (
                member.replica,
                member.peer_address,
                "yes" if member.voting else "catching up",
            )
            for member in reply.members
        ],
    )
    yield "\n" + text_tables.render(
        ("RUNNER", "SERVICE", "ZONE", "PHASE", "ROLE", "MODEL", "ORDER"),
        [
            (
                runner.name,
                runner.service,
                runner.zone,
                runner.phase,
                runner.role,
                runner.model,
                runner.pending,
            )
            for runner in reply.runners
        ],
    )
    yield "\n" + text_tables.render(
        ("PROCESS", "KIND", "NUMBER", "SEEN MS", "STATE"),
        [
            (
                process.name,
                process.kind,
                process.config_number,
                process.seen_ms,
                _process_state(reply, process),
            )
            for process in reply.processes
        ],
    )


def _process_state(
    reply: events.StatusReply, process: events.ProcessStatus
) -> str:
    if process.seen_ms >= HEARTBEAT_TIMEOUT_MS:
        return "lost"
    if process.config_number < reply.config_number:
        return f"lags {reply.config_number - process.config_number}"
    return "current"
