"""TCP server on loopback whose connections are served by a subclass."""

import abc
import contextlib
import socket
import threading

__all__ = ["RawServer"]


class RawServer(abc.ABC):
    """Listens on a free port; a thread serves each connection.

    `accepted` lists the connections, open or not.
    """

    def __init__(self) -> None:
        """Listen; subclasses call this once they are ready to serve."""
        self.accepted: list[socket.socket] = []
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Release the port and close every connection."""
        with contextlib.suppress(OSError):
            # A close alone would leave the pending `accept` listening.
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in self.accepted:
            connection.close()

    @abc.abstractmethod
    def _serve(self, connection: socket.socket) -> None:
        """Serve one connection until it ends; an OSError ends it too."""

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                self.accepted.append(connection)
                threading.Thread(
                    target=self._serve_one_connection,
                    args=(connection,),
                    daemon=True,
                ).start()

    def _serve_one_connection(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError), connection:
            self._serve(connection)
