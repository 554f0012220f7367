"""Events that an entry reduces and effects that it asks for."""

from typing import final

import msgspec

from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import control_messages
from wisteriawall.wire import fleet
from wisteriawall.wire import load_messages

__all__ = [
    "Arrived",
    "AskClaim",
    "AttemptFailed",
    "CacheChanged",
    "CallerGone",
    "Cancel",
    "ClaimDecided",
    "ClaimFailed",
    "Dispatch",
    "Effect",
    "Event",
    "Finished",
    "Granted",
    "LoadReported",
    "Refuse",
    "Replay",
    "ReturnClaim",
    "Settle",
    "Started",
    "Stopping",
]


@final
class Arrived(msgspec.Struct, frozen=True, tag="arrived"):
    """A caller's valid request; an empty `key` means repeatable."""

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
    """Control answered a claim."""

    request_id: str
    reply: control_messages.ClaimReply
    now_ms: int


@final
class ClaimFailed(msgspec.Struct, frozen=True, tag="claim-failed"):
    """No replica answered a claim; nothing was dispatched."""

    request_id: str
    now_ms: int


@final
class AttemptFailed(msgspec.Struct, frozen=True, tag="attempt-failed"):
    """An attempt ended without a whole answer.

    `refused` means that the agent itself refused it, as a runner does that
    drains; it says nothing against the runner.
    """

    request_id: str
    attempt: int
    run: refusal_lib.RunState
    message: str
    now_ms: int
    refused: bool = False


@final
class Started(msgspec.Struct, frozen=True, tag="started"):
    """The first token of an attempt arrived."""

    request_id: str
    attempt: int
    now_ms: int


@final
class Finished(msgspec.Struct, frozen=True, tag="finished"):
    """The whole answer arrived; `answer` is set for claimed requests."""

    request_id: str
    attempt: int
    answer: fleet.KeptAnswer | None
    now_ms: int
    output_tokens: int = 0


@final
class CallerGone(msgspec.Struct, frozen=True, tag="caller-gone"):
    """The caller closed its connection before the end."""

    request_id: str
    now_ms: int


@final
class Granted(msgspec.Struct, frozen=True, tag="granted"):
    """A lease was granted; `asked_ms` is when this entry asked for it."""

    grant: control_messages.Grant
    asked_ms: int


@final
class LoadReported(msgspec.Struct, frozen=True, tag="load-reported"):
    """A load report of an agent arrived."""

    report: fleet.LoadReport
    now_ms: int


@final
class CacheChanged(msgspec.Struct, frozen=True, tag="cache-changed"):
    """Changes of a runner's prefix cache arrived."""

    changes: load_messages.CacheEvents


@final
class Stopping(msgspec.Struct, frozen=True, tag="stopping"):
    """A planned stop began: finish what runs, refuse what arrives."""

    now_ms: int


Event = (
    Arrived
    | ClaimDecided
    | ClaimFailed
    | AttemptFailed
    | Started
    | Finished
    | CallerGone
    | Granted
    | LoadReported
    | CacheChanged
    | Stopping
)


@final
class Dispatch(msgspec.Struct, frozen=True, tag="dispatch"):
    """Send one attempt to a runner's agent, `delay_ms` from now."""

    request_id: str
    attempt: int
    runner: str
    address: str
    config_number: int
    claim_id: int
    delay_ms: int = 0


@final
class AskClaim(msgspec.Struct, frozen=True, tag="ask-claim"):
    """Ask control for the only run of a request."""

    request_id: str
    account: str
    service: str
    key: str
    digest: str


@final
class ReturnClaim(msgspec.Struct, frozen=True, tag="return-claim"):
    """Release, later, a claim that may be recorded but was not used."""

    request_id: str
    ask: AskClaim


@final
class Refuse(msgspec.Struct, frozen=True, tag="refuse"):
    """End a request with a refusal."""

    request_id: str
    refusal: refusal_lib.Refusal


@final
class Replay(msgspec.Struct, frozen=True, tag="replay"):
    """End a request with the kept answer of its first run."""

    request_id: str
    answer: fleet.KeptAnswer


@final
class Settle(msgspec.Struct, frozen=True, tag="settle"):
    """Record the outcome of a claimed run."""

    request_id: str
    claim_id: int
    released: bool
    answer: fleet.KeptAnswer | None


@final
class Cancel(msgspec.Struct, frozen=True, tag="cancel"):
    """End a request whose caller is gone; drop its attempt, if any."""

    request_id: str


Effect = Dispatch | AskClaim | ReturnClaim | Refuse | Replay | Settle | Cancel
