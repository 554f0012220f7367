"""Types of requests and answers, independent of the header names in use.

A `Dialect` translates the headers of a protocol to and from these types.
"""

from collections.abc import Mapping
import dataclasses
import enum
from typing import Protocol
from typing import final

from wisteriawall.wire import gateway_messages

__all__ = [
    "AnswerHead",
    "ClientKey",
    "ContentsQuery",
    "Dialect",
    "HeldParts",
    "KeyKind",
    "MalformedCall",
    "NamedLimit",
    "Phase",
    "PrefillAnswer",
    "PromptTokens",
    "RequestHead",
    "Send",
]

Headers = Mapping[str, str]


class MalformedCall(ValueError):
    """A caller's header is missing or has an invalid value."""


@final
class KeyKind(enum.Enum):
    """Whether a request has a key; the values appear in the decision log."""

    GIVEN = "unknown"
    MISSING = "missing"
    MALFORMED = "malformed"


@final
@dataclasses.dataclass(slots=True, frozen=True)
class ClientKey:
    """Digest of the key of a request, empty unless one is given."""

    kind: KeyKind = KeyKind.MISSING
    digest: bytes = b""


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class PromptTokens:
    """Prompt of a request.

    `parts` holds the id and the token count of each part in order; requests
    whose prompts start with the same parts can share their KV cache. The parts
    may cover fewer tokens than `input_tokens`. `output_tokens` is the most that
    the answer may have.
    """

    model: str
    parts: tuple[tuple[str, int], ...]
    input_tokens: int
    output_tokens: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class RequestHead:
    """Parsed headers of a caller's request.

    `remaining_ms` is the time that the caller still waits, counted from the
    request's arrival. `prompt` is None for plain requests. `credentials` are
    what the caller sent as such, and `key` the key in them. A caller that takes
    a stream up after an event names it in `last_event_id`, and in `resumes` the
    attempt id of its request that brought the first event.
    """

    attempt_id: str
    remaining_ms: int
    prompt: PromptTokens | None
    # A secret, so it must not get into a log with the other fields.
    credentials: str = dataclasses.field(default="", repr=False)
    key: ClientKey = ClientKey()
    last_event_id: str = ""
    resumes: str = ""


@final
class Phase(enum.Enum):
    """Phase of a request that is sent to one runner.

    WHOLE covers the complete request. Alternatively one engine runs PREFILL,
    and another engine fetches the KV cache from it and runs DECODE. The values
    appear in the decision log.
    """

    WHOLE = "whole"
    PREFILL = "read"
    DECODE = "continue"


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Send:
    """Send a request, or one phase of it, to a runner.

    `attempt` counts from 1. `priority_class` is 0 to 9, with 0 served first.
    `kv_source` is the address and KV transfer handle from which DECODE fetches
    the KV cache, as `IP:PORT/HANDLE`; it is empty for other phases.
    `max_idle_ms` bounds how long a reused connection has been idle, None for no
    bound. `is_limited` tells that the runner names a limit on its requests.
    `account` is the client account, empty without one. With `hides_key` the
    caller's credentials are not sent, nor an account that it names itself. At
    `valid_until_ms` or later the phase must not be sent, None for no limit.
    """

    upstream: gateway_messages.Upstream
    phase: Phase
    attempt: int
    priority_class: int
    kv_source: str = ""
    max_idle_ms: int | None = None
    is_limited: bool = False
    account: str = ""
    hides_key: bool = False
    valid_until_ms: int | None = None


@final
@dataclasses.dataclass(slots=True, frozen=True)
class NamedLimit:
    """Limit that a runner names in an answer.

    `per_s` is how many requests a second it takes from all gateways together,
    None if the answer doesn't tell.
    """

    per_s: float | None


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AnswerHead:
    """Parsed status and headers of a runner's answer.

    `not_run` is set if the runner states that it did not run the request.
    `has_seal` is set if the answer carries a runner's seal, which shows that it
    was not made by an intermediary. `attempt_id` is the request it belongs to.
    `leaving` is set if the runner is about to stop. `pause_ms` is the time for
    which an overloaded runner asks for no further requests, None if it doesn't.
    `limit` is the limit that the runner names, None if it names none.
    """

    status: int
    not_run: bool
    has_seal: bool
    attempt_id: str
    leaving: bool = False
    pause_ms: int | None = None
    limit: NamedLimit | None = None


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class PrefillAnswer:
    """Parsed answer to the prefill phase.

    `transfer_handle` identifies the KV cache that the engine keeps.
    """

    transfer_handle: str


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ContentsQuery:
    """GET request that asks an engine what its KV cache holds.

    `target` is path and query.
    """

    target: str
    headers: Mapping[str, str]


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class HeldParts:
    """Parts that an engine says it holds, as id and number of tokens.

    `malformed` counts the entries that name no part; the list is complete if
    there are none.
    """

    parts: tuple[tuple[str, int], ...]
    malformed: int


class Dialect(Protocol):
    """Translates between a protocol's headers and the types of this module.

    `answer_id_header` is the header of an answer that holds its request's id.
    """

    answer_id_header: str

    def parse_request_head(self, headers: Headers) -> RequestHead:
        """Return the parsed headers of a caller's request.

        Raises:
            MalformedCall: A header is missing or has an invalid value.
        """

    def parse_key(self, headers: Headers) -> ClientKey:
        """Return the key of a caller's request."""

    def runner_request_headers(
        self,
        headers: Headers,
        send: Send,
        *,
        remaining_ms: int,
        last_event_id: str,
    ) -> dict[str, str]:
        """Return the headers to send to a runner.

        Args:
            headers: The caller's headers.
            send: Phase and runner.
            remaining_ms: Time until the request's deadline.
            last_event_id: Id of the event after which a stream resumes, empty
                to start it.
        """

    def parse_answer_head(self, status: int, headers: Headers) -> AnswerHead:
        """Return the parsed status and headers of a runner's answer."""

    def parse_prefill_answer(self, body: bytes) -> PrefillAnswer | None:
        """Return the parsed answer to a prefill, None if it is invalid."""

    def contents_query(
        self, upstream: gateway_messages.Upstream
    ) -> ContentsQuery:
        """Return the request that asks an engine what it holds."""

    def parse_held_parts(self, status: int, body: bytes) -> HeldParts | None:
        """Return the parsed answer to it, None if it is invalid."""
