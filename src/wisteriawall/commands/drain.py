"""`wisteriawall drain`: stop sending new requests to a runner."""

from typing import Annotated

import msgspec
import typer

from wisteriawall.operator import options

__all__ = ["drain"]


def drain(
    runner: Annotated[str, typer.Argument(help="Name of the runner.")],
    undo: Annotated[
        bool, typer.Option("--undo", help="Send the runner new requests again.")
    ] = False,
    control: options.OperatorControl = options.DEFAULT_ADDRESS,
    token: options.OperatorToken = "",
    as_json: options.JsonOutput = False,
) -> None:
    """Send a runner no new requests, or undo that; running ones finish."""
    body = msgspec.json.encode({"runner": runner, "undo": undo})
    response = options.make_client(control, token).call(
        "POST", "/v1/drain", body=body
    )
    if as_json:
        typer.echo(response.body)
    else:
        typer.echo(
            f"{runner}: {'accepts requests again' if undo else 'draining'}"
        )
