"""`wisteriawall stand-in`: run one stand-in of an external service."""

import enum
from typing import Annotated
from typing import final

import typer

from wisteriawall.commands import lifecycle
from wisteriawall.commands import options
from wisteriawall.config import document
from wisteriawall.standin import engine as engine_lib
from wisteriawall.standin import engine_core
from wisteriawall.standin import plain_service
from wisteriawall.standin import vm_list
from wisteriawall.standin import weight_store

__all__ = ["StandInKind", "stand_in"]

BYTES_PER_MEGABYTE = 1_000_000


@final
class StandInKind(enum.StrEnum):
    """The external service that a stand-in replaces."""

    MODEL = "model"
    PLAIN = "plain"
    WEIGHTS = "weights"
    VMS = "vms"


def stand_in(
    kind: Annotated[
        StandInKind,
        typer.Argument(
            help="A model engine, plain service, weight store or VM list."
        ),
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
            help="Seconds that an order makes the engine unavailable.",
        ),
    ] = 0.5,
    step_ms: Annotated[
        float,
        typer.Option(
            envvar="WISTERIAWALL_STEP_MS",
            min=0.1,
            help="Duration of one batch step in milliseconds.",
        ),
    ] = 5.0,
    lag_seconds: Annotated[
        float,
        typer.Option(
            envvar="WISTERIAWALL_LAG_SECONDS",
            min=0.0,
            help="Delay in seconds of load reports or of the VM list.",
        ),
    ] = 0.1,
    model: Annotated[
        str,
        typer.Option(
            envvar="WISTERIAWALL_MODEL",
            help="Model that the engine starts with: MODEL@VERSION.",
        ),
    ] = "",
    weights: Annotated[
        str,
        typer.Option(
            envvar="WISTERIAWALL_WEIGHTS",
            help="Weight store that the engine loads from: HOST:PORT.",
        ),
    ] = "",
    megabytes_per_second: Annotated[
        float,
        typer.Option(
            envvar="WISTERIAWALL_MEGABYTES_PER_SECOND",
            min=0.1,
            help="Transfer rate of the weight store, shared by all readers.",
        ),
    ] = 10.0,
) -> None:
    """Run one stand-in engine, service, weight store or VM list for tests."""
    server: (
        engine_lib.StandInEngine
        | plain_service.StandInPlainService
        | weight_store.StandInWeightStore
        | vm_list.StandInVmList
    )
    match kind:
        case StandInKind.MODEL:
            parameters = engine_core.EngineParameters(
                order_duration_s=order_seconds,
                step_s=step_ms / 1000,
                load_report_lag_s=lag_seconds,
            )
            server = engine_lib.StandInEngine(
                address=listen,
                parameters=parameters,
                fencing=fencing,
                model=model,
                weight_store=weights,
            )
        case StandInKind.PLAIN:
            server = plain_service.StandInPlainService(address=listen)
        case StandInKind.WEIGHTS:
            server = weight_store.StandInWeightStore(
                address=listen,
                weights_bytes=BYTES_PER_MEGABYTE,
                bytes_per_s=int(megabytes_per_second * BYTES_PER_MEGABYTE),
            )
        case StandInKind.VMS:
            server = vm_list.StandInVmList(address=listen, lag_s=lag_seconds)
    lifecycle.run_until_signalled(
        start=server.start,
        stop=server.stop,
        ready_message=f"stand-in: {kind} at {server.address}",
    )
