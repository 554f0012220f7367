"""Control replicas as separate processes: killed, paused, with a torn log."""

from concurrent import futures
import contextlib
import signal
import time

import msgspec
import pytest
from support import site as site_lib
import urllib3

# Twice the longest time for which a paused leader's lease could last.
PAST_LEASE_S = 1.0


@pytest.fixture
def replicas(new_site: site_lib.Site) -> site_lib.Site:
    """Return a site of three control replicas and nothing else."""
    for name in site_lib.REPLICAS:
        new_site.start_control(name)
    return new_site


def patch_until_accepted(
    site: site_lib.Site, number: int, *, at: str, patch_id: str
) -> int:
    """Send one patch until it is accepted; return the number it made."""
    change = {"capacity_pieces": 100 + number}
    made = 0

    def is_accepted() -> bool:
        nonlocal made
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            answer = site.patch(number, change, patch_id=patch_id, at=at)
            if answer.status == 200:
                made = msgspec.json.decode(answer.data)["number"]
        return made > 0

    site_lib.wait_until(is_accepted, f"patch {patch_id}")
    return made


def read_number(site: site_lib.Site, name: str) -> int:
    """Return the configuration number that a replica answers, -1 for none."""
    with contextlib.suppress(urllib3.exceptions.HTTPError, AssertionError):
        number = site.read("/v1/config", at=name)["number"]
        assert isinstance(number, int)
        return number
    return -1


def test_leader_killed_under_patches(replicas: site_lib.Site) -> None:
    number = 0
    made_by_patch: dict[str, int] = {}
    for _ in range(3):
        patch_id = f"p{number}"
        number = patch_until_accepted(
            replicas, number, at="c1", patch_id=patch_id
        )
        made_by_patch[patch_id] = number
    killed = replicas.leader()
    survivor = next(n for n in site_lib.REPLICAS if n != killed)
    replicas.kill(killed)
    for _ in range(2):
        patch_id = f"p{number}"
        number = patch_until_accepted(
            replicas, number, at=survivor, patch_id=patch_id
        )
        made_by_patch[patch_id] = number
    replicas.start_control(killed)
    site_lib.wait_until(
        lambda: read_number(replicas, killed) == number, "the killed replica"
    )
    # A patch sent again gets its first answer: each one is still known.
    for patch_id, made in made_by_patch.items():
        again = patch_until_accepted(
            replicas, int(patch_id[1:]), at=killed, patch_id=patch_id
        )
        assert again == made
    assert read_number(replicas, survivor) == number


def test_leader_paused_past_its_lease_changes_nothing(
    replicas: site_lib.Site,
) -> None:
    number = patch_until_accepted(replicas, 0, at="c1", patch_id="before")
    paused = replicas.leader()
    other = next(n for n in site_lib.REPLICAS if n != paused)
    process = replicas.process_by_name[paused]
    process.send_signal(signal.SIGSTOP)
    try:
        with futures.ThreadPoolExecutor() as pool:
            # These wait in the paused process until it continues.
            late_read = pool.submit(read_number, replicas, paused)
            late_patch = pool.submit(
                replicas.patch, number, {"capacity_pieces": 7}, at=paused
            )
            time.sleep(PAST_LEASE_S)
            newer = patch_until_accepted(
                replicas, number, at=other, patch_id="after"
            )
            process.send_signal(signal.SIGCONT)
            assert late_read.result() in (newer, -1)
            assert late_patch.result().status in (412, 503)
    finally:
        process.send_signal(signal.SIGCONT)
    for name in site_lib.REPLICAS:
        site_lib.wait_until(
            lambda name=name: read_number(replicas, name) == newer, name
        )
    config = replicas.read("/v1/config", at=paused)
    assert config["capacity_pieces"] == 100 + number


def test_torn_log_tail_is_cut(replicas: site_lib.Site) -> None:
    number = patch_until_accepted(replicas, 0, at="c1", patch_id="before")
    replicas.kill("c2")
    segment = max((replicas.folder / "c2").glob("log-*"))
    with segment.open("ab") as file:
        file.write(segment.read_bytes()[:50])
    replicas.start_control("c2")
    number = patch_until_accepted(
        replicas, number, at="c2", patch_id="with a torn tail"
    )
    replicas.kill("c1")
    replicas.start_control("c1")
    site_lib.wait_until(lambda: read_number(replicas, "c2") == number, "c2")


def voters(site: site_lib.Site, name: str) -> set[str]:
    """Return the voting replicas as one replica knows them."""
    members = site.read("/v1/status", at=name)["members"]
    assert isinstance(members, list)
    return {m["replica"] for m in members if m["voting"]}


def test_replaced_replica_gets_a_vote_and_carries_the_next_loss(
    replicas: site_lib.Site,
) -> None:
    number = patch_until_accepted(replicas, 0, at="c1", patch_id="before")
    leader = replicas.leader()
    lost, kept = (n for n in site_lib.REPLICAS if n != leader)
    replicas.kill(lost)
    added = {"replica": "c4", "peer_address": replicas.add_address("c4")}
    replicas.start_control("c4", bootstrap=False)
    for method, body, expected in (
        ("POST", added, {"c1", "c2", "c3", "c4"}),
        ("DELETE", {"replica": lost}, {leader, kept, "c4"}),
    ):
        site_lib.wait_until(
            lambda method=method, body=body: (
                replicas.change_replica(method, body, at=leader).status == 200
            ),
            method,
        )
        site_lib.wait_until(
            lambda expected=expected: voters(replicas, "c4") == expected,
            f"{expected}",
        )
    replicas.kill(leader)
    patch_until_accepted(replicas, number, at="c4", patch_id="after")
    assert read_number(replicas, kept) >= number
