"""Stand-in runner that crashes under some requests, and starts again."""

import contextlib
import socket
import threading

from support import platform_site

RESTART_S = 0.6


class CrashingRunner(platform_site.StandInRunner):
    """Runner that tests crash while it runs a request.

    `crashes` counts the crashes.
    """

    def __init__(self, name: str, service: str) -> None:
        """Listen on a free port."""
        self.crashes = 0
        super().__init__(name, service)

    def crash(self) -> None:
        """End all connections, and listen again at the address later."""
        self.crashes += 1
        host, _, port = self.address.rpartition(":")
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for accepted in self.accepted:
            with contextlib.suppress(OSError):
                accepted.shutdown(socket.SHUT_RDWR)

        def restart() -> None:
            self._listener = socket.create_server((host, int(port)))
            self._accept()

        threading.Timer(RESTART_S, restart).start()
