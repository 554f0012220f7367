"""Typed settings of each program, built from flags and the environment."""

import dataclasses
import functools
import hashlib
import json
import pathlib
from typing import final

from wisteriawall.settings import checks

__all__ = [
    "AgentSettings",
    "ControlSettings",
    "EntrySettings",
    "derive_token",
]

TOKEN_BYTES = 16
MAX_REQUESTS = 4_096
MAX_WAIT_MS = 24 * 3_600 * 1_000


def derive_token(key: bytes) -> str:
    """Return the secret that entries present to agents."""
    state = hashlib.blake2b(
        key=key[:64], digest_size=TOKEN_BYTES, person=b"entry-to-agent"
    )
    return state.hexdigest()


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class ControlSettings:
    """Settings of `wisteriawall control`, as written by the operator."""

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
        """Raise `SettingErrors` unless every setting is valid."""
        checks.collect(
            [
                functools.partial(checks.parse_name, "--replica", self.replica),
                functools.partial(
                    checks.parse_addresses, "--peers", self.peers
                ),
                functools.partial(checks.parse_address, "--rpc", self.rpc),
                functools.partial(checks.parse_address, "--admin", self.admin),
                functools.partial(checks.parse_folder, "--data", self.data),
                functools.partial(
                    checks.parse_key, "WISTERIAWALL_CLUSTER_KEY", self.key
                ),
                functools.partial(
                    checks.parse_optional_address, "--statsd", self.statsd
                ),
                self._check_membership,
                self.operator_by_token_digest,
            ]
        )

    def operator_by_token_digest(self) -> dict[str, str]:
        """Return operators' names by the SHA-256 of their token."""
        try:
            loaded = json.loads(self.operators or "{}")
        except json.JSONDecodeError:
            loaded = None
        if not isinstance(loaded, dict):
            raise checks.SettingError(
                "--operators", self.operators, 'JSON, as {"<sha256>": "name"}'
            )
        return {str(digest): str(name) for digest, name in loaded.items()}

    def _check_membership(self) -> None:
        names = checks.parse_addresses("--peers", self.peers)
        if self.replica not in names:
            raise checks.SettingError(
                "--replica", self.replica, f"one of {', '.join(names)}"
            )


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class EntrySettings:
    """Settings of `wisteriawall entry`, as written by the operator."""

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
        """Raise `SettingErrors` unless every setting is valid."""
        checks.collect(
            [
                functools.partial(checks.parse_name, "--name", self.name),
                functools.partial(
                    checks.parse_address, "--listen", self.listen
                ),
                functools.partial(checks.parse_name, "--zone", self.zone),
                functools.partial(
                    checks.parse_addresses, "--control", self.control
                ),
                functools.partial(
                    checks.parse_key, "WISTERIAWALL_CLUSTER_KEY", self.key
                ),
                functools.partial(
                    checks.parse_optional_address, "--statsd", self.statsd
                ),
                functools.partial(
                    checks.parse_range,
                    "--max-requests",
                    self.max_requests,
                    least=1,
                    most=MAX_REQUESTS,
                ),
                *(
                    functools.partial(
                        checks.parse_range,
                        setting,
                        value,
                        least=least,
                        most=MAX_WAIT_MS,
                    )
                    for setting, value, least in (
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
    """Settings of `wisteriawall agent`, as written by the operator."""

    runner: str
    listen: str
    upstream: str
    control: str
    key: str
    feed: str = ""
    statsd: str = ""

    def check(self) -> None:
        """Raise `SettingErrors` unless every setting is valid."""
        checks.collect(
            [
                functools.partial(checks.parse_name, "--runner", self.runner),
                functools.partial(
                    checks.parse_address, "--listen", self.listen
                ),
                functools.partial(
                    checks.parse_address, "--upstream", self.upstream
                ),
                functools.partial(
                    checks.parse_addresses, "--control", self.control
                ),
                functools.partial(
                    checks.parse_optional_address, "--feed", self.feed
                ),
                functools.partial(
                    checks.parse_optional_address, "--statsd", self.statsd
                ),
                functools.partial(
                    checks.parse_key, "WISTERIAWALL_CLUSTER_KEY", self.key
                ),
            ]
        )
