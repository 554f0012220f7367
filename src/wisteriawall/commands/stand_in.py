"""`wisteriawall stand-in`: run one stand-in upstream."""

from typing import Annotated

import typer

from wisteriawall.commands import options
from wisteriawall.commands import serving
from wisteriawall.config import document
from wisteriawall.standin import engine as engine_lib
from wisteriawall.standin import engine_core
from wisteriawall.standin import plain as plain_lib

__all__ = ["stand_in"]


def stand_in(
    kind: Annotated[
        document.ServiceKind,
        typer.Argument(help="A model engine or a plain service."),
    ],
    listen: options.Listen = "127.0.0.1:8100",
    fencing: Annotated[
        document.Fencing,
        typer.Option(
            envvar="WISTERIAWALL_FENCING",
            help="Whether orders with an old fencing number are refused.",
        ),
    ] = document.Fencing.ENFORCED,
    order_seconds: Annotated[
        float,
        typer.Option(
            envvar="WISTERIAWALL_ORDER_SECONDS",
            min=0.0,
            help="Seconds for which an order takes the engine away.",
        ),
    ] = 0.5,
    step_ms: Annotated[
        float,
        typer.Option(
            envvar="WISTERIAWALL_STEP_MS",
            min=0.1,
            help="Milliseconds of one batch step.",
        ),
    ] = 5.0,
) -> None:
    """Run one stand-in upstream for tests and trials."""
    upstream: engine_lib.StandInEngine | plain_lib.StandInPlain
    if kind is document.ServiceKind.MODEL:
        timing = engine_core.EngineTiming(
            order_s=order_seconds, step_s=step_ms / 1000
        )
        upstream = engine_lib.StandInEngine(
            address=listen, timing=timing, fencing=fencing
        )
    else:
        upstream = plain_lib.StandInPlain(address=listen)
    serving.run_until_signalled(
        start=upstream.start,
        stop=upstream.stop,
        line=f"stand-in: {kind} at {upstream.address}",
    )
