"""`wisteriawall audit`: print the audit trail of the cluster."""

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

FOLLOW_POLL_INTERVAL_S = 1.0
# Records of a full page; a page with fewer records is the last one.
RECORDS_PER_PAGE = 500
COLUMNS = ("INDEX", "TIME", "KIND", "ACTOR", "SUBJECT", "CAUSE", "RESULT")


def audit(
    follow: Annotated[
        bool,
        typer.Option("--follow", help="Keep running and print new records."),
    ] = False,
    kind: Annotated[
        state.AuditKind | None,
        typer.Option(help="Show only records of this kind."),
    ] = None,
    subject: Annotated[
        str, typer.Option(help="Show only subjects with this prefix.")
    ] = "",
    after: Annotated[
        int, typer.Option(help="Show only records after this log index.")
    ] = 0,
    control: options.OperatorControl = options.DEFAULT_ADDRESS,
    token: options.OperatorToken = "",
    as_json: options.JsonOutput = False,
) -> None:
    """Show the audit trail, oldest first; it holds the last 50,000 changes."""
    client = options.make_client(control, token)
    query = {"subject": subject}
    if kind is not None:
        query["kind"] = kind.value
    for page in _fetch_pages(client, query, after, follow):
        if as_json:
            for record in page:
                typer.echo(msgspec.json.encode(record))
        else:
            typer.echo(text_tables.render(COLUMNS, map(_table_row, page)))


def _fetch_pages(
    client: client_lib.OperatorClient,
    query: dict[str, str],
    after: int,
    follow: bool,
) -> Iterator[list[state.AuditRecord]]:
    """Yield the records after the log index `after`, in non-empty pages.

    With `follow` it polls for new records and never ends.
    """
    while True:
        response = client.call(
            "GET", "/v1/audit", query={**query, "after": after}
        )
        page = response.decode(events.AuditReply).records
        if page:
            after = page[-1].index
            yield page
        if len(page) == RECORDS_PER_PAGE:
            continue
        if not follow:
            return
        time.sleep(FOLLOW_POLL_INTERVAL_S)


def _table_row(record: state.AuditRecord) -> tuple[object, ...]:
    return (
        record.index,
        text_tables.format_utc(record.at_ms),
        record.kind,
        record.actor,
        record.subject,
        record.cause,
        record.result,
    )
