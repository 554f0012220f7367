"""Tests of the addresses that the demo cluster listens on."""

import socket

from wisteriawall.demo import cluster


def test_regression_free_port_taken_by_an_outgoing_connection() -> None:
    """An outgoing connection must not get a port that was returned as free.

    The kernel binds outgoing loopback connections to ports of 127.0.0.1, so
    the returned address must have another host.
    """
    host, _, port = cluster.unused_loopback_address().partition(":")
    with (
        socket.create_server((host, int(port))) as server,
        socket.create_connection(server.getsockname()) as client,
    ):
        assert client.getsockname()[0] != host


def test_regression_same_loopback_address_returned_twice() -> None:
    """Two callers must not get one address while neither listens on it."""
    addresses = [cluster.unused_loopback_address() for _ in range(2_000)]
    assert len(set(addresses)) == len(addresses)
