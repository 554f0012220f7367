"""Options that the operator commands share, and the client made from them."""

from typing import Annotated
from typing import TypeAlias

import typer

from wisteriawall.operator import client
from wisteriawall.settings import parsers

__all__ = [
    "DEFAULT_ADDRESS",
    "JsonOutput",
    "OperatorControl",
    "OperatorToken",
    "make_client",
]

DEFAULT_ADDRESS = "127.0.0.1:8081"

OperatorControl: TypeAlias = Annotated[
    str,
    typer.Option(
        "--control",
        envvar="WISTERIAWALL_OPERATOR_CONTROL",
        help="Operator addresses of the control replicas: HOST:PORT,...",
    ),
]
OperatorToken: TypeAlias = Annotated[
    str,
    typer.Option(
        envvar="WISTERIAWALL_OPERATOR_TOKEN",
        help=(
            "Token of the operator; prefer the variable, since flags show "
            "in process lists."
        ),
    ),
]
JsonOutput: TypeAlias = Annotated[
    bool, typer.Option("--json", help="Print JSON instead of a table.")
]


def make_client(address: str, token: str) -> client.OperatorClient:
    """Return a client of the replicas at `address`, without connecting.

    Args:
        address: Operator addresses, HOST:PORT separated by commas.
        token: Bearer token of the operator.

    Raises:
        SettingError: An address is malformed or the token is missing.
    """
    addresses = tuple(
        parsers.parse_address("--control", part) for part in address.split(",")
    )
    if not token:
        raise parsers.SettingError(
            "WISTERIAWALL_OPERATOR_TOKEN", "", "an operator's token"
        )
    return client.OperatorClient(addresses=addresses, token=token)
