"""Events that a gateway reduces and effects that it asks for.

`now_ms` is a reading of the steady clock.
"""

import dataclasses
from typing import TypeAlias
from typing import final

from wisteriawall.config import route_table
from wisteriawall.gateway import calls
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import site_messages

__all__ = [
    "Arrived",
    "Began",
    "Decided",
    "Deliver",
    "Effect",
    "Ended",
    "Event",
    "Failed",
    "Heard",
    "Learned",
    "PromptRead",
    "Refuse",
    "Tell",
]


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Arrived:
    """A caller's request was read; `call` says what it is."""

    key: str
    host: str
    path: str
    call: calls.Call
    now_ms: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class PromptRead:
    """The READ leg is done and its memory waits under `handle`."""

    key: str
    handle: str
    now_ms: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Began:
    """The answer began to arrive."""

    key: str
    now_ms: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Failed:
    """The leg in progress gave no answer for the caller.

    `run` says whether the request may have run. `unreachable` tells that
    nothing was sent because no connection could be made. `answered` tells
    that the runner's own failure is in hand and may be delivered. After an
    answer `began`, it goes on elsewhere only by resuming.
    """

    key: str
    run: refusal_lib.RunState
    reason: str
    now_ms: int
    unreachable: bool = False
    answered: bool = False
    status: int = 0


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Ended:
    """The request is over; `whole` if its answer was delivered."""

    key: str
    whole: bool
    now_ms: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Heard:
    """Another gateway told what it sent."""

    events: tuple[site_messages.LoadEvent, ...]
    now_ms: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Learned:
    """Control told what is new."""

    table: route_table.RouteTable | None
    upstreams: site_messages.UpstreamList | None
    gateways: int
    now_ms: int


Event: TypeAlias = (
    Arrived | PromptRead | Began | Failed | Ended | Heard | Learned
)


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Refuse:
    """Give the caller its final answer."""

    refusal: refusal_lib.Refusal


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Deliver:
    """Deliver the runner's failure that is in hand: no other may be asked."""


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Tell:
    """Tell the other gateways of one step."""

    event: site_messages.LoadEvent


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Decided:
    """Log a decision with the inputs that led to it."""

    decision: str
    key: str
    inputs: dict[str, object]


Effect: TypeAlias = calls.Send | Refuse | Deliver | Tell | Decided
