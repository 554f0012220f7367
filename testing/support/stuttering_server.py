"""HTTP server on raw sockets that can send more than one answer."""

from collections.abc import Callable
import dataclasses
import socket
from typing import Any
from typing import final

from support import raw_server

__all__ = ["Request", "StutteringServer", "answer_bytes"]


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Request:
    """A request as it arrived; header names are in lower case.

    `position` counts the requests of the connection, from 1.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    position: int


@final
class StutteringServer(raw_server.RawServer):
    """HTTP server that stutters: it repeats an answer after the next request.

    `stutter` returns bytes to send before an answer, from the previous answer
    on the connection, which is empty before the first. `received` lists the
    requests. With `closes_after_answer` a connection has one answer.

    Args:
        respond: Returns the bytes of the answer to a request.
    """

    def __init__(self, respond: Callable[[Request], bytes]) -> None:
        """Listen on a free port."""
        self.respond = respond
        self.stutter: Callable[[bytes], bytes] | None = None
        self.closes_after_answer = False
        self.received: list[Request] = []
        super().__init__()

    def _serve(self, connection: socket.socket) -> None:
        previous = b""
        position = 0
        reader = connection.makefile("rb")
        while line := reader.readline().decode().split():
            position += 1
            request = _read_request(reader, line, position)
            self.received.append(request)
            stutter = self.stutter(previous) if self.stutter else b""
            previous = self.respond(request)
            connection.sendall(stutter + previous)
            if self.closes_after_answer:
                return


def answer_bytes(
    body: bytes, *head: str, status: str = "200 OK", length: int | None = None
) -> bytes:
    """Return an answer with the header lines `head` and a `Content-Length`."""
    size = len(body) if length is None else length
    lines = [f"HTTP/1.1 {status}", *head, f"Content-Length: {size}", "", ""]
    return "\r\n".join(lines).encode() + body


def _read_request(reader: Any, line: list[str], position: int) -> Request:
    headers = {}
    while (field := reader.readline().decode("latin-1").strip()) != "":
        name, _, value = field.partition(":")
        headers[name.lower()] = value.strip()
    body = reader.read(int(headers.get("content-length", "0")))
    return Request(
        method=line[0],
        target=line[1],
        headers=headers,
        body=body,
        position=position,
    )
