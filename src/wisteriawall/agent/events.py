"""Events that an agent reduces and effects that it asks for."""

import enum
from typing import final

import msgspec

from wisteriawall.agent import engine_messages
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
    "Inspect",
    "Inspected",
    "OrderAnswered",
    "OrderReported",
    "Outcome",
    "Reject",
    "Report",
    "Stopping",
]


@final
class Arrived(msgspec.Struct, frozen=True, tag="arrived"):
    """An entry asks to run one attempt; `claim_id` 0 means repeatable.

    `agent_incarnation` is the agent process that the entry aims at, 0 when
    the entry did not know one.
    """

    request_id: str
    attempt: int
    config_number: int
    claim_id: int
    now_ms: int
    agent_incarnation: int = 0


@final
class Ended(msgspec.Struct, frozen=True, tag="ended"):
    """An admitted attempt ended; `not_run` means the upstream got no byte."""

    request_id: str
    attempt: int
    now_ms: int
    claim_id: int = 0
    not_run: bool = False


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
class Outcome(enum.StrEnum):
    """What is known of an order after it was given to the engine."""

    DONE = "done"
    REFUSED = "refused"
    UNCLEAR = "unclear"


@final
class OrderAnswered(msgspec.Struct, frozen=True, tag="order-answered"):
    """The engine answered an order, or gave no answer in time.

    `role` is the engine's role after the order; it counts only if done.
    """

    order_id: int
    outcome: Outcome
    detail: str
    role: fleet.Role
    now_ms: int


@final
class Inspected(msgspec.Struct, frozen=True, tag="inspected"):
    """The engine gave an account of itself; None when it did not answer."""

    order_id: int
    account: engine_messages.EngineState | None
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
    | OrderAnswered
    | Inspected
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
class Inspect(msgspec.Struct, frozen=True, tag="inspect"):
    """Ask the engine for its state, after a delay."""

    order_id: int
    delay_ms: int


@final
class Report(msgspec.Struct, frozen=True, tag="report"):
    """Report the result of an order until control confirms it."""

    order_id: int
    succeeded: bool
    detail: str
    role: fleet.Role


Effect = Admit | Reject | Execute | Inspect | Report
