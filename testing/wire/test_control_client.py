"""Tests of `wisteriawall.wire.control_client`."""

from collections.abc import Iterator
import contextlib
import subprocess
import sys
import threading
import time

import pynng
import pytest
from support import platform_site

from wisteriawall.demo import cluster
from wisteriawall.wire import control_client
from wisteriawall.wire import control_messages
from wisteriawall.wire import envelope
from wisteriawall.wire import gateway_messages
from wisteriawall.wire import transport

KEY = b"k" * 32
FOLLOW = gateway_messages.FollowRequest(
    "g1", 1, "127.0.0.1:1", 0, (0, 0), False
)
FOLLOWED = gateway_messages.Followed(0, 7, None, None, [], {})

POLLING_SCRIPT = """
import sys, threading
from wisteriawall.wire import control_client, envelope, gateway_messages

follow = gateway_messages.FollowRequest(
    "g1", 1, "127.0.0.1:1", 0, (0, 0), False
)
client = control_client.ControlClient(
    address_by_replica={"c1": sys.argv[1]},
    key=b"k" * 32,
    sender=envelope.Sender("g1", 1),
)
started = threading.Event()

def poll():
    while True:
        started.set()
        try:
            getattr(client, sys.argv[2])(follow)
        except control_client.ControlUnavailable:
            pass

threading.Thread(target=poll, daemon=True).start()
started.wait()
client.close()
"""


@contextlib.contextmanager
def serve_replica(reply: control_messages.ControlReply) -> Iterator[str]:
    """Serve a replica that answers every request with `reply`.

    Yields:
        The RPC address of the replica.
    """
    codec: envelope.Codec[object] = envelope.Codec(
        message_type=object, key=KEY, sender=envelope.Sender("c", 1)
    )
    address = cluster.unused_loopback_address()
    server = transport.RpcServer(
        address=address, handler=lambda _: codec.encode(reply)
    )
    server.start()
    yield address
    server.close()


@contextlib.contextmanager
def serve_mute_replica() -> Iterator[tuple[str, threading.Event]]:
    """Serve a replica that answers no request.

    Yields:
        The RPC address of the replica, and an event set by each request.
    """
    address = cluster.unused_loopback_address()
    received = threading.Event()
    server = transport.RpcServer(
        address=address, handler=lambda _: received.set()
    )
    server.start()
    yield address, received
    server.close()


@contextlib.contextmanager
def open_client(address: str) -> Iterator[control_client.ControlClient]:
    """Open a client that knows only one replica, as after a start."""
    client = control_client.ControlClient(
        address_by_replica={"seed": address},
        key=KEY,
        sender=envelope.Sender("g1", 1),
    )
    yield client
    client.close()


def test_redirect_to_unknown_leader_is_followed() -> None:
    with serve_replica(FOLLOWED) as leader_address:
        redirect = control_messages.NotLeader("joined-later", leader_address)
        with (
            serve_replica(redirect) as seed_address,
            open_client(seed_address) as client,
        ):
            assert client.call(FOLLOW) == FOLLOWED
            assert client.address_by_replica["joined-later"] == leader_address


@pytest.mark.parametrize("leader", ["", "joined-later"])
def test_redirect_without_address_is_not_followed(leader: str) -> None:
    redirect = control_messages.NotLeader(leader)
    with (
        serve_replica(redirect) as seed_address,
        open_client(seed_address) as client,
        pytest.raises(control_client.ControlUnavailable),
    ):
        client.call(FOLLOW)


def test_closed_client_does_not_connect_again() -> None:
    """A call on a closed client replaced the socket, which stayed open."""
    with serve_replica(FOLLOWED) as address, open_client(address) as client:
        assert client.call(FOLLOW) == FOLLOWED
        client.close()
        client.set_replicas({"seed": address, "other": address})
        for _ in range(2):
            with pytest.raises(control_client.ControlUnavailable):
                client.call(FOLLOW)


@pytest.mark.parametrize("method", ["call", "ask"])
def test_close_waits_for_a_call_that_still_uses_nng(
    method: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    close_context = pynng.Context.close
    has_left_nng = threading.Event()

    def close_slowly(context: pynng.Context) -> None:
        time.sleep(0.2)
        try:
            close_context(context)
        finally:
            has_left_nng.set()

    def call(client: control_client.ControlClient) -> None:
        with pytest.raises(control_client.ControlUnavailable):
            getattr(client, method)(FOLLOW)

    with (
        serve_mute_replica() as (address, received),
        open_client(address) as client,
    ):
        thread = threading.Thread(target=call, args=(client,))
        with monkeypatch.context() as patches:
            patches.setattr(pynng.Context, "close", close_slowly)
            thread.start()
            assert received.wait(platform_site.WAIT_S)
            client.close()
            assert has_left_nng.is_set()
            thread.join()


@pytest.mark.parametrize("method", ["call", "ask"])
def test_process_ends_while_a_thread_polls_a_closed_client(
    method: str,
) -> None:
    """Calls reached NNG after its shutdown: a traceback, SIGABRT or SIGFPE."""
    ended = subprocess.run(
        [
            sys.executable,
            "-c",
            POLLING_SCRIPT,
            cluster.unused_loopback_address(),
            method,
        ],
        stderr=subprocess.PIPE,
        timeout=platform_site.WAIT_S,
        check=False,
    )
    assert (ended.returncode, ended.stderr) == (0, b"")


def client_of(**address_by_replica: str) -> control_client.ControlClient:
    """Return a client of replicas at these addresses."""
    return control_client.ControlClient(
        address_by_replica=address_by_replica,
        key=KEY,
        sender=envelope.Sender("g1", 1),
    )


@pytest.mark.parametrize("odd", ["", "no-port", ":7001", "a@b:1"])
def test_replica_whose_address_is_odd_does_not_hide_the_others(
    odd: str,
) -> None:
    """A gateway did not start with such a seed, or kept the replicas it had."""
    with serve_replica(FOLLOWED) as address:
        client = client_of(a=odd, c1=address)
        with contextlib.closing(client):
            assert client.call(FOLLOW) == FOLLOWED
        client = client_of(old="127.0.0.1:1")
        with contextlib.closing(client):
            client.set_replicas({"a": odd, "c1": address})
            assert client.call(FOLLOW) == FOLLOWED


def test_connection_to_a_replica_is_the_one_that_calls_use() -> None:
    with serve_replica(FOLLOWED) as address, open_client(address) as client:
        client.call(FOLLOW)
        connection = client.connection_to(address)
        assert connection is client._client_by_replica["seed"]
        assert client.connection_to("127.0.0.1:1") is None


def test_client_without_replicas_is_unavailable() -> None:
    client = client_of()
    with (
        contextlib.closing(client),
        pytest.raises(control_client.ControlUnavailable),
    ):
        client.call(FOLLOW)


def test_steps_of_a_call_tell_what_each_replica_answered() -> None:
    """A late table could not be traced to the replicas that were asked."""
    with serve_replica(FOLLOWED) as leader_address:
        redirect = control_messages.NotLeader("joined-later", leader_address)
        with (
            serve_replica(redirect) as seed_address,
            open_client(seed_address) as client,
        ):
            asked = client.ask(FOLLOW)
    assert asked.replica == "joined-later"
    assert [(s.replica, s.outcome, s.redirect) for s in asked.steps] == [
        ("seed", control_client.Outcome.REDIRECTED, "joined-later"),
        ("joined-later", control_client.Outcome.ANSWERED, ""),
    ]


def test_steps_of_a_call_without_an_answer_tell_a_mute_replica() -> None:
    gone = cluster.unused_loopback_address()
    with serve_mute_replica() as (address, _):
        client = control_client.ControlClient(
            address_by_replica={"gone": gone, "mute": address},
            key=KEY,
            sender=envelope.Sender("g1", 1),
            timeout_ms=200,
        )
        with (
            contextlib.closing(client),
            pytest.raises(control_client.ControlUnavailable) as error,
        ):
            client.ask(FOLLOW)
    assert {(s.replica, s.outcome) for s in error.value.steps} == {
        ("gone", control_client.Outcome.NO_CONNECTION),
        ("mute", control_client.Outcome.NO_ANSWER),
    }
