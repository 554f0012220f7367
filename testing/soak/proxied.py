"""`python -m soak.proxied ROLE`: a program whose servers are behind a proxy.

Its internal servers listen `PORT_SHIFT` above the ports that other processes
know. The soak's proxy listens at those. Its outgoing connections leave from an
address of its machine at which nothing listens, so that the proxy can tell
between which machines a connection is.
"""

from typing import Any
from typing import final

import pynng

from soak import disks
from wisteriawall.platform import __main__ as program
from wisteriawall.platform import settings as settings_lib

PORT_SHIFT = 8
# Set in the second number of a machine's address for outgoing connections.
SOURCE_BIT = 128


def source_host(host: str) -> str:
    """Return the address from which a machine's connections leave."""
    first, second, *rest = host.split(".")
    return ".".join([first, str(int(second) ^ SOURCE_BIT), *rest])


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


def _name_sources(host: str) -> None:
    dial = pynng.Socket.dial

    def dial_from(
        socket: pynng.Socket, url: str, *, block: bool | None = None
    ) -> Any:
        scheme, _, address = url.rpartition("/")
        return dial(socket, f"{scheme}/{host};{address}", block=block)

    pynng.Socket.dial = dial_from


if __name__ == "__main__":
    _shift_listeners()
    _name_sources(source_host(settings_lib.load().ip_address))
    disks.patch()
    program.main()
