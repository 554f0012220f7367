"""Settings of each program, as given by flags and the environment."""

import dataclasses
import functools
import hashlib
import json
import pathlib
from typing import final

from wisteriawall.settings import parsers

__all__ = [
    "AgentSettings",
    "ControlSettings",
    "EntrySettings",
    "derive_entry_token",
]

ENTRY_TOKEN_BYTES = 16
MAX_REQUESTS = 4_096
MAX_DURATION_MS = 24 * 3_600 * 1_000


def derive_entry_token(key: bytes) -> str:
    """Return the secret with which entries authenticate to agents.

    It is derived from the cluster key, in hexadecimal digits.
    """
    state = hashlib.blake2b(
        key=key[:64], digest_size=ENTRY_TOKEN_BYTES, person=b"entry-to-agent"
    )
    return state.hexdigest()


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ControlSettings:
    """Settings of `wisteriawall control`, with unparsed addresses and keys."""

    replica: str
    peers: str
    rpc: str
    admin: str
    admin_peers: str
    data: pathlib.Path
    key: str
    operators: str
    statsd: str = ""

    def check(self) -> None:
        """Raise `SettingErrors` if any setting is invalid."""
        parsers.run_all(
            [
                functools.partial(
                    parsers.parse_name, "--replica", self.replica
                ),
                functools.partial(
                    parsers.parse_addresses, "--peers", self.peers
                ),
                functools.partial(parsers.parse_address, "--rpc", self.rpc),
                functools.partial(parsers.parse_address, "--admin", self.admin),
                functools.partial(parsers.parse_folder, "--data", self.data),
                functools.partial(
                    parsers.parse_key, "WISTERIAWALL_CLUSTER_KEY", self.key
                ),
                functools.partial(
                    parsers.parse_optional_address, "--statsd", self.statsd
                ),
                self._check_replica_has_peer_address,
                self.operator_by_token_digest,
            ]
        )

    def operator_by_token_digest(self) -> dict[str, str]:
        """Return the operators' names, keyed by the SHA-256 of their tokens.

        Raises:
            SettingError: `operators` is not a JSON object.
        """
        try:
            decoded = json.loads(self.operators or "{}")
        except json.JSONDecodeError:
            decoded = None
        if not isinstance(decoded, dict):
            raise parsers.SettingError(
                "--operators", self.operators, 'JSON, as {"<sha256>": "name"}'
            )
        return {str(digest): str(name) for digest, name in decoded.items()}

    def _check_replica_has_peer_address(self) -> None:
        peer_addresses = parsers.parse_addresses("--peers", self.peers)
        if self.replica not in peer_addresses:
            raise parsers.SettingError(
                "--replica", self.replica, f"one of {', '.join(peer_addresses)}"
            )


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class EntrySettings:
    """Settings of `wisteriawall entry`, with unparsed addresses and keys."""

    name: str
    listen: str
    zone: str
    control: str
    key: str
    max_requests: int = 256
    grace_ms: int = 0
    drain_deadline_ms: int = 0
    idle_timeout_ms: int = 10_000
    statsd: str = ""

    def check(self) -> None:
        """Raise `SettingErrors` if any setting is invalid."""
        parsers.run_all(
            [
                functools.partial(parsers.parse_name, "--name", self.name),
                functools.partial(
                    parsers.parse_address, "--listen", self.listen
                ),
                functools.partial(parsers.parse_name, "--zone", self.zone),
                functools.partial(
                    parsers.parse_addresses, "--control", self.control
                ),
                functools.partial(
                    parsers.parse_key, "WISTERIAWALL_CLUSTER_KEY", self.key
                ),
                functools.partial(
                    parsers.parse_optional_address, "--statsd", self.statsd
                ),
                functools.partial(
                    parsers.parse_range,
                    "--max-requests",
                    self.max_requests,
                    minimum=1,
                    maximum=MAX_REQUESTS,
                ),
                *(
                    functools.partial(
                        parsers.parse_range,
                        setting,
                        value,
                        minimum=minimum,
                        maximum=MAX_DURATION_MS,
                    )
                    for setting, value, minimum in (
                        ("--grace-ms", self.grace_ms, 0),
                        ("--drain-deadline-ms", self.drain_deadline_ms, 0),
                        ("--idle-timeout-ms", self.idle_timeout_ms, 1),
                    )
                ),
            ]
        )


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AgentSettings:
    """Settings of `wisteriawall agent`, with unparsed addresses and keys."""

    runner: str
    listen: str
    upstream: str
    control: str
    key: str
    feed: str = ""
    statsd: str = ""

    def check(self) -> None:
        """Raise `SettingErrors` if any setting is invalid."""
        parsers.run_all(
            [
                functools.partial(parsers.parse_name, "--runner", self.runner),
                functools.partial(
                    parsers.parse_address, "--listen", self.listen
                ),
                functools.partial(
                    parsers.parse_address, "--upstream", self.upstream
                ),
                functools.partial(
                    parsers.parse_addresses, "--control", self.control
                ),
                functools.partial(
                    parsers.parse_optional_address, "--feed", self.feed
                ),
                functools.partial(
                    parsers.parse_optional_address, "--statsd", self.statsd
                ),
                functools.partial(
                    parsers.parse_key, "WISTERIAWALL_CLUSTER_KEY", self.key
                ),
            ]
        )
