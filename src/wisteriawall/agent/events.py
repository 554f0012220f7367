"""Events that an agent reduces and effects that it asks for."""

from typing import final

import msgspec

from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import control_messages
from wisteriawall.wire import fleet

__all__ = [
    "Admit",
    "Arrived",
    "Effect",
    "Ended",
    "Event",
    "Execute",
    "FloorLearned",
    "Granted",
    "OrderFinished",
    "OrderReported",
    "Reject",
    "Report",
    "Stopping",
]


@final
class Arrived(msgspec.Struct, frozen=True, tag="arrived"):
    """An entry asks to run one attempt; `claim_id` 0 means repeatable."""

    request_id: str
    attempt: int
    config_number: int
    claim_id: int
    now_ms: int


@final
class Ended(msgspec.Struct, frozen=True, tag="ended"):
    """An admitted attempt ended."""

    request_id: str
    attempt: int
    now_ms: int


@final
class Granted(msgspec.Struct, frozen=True, tag="granted"):
    """A lease was granted; `asked_ms` is when this agent asked for it."""

    grant: control_messages.Grant
    asked_ms: int
    now_ms: int


@final
class FloorLearned(msgspec.Struct, frozen=True, tag="floor"):
    """A majority of replicas named the newest fencing position."""

    floor: fleet.Fence
    now_ms: int


@final
class OrderFinished(msgspec.Struct, frozen=True, tag="order-finished"):
    """The engine answered an order, or was inspected after one."""

    order_id: int
    succeeded: bool
    detail: str
    role: fleet.Role
    now_ms: int


@final
class OrderReported(msgspec.Struct, frozen=True, tag="order-reported"):
    """Control committed the result of an order."""

    order_id: int
    now_ms: int


@final
class Stopping(msgspec.Struct, frozen=True, tag="stopping"):
    """A planned stop began: finish what runs, refuse what arrives."""

    now_ms: int


Event = (
    Arrived
    | Ended
    | Granted
    | FloorLearned
    | OrderFinished
    | OrderReported
    | Stopping
)


@final
class Admit(msgspec.Struct, frozen=True, tag="admit"):
    """Run the attempt that arrived."""

    request_id: str


@final
class Reject(msgspec.Struct, frozen=True, tag="reject"):
    """Refuse the attempt that arrived, as not run."""

    request_id: str
    refusal: refusal_lib.Refusal


@final
class Execute(msgspec.Struct, frozen=True, tag="execute"):
    """Give an order to the engine."""

    order: fleet.Order


@final
class Report(msgspec.Struct, frozen=True, tag="report"):
    """Report the result of an order until control confirms it."""

    order_id: int
    succeeded: bool
    detail: str
    role: fleet.Role


Effect = Admit | Reject | Execute | Report
