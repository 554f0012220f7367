"""`wisteriawall replica`: add and remove control replicas."""

from typing import Annotated

import msgspec
import typer

from wisteriawall.control import events
from wisteriawall.operator import client as client_lib
from wisteriawall.operator import options
from wisteriawall.operator import text_tables

__all__ = ["app"]

app = typer.Typer(help="Add and remove control replicas.", no_args_is_help=True)

Name = Annotated[str, typer.Argument(help="Name of the replica.")]


@app.command()
def add(
    replica: Name,
    peer: Annotated[str, typer.Option(help="Its peer address: HOST:PORT.")],
    rpc: Annotated[str, typer.Option(help="Its RPC address: HOST:PORT.")],
    admin: Annotated[
        str, typer.Option(help="Its address for operators: HOST:PORT.")
    ],
    control: options.OperatorControl = options.DEFAULT_ADDRESS,
    token: options.OperatorToken = "",
    as_json: options.JsonOutput = False,
) -> None:
    """Add a replica; it votes once it has caught up."""
    body = {
        "replica": replica,
        "peer_address": peer,
        "rpc_address": rpc,
        "admin_address": admin,
    }
    answer = options.make_client(control, token).call(
        "POST", "/v1/replicas", body=msgspec.json.encode(body)
    )
    _show(answer, as_json)


@app.command()
def remove(
    replica: Name,
    control: options.OperatorControl = options.DEFAULT_ADDRESS,
    token: options.OperatorToken = "",
    as_json: options.JsonOutput = False,
) -> None:
    """Remove a replica."""
    answer = options.make_client(control, token).call(
        "DELETE",
        "/v1/replicas",
        body=msgspec.json.encode({"replica": replica}),
    )
    _show(answer, as_json)


def _show(answer: client_lib.OperatorResponse, as_json: bool) -> None:
    if as_json:
        typer.echo(answer.body)
        return
    members = answer.decode(events.ReplicasReply).members
    rows = [
        (m.replica, m.peer_address, "yes" if m.voting else "catching up")
        for m in members
    ]
    typer.echo(text_tables.render(("REPLICA", "PEER", "VOTES"), rows))
