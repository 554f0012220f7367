"""Stand-in of the platform's calls of singleton duties.

It records each call, and `find_violations` checks the rules of order.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import itertools
import json
import socket
import time
from typing import final

from support import raw_server

__all__ = ["DutyCall", "DutyPlatform", "find_violations"]

ACCEPT = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
HUGE_PIECES = 160
PIECE = b"x" * 65_536


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class DutyCall:
    """One call; `at_ms` is on a clock that all nodes share."""

    at_ms: int
    path: str
    holder: str
    token: int
    body: bytes


@final
class DutyPlatform(raw_server.RawServer):
    """Server that takes calls as the next of `behaviors` says.

    These are `accept`, a status line such as `429 Too Many Requests`, `huge`,
    `empty`, `silent` and `lost`, which takes the call and answers nothing. Once
    they are used up, calls are accepted. `calls` are all, `taken` those that
    took effect.
    """

    def __init__(self) -> None:
        """Listen on a free port."""
        self.behaviors: list[str] = []
        self.calls: list[DutyCall] = []
        self.taken: list[DutyCall] = []
        super().__init__()

    def _serve(self, connection: socket.socket) -> None:
        reader = connection.makefile("rb")
        start = reader.readline().decode().split()
        if not start:
            return
        headers: dict[str, str] = {}
        while (line := reader.readline().decode().strip()) != "":
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        assert headers["content-type"] == "application/json"
        call = DutyCall(
            at_ms=round(time.monotonic() * 1_000),
            path=start[1],
            holder=headers["x-wisteriawall-duty-holder"],
            token=int(headers["x-wisteriawall-fencing-token"]),
            body=reader.read(int(headers["content-length"])),
        )
        self.calls.append(call)
        behavior = self.behaviors.pop(0) if self.behaviors else "accept"
        if behavior in ("accept", "lost", "huge"):
            self.taken.append(call)
        match behavior:
            case "accept":
                connection.sendall(ACCEPT.encode())
            case "empty" | "lost":
                pass
            case "silent":
                reader.read(1)
            case "huge":
                connection.sendall(b"HTTP/1.1 200 OK\r\n\r\n")
                for _ in range(HUGE_PIECES):
                    connection.sendall(PIECE)
            case status:
                connection.sendall(
                    f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n".encode()
                )


def find_violations(
    calls: Iterable[DutyCall], *, lease_ms: int
) -> Iterator[str]:
    """Yield what breaks the rules of duties, for calls in order of time."""
    holder_by_token: dict[int, str] = {}
    body_by_window: dict[int, object] = {}
    newest = 0
    # The last call of each run of calls by one holder.
    runs: list[DutyCall] = []
    for call in calls:
        if holder_by_token.setdefault(call.token, call.holder) != call.holder:
            yield f"two holders with token {call.token}"
        if call.token < newest:
            yield f"token {call.token} after {newest}"
        newest = max(newest, call.token)
        body = json.loads(call.body)
        if body_by_window.setdefault(body["window_id"], body) != body:
            yield f"two reports for window {body['window_id']}"
        if runs and runs[-1].holder == call.holder:
            runs[-1] = call
            continue
        runs.append(call)
        if len(runs) < 3:
            continue
        first, _, third = itertools.islice(runs, len(runs) - 3, None)
        is_back = first.holder == third.holder
        if is_back and third.at_ms - first.at_ms < lease_ms:
            yield f"{first.holder} acts again within the lease"
