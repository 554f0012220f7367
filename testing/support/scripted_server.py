"""HTTP server on raw sockets whose every byte is scripted."""

import contextlib
import socket
import threading
import time


class ScriptedServer:
    """Server that sends the next scripted bytes after each request.

    `connections` counts the connections that were accepted. With a `pause_s`,
    each byte is sent by itself, after that many seconds.
    """

    def __init__(self) -> None:
        """Listen on a free port."""
        self.script: list[bytes] = []
        self.connections = 0
        self.pause_s = 0.0
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
                self._send(connection, self.script.pop(0))

    def _send(self, connection: socket.socket, data: bytes) -> None:
        if not self.pause_s:
            connection.sendall(data)
            return
        with contextlib.suppress(OSError):
            for value in data:
                time.sleep(self.pause_s)
                connection.sendall(bytes([value]))
