"""`python -m soak.proxied ROLE`: a program whose servers are behind a proxy.

Its internal servers listen `PORT_SHIFT` above the ports that other processes
know. The soak's proxy listens at those.
"""

from typing import Any
from typing import final

import pynng

from wisteriawall.platform import __main__ as program

PORT_SHIFT = 8


@final
class _Listener:
    """A listener that names the address at which others reach it."""

    def __init__(self, listener: Any, address: str) -> None:
        self._listener = listener
        self.local_address = address

    def __getattr__(self, name: str) -> Any:
        return getattr(self._listener, name)


def _shift_listeners() -> None:
    listen = pynng.Socket.listen

    def listen_shifted(socket: pynng.Socket, url: str, flags: int = 0) -> Any:
        scheme, _, address = url.rpartition("/")
        host, _, port = address.rpartition(":")
        shifted = f"{scheme}/{host}:{int(port) + PORT_SHIFT}"
        return _Listener(listen(socket, shifted, flags), address)

    pynng.Socket.listen = listen_shifted


if __name__ == "__main__":
    _shift_listeners()
    program.main()
