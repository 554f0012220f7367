"""A relay whose open connections, or whose new ones, can go silent."""

import contextlib
import socket
import threading


class SilentRelay:
    """Relays TCP connections to one address.

    `accepted` counts the connections so far.
    """

    def __init__(self, target: str) -> None:
        """Listen on a free port, for `target`, a host and port."""
        host, _, port = target.rpartition(":")
        self._target = host, int(port)
        self._silent = threading.Event()
        self._blocked = threading.Event()
        self._sockets: list[socket.socket] = []
        self.accepted = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self) -> None:
        """Relay nothing more on the connections that are open now."""
        self._silent.set()
        self._silent = threading.Event()

    def block_new(self) -> None:
        """Relay nothing on later connections; those that are open go on."""
        self._blocked.set()

    def close(self) -> None:
        """Release the port and every connection."""
        for opened in (self._listener, *self._sockets):
            with contextlib.suppress(OSError):
                opened.shutdown(socket.SHUT_RDWR)
            opened.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                caller, _ = self._listener.accept()
                self.accepted += 1
                if self._blocked.is_set():
                    self._sockets.append(caller)
                    continue
                server = socket.create_connection(self._target)
                self._sockets += [caller, server]
                for pair in ((caller, server), (server, caller)):
                    threading.Thread(
                        target=_relay, args=(*pair, self._silent), daemon=True
                    ).start()


def _relay(
    source: socket.socket, target: socket.socket, silent: threading.Event
) -> None:
    with contextlib.suppress(OSError):
        while data := source.recv(65_536):
            # What arrives is read, so that no side sees a full window.
            if not silent.is_set():
                target.sendall(data)
        if not silent.is_set():
            target.shutdown(socket.SHUT_WR)
