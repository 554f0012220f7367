"""HTTP server on raw sockets whose every byte is scripted."""

import socket
import threading


class ScriptedServer:
    """Server that sends the next scripted bytes after each request.

    `connections` counts the connections that were accepted.
    """

    def __init__(self) -> None:
        """Listen on a free port."""
        self.script: list[bytes] = []
        self.connections = 0
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Release the port."""
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection, connection.makefile("rb") as reader:
            while self.script and reader.readline():
                while reader.readline().strip():
                    pass
                connection.sendall(self.script.pop(0))
