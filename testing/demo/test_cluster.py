"""Tests of `wisteriawall.demo.cluster`."""

import socket

from wisteriawall.demo import cluster


def test_regression_free_port_taken_by_an_outgoing_connection() -> None:
    host, _, port = cluster.free_address().partition(":")
    with (
        socket.create_server((host, int(port))) as server,
        socket.create_connection(server.getsockname()) as client,
    ):
        assert client.getsockname()[0] != host
