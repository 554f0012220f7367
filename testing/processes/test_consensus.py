"""Tests of control replicas as separate processes.

Replicas are killed, paused, replaced and restarted with an incomplete log.
"""

from concurrent import futures
import contextlib
import os
import signal
import subprocess
import time

import msgspec
import pytest
from support import process_cluster
import urllib3

# Twice the longest lease, so that a paused leader's lease has expired.
PAST_LEASE_S = 1.0
LATER_READS = 4


@pytest.fixture
def control_cluster(
    cluster: process_cluster.ProcessCluster,
) -> process_cluster.ProcessCluster:
    """Return a cluster of three running control replicas and nothing else."""
    for name in process_cluster.REPLICAS:
        cluster.start_control(name)
    return cluster


def patch_until_accepted(
    cluster: process_cluster.ProcessCluster,
    number: int,
    *,
    at: str,
    patch_id: str,
) -> int:
    """Repeat one patch until accepted; return the new configuration number."""
    change = {"capacity_pieces": 100 + number}
    created_number = 0

    def is_accepted() -> bool:
        nonlocal created_number
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            answer = cluster.patch_configuration(
                number, change, patch_id=patch_id, at=at
            )
            if answer.status == 200:
                created_number = msgspec.json.decode(answer.data)["number"]
        return created_number > 0

    process_cluster.wait_until(is_accepted, f"patch {patch_id}")
    return created_number


def configuration_number(
    cluster: process_cluster.ProcessCluster, name: str
) -> int:
    """Return the configuration number at a replica, or -1 if it has none."""
    with contextlib.suppress(urllib3.exceptions.HTTPError, AssertionError):
        number = cluster.read_resource("/v1/config", at=name)["number"]
        assert isinstance(number, int)
        return number
    return -1


def test_accepted_patches_survive_killed_leader(
    control_cluster: process_cluster.ProcessCluster,
) -> None:
    number = 0
    number_by_patch_id: dict[str, int] = {}
    for _ in range(3):
        patch_id = f"p{number}"
        number = patch_until_accepted(
            control_cluster, number, at="c1", patch_id=patch_id
        )
        number_by_patch_id[patch_id] = number
    killed = control_cluster.wait_for_leader()
    survivor = next(n for n in process_cluster.REPLICAS if n != killed)
    control_cluster.kill(killed)
    for _ in range(2):
        patch_id = f"p{number}"
        number = patch_until_accepted(
            control_cluster, number, at=survivor, patch_id=patch_id
        )
        number_by_patch_id[patch_id] = number
    control_cluster.start_control(killed)
    process_cluster.wait_until(
        lambda: configuration_number(control_cluster, killed) == number,
        "the restarted replica to catch up",
    )
    # A repeated patch gets its first answer, so every accepted patch is still
    # recorded.
    for patch_id, created_number in number_by_patch_id.items():
        repeated_number = patch_until_accepted(
            control_cluster, int(patch_id[1:]), at=killed, patch_id=patch_id
        )
        assert repeated_number == created_number
    assert configuration_number(control_cluster, survivor) == number


def pause(process: subprocess.Popen[str]) -> None:
    """Stop a process, and wait until none of its threads runs.

    SIGSTOP alone returns earlier: the threads may still answer requests that
    are sent after it.
    """
    process.send_signal(signal.SIGSTOP)
    state = os.waitid(
        os.P_PID, process.pid, os.WSTOPPED | os.WEXITED | os.WNOWAIT
    )
    assert state is not None
    assert state.si_code == os.CLD_STOPPED


def test_leader_paused_past_its_lease_changes_nothing(
    control_cluster: process_cluster.ProcessCluster,
) -> None:
    number = patch_until_accepted(
        control_cluster, 0, at="c1", patch_id="before"
    )
    paused = control_cluster.wait_for_leader()
    other = next(n for n in process_cluster.REPLICAS if n != paused)
    process = control_cluster.process_by_name[paused]
    pause(process)
    try:
        with futures.ThreadPoolExecutor() as executor:
            # All requests wait in the paused process until it resumes.
            delayed_read = executor.submit(
                configuration_number, control_cluster, paused
            )
            delayed_patch = executor.submit(
                control_cluster.patch_configuration,
                number,
                {"capacity_pieces": 7},
                at=paused,
            )
            time.sleep(PAST_LEASE_S)
            newer_number = patch_until_accepted(
                control_cluster, number, at=other, patch_id="after"
            )
            # Sent after the newer configuration was acknowledged.
            later_reads = [
                executor.submit(configuration_number, control_cluster, paused)
                for _ in range(LATER_READS)
            ]
            process.send_signal(signal.SIGCONT)
            for read in (delayed_read, *later_reads):
                assert read.result() in (newer_number, -1)
            assert delayed_patch.result().status in (412, 503)
    finally:
        process.send_signal(signal.SIGCONT)
    for name in process_cluster.REPLICAS:
        process_cluster.wait_until(
            lambda name=name: (
                configuration_number(control_cluster, name) == newer_number
            ),
            name,
        )
    config = control_cluster.read_resource("/v1/config", at=paused)
    assert config["capacity_pieces"] == 100 + number


def test_replica_with_incomplete_log_tail_recovers(
    control_cluster: process_cluster.ProcessCluster,
) -> None:
    number = patch_until_accepted(
        control_cluster, 0, at="c1", patch_id="before"
    )
    control_cluster.kill("c2")
    segment = max((control_cluster.folder / "c2").glob("log-*"))
    with segment.open("ab") as file:
        file.write(segment.read_bytes()[:50])
    control_cluster.start_control("c2")
    number = patch_until_accepted(
        control_cluster, number, at="c2", patch_id="with a torn tail"
    )
    control_cluster.kill("c1")
    control_cluster.start_control("c1")
    process_cluster.wait_until(
        lambda: configuration_number(control_cluster, "c2") == number, "c2"
    )


def voting_replicas(
    cluster: process_cluster.ProcessCluster, name: str
) -> set[str]:
    """Return the names of the voting replicas that one replica reports."""
    members = cluster.read_resource("/v1/status", at=name)["members"]
    assert isinstance(members, list)
    return {m["replica"] for m in members if m["voting"]}


def test_replacement_replica_votes_after_leader_is_killed(
    control_cluster: process_cluster.ProcessCluster,
) -> None:
    number = patch_until_accepted(
        control_cluster, 0, at="c1", patch_id="before"
    )
    leader = control_cluster.wait_for_leader()
    removed, remaining = (n for n in process_cluster.REPLICAS if n != leader)
    control_cluster.kill(removed)
    added = {"replica": "c4", "peer_address": control_cluster.add_replica("c4")}
    control_cluster.start_control("c4", bootstrap=False)
    # The lost voter leaves before the new replica votes: with four voters, one
    # of them lost, the loss of the leader would stop the cluster.
    expected = {leader, remaining, "c4"}
    for method, body in (
        ("POST", added),
        ("DELETE", {"replica": removed}),
    ):
        process_cluster.wait_until(
            lambda method=method, body=body: (
                control_cluster.change_replica(method, body, at=leader).status
                == 200
            ),
            method,
        )
        process_cluster.wait_until(
            lambda: voting_replicas(control_cluster, "c4") == expected,
            f"{expected}",
        )
    control_cluster.kill(leader)
    patch_until_accepted(control_cluster, number, at="c4", patch_id="after")
    assert configuration_number(control_cluster, remaining) >= number
