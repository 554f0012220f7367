"""Requests and answers as the gateway sees them, free of any wire names."""

from collections.abc import Mapping
import dataclasses
import enum
from typing import Protocol
from typing import final

from wisteriawall.wire import site_messages

__all__ = [
    "AnswerHead",
    "Call",
    "Dialect",
    "Leg",
    "MalformedCall",
    "PromptTokens",
    "ReadPrompt",
    "Send",
]

Headers = Mapping[str, str]


class MalformedCall(ValueError):
    """A caller's header could not be read."""


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class PromptTokens:
    """Prompt of a request; `parts` are ids and tokens in order."""

    model: str
    parts: tuple[tuple[str, int], ...]
    input_tokens: int
    output_tokens: int


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Call:
    """What a caller's head says; `deadline_ms` counts from its arrival."""

    attempt_id: str
    deadline_ms: int
    prompt: PromptTokens | None


@final
class Leg(enum.Enum):
    """Part of a request that one runner is asked for."""

    WHOLE = "whole"
    READ = "read"
    CONTINUE = "continue"


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Send:
    """Send a request, or a leg of it, to one runner.

    `memory_from` names the engine and handle whose memory CONTINUE takes.
    `urgency` is 0 to 9, most urgent first. `reuse_idle_ms` bounds how long a
    connection to reuse has been idle, None for any time.
    """

    upstream: site_messages.Upstream
    leg: Leg
    attempt: int
    urgency: int
    memory_from: str = ""
    reuse_idle_ms: int | None = None


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AnswerHead:
    """What the head of a runner's answer says.

    `not_run` is the runner's word that it did not run the request. `sealed`
    tells that the answer is a runner's own. `attempt_id` names the request
    that is answered.
    """

    status: int
    not_run: bool
    sealed: bool
    attempt_id: str


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ReadPrompt:
    """An engine has read a prompt and keeps its memory under `handle`."""

    handle: str


class Dialect(Protocol):
    """Translation between the callers' and runners' wire and these types."""

    def read_call(self, headers: Headers) -> Call:
        """Return what a caller's head says.

        Raises:
            MalformedCall: A header could not be read.
        """

    def request_headers(
        self, headers: Headers, send: Send, *, left_ms: int, last_event: str
    ) -> dict[str, str]:
        """Return the headers to send to a runner."""

    def read_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Return what a runner's head says."""

    def read_prompt(self, body: bytes) -> ReadPrompt | None:
        """Return the answer to a READ leg, None if it can't be read."""
