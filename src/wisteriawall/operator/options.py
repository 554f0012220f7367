"""Options that the operator commands share, and the client made from them."""

from typing import Annotated
from typing import TypeAlias

import typer

from wisteriawall.operator import client
from wisteriawall.settings import checks

__all__ = ["DEFAULT_ADDRESS", "Address", "Json", "Token", "connect"]

DEFAULT_ADDRESS = "127.0.0.1:8081"

Address: TypeAlias = Annotated[
    str,
    typer.Option(
        "--control",
        envvar="WISTERIAWALL_OPERATOR_CONTROL",
        help="Operator addresses of the control replicas: HOST:PORT,...",
    ),
]
Token: TypeAlias = Annotated[
    str,
    typer.Option(
        envvar="WISTERIAWALL_OPERATOR_TOKEN",
        help=(
            "Token of the operator; prefer the variable, since flags show "
            "in process lists."
        ),
    ),
]
Json: TypeAlias = Annotated[
    bool, typer.Option("--json", help="Print JSON instead of a table.")
]


def connect(address: str, token: str) -> client.OperatorClient:
    """Return a client of the replicas at `address`, without connecting.

    Args:
        address: Operator addresses, HOST:PORT separated by commas.
        token: Bearer token of the operator.

    Raises:
        SettingError: An address is malformed or the token is missing.
    """
    addresses = tuple(
        checks.parse_address("--control", part) for part in address.split(",")
    )
    if not token:
        raise checks.SettingError(
            "WISTERIAWALL_OPERATOR_TOKEN", "", "an operator's token"
        )
    return client.OperatorClient(addresses=addresses, token=token)
