"""Configuration document of the cluster, which operators change by patches.

Every patch raises the document's number by one. Engine capacity is counted
in pieces: one piece holds about 1,000 tokens of KV cache.
"""

import enum
from typing import final

import msgspec

__all__ = [
    "Account",
    "ConfiguredRole",
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
class ConfiguredRole(enum.StrEnum):
    """Role configured for a runner; AUTO lets the planner choose it."""

    AUTO = "auto"
    PREFILL = "prefill"
    DECODE = "decode"
    MIXED = "mixed"


@final
class Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on the requests of one service that an entry accepts.

    `max_queued` limits the requests that wait at one entry, `max_streams`
    the answers in progress on one runner, and `max_output_tokens` the length
    of one answer.
    """

    max_queued: int = 256
    max_streams: int = 64
    max_output_tokens: int = 32_768


@final
class WeightStore(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on fetching weights from the store, for the whole fleet.

    At most `fetches_at_once` orders that fetch weights are pending at a time,
    and each starts at least `fetch_interval_ms` after the previous one.
    """

    fetches_at_once: int = 2
    fetch_interval_ms: int = 1_000


@final
class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A service that callers address.

    `share_pieces` limits the total `pieces` of its runners. An answer counts
    as goodput if it takes at most `deadline_ms`. A role change must save at
    least `payback_s` engine-seconds. `non_repeatable` lists the routes of a
    plain service, as `METHOD /path`, that are executed at most once.
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
    `feed` is the host and port where the agent publishes load and cache
    updates; empty means that entries choose runners without them. `pieces`
    is the engine's capacity. `model` is one of the service's models; empty
    means the first.
    """

    service: str
    address: str
    zone: str
    vm: str
    pieces: int = 1
    role: ConfiguredRole = ConfiguredRole.AUTO
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
    """The whole configuration; `number` identifies this version of it."""

    number: int
    capacity_pieces: int
    services: dict[str, Service]
    runners: dict[str, Runner]
    accounts: dict[str, Account]
    weight_store: WeightStore = WeightStore()


def empty() -> Document:
    """Return the document of a new cluster: number 0, nothing configured."""
    return Document(
        number=0, capacity_pieces=0, services={}, runners={}, accounts={}
    )
