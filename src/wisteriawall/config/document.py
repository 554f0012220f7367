"""Typed configuration document that operators patch.

A document has a number that only rises. Engine capacity is counted in
pieces: one piece holds about 1,000 tokens of KV cache.
"""

import enum
from typing import final

import msgspec

__all__ = [
    "Account",
    "AutoRole",
    "Document",
    "Fencing",
    "Limits",
    "Runner",
    "Service",
    "ServiceKind",
    "WeightStore",
    "empty",
]


@final
class ServiceKind(enum.StrEnum):
    """Whether a service is served by model engines or plain upstreams."""

    MODEL = "model"
    PLAIN = "plain"


@final
class Fencing(enum.StrEnum):
    """Whether an engine refuses orders that carry an old fencing number."""

    ENFORCED = "enforced"
    IGNORED = "ignored"


@final
class AutoRole(enum.StrEnum):
    """Role wanted for a runner; AUTO leaves it to the planner."""

    AUTO = "auto"
    PREFILL = "prefill"
    DECODE = "decode"
    MIXED = "mixed"


@final
class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds on the work of one service that an entry accepts.

    `max_queued` counts requests that wait at one entry; `max_streams` counts
    answers in progress on one runner; `max_output_tokens` bounds one answer.
    """

    max_queued: int = 256
    max_streams: int = 64
    max_output_tokens: int = 32_768


@final
class WeightStore(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Rate of the weight store, shared by the whole fleet.

    At most `fetches_at_once` orders that fetch weights are pending, and each
    starts at least `fetch_interval_ms` after the one before.
    """

    fetches_at_once: int = 2
    fetch_interval_ms: int = 1_000


@final
class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service that callers address.

    `share_pieces` caps the capacity its runners may hold. `deadline_ms` is
    the time within which an answer counts as goodput. `payback_s` is how many
    engine-seconds a role change must earn back. `non_repeatable` lists
    `METHOD /path` routes of a plain service that run at most once.
    """

    kind: ServiceKind
    share_pieces: int
    models: list[str] = []
    adapters: list[str] = []
    version: str = "1"
    deadline_ms: int = 60_000
    payback_s: float = 10.0
    non_repeatable: list[str] = []
    limits: Limits = Limits()


@final
class Runner(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An upstream and the agent in front of it.

    `address` is the agent's HTTP host and port; empty means no agent.
    `feed` is where the agent publishes load and cache events; empty means
    that entries route without them. `model` is one of the service's models;
    empty means the first.
    """

    service: str
    address: str
    zone: str
    vm: str
    pieces: int = 1
    role: AutoRole = AutoRole.AUTO
    fencing: Fencing = Fencing.ENFORCED
    feed: str = ""
    model: str = ""


@final
class Account(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A client account; `token_digest` is the SHA-256 of its bearer token."""

    token_digest: str
    weight: float = 1.0


@final
class Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The whole configuration at one number."""

    number: int
    capacity_pieces: int
    services: dict[str, Service]
    runners: dict[str, Runner]
    accounts: dict[str, Account]
    weight_store: WeightStore = WeightStore()


def empty() -> Document:
    """Return the document that a new cluster starts from."""
    return Document(
        number=0, capacity_pieces=0, services={}, runners={}, accounts={}
    )
