"""`wisteriawall audit`: who changed what, when, why and with what result."""

from collections.abc import Iterator
import time
from typing import Annotated

import msgspec
import typer

from wisteriawall.control import events
from wisteriawall.control import state
from wisteriawall.operator import client as client_lib
from wisteriawall.operator import options
from wisteriawall.operator import text_tables

__all__ = ["audit"]

FOLLOW_POLL_S = 1.0
PAGE_RECORDS = 500
HEAD = ("INDEX", "TIME", "KIND", "ACTOR", "SUBJECT", "CAUSE", "RESULT")


def audit(
    follow: Annotated[
        bool, typer.Option("--follow", help="Go on as changes happen.")
    ] = False,
    kind: Annotated[
        state.AuditKind | None, typer.Option(help="Only this kind.")
    ] = None,
    subject: Annotated[
        str, typer.Option(help="Only subjects that start with this.")
    ] = "",
    after: Annotated[
        int, typer.Option(help="Only records after this log index.")
    ] = 0,
    control: options.OperatorControl = options.DEFAULT_ADDRESS,
    token: options.OperatorToken = "",
    as_json: options.JsonOutput = False,
) -> None:
    """Show the audit trail, oldest first; it keeps 50,000 changes."""
    client = options.make_client(control, token)
    query = {"subject": subject}
    if kind is not None:
        query["kind"] = kind.value
    for page in _pages(client, query, after, follow):
        if as_json:
            for record in page:
                typer.echo(msgspec.json.encode(record))
        else:
            typer.echo(text_tables.render(HEAD, map(_row, page)))


def _pages(
    client: client_lib.OperatorClient,
    query: dict[str, str],
    after: int,
    follow: bool,
) -> Iterator[list[state.AuditRecord]]:
    """Yield pages that hold records; with `follow` for ever."""
    while True:
        answer = client.call(
            "GET", "/v1/audit", query={**query, "after": after}
        )
        page = answer.decode(events.AuditReply).records
        if page:
            after = page[-1].index
            yield page
        if len(page) == PAGE_RECORDS:
            continue
        if not follow:
            return
        time.sleep(FOLLOW_POLL_S)


def _row(record: state.AuditRecord) -> tuple[object, ...]:
    return (
        record.index,
        text_tables.format_utc(record.at_ms),
        record.kind,
        record.actor,
        record.subject,
        record.cause,
        record.result,
    )
