"""Events that change an agent's state, and effects that result from them.

Times are in milliseconds of the monotonic clock. Attempts of a request are
numbered from 1.
"""

import enum
from typing import final

import msgspec

from wisteriawall.agent import engine_messages
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import control_messages
from wisteriawall.wire import fleet

__all__ = [
    "Admit",
    "AttemptArrived",
    "AttemptEnded",
    "Effect",
    "Event",
    "Execute",
    "Inspect",
    "Inspected",
    "LeaseGranted",
    "MinFenceReceived",
    "OrderAnswered",
    "OrderReported",
    "Outcome",
    "Reject",
    "Report",
    "Stopping",
]


@final
class AttemptArrived(msgspec.Struct, frozen=True, tag="arrived"):
    """An entry asks to run one attempt.

    `claim_id` is 0 for requests that may run more than once.
    `agent_incarnation` is the incarnation of the agent that the entry meant
    to reach, 0 if the entry did not name one.
    """

    request_id: str
    attempt: int
    config_number: int
    claim_id: int
    now_ms: int
    agent_incarnation: int = 0


@final
class AttemptEnded(msgspec.Struct, frozen=True, tag="ended"):
    """An admitted attempt ended.

    `not_run` means that no connection to the upstream was made.
    """

    request_id: str
    attempt: int
    now_ms: int
    claim_id: int = 0
    not_run: bool = False


@final
class LeaseGranted(msgspec.Struct, frozen=True, tag="granted"):
    """Control granted a lease that this agent requested at `asked_ms`."""

    grant: control_messages.Grant
    asked_ms: int
    now_ms: int


@final
class MinFenceReceived(msgspec.Struct, frozen=True, tag="floor"):
    """A majority of control replicas reported their fencing numbers.

    `floor` is the highest of them; orders below it are not accepted.
    """

    floor: fleet.FencingNumber
    now_ms: int


@final
class Outcome(enum.StrEnum):
    """Result of sending an order to the engine.

    UNKNOWN means that the order may have taken effect.
    """

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unclear"


@final
class OrderAnswered(msgspec.Struct, frozen=True, tag="order-answered"):
    """The engine answered an order, or gave no answer in time.

    `role` is the engine's role after the order, valid only if it was done.
    """

    order_id: int
    outcome: Outcome
    detail: str
    role: fleet.Role
    now_ms: int


@final
class Inspected(msgspec.Struct, frozen=True, tag="inspected"):
    """An inspection ended; `account` is None if the engine did not answer."""

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
    """A planned stop began: running attempts finish, new ones are refused."""

    now_ms: int


Event = (
    AttemptArrived
    | AttemptEnded
    | LeaseGranted
    | MinFenceReceived
    | OrderAnswered
    | Inspected
    | OrderReported
    | Stopping
)


@final
class Admit(msgspec.Struct, frozen=True, tag="admit"):
    """Send the attempt that arrived to the upstream."""

    request_id: str


@final
class Reject(msgspec.Struct, frozen=True, tag="reject"):
    """Refuse the attempt that arrived, without running it."""

    request_id: str
    refusal: refusal_lib.Refusal


@final
class Execute(msgspec.Struct, frozen=True, tag="execute"):
    """Send an order to the engine."""

    order: fleet.Order


@final
class Inspect(msgspec.Struct, frozen=True, tag="inspect"):
    """Ask the engine for its state, after `delay_ms`."""

    order_id: int
    delay_ms: int


@final
class Report(msgspec.Struct, frozen=True, tag="report"):
    """Report the result of an order to control until it is confirmed."""

    order_id: int
    succeeded: bool
    detail: str
    role: fleet.Role


Effect = Admit | Reject | Execute | Inspect | Report
