"""Events that change a gateway's state, and the effects that result.

`now_ms` is the time of the event in milliseconds on the monotonic clock. `key`
identifies the request: it is the attempt id that the caller sent.
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
    """A caller's request was received; `call` holds its parsed headers."""

    key: str
    host: str
    path: str
    call: calls.Call
    now_ms: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class PromptRead:
    """An engine finished the prefill phase.

    `handle` is the KV transfer handle under which it keeps the KV cache.
    """

    key: str
    handle: str
    now_ms: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Began:
    """The first part of a runner's answer arrived."""

    key: str
    now_ms: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Failed:
    """The phase in progress failed without a complete answer.

    After the answer has started, only a resumable request can continue on
    another runner.

    Attributes:
        key: The request.
        run: Whether the request may have run.
        reason: Description for the log and the caller.
        now_ms: Time of the failure.
        unreachable: No connection could be made, so nothing was sent.
        answered: The runner answered with an error that may be passed on.
        status: HTTP status for the caller; 0 selects the default.
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
    """The request is over.

    `whole` tells whether the caller received the complete answer.
    """

    key: str
    whole: bool
    now_ms: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Heard:
    """Another gateway broadcast changes of the load it puts on runners."""

    events: tuple[site_messages.LoadEvent, ...]
    now_ms: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Learned:
    """A control replica sent changes.

    `table` and `upstreams` are None if unchanged; `gateways` is the number of
    gateways of the site.
    """

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
    """Answer the caller with a refusal, which ends the request."""

    refusal: refusal_lib.Refusal


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Deliver:
    """Pass the runner's error answer on: the request is not retried."""


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Tell:
    """Broadcast a load event to the other gateways."""

    event: site_messages.LoadEvent


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Decided:
    """Write a decision and the values behind it to the decision log."""

    decision: str
    key: str
    inputs: dict[str, object]


Effect: TypeAlias = calls.Send | Refuse | Deliver | Tell | Decided
