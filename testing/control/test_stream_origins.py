"""Tests of the streams and software versions that control keeps."""

import pytest

from wisteriawall.control import commands
from wisteriawall.control import ledger
from wisteriawall.control import snapshot
from wisteriawall.control import state
from wisteriawall.control import stream_origins as lib
from wisteriawall.wire import gateway_messages

V1 = gateway_messages.StreamOrigin("s", "v1", "f")
V2 = gateway_messages.StreamOrigin("s", "v2", "f")


def runners(*versions: str) -> list[gateway_messages.Upstream]:
    """Return a list of runners of these versions."""
    return [
        gateway_messages.Upstream(
            upstream_id=f"u{number}",
            service="s",
            address=f"u{number}:1",
            zone="z",
            slots=1,
            version=version,
        )
        for number, version in enumerate(versions)
    ]


class Leader:
    """A leader's versions and a ledger that commits at once."""

    def __init__(self) -> None:
        """Start with an empty ledger."""
        self.ledger = state.Ledger()
        self.versions = lib.Versions()

    def read(self, now_ms: int, *versions: str, term: int = 1) -> list[str]:
        """Read a list; return the versions that may have begun streams."""
        for command in lib.note_list(
            self.versions,
            self.ledger,
            runners(*versions),
            term=term,
            now_ms=now_ms,
            wall_ms=now_ms,
        ):
            self.apply(command)
        return self.ledger.versions_by_service.get("s", [])

    def apply(self, command: commands.Command) -> None:
        """Apply a command as it is read from the log."""
        decoded = commands.decode(commands.encode(command))
        ledger.apply(self.ledger, index=1, term=1, command=decoded)

    def record(self, at_ms: int, attempt: str, *origins: object) -> None:
        """Keep streams that began at the same time under one attempt id."""
        for origin in origins:
            self.apply(
                commands.RecordStreams(
                    {attempt: origin},  # type: ignore[dict-item]
                    at_ms,
                )
            )

    def find(
        self, attempt: str, wall_ms: int = 0
    ) -> gateway_messages.StreamFound:
        """Return what is known of a stream."""
        request = gateway_messages.FindStreamRequest(attempt, "s")
        return lib.find(self.ledger, request, wall_ms)


def test_version_stays_for_as_long_as_its_streams_may_go_on() -> None:
    leader = Leader()
    assert leader.read(0, "v1") == ["v1"]
    assert leader.read(1_000, "v1", "v2") == ["v1", "v2"]
    assert leader.read(2_000, "v2") == ["v1", "v2"]
    assert leader.read(1_000 + lib.KEPT_MS, "v2") == ["v1", "v2"]
    assert leader.read(1_001 + lib.KEPT_MS, "v2") == ["v2"]
    assert lib.mixed_services(leader.ledger) == []


def test_new_leader_keeps_versions_that_it_never_saw() -> None:
    leader = Leader()
    leader.read(0, "v1")
    leader.read(100, "v2")
    leader.versions = lib.Versions()
    assert leader.read(900_000, "v2") == ["v1", "v2"]
    assert leader.read(900_000 + lib.KEPT_MS, "v2") == ["v1", "v2"]
    assert leader.read(900_001 + lib.KEPT_MS, "v2") == ["v2"]


def test_replica_that_leads_again_keeps_versions_that_others_saw() -> None:
    """It took a version for long gone that another leader had just listed."""
    leader = Leader()
    leader.read(0, "v1")
    now_ms = 2 * lib.KEPT_MS
    assert leader.read(now_ms, "v2", term=3) == ["v1", "v2"]
    assert leader.read(now_ms + lib.KEPT_MS, "v2", term=3) == ["v1", "v2"]
    assert leader.read(now_ms + lib.KEPT_MS + 1, "v2", term=3) == ["v2"]


def test_list_with_a_version_that_is_not_committed_is_not_used() -> None:
    """A stream could begin there, and the version be forgotten."""
    leader = Leader()
    leader.read(0, "v1")
    assert lib.are_known(leader.ledger, runners("v1", "v1"))
    assert not lib.are_known(leader.ledger, runners("v1", "v2"))
    leader.read(100, "v1", "v2")
    assert lib.are_known(leader.ledger, runners("v1", "v2"))


def test_entry_without_a_version_leaves_none_proved() -> None:
    leader = Leader()
    assert leader.read(0, "v1", "") == ["", "v1"]
    assert lib.mixed_services(leader.ledger) == ["s"]


def test_streams_and_versions_outlive_all_processes() -> None:
    leader = Leader()
    leader.read(0, "v1", "v2")
    leader.record(1_000, "a", V1)
    leader.ledger = snapshot.decode(snapshot.encode(leader.ledger))
    assert leader.find("a", 1_400) == gateway_messages.StreamFound(
        True, V1, 400, ["v1", "v2"]
    )
    assert leader.find("b") == gateway_messages.StreamFound(
        False, None, -1, ["v1", "v2"]
    )


@pytest.mark.parametrize(
    ("origins", "expected"),
    [
        pytest.param([V1], V1, id="once"),
        pytest.param([V1, V1], V1, id="reported again"),
        pytest.param([V1, V2], None, id="of two versions"),
        pytest.param([V1, V2, V1], None, id="of two versions again"),
    ],
)
def test_attempt_id_of_streams_of_two_versions_proves_none(
    origins: list[object], expected: object
) -> None:
    leader = Leader()
    leader.record(0, "a", *origins)
    found = leader.find("a")
    assert found.is_kept
    assert found.origin == expected


def test_kept_streams_are_bounded_by_age_and_number() -> None:
    leader = Leader()
    leader.record(0, "old", V1)
    leader.record(lib.KEPT_MS, "a", V1)
    assert leader.find("old").is_kept
    leader.record(lib.KEPT_MS + 1, "b", V1)
    assert not leader.find("old").is_kept
    leader.apply(
        commands.RecordStreams(
            {f"m{number}": V1 for number in range(lib.MAX_STREAMS + 9)},
            lib.KEPT_MS + 1,
        )
    )
    assert len(leader.ledger.stream_by_attempt) == lib.MAX_STREAMS
