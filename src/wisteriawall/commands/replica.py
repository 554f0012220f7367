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
    peer: Annotated[
        str, typer.Option(help="Peer address of the replica: HOST:PORT.")
    ],
    rpc: Annotated[
        str, typer.Option(help="RPC address of the replica: HOST:PORT.")
    ],
    admin: Annotated[
        str, typer.Option(help="Operator address of the replica: HOST:PORT.")
    ],
    control: options.OperatorControl = options.DEFAULT_ADDRESS,
    token: options.OperatorToken = "",
    as_json: options.JsonOutput = False,
) -> None:
    """Add a replica; it votes once its log has caught up."""
    body = {
        "replica": replica,
        "peer_address": peer,
        "rpc_address": rpc,
        "admin_address": admin,
    }
    response = options.make_client(control, token).call(
        "POST", "/v1/replicas", body=msgspec.json.encode(body)
    )
    _print_members(response, as_json)


@app.command()
def remove(
    replica: Name,
    control: options.OperatorControl = options.DEFAULT_ADDRESS,
    token: options.OperatorToken = "",
    as_json: options.JsonOutput = False,
) -> None:
    """Remove a replica from the cluster."""
    response = options.make_client(control, token).call(
        "DELETE",
        "/v1/replicas",
        body=msgspec.json.encode({"replica": replica}),
    )
    _print_members(response, as_json)


def _print_members(
    response: client_lib.OperatorResponse, as_json: bool
) -> None:
    if as_json:
        typer.echo(response.body)
        return
    members = response.decode(events.ReplicasReply).members
    rows = [
        (
            member.replica,
            member.peer_address,
            "yes" if member.voting else "catching up",
        )
        for member in members
    ]
    typer.echo(text_tables.render(("REPLICA", "PEER", "VOTES"), rows))
