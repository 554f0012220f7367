"""Tests of the leader's count of gateways that share the retry budget."""

import pytest

from wisteriawall.control import gateway_counts
from wisteriawall.policy import gateway_count
from wisteriawall.wire import gateway_messages

KEPT_MS = gateway_count.COUNT_KEPT_MS


def note(
    counts: gateway_counts.GatewayCounts,
    name: str,
    now_ms: int,
    most: gateway_messages.GatewayCount | None = None,
) -> tuple[int, gateway_messages.GatewayCount]:
    """Let a gateway poll."""
    request = gateway_messages.FollowRequest(
        name,
        1,
        f"{name}:1",
        0,
        (0, 0),
        most_gateways=most or gateway_messages.GatewayCount(),
    )
    return gateway_counts.note(counts, request, now_ms)


@pytest.mark.parametrize(
    ("silence_ms", "heard"),
    [
        pytest.param(10_000, 2, id="may-use-its-share"),
        pytest.param(KEPT_MS, 2, id="at-the-end"),
        pytest.param(KEPT_MS + 1, 1, id="long-silent"),
    ],
)
def test_silent_gateway_is_not_counted(silence_ms: int, heard: int) -> None:
    counts = gateway_counts.GatewayCounts()
    note(counts, "a", 1_000)
    assert note(counts, "b", 1_000 + silence_ms)[0] == heard


def test_new_leader_counts_only_those_it_has_heard() -> None:
    counts = gateway_counts.GatewayCounts()
    note(counts, "a", 1_000, gateway_messages.GatewayCount(33, 2_000))
    heard, most = note(counts, "b", 1_500)
    assert heard == 2
    assert most == gateway_messages.GatewayCount(33, 2_500)


@pytest.mark.parametrize(
    "most",
    [
        pytest.param(gateway_messages.GatewayCount(33, -1), id="future"),
        pytest.param(gateway_messages.GatewayCount(33, KEPT_MS + 1), id="old"),
        pytest.param(gateway_messages.GatewayCount(-1, 0), id="negative"),
        pytest.param(gateway_messages.GatewayCount(2**62, 0), id="huge"),
    ],
)
def test_odd_count_of_a_gateway_is_used(
    most: gateway_messages.GatewayCount,
) -> None:
    counts = gateway_counts.GatewayCounts()
    _, known = note(counts, "a", 1_000, most)
    assert known == gateway_messages.GatewayCount()


def test_former_count_is_told_back_and_forth_for_ever() -> None:
    """A deployment that has shrunk would never have its whole slack again."""
    counts = gateway_counts.GatewayCounts()
    known = gateway_messages.GatewayCount(33, 0)
    for now_ms in range(1_000, 1_000 + KEPT_MS + 1, 1_000):
        _, known = note(counts, "a", now_ms, known)
        known = gateway_messages.GatewayCount(
            known.gateways, known.age_ms + 1_000
        )
    assert note(counts, "a", now_ms + 1_000, known) == (
        1,
        gateway_messages.GatewayCount(),
    )
