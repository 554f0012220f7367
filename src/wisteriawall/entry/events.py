"""Events that change an entry's state, and effects that result from them.

Times are in milliseconds of the monotonic clock. Attempts of a request are
numbered from 1.
"""

from typing import final

import msgspec

from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import control_messages
from wisteriawall.wire import fleet
from wisteriawall.wire import load_messages

__all__ = [
    "AttemptFailed",
    "AttemptFinished",
    "CacheChanged",
    "CallerDisconnected",
    "Cancel",
    "ClaimDecided",
    "ClaimFailed",
    "Dispatch",
    "Effect",
    "Event",
    "FirstTokenReceived",
    "LeaseGranted",
    "LoadReportReceived",
    "Refuse",
    "ReleaseClaim",
    "Replay",
    "RequestArrived",
    "RequestClaim",
    "Settle",
    "Stopping",
]


@final
class RequestArrived(msgspec.Struct, frozen=True, tag="arrived"):
    """A valid request arrived from a caller.

    An empty `key` means that the request may run more than once. `digest`
    tells whether two requests with one key are the same.
    """

    request_id: str
    account: str
    service: str
    key: str
    digest: str
    prefill_tokens: int
    decode_tokens: int
    now_ms: int
    prefix_hashes: list[int] = []


@final
class ClaimDecided(msgspec.Struct, frozen=True, tag="claim-decided"):
    """Control answered the request for a claim."""

    request_id: str
    reply: control_messages.ClaimReply
    now_ms: int


@final
class ClaimFailed(msgspec.Struct, frozen=True, tag="claim-failed"):
    """No replica answered the request for a claim in time.

    The claim may have been recorded; nothing was dispatched.
    """

    request_id: str
    now_ms: int


@final
class AttemptFailed(msgspec.Struct, frozen=True, tag="attempt-failed"):
    """An attempt ended without a complete answer.

    `refused` means that the agent refused it, for example while its runner
    drains; it does not count against the runner's health.
    """

    request_id: str
    attempt: int
    run: refusal_lib.RunState
    message: str
    now_ms: int
    refused: bool = False


@final
class FirstTokenReceived(msgspec.Struct, frozen=True, tag="started"):
    """The first token of an attempt arrived."""

    request_id: str
    attempt: int
    now_ms: int


@final
class AttemptFinished(msgspec.Struct, frozen=True, tag="finished"):
    """A complete answer arrived; `answer` is set for claimed requests."""

    request_id: str
    attempt: int
    answer: fleet.StoredAnswer | None
    now_ms: int
    output_tokens: int = 0


@final
class CallerDisconnected(msgspec.Struct, frozen=True, tag="caller-gone"):
    """The caller's connection closed.

    It is sent for every request, but has no effect on one that has ended.
    """

    request_id: str
    now_ms: int


@final
class LeaseGranted(msgspec.Struct, frozen=True, tag="granted"):
    """Control granted a lease that this entry requested at `asked_ms`."""

    grant: control_messages.Grant
    asked_ms: int


@final
class LoadReportReceived(msgspec.Struct, frozen=True, tag="load-reported"):
    """An agent's load report arrived."""

    report: fleet.LoadReport
    now_ms: int


@final
class CacheChanged(msgspec.Struct, frozen=True, tag="cache-changed"):
    """Changes of a runner's prefix cache arrived from its agent."""

    changes: load_messages.CacheUpdate


@final
class Stopping(msgspec.Struct, frozen=True, tag="stopping"):
    """A planned stop began: running requests finish, new ones are refused."""

    now_ms: int


Event = (
    RequestArrived
    | ClaimDecided
    | ClaimFailed
    | AttemptFailed
    | FirstTokenReceived
    | AttemptFinished
    | CallerDisconnected
    | LeaseGranted
    | LoadReportReceived
    | CacheChanged
    | Stopping
)


@final
class Dispatch(msgspec.Struct, frozen=True, tag="dispatch"):
    """Send one attempt to the agent at `address`, after `delay_ms`."""

    request_id: str
    attempt: int
    runner: str
    address: str
    config_number: int
    claim_id: int
    delay_ms: int = 0


@final
class RequestClaim(msgspec.Struct, frozen=True, tag="ask-claim"):
    """Ask control for the claim of a request that runs at most once."""

    request_id: str
    account: str
    service: str
    key: str
    digest: str


@final
class ReleaseClaim(msgspec.Struct, frozen=True, tag="return-claim"):
    """Release a claim that was never used and may not have been recorded.

    It can be carried out later, once control answers again.
    """

    request_id: str
    ask: RequestClaim


@final
class Refuse(msgspec.Struct, frozen=True, tag="refuse"):
    """End a request with a refusal."""

    request_id: str
    refusal: refusal_lib.Refusal


@final
class Replay(msgspec.Struct, frozen=True, tag="replay"):
    """End a request with the stored answer of its first run."""

    request_id: str
    answer: fleet.StoredAnswer


@final
class Settle(msgspec.Struct, frozen=True, tag="settle"):
    """Report the outcome of a claimed request to control.

    `released` means that the request did not run, so that a retry may.
    """

    request_id: str
    claim_id: int
    released: bool
    answer: fleet.StoredAnswer | None


@final
class Cancel(msgspec.Struct, frozen=True, tag="cancel"):
    """End a request whose caller disconnected, and its attempt, if any."""

    request_id: str


Effect = (
    Dispatch | RequestClaim | ReleaseClaim | Refuse | Replay | Settle | Cancel
)
