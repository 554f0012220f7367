"""`wisteriawall stand-in`: run one stand-in of the platform."""

import enum
from typing import Annotated
from typing import final

import typer

from wisteriawall.commands import options
from wisteriawall.commands import serving
from wisteriawall.config import document
from wisteriawall.standin import engine as engine_lib
from wisteriawall.standin import engine_core
from wisteriawall.standin import plain_service
from wisteriawall.standin import vm_list
from wisteriawall.standin import weight_store

__all__ = ["StandInKind", "stand_in"]

BYTES_PER_MB = 1_000_000


@final
class StandInKind(enum.StrEnum):
    """What a stand-in stands for."""

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
    lag_seconds: Annotated[
        float,
        typer.Option(
            envvar="WISTERIAWALL_LAG_SECONDS",
            min=0.0,
            help="Seconds by which load reports or the VM list lag.",
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
            help="Rate of the weight store, shared by its readers.",
        ),
    ] = 10.0,
) -> None:
    """Run one stand-in upstream, store or list for tests and trials."""
    running: (
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
            running = engine_lib.StandInEngine(
                address=listen,
                parameters=parameters,
                fencing=fencing,
                model=model,
                weight_store=weights,
            )
        case StandInKind.PLAIN:
            running = plain_service.StandInPlainService(address=listen)
        case StandInKind.WEIGHTS:
            running = weight_store.StandInWeightStore(
                address=listen,
                weights_bytes=BYTES_PER_MB,
                bytes_per_s=int(megabytes_per_second * BYTES_PER_MB),
            )
        case StandInKind.VMS:
            running = vm_list.StandInVmList(address=listen, lag_s=lag_seconds)
    serving.run_until_signalled(
        start=running.start,
        stop=running.stop,
        line=f"stand-in: {kind} at {running.address}",
    )
