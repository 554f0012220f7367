"""Headers of callers and runners on the platform."""

from collections.abc import Mapping
from typing import final

import msgspec

from wisteriawall.gateway import calls
from wisteriawall.gateway import run as run_lib

__all__ = ["PlatformDialect"]

ATTEMPT_ID = "X-Wisteriawall-Attempt-Id"
# Milliseconds that the caller still waits, at the time of sending.
DEADLINE = "X-Wisteriawall-Deadline-Remaining"
MODEL = "X-Wisteriawall-Model"
# Prompt tokens and most output tokens, as `1460,80`.
TOKENS = "X-Wisteriawall-Token-Counts"
# Parts of the prompt in order, as `id:tokens,id:tokens`.
PREFIX = "X-Wisteriawall-Prompt-Prefix"
EXPECT_RUNNER = "X-Wisteriawall-Expect-Instance"
# Present on an answer of a runner that did not run the request.
NOT_RUN = "X-Wisteriawall-Not-Executed"
SEAL = "X-Wisteriawall-Response-Seal"
URGENCY = "X-Wisteriawall-Request-Urgency"
STAGE = "X-Wisteriawall-Serving-Stage"
# Address and handle whose memory the runner fetches, as `IP:PORT/HANDLE`.
MEMORY_FROM = "X-Wisteriawall-Kv-Cache-Source"
LAST_EVENT = "Last-Event-Id"

READ_STAGE = "prefill"
MISDIRECTED = 421
NO_DEADLINE_MS = 3_600_000

# The system alone sets these; a caller's are dropped.
OWN_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE,
        EXPECT_RUNNER,
        "X-Wisteriawall-Expect-Version",
        URGENCY,
        STAGE,
        MEMORY_FROM,
        "X-Wisteriawall-Cache-Hold",
        "X-Wisteriawall-Pin-Duration",
        "X-Wisteriawall-Kv-Backup",
        "Kv-Fetch",
    )
)


@final
class _ReadPrompt(msgspec.Struct, frozen=True):
    transfer_handle: str


@final
class PlatformDialect:
    """The platform's headers, translated to and from the gateway's types."""

    def read_call(self, headers: calls.Headers) -> calls.Call:
        """Return what a caller's head says."""
        attempt_id = headers.get(ATTEMPT_ID, "")
        if not attempt_id:
            raise calls.MalformedCall(f"{ATTEMPT_ID}: missing")
        return calls.Call(
            attempt_id=attempt_id,
            deadline_ms=_number(headers, DEADLINE, NO_DEADLINE_MS),
            prompt=_prompt(headers),
        )

    def request_headers(
        self,
        headers: calls.Headers,
        send: calls.Send,
        *,
        left_ms: int,
        last_event: str,
    ) -> dict[str, str]:
        """Return the headers to send to a runner."""
        sent = {
            name: value
            for name, value in run_lib.end_to_end(headers.items())
            if name.lower() not in OWN_HEADERS
        }
        sent[DEADLINE] = str(left_ms)
        sent[EXPECT_RUNNER] = send.upstream.upstream_id
        if TOKENS in headers:
            sent[URGENCY] = str(send.urgency)
        if last_event:
            sent[LAST_EVENT] = last_event
        match send.leg:
            case calls.Leg.READ:
                sent[STAGE] = READ_STAGE
            case calls.Leg.CONTINUE:
                sent[MEMORY_FROM] = send.memory_from
        return sent

    def read_answer(
        self, status: int, headers: calls.Headers
    ) -> calls.AnswerHead:
        """Return what a runner's head says."""
        named = {name.lower(): value for name, value in headers.items()}
        return calls.AnswerHead(
            status=status,
            not_run=NOT_RUN.lower() in named or status == MISDIRECTED,
            sealed=SEAL.lower() in named,
            attempt_id=named.get(ATTEMPT_ID.lower(), ""),
        )

    def read_prompt(self, body: bytes) -> calls.ReadPrompt | None:
        """Return the answer to a READ leg, None if it can't be read."""
        try:
            read = msgspec.json.decode(body, type=_ReadPrompt)
        except msgspec.DecodeError:
            return None
        return calls.ReadPrompt(handle=read.transfer_handle)


def _number(headers: Mapping[str, str], name: str, default: int) -> int:
    text = headers.get(name, "")
    if not text:
        return default
    try:
        return max(0, int(float(text)))
    except (ValueError, OverflowError) as error:
        raise calls.MalformedCall(
            f"{name}: got {text!r}, expected a number"
        ) from error


def _prompt(headers: Mapping[str, str]) -> calls.PromptTokens | None:
    counts = headers.get(TOKENS, "")
    if not counts:
        return None
    try:
        tokens_in, _, tokens_out = counts.partition(",")
        return calls.PromptTokens(
            model=headers.get(MODEL, ""),
            parts=tuple(_parts(headers.get(PREFIX, ""))),
            input_tokens=int(tokens_in),
            output_tokens=int(tokens_out or "0"),
        )
    except ValueError as error:
        raise calls.MalformedCall(
            f"{TOKENS} or {PREFIX}: got {counts!r}, expected counts"
        ) from error


def _parts(text: str) -> list[tuple[str, int]]:
    pairs = [part.strip().rpartition(":") for part in text.split(",") if part]
    return [(name, int(tokens)) for name, _, tokens in pairs]
