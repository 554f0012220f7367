"""Stand-ins of model engines and plain services, and a configuration."""

import itertools
import json
import socket
import threading
import time
from typing import Any

import fleet as fleet_lib

HOST = "ficu95.example"
STREAM_PATH = "/lohu930/2f"
PLAIN_PATH = "/puxa403/2f"
STREAM_SERVICE, PLAIN_SERVICE = "juror-lm", "club-app"
SLOTS_OF_PLAIN = 6
HEADER_BYTES = 16_384


class Runner:
    """Runner that serves each request, and counts how often each id ran."""

    def __init__(self, number: int, service: str, version: str = "v1") -> None:
        self.identifier = f"i-{service[0]}{number:07x}"
        self.service, self.version = service, version
        self.born_ms = int(time.time() * 1_000)
        self.runs_by_attempt: dict[str, int] = {}
        self.lock = threading.Lock()
        self.server = fleet_lib.Server(self._serve)

    def entry(self) -> dict[str, Any]:
        """Return the entry in the platform's list."""
        more: dict[str, Any] = {"slots": SLOTS_OF_PLAIN}
        if self.service == STREAM_SERVICE:
            model = {"name": "m", "version": 1, "adapters": []}
            more = {"slots": 64, "stage": "decode", "models": [model]}
        return fleet_lib.entry(
            self.identifier,
            self.service,
            self.server.address,
            born=self.born_ms,
            version=self.version,
            **more,
        )

    @property
    def runs(self) -> int:
        """How many requests have run."""
        with self.lock:
            return sum(self.runs_by_attempt.values())

    def _serve(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = connection.makefile("rb")
        while (request := fleet_lib.read_request(stream)) is not None:
            connection.sendall(self._answer(request))

    def _answer(self, request: fleet_lib.Request) -> bytes:
        if request.target.startswith("/kv-list"):
            held = {"epoch": 1, "next": 1, "held": []}
            return fleet_lib.answer(200, json.dumps(held).encode())
        attempt = request.headers.get(fleet_lib.ATTEMPT.lower(), "")
        expected = request.headers.get("x-wisteriawall-expect-instance", "")
        named = {fleet_lib.ATTEMPT: attempt}
        if expected not in ("", self.identifier):
            return fleet_lib.answer(421, headers=named)
        with self.lock:
            runs = self.runs_by_attempt.get(attempt, 0)
            self.runs_by_attempt[attempt] = runs + 1
        sealed = {**named, fleet_lib.SEAL: f"1.{attempt}"}
        if self.service == PLAIN_SERVICE:
            time.sleep(0.015)
            return fleet_lib.answer(200, b"x" * 800, sealed)
        events = b"".join(
            f"id: {n}\ndata: t{n}\n\n".encode() for n in range(1, 5)
        )
        sealed["Content-Type"] = "text/event-stream"
        return fleet_lib.answer(200, events, sealed)


def make_runners(engines: int, plain: int) -> list[Runner]:
    """Return engines and runners of the plain service."""
    return [Runner(n, STREAM_SERVICE) for n in range(engines)] + [
        Runner(n, PLAIN_SERVICE) for n in range(plain)
    ]


def make_table(
    version: int, *, plain_timeout_ms: int, resumable: bool = False
) -> dict[str, Any]:
    """Return a configuration with the figures of the sheet."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-ji9n73h",
                "host": HOST,
                "path_prefix": "/lohu930/",
                "type": "streaming",
                "timeout_ms": 8000,
                "target_latency_ms": 400,
                "priority": 0,
                "service": STREAM_SERVICE,
                "max_attempts": 2 if resumable else 1,
                "sticky_sessions": True,
                "resumable": resumable,
                "target_gap_ms": 200,
            },
            {
                "name": "r-h2b9wu3",
                "host": HOST,
                "path_prefix": "/puxa403/",
                "type": "read_only",
                "timeout_ms": plain_timeout_ms,
                "target_latency_ms": 125,
                "priority": 2,
                "service": PLAIN_SERVICE,
                "max_attempts": 2,
                "sticky_sessions": False,
                "resumable": False,
            },
        ],
        "services": [
            {
                "name": STREAM_SERVICE,
                "health_path": "/health",
                "connection_limit": 380,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 64,
                    "kv_cache_tokens": 482470,
                    "kv_token_bytes": 327680,
                    "link_mbps": 3200000.0,
                    "moves": True,
                    "backups": True,
                    "stride": 6,
                    "most": 12,
                    "handle_lifetime_s": 5.0,
                    "role_switch_s": 3.0,
                    "pin_ms": 4000.0,
                    "hold_ms": 2000.0,
                    "models": [{"name": "m"}],
                },
            },
            {
                "name": PLAIN_SERVICE,
                "health_path": "/health",
                "connection_limit": 120,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": {
            "header_bytes": HEADER_BYTES,
            "body_bytes": 4194304,
            "header_ms": 3000,
            "idle_ms": 15000,
        },
    }


_attempts = itertools.count(1)


def new_attempt() -> str:
    """Return the id of a new client attempt."""
    return f"{next(_attempts):016x}"
