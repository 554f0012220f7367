"""Tests of `wisteriawall.policy.stream_origins`."""

from wisteriawall.policy import stream_origins as lib

V1 = lib.Origin(service="s", version="v1", fingerprint="f")
V2 = lib.Origin(service="s", version="v2", fingerprint="f")


def test_origin_is_found_with_its_age() -> None:
    origins = lib.StreamOrigins()
    origins.record("a", V1, 1_000)
    assert origins.find("a", 1_300) == lib.Kept(origin=V1, age_ms=300)
    assert origins.find("b", 1_300) is None


def test_repeated_attempt_id_of_another_version_proves_none() -> None:
    origins = lib.StreamOrigins()
    for number, origin in enumerate((V1, V1, V2, V1)):
        origins.record("a", origin, 1_000 + number)
    assert origins.find("a", 1_003) == lib.Kept(origin=None, age_ms=0)


def test_streams_are_bounded_by_age_and_number() -> None:
    origins = lib.StreamOrigins()
    origins.record("old", V1, 0)
    assert origins.find("old", lib.KEPT_MS) is not None
    assert origins.find("old", lib.KEPT_MS + 1) is None
    for number in range(lib.MAX_STREAMS + 1):
        origins.record(f"a{number}", V1, 0)
    assert origins.find("a0", 0) is None
    assert origins.find("a1", 0) is not None
