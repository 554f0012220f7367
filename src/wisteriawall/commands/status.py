"""`wisteriawall status`: replicas, processes and runners."""

from collections.abc import Iterator

import typer

from wisteriawall.control import events
from wisteriawall.operator import options
from wisteriawall.operator import text_tables

__all__ = ["status"]

LIVE_MS = 2_000


def status(
    control: options.OperatorControl = options.DEFAULT_ADDRESS,
    token: options.OperatorToken = "",
    as_json: options.JsonOutput = False,
) -> None:
    """Show replicas, runners and the processes that lag the newest number."""
    answer = options.make_client(control, token).call("GET", "/v1/status")
    if as_json:
        typer.echo(answer.body)
        return
    for block in _blocks(answer.decode(events.StatusReply)):
        typer.echo(block)


def _blocks(reply: events.StatusReply) -> Iterator[str]:
    yield (
        f"configuration {reply.config_number}, leader {reply.leader or 'none'},"
        f" term {reply.term}; told by {reply.replica} ({reply.role})"
    )
    yield "\n" + text_tables.render(
        ("REPLICA", "PEER", "VOTES"),
        [
            (m.replica, m.peer_address, "yes" if m.voting else "catching up")
            for m in reply.members
        ],
    )
    yield "\n" + text_tables.render(
        ("RUNNER", "SERVICE", "ZONE", "PHASE", "ROLE", "MODEL", "ORDER"),
        [
            (r.name, r.service, r.zone, r.phase, r.role, r.model, r.pending)
            for r in reply.runners
        ],
    )
    yield "\n" + text_tables.render(
        ("PROCESS", "KIND", "NUMBER", "SEEN MS", "STATE"),
        [
            (p.name, p.kind, p.config_number, p.seen_ms, _state(reply, p))
            for p in reply.processes
        ],
    )


def _state(reply: events.StatusReply, process: events.ProcessStatus) -> str:
    if process.seen_ms >= LIVE_MS:
        return "silent"
    if process.config_number < reply.config_number:
        return f"lags {reply.config_number - process.config_number}"
    return "current"
