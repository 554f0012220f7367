"""`wisteriawall config`: read, check and patch the configuration."""

import pathlib
import sys
from typing import Annotated
import uuid

import msgspec
import typer

from wisteriawall import errors
from wisteriawall.config import check as check_lib
from wisteriawall.config import document
from wisteriawall.config import patch as patch_lib
from wisteriawall.control import events
from wisteriawall.operator import client as client_lib
from wisteriawall.operator import findings_output
from wisteriawall.operator import options
from wisteriawall.operator import text_tables

__all__ = ["app"]

app = typer.Typer(
    help="Read, check and patch the configuration.", no_args_is_help=True
)

Number = Annotated[
    int | None, typer.Option(help="Configuration number; default: the newest.")
]


@app.command()
def get(
    number: Number = None,
    control: options.OperatorControl = options.DEFAULT_ADDRESS,
    token: options.OperatorToken = "",
) -> None:
    """Print the configuration as JSON."""
    client = options.make_client(control, token)
    typer.echo(msgspec.json.format(_fetch_document(client, number), indent=2))


@app.command()
def patch(
    file: Annotated[
        str,
        typer.Argument(
            help="File with a JSON merge patch; - reads standard input."
        ),
    ],
    number: Annotated[
        int,
        typer.Option(help="Configuration number that the patch is based on."),
    ],
    patch_id: Annotated[
        str,
        typer.Option(
            "--id",
            help="Id of the patch; a retry needs the same id; default: new.",
        ),
    ] = "",
    control: options.OperatorControl = options.DEFAULT_ADDRESS,
    token: options.OperatorToken = "",
    as_json: options.JsonOutput = False,
) -> None:
    """Patch the configuration; exit with 4 if --number is not the newest."""
    client = options.make_client(control, token)
    patch_id = patch_id or uuid.uuid4().hex
    try:
        response = client.call(
            "PATCH",
            "/v1/config",
            body=_read_file(file),
            headers={"If-Match": f'"{number}"', "Idempotency-Key": patch_id},
        )
    except client_lib.Unavailable as error:
        raise client_lib.Unavailable(
            f"{error}; to retry, send it again with --id {patch_id}"
        ) from error
    if as_json:
        typer.echo(response.body)
        return
    new_number = response.decode(_PatchReply).number
    typer.echo(
        f"configuration {new_number}; held by {response.holding} processes"
    )


@app.command()
def history(
    limit: Annotated[
        int, typer.Option(min=1, max=500, help="Number of versions to list.")
    ] = 50,
    control: options.OperatorControl = options.DEFAULT_ADDRESS,
    token: options.OperatorToken = "",
    as_json: options.JsonOutput = False,
) -> None:
    """List configuration versions, newest first; the last 1,000 are kept."""
    client = options.make_client(control, token)
    response = client.call("GET", "/v1/config/history", query={"limit": limit})
    if as_json:
        typer.echo(response.body)
        return
    rows = [
        (
            version.number,
            text_tables.format_utc(version.at_ms),
            version.operator,
            version.patch_id,
        )
        for version in response.decode(events.HistoryReply).versions
    ]
    typer.echo(
        text_tables.render(("NUMBER", "TIME", "OPERATOR", "PATCH ID"), rows)
    )


@app.command()
def diff(
    before: Annotated[
        int, typer.Argument(help="Earlier configuration number.")
    ],
    after: Annotated[
        int | None,
        typer.Argument(help="Later configuration number; default: the newest."),
    ] = None,
    control: options.OperatorControl = options.DEFAULT_ADDRESS,
    token: options.OperatorToken = "",
) -> None:
    """Print the JSON merge patch from one configuration to another."""
    client = options.make_client(control, token)
    merge_patch = patch_lib.diff(
        msgspec.json.decode(_fetch_document(client, before)),
        msgspec.json.decode(_fetch_document(client, after)),
    )
    typer.echo(msgspec.json.format(msgspec.json.encode(merge_patch), indent=2))


@app.command()
def check(
    file: Annotated[
        str,
        typer.Argument(
            help="File with a configuration as JSON; - reads standard input."
        ),
    ],
    against: Annotated[
        str,
        typer.Option(
            help="Report differences from this file; live: the active version."
        ),
    ] = "",
    control: options.OperatorControl = options.DEFAULT_ADDRESS,
    token: options.OperatorToken = "",
    as_json: options.JsonOutput = False,
) -> None:
    """Check a configuration file; exit with 1 if there are findings."""
    candidate, findings = check_lib.check_source(_read_file(file))
    if against:
        base = _read_base(against, control, token)
        if candidate is not None:
            findings += check_lib.compare_documents(base, candidate)
    findings_output.report(file, findings, as_json=as_json)


@app.callback()
def _group_help() -> None:
    """Read, check and patch the configuration."""


class _PatchReply(msgspec.Struct, frozen=True):
    number: int


def _fetch_document(
    client: client_lib.OperatorClient, number: int | None
) -> bytes:
    query = {} if number is None else {"number": number}
    return client.call("GET", "/v1/config", query=query).body


def _read_base(against: str, control: str, token: str) -> document.Document:
    if against == "live":
        client = options.make_client(control, token)
        response = client.call("GET", "/v1/config")
        return response.decode(document.Document)
    base, findings = check_lib.check_source(_read_file(against))
    if base is None:
        raise errors.UsageError(
            f"--against {against}: {findings[0].place}: {findings[0].message}"
        )
    return base


def _read_file(name: str) -> bytes:
    if name == "-":
        return sys.stdin.buffer.read()
    try:
        return pathlib.Path(name).read_bytes()
    except OSError as error:
        raise errors.UsageError(f"{name}: {error.strerror}") from error
