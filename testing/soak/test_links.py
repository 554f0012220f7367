"""Links between the processes of a soak."""

import os
import socket
import socketserver
import threading

import pytest

from soak import links as links_lib
from soak import proxy as proxy_lib
from soak import records

REQUEST = b"x" * 100_000


class _Echo(socketserver.BaseRequestHandler):
    """Sends back what it gets."""

    def handle(self) -> None:
        while data := self.request.recv(65_536):
            self.request.sendall(data)


class _Server(socketserver.ThreadingTCPServer):
    """Server that doesn't wait for connections that a proxy leaves open."""

    daemon_threads = True


def _free_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def test_busy_threads_of_the_soak_do_not_hold_up_its_links() -> None:
    """They are relayed by another process, with threads of its own."""
    links = links_lib.Links(bytes_s=0)
    with socketserver.ThreadingTCPServer(("127.0.0.1", 0), _Echo) as server:
        threading.Thread(target=server.serve_forever, daemon=True).start()
        host, port = server.server_address[:2]
        address = _free_address()
        links.add("m", address, f"{host!s}:{port}")
        links.start()
        try:
            process_id = links.process_id
            answer = _exchange(address)
        finally:
            links.close()
            server.shutdown()
    assert answer == REQUEST
    assert process_id not in (0, os.getpid())
    assert links.report.startswith(f"{len(REQUEST)} bytes")


def test_cut_holds_back_only_what_is_sent_between_two_machines() -> None:
    """A cut must not reach other machines, nor reset or lose anything."""
    proxy = proxy_lib.Proxy(
        seen=records.Records(),
        machine_by_source={"127.0.0.2": "g1", "127.0.0.3": "g2"},
    )
    with _Server(("127.0.0.1", 0), _Echo) as server:
        threading.Thread(target=server.serve_forever, daemon=True).start()
        host, port = server.server_address[:2]
        address = proxy.add(f"{host!s}:{port}", machine="c1")
        listener = address.rpartition(":")
        try:
            with socket.create_connection(
                (listener[0], int(listener[2])),
                source_address=("127.0.0.2", 0),
            ) as cut_connection:
                cut_connection.sendall(b"before")
                assert cut_connection.recv(6) == b"before"
                proxy.cut({frozenset(("g1", "c1"))}, 3_600.0)
                cut_connection.sendall(b"during")
                assert _exchange(address, source="127.0.0.3") == REQUEST
                cut_connection.setblocking(False)
                with pytest.raises(BlockingIOError):
                    cut_connection.recv(1)
        finally:
            proxy.close()
            server.shutdown()


def test_bytes_that_were_held_by_a_cut_arrive_afterwards() -> None:
    proxy = proxy_lib.Proxy(
        seen=records.Records(), machine_by_source={"127.0.0.2": "g1"}
    )
    with _Server(("127.0.0.1", 0), _Echo) as server:
        threading.Thread(target=server.serve_forever, daemon=True).start()
        host, port = server.server_address[:2]
        address = proxy.add(f"{host!s}:{port}", machine="c1")
        try:
            proxy.cut({frozenset(("g1", "c1"))}, 0.1)
            assert _exchange(address, source="127.0.0.2") == REQUEST
        finally:
            proxy.close()
            server.shutdown()


def _exchange(address: str, *, source: str = "") -> bytes:
    host, _, port = address.rpartition(":")
    answer = b""
    with socket.create_connection(
        (host, int(port)), source_address=(source, 0) if source else None
    ) as connection:
        threading.Thread(
            target=connection.sendall, args=(REQUEST,), daemon=True
        ).start()
        while len(answer) < len(REQUEST):
            answer += connection.recv(65_536)
    return answer
