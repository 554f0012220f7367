"""HTTP headers that the platform's callers and runners use."""

from collections.abc import Mapping
import logging
import math
import re
from typing import final

import msgspec

from wisteriawall.config import accounts
from wisteriawall.gateway import protocol
from wisteriawall.gateway import run as run_lib
from wisteriawall.platform import engine_contents
from wisteriawall.wire import gateway_messages

__all__ = ["PlatformDialect"]

_LOG = logging.getLogger("runners")

ATTEMPT_ID = "X-Wisteriawall-Attempt-Id"
# Milliseconds that the caller still waits, counted from sending.
DEADLINE_REMAINING = "X-Wisteriawall-Deadline-Remaining"
MODEL = "X-Wisteriawall-Model"
# Number of prompt tokens and largest number of output tokens, as `1460,80`.
TOKEN_COUNTS = "X-Wisteriawall-Token-Counts"
# Parts of the prompt in order, as `id:tokens,id:tokens`.
PROMPT_PREFIX = "X-Wisteriawall-Prompt-Prefix"
EXPECT_INSTANCE = "X-Wisteriawall-Expect-Instance"
# Set by a runner that did not run the request.
NOT_EXECUTED = "X-Wisteriawall-Not-Executed"
RESPONSE_SEAL = "X-Wisteriawall-Response-Seal"
REQUEST_URGENCY = "X-Wisteriawall-Request-Urgency"
SERVING_STAGE = "X-Wisteriawall-Serving-Stage"
# Engine and KV transfer handle to fetch the KV cache from, as `IP:PORT/HANDLE`.
KV_CACHE_SOURCE = "X-Wisteriawall-Kv-Cache-Source"
LAST_EVENT_ID = "Last-Event-Id"
AUTHORIZATION = "Authorization"
KEY_SCHEME = "token"
# Name of the client account, for runners.
TENANT = "X-Wisteriawall-Tenant"
# Attempt id of the request that brought the first event of a stream that the
# caller takes up.
RESUMES = "Resumes"
# Set to 1 by a runner that is about to stop, in all of its answers.
SERVER_LEAVING = "Server-Leaving"
# Seconds for which an overloaded runner wants no further requests.
RETRY_AFTER = "Retry-After"
# Requests a second that a runner takes from all gateways together.
SERVER_LIMIT = "Server-Limit"
# Sums of such numbers fit into 64 bits.
TOKEN_NUMBER = re.compile(r"\s*[0-9]{1,9}\s*", re.ASCII)
# Goes into a header.
TRANSFER_HANDLE = re.compile(r"[!-~]{1,256}", re.ASCII)
DECIMAL_NUMBER = re.compile(r"[0-9]{1,6}(\.[0-9]{1,9})?", re.ASCII)

PREFILL_STAGE = "prefill"
MISDIRECTED_STATUS = 421
OVERLOADED_STATUS = 503
MS_PER_S = 1_000
NO_DEADLINE_MS = 3_600_000
MAX_PAUSE_MS = 3_600_000
MAX_LOGGED_LENGTH = 80
# As long as all headers together may be by default.
MAX_CREDENTIALS_LENGTH = 16_384

# Only this system sets these headers; those of a caller are removed.
SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        DEADLINE_REMAINING,
        EXPECT_INSTANCE,
        "X-Wisteriawall-Expect-Version",
        REQUEST_URGENCY,
        SERVING_STAGE,
        KV_CACHE_SOURCE,
        "X-Wisteriawall-Cache-Hold",
        "X-Wisteriawall-Pin-Duration",
        "X-Wisteriawall-Kv-Backup",
        "Kv-Fetch",
    )
)
# Only this system sets or reads these if the routing table has accounts. Names
# with underscores count too, as runners may take them for the same.
ACCOUNT_HEADERS = frozenset({AUTHORIZATION.lower(), TENANT.lower()})


@final
class _PrefillAnswer(msgspec.Struct, frozen=True):
    transfer_handle: str


@final
class PlatformDialect:
    """Translates the platform's headers to and from the gateway's types."""

    answer_id_header = ATTEMPT_ID

    def parse_request_head(
        self, headers: protocol.Headers
    ) -> protocol.RequestHead:
        """Return the parsed headers of a caller's request.

        Without a deadline header the caller is assumed to wait one hour.

        Raises:
            protocol.MalformedCall: A header is missing or has an invalid value.
        """
        attempt_id = headers.get(ATTEMPT_ID, "")
        if not attempt_id:
            raise protocol.MalformedCall(f"{ATTEMPT_ID}: missing")
        if "," in attempt_id:
            raise protocol.MalformedCall(
                f"{ATTEMPT_ID}: got {attempt_id[:MAX_LOGGED_LENGTH]!r},"
                " expected one id"
            )
        return protocol.RequestHead(
            attempt_id=attempt_id,
            remaining_ms=_parse_milliseconds(
                headers, DEADLINE_REMAINING, NO_DEADLINE_MS
            ),
            prompt=_parse_prompt(headers),
            credentials=headers.get(AUTHORIZATION, ""),
            key=self.parse_key(headers),
            last_event_id=headers.get(LAST_EVENT_ID, ""),
            resumes=headers.get(RESUMES, ""),
        )

    def parse_key(self, headers: protocol.Headers) -> protocol.ClientKey:
        """Return the key in `Authorization: Token KEY`.

        A header that is repeated arrives as one value joined by commas, which
        is the key of no account.
        """
        text = headers.get(AUTHORIZATION)
        if text is None:
            return protocol.ClientKey()
        scheme, _, key = text.partition(" ")
        key = key.strip()
        if (
            scheme.lower() != KEY_SCHEME
            or not key
            or len(text) > MAX_CREDENTIALS_LENGTH
        ):
            return protocol.ClientKey(protocol.KeyKind.MALFORMED)
        # Bytes that are not ASCII are those of UTF-8, as in the document.
        data = key.encode("latin-1", "replace")
        return protocol.ClientKey(
            protocol.KeyKind.GIVEN,
            accounts.key_digest(data.decode("utf-8", "surrogateescape")),
        )

    def runner_request_headers(
        self,
        headers: protocol.Headers,
        send: protocol.Send,
        *,
        remaining_ms: int,
        last_event_id: str,
    ) -> dict[str, str]:
        """Return the headers to send to a runner.

        The caller's end-to-end headers are kept, except `SYSTEM_HEADERS` and,
        with accounts, `ACCOUNT_HEADERS`.
        """
        outgoing = {
            name: value
            for name, value in run_lib.end_to_end_headers(headers.items())
            if name.lower() not in SYSTEM_HEADERS
        }
        if send.hides_key:
            outgoing = {
                name: value
                for name, value in outgoing.items()
                if name.lower().replace("_", "-") not in ACCOUNT_HEADERS
            }
        if send.account:
            # Header values are bytes, one for each character.
            outgoing[TENANT] = send.account.encode().decode("latin-1")
        outgoing[DEADLINE_REMAINING] = str(remaining_ms)
        outgoing[EXPECT_INSTANCE] = send.upstream.upstream_id
        if TOKEN_COUNTS in headers:
            outgoing[REQUEST_URGENCY] = str(send.priority_class)
        if last_event_id:
            outgoing[LAST_EVENT_ID] = last_event_id
        match send.phase:
            case protocol.Phase.PREFILL:
                outgoing[SERVING_STAGE] = PREFILL_STAGE
            case protocol.Phase.DECODE:
                outgoing[KV_CACHE_SOURCE] = send.kv_source
        return outgoing

    def parse_answer_head(
        self, status: int, headers: protocol.Headers
    ) -> protocol.AnswerHead:
        """Return the parsed status and headers of a runner's answer.

        A runner answers 421 if it isn't the instance that the request expects.
        """
        value_by_name = {name.lower(): value for name, value in headers.items()}
        is_misdirected = status == MISDIRECTED_STATUS
        not_run = is_misdirected or NOT_EXECUTED.lower() in value_by_name
        limit = _parse_limit(value_by_name.get(SERVER_LIMIT.lower()))
        if is_misdirected or (not_run and limit is None):
            # The answer of another runner, or a rejection, ends no limit.
            limit = protocol.NamedLimit(None)
        return protocol.AnswerHead(
            status=status,
            not_run=not_run,
            has_seal=RESPONSE_SEAL.lower() in value_by_name,
            attempt_id=value_by_name.get(ATTEMPT_ID.lower(), ""),
            leaving=_has_flag(value_by_name.get(SERVER_LEAVING.lower(), "")),
            pause_ms=_parse_pause_ms(value_by_name.get(RETRY_AFTER.lower()))
            if status == OVERLOADED_STATUS
            else None,
            limit=limit,
        )

    def parse_prefill_answer(
        self, body: bytes
    ) -> protocol.PrefillAnswer | None:
        """Return the parsed answer to a prefill, None if it is invalid."""
        try:
            answer = msgspec.json.decode(body, type=_PrefillAnswer)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return None
        if TRANSFER_HANDLE.fullmatch(answer.transfer_handle) is None:
            return None
        return protocol.PrefillAnswer(transfer_handle=answer.transfer_handle)

    def contents_query(
        self, upstream: gateway_messages.Upstream
    ) -> protocol.ContentsQuery:
        """Return the request that asks an engine what it holds.

        A runner that took over the engine's address answers 421.
        """
        return protocol.ContentsQuery(
            target=engine_contents.TARGET,
            headers={EXPECT_INSTANCE: upstream.upstream_id},
        )

    def parse_held_parts(
        self, status: int, body: bytes
    ) -> protocol.HeldParts | None:
        """Return the parsed answer to it, None if it is invalid."""
        return engine_contents.parse(status, body)


def _parse_milliseconds(
    headers: Mapping[str, str], name: str, default: int
) -> int:
    text = headers.get(name, "")
    if not text:
        return default
    try:
        return min(NO_DEADLINE_MS, max(0, int(float(text))))
    except (ValueError, OverflowError) as error:
        raise protocol.MalformedCall(
            f"{name}: got {text!r}, expected a number"
        ) from error


def _has_flag(text: str) -> bool:
    """Return whether a header that may be repeated contains the value 1."""
    return any(value.strip() == "1" for value in text.split(","))


def _parse_pause_ms(text: str | None) -> int | None:
    """Return the longest of the retry times, None without a valid one."""
    if text is None:
        return None
    pauses_ms = []
    for value in text.split(","):
        try:
            pause_ms = float(value) * MS_PER_S
        except ValueError:
            pause_ms = math.nan
        if math.isfinite(pause_ms) and pause_ms >= 0:
            pauses_ms.append(math.ceil(min(MAX_PAUSE_MS, pause_ms)))
        else:
            _LOG.warning(
                "runner: ignored %s %r, expected seconds",
                RETRY_AFTER,
                value[:MAX_LOGGED_LENGTH],
            )
    return max(pauses_ms, default=None)


def _parse_limit(text: str | None) -> protocol.NamedLimit | None:
    """Return the limit, None if the runner names none.

    A value that is repeated is no number either.
    """
    if text is None:
        return None
    if DECIMAL_NUMBER.fullmatch(text.strip()) is None:
        _LOG.warning(
            "runner: ignored %s %r, expected a decimal number of requests a"
            " second",
            SERVER_LIMIT,
            text[:MAX_LOGGED_LENGTH],
        )
        return protocol.NamedLimit(None)
    return protocol.NamedLimit(float(text))


def _parse_prompt(headers: Mapping[str, str]) -> protocol.PromptTokens | None:
    counts = headers.get(TOKEN_COUNTS, "")
    if not counts:
        return None
    try:
        input_tokens, _, output_tokens = counts.partition(",")
        return protocol.PromptTokens(
            model=headers.get(MODEL, ""),
            parts=tuple(_parse_parts(headers.get(PROMPT_PREFIX, ""))),
            input_tokens=_parse_tokens(input_tokens),
            output_tokens=_parse_tokens(output_tokens or "0"),
        )
    except ValueError as error:
        raise protocol.MalformedCall(
            f"{TOKEN_COUNTS} or {PROMPT_PREFIX}: got"
            f" {counts[:MAX_LOGGED_LENGTH]!r}, expected counts"
        ) from error


def _parse_parts(text: str) -> list[tuple[str, int]]:
    pairs = [part.strip().rpartition(":") for part in text.split(",") if part]
    return [(name, _parse_tokens(tokens)) for name, _, tokens in pairs]


def _parse_tokens(text: str) -> int:
    """Return a number of tokens.

    Raises:
        ValueError: The text is no number, or one that messages can't carry.
    """
    if TOKEN_NUMBER.fullmatch(text) is None:
        raise ValueError(f"got {text[:MAX_LOGGED_LENGTH]!r}, expected a count")
    return int(text)
