"""`wisteriawall drain`: stop new work to a runner."""

from typing import Annotated

import msgspec
import typer

from wisteriawall.operator import options

__all__ = ["drain"]


def drain(
    runner: Annotated[str, typer.Argument(help="Name of the runner.")],
    undo: Annotated[
        bool, typer.Option("--undo", help="Let it take work again.")
    ] = False,
    control: options.OperatorControl = options.DEFAULT_ADDRESS,
    token: options.OperatorToken = "",
    as_json: options.JsonOutput = False,
) -> None:
    """Stop new work to a runner, or undo that; running answers finish."""
    body = msgspec.json.encode({"runner": runner, "undo": undo})
    answer = options.make_client(control, token).call(
        "POST", "/v1/drain", body=body
    )
    if as_json:
        typer.echo(answer.body)
    else:
        typer.echo(f"{runner}: {'takes work again' if undo else 'draining'}")
