"""Runner that refuses a request, and writes that refusal again."""

from collections import Counter
import enum
import socket
import time
from typing import Any
from typing import final

from support import raw_server

__all__ = ["Again", "RefusingRunner"]

PAUSE_S = 0.03


@final
class Again(enum.Enum):
    """When a runner writes its refusal again."""

    AT_ONCE = "in-one-packet"
    LATER = "30-ms-later"
    BEFORE_THE_NEXT = "as-the-next-request-arrives"
    WHILE_RUNNING = "while-the-next-request-runs"


@final
class RefusingRunner(raw_server.RawServer):
    """Plain runner on raw sockets.

    It refuses the first request, and writes the refusal again on the connection
    on which it did.

    Args:
        name: Identifier in the list.
        status: Status line of the refusal, without the version.
        names_attempt: Whether the refusal names the request that it answers.
        again: When it is written once more.

    Attributes:
        runs_by_attempt: Number of requests that it ran, by attempt id.
    """

    def __init__(
        self, name: str, *, status: str, names_attempt: bool, again: Again
    ) -> None:
        self._name = name
        self._status = status
        self._names_attempt = names_attempt
        self._again = again
        self._has_refused = False
        self.runs_by_attempt: Counter[str] = Counter()
        super().__init__()

    def entry(self) -> dict[str, Any]:
        """Return the runner's entry in the platform's list."""
        return {
            "identifier": self._name,
            "service": "shop",
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 6,
            "state": "ready",
        }

    def _serve(self, connection: socket.socket) -> None:
        refusal = b""
        with connection.makefile("rb") as reader:
            while reader.readline():
                head_by_name: dict[str, str] = {}
                while line := reader.readline().decode().strip():
                    name, _, value = line.partition(":")
                    head_by_name[name.lower()] = value.strip()
                body = reader.read(int(head_by_name.get("content-length", 0)))
                attempt = head_by_name["x-wisteriawall-attempt-id"]
                if not self._has_refused:
                    refusal = self._refuse(connection, attempt)
                else:
                    self._run(connection, attempt, body, refusal)

    def _refuse(self, connection: socket.socket, attempt: str) -> bytes:
        self._has_refused = True
        named = (
            f"X-Wisteriawall-Attempt-Id: {attempt}\r\n"
            if self._names_attempt
            else ""
        )
        refusal = (
            f"HTTP/1.1 {self._status}\r\n{named}"
            "X-Wisteriawall-Not-Executed: 1\r\nContent-Length: 4\r\n\r\nbusy"
        ).encode()
        copies = 2 if self._again is Again.AT_ONCE else 1
        connection.sendall(copies * refusal)
        if self._again is Again.LATER:
            time.sleep(PAUSE_S)
            connection.sendall(refusal)
        return refusal

    def _run(
        self,
        connection: socket.socket,
        attempt: str,
        body: bytes,
        refusal: bytes,
    ) -> None:
        if self._again is Again.BEFORE_THE_NEXT:
            connection.sendall(refusal)
        self.runs_by_attempt[attempt] += 1
        if self._again is Again.WHILE_RUNNING:
            time.sleep(PAUSE_S)
            connection.sendall(refusal)
            time.sleep(PAUSE_S)
        answer = b"ran " + body
        connection.sendall(
            (
                f"HTTP/1.1 200 OK\r\nX-Wisteriawall-Attempt-Id: {attempt}\r\n"
                "X-Wisteriawall-Response-Seal: s\r\n"
                f"Content-Length: {len(answer)}\r\n\r\n"
            ).encode()
            + answer
        )
