"""`wisteriawall config`: read and patch the configuration."""

import pathlib
import sys
from typing import Annotated
import uuid

import msgspec
import typer

from wisteriawall import errors
from wisteriawall.config import patch as patch_lib
from wisteriawall.control import events
from wisteriawall.operator import client as client_lib
from wisteriawall.operator import options
from wisteriawall.operator import text_tables

__all__ = ["app"]

app = typer.Typer(
    help="Read and patch the configuration.", no_args_is_help=True
)

Number = Annotated[
    int | None, typer.Option(help="Configuration number; default: newest.")
]


@app.command()
def get(
    number: Number = None,
    control: options.OperatorControl = options.DEFAULT_ADDRESS,
    token: options.OperatorToken = "",
) -> None:
    """Print the configuration as JSON."""
    client = options.make_client(control, token)
    typer.echo(msgspec.json.format(_read(client, number), indent=2))


@app.command()
def patch(
    file: Annotated[
        str, typer.Argument(help="JSON merge patch; - reads standard input.")
    ],
    number: Annotated[
        int, typer.Option(help="Number that the patch was written against.")
    ],
    patch_id: Annotated[
        str,
        typer.Option(
            "--id", help="Id of the patch, to send it again; default: new."
        ),
    ] = "",
    control: options.OperatorControl = options.DEFAULT_ADDRESS,
    token: options.OperatorToken = "",
    as_json: options.JsonOutput = False,
) -> None:
    """Patch the configuration against a number; exits 4 if it is stale."""
    client = options.make_client(control, token)
    patch_id = patch_id or uuid.uuid4().hex
    try:
        answer = client.call(
            "PATCH",
            "/v1/config",
            body=_read_file(file),
            headers={"If-Match": f'"{number}"', "Idempotency-Key": patch_id},
        )
    except client_lib.Unavailable as error:
        raise client_lib.Unavailable(
            f"{error}; send it again with --id {patch_id}"
        ) from error
    if as_json:
        typer.echo(answer.body)
        return
    made = answer.decode(_Patched).number
    typer.echo(f"configuration {made}; held by {answer.holding} processes")


@app.command()
def history(
    limit: Annotated[
        int, typer.Option(min=1, max=500, help="How many, newest first.")
    ] = 50,
    control: options.OperatorControl = options.DEFAULT_ADDRESS,
    token: options.OperatorToken = "",
    as_json: options.JsonOutput = False,
) -> None:
    """List the newest numbers; the last 1,000 are kept."""
    client = options.make_client(control, token)
    answer = client.call("GET", "/v1/config/history", query={"limit": limit})
    if as_json:
        typer.echo(answer.body)
        return
    rows = [
        (v.number, text_tables.format_utc(v.at_ms), v.operator, v.patch_id)
        for v in answer.decode(events.HistoryReply).versions
    ]
    typer.echo(
        text_tables.render(("NUMBER", "TIME", "OPERATOR", "PATCH ID"), rows)
    )


@app.command()
def diff(
    before: Annotated[int, typer.Argument(help="Earlier number.")],
    after: Annotated[
        int | None, typer.Argument(help="Later number; default: newest.")
    ] = None,
    control: options.OperatorControl = options.DEFAULT_ADDRESS,
    token: options.OperatorToken = "",
) -> None:
    """Print the merge patch that leads from one number to another."""
    client = options.make_client(control, token)
    change = patch_lib.diff(
        msgspec.json.decode(_read(client, before)),
        msgspec.json.decode(_read(client, after)),
    )
    typer.echo(msgspec.json.format(msgspec.json.encode(change), indent=2))


@app.callback()
def _root() -> None:
    """Read and patch the configuration."""


class _Patched(msgspec.Struct, frozen=True):
    number: int


def _read(client: client_lib.OperatorClient, number: int | None) -> bytes:
    query = {} if number is None else {"number": number}
    return client.call("GET", "/v1/config", query=query).body


def _read_file(name: str) -> bytes:
    if name == "-":
        return sys.stdin.buffer.read()
    try:
        return pathlib.Path(name).read_bytes()
    except OSError as error:
        raise errors.UsageError(f"{name}: {error.strerror}") from error
