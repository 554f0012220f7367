"""Tests of `wisteriawall.control.shell`: one replica with a real disk."""

from collections.abc import Callable
from collections.abc import Iterator
from concurrent import futures
import errno
import os
import pathlib
import threading
import time

import pytest

from wisteriawall.control import events
from wisteriawall.control import outcomes
from wisteriawall.control import raft
from wisteriawall.control import reducer
from wisteriawall.control import shell as shell_lib
from wisteriawall.demo import cluster as cluster_lib

KEY = b"k" * 32
WAIT_S = 10.0

Open = Callable[[], shell_lib.ControlShell]


@pytest.fixture
def open_shell(tmp_path: pathlib.Path) -> Iterator[Open]:
    """Yield a function that (re)starts a single replica on one folder."""
    opened: list[shell_lib.ControlShell] = []

    def open_one() -> shell_lib.ControlShell:
        for shell in opened:
            shell.stop()
        opened.clear()
        shell = shell_lib.ControlShell(
            replica="a",
            peer_address_by_replica={
                "a": cluster_lib.unused_loopback_address()
            },
            rpc_address=cluster_lib.unused_loopback_address(),
            folder=tmp_path / "data",
            key=KEY,
            incarnation=time.time_ns(),
            bootstrap=True,
        )
        opened.append(shell)
        shell.start()
        return shell

    yield open_one
    for shell in opened:
        shell.stop()


def patch(shell: shell_lib.ControlShell, number: int) -> events.Reply:
    """Send a patch, repeatedly until this replica is the leader."""
    request = events.PatchRequest(
        f"p{number}", "op", number, b'{"capacity_pieces": %d}' % number
    )
    deadline = time.monotonic() + WAIT_S
    while time.monotonic() < deadline:
        reply = shell.call(request)
        if isinstance(reply, events.PatchReply | events.Unavailable):
            return reply
        time.sleep(0.02)
    raise AssertionError("no leader")


def test_state_is_recovered_from_snapshot_and_log(
    open_shell: Open, monkeypatch: pytest.MonkeyPatch, tmp_path: pathlib.Path
) -> None:
    monkeypatch.setattr(raft, "SNAPSHOT_INTERVAL_ENTRIES", 2)
    shell = open_shell()
    for number in range(2):
        reply = patch(shell, number)
        assert isinstance(reply, events.PatchReply)
    shell.stop()
    assert list((tmp_path / "data").glob("snapshot-*.snapshot"))
    shell = open_shell()
    reply = patch(shell, 1)
    assert isinstance(reply, events.PatchReply)
    assert reply.outcome == outcomes.ConfigChanged(2)


def test_nothing_is_acknowledged_after_a_full_disk(
    open_shell: Open, monkeypatch: pytest.MonkeyPatch
) -> None:
    shell = open_shell()
    assert isinstance(patch(shell, 0), events.PatchReply)

    def fail(_: int) -> None:
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patched:
        patched.setattr(os, "fdatasync", fail)
        reply = patch(shell, 1)
        assert isinstance(reply, events.Unavailable)
        assert "free space" in reply.reason
    # The disk accepts writes again, but what it contains is not known.
    assert isinstance(patch(shell, 2), events.Unavailable)
    shell = open_shell()
    reply = shell.call(events.StatusRequest(whole=False))
    assert isinstance(reply, events.StatusReply)


def test_command_too_large_for_a_message_is_refused(open_shell: Open) -> None:
    shell = open_shell()
    assert isinstance(patch(shell, 0), events.PatchReply)
    change = b'{"x": "%s"}' % (b"y" * raft.MAX_COMMAND_BYTES)
    reply = shell.call(events.PatchRequest("big", "op", 1, change))
    assert isinstance(reply, events.Unavailable)
    assert "expected at most" in reply.reason
    assert isinstance(patch(shell, 1), events.PatchReply)


def test_replica_survives_a_patch_with_an_integer_over_64_bits(
    open_shell: Open,
) -> None:
    """Encoding a grant with the integer ended the reducer thread."""
    shell = open_shell()
    assert isinstance(patch(shell, 0), events.PatchReply)
    change = b'{"capacity_pieces": %d}' % (1 << 70)
    reply = shell.call(events.PatchRequest("long", "op", 1, change))
    assert isinstance(reply, events.PatchReply)
    assert isinstance(reply.outcome, outcomes.ConfigInvalid)
    assert isinstance(patch(shell, 1), events.PatchReply)


@pytest.mark.parametrize(
    "address",
    [
        pytest.param("10.0.0.4", id="no-port"),
        pytest.param("10.0.0.4:", id="empty-port"),
    ],
)
def test_replica_survives_a_logged_address_that_cannot_be_dialled(
    open_shell: Open, address: str
) -> None:
    """Dialling the address ended the reducer, and again at each start."""
    shell = open_shell()
    assert isinstance(patch(shell, 0), events.PatchReply)
    shell.call(events.AddReplicaRequest("op", "d", address, "", ""))
    assert isinstance(patch(shell, 1), events.PatchReply)
    shell = open_shell()
    assert "d" in {member.replica for member in shell.members}
    assert isinstance(patch(shell, 2), events.PatchReply)


def test_stop_answers_calls_that_wait(
    open_shell: Open, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Threads waited for an answer of the reducer after it had ended."""
    received = threading.Event()

    def ignore(_: object, event: events.Event) -> Iterator[events.Effect]:
        if isinstance(event, events.CallReceived):
            received.set()
        return iter(())

    shell = open_shell()
    monkeypatch.setattr(reducer, "reduce", ignore)
    stopped = events.Unavailable("the replica has stopped")
    with futures.ThreadPoolExecutor() as pool:
        reply = pool.submit(shell.call, events.TableRequest())
        assert received.wait(WAIT_S)
        shell.stop()
        assert reply.result() == stopped
    assert shell.call(events.TableRequest()) == stopped
