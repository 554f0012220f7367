"""Cost of the answer path: real processes, streams through one entry.

Fails when a stream is not whole. Speeds are printed beside the letter's
targets and bound nothing, since they depend on the machine.
"""

import selectors
import socket
import statistics
import sys
import time
from typing import final

import msgspec
from support import process_cluster

ENGINES = 4
STREAMS = 200
TOKENS = 150
STEP_MS = 20
FIRST_TOKEN_CALLS = 30
READ_BYTES = 65_536
OFFERED_EVENTS_PER_S = STREAMS * 1_000 / STEP_MS
DEADLINE_S = 60.0
TARGET_EVENTS_PER_S = 8_500
EVENT = b"data: "
END = b"data: [DONE]\n\n"


@final
class Stream:
    """One caller's connection and what it has received."""

    def __init__(self, address: str, tokens: int) -> None:
        """Connect and send the request."""
        host, _, port = address.rpartition(":")
        body = msgspec.json.encode(
            {
                "model": "m",
                "prompt": "a dog",
                "max_tokens": tokens,
                "stream": True,
            }
        )
        head = (
            f"POST /v1/completions HTTP/1.1\r\nHost: {host}\r\n"
            f"Authorization: Bearer {process_cluster.ACCOUNT_TOKEN}\r\n"
            f"Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        self.sent_s = time.monotonic()
        self.socket = socket.create_connection((host, int(port)))
        self.socket.sendall(head.encode() + body)
        self.arrivals_s: list[float] = []
        self.events = 0
        self.ended = False

    def read(self) -> bool:
        """Read what has arrived; return whether more will come."""
        data = self.socket.recv(READ_BYTES)
        count = data.count(EVENT)
        self.ended = self.ended or END in data
        if count:
            self.arrivals_s.append(time.monotonic())
            self.events += count
        return bool(data) and not self.ended


def main() -> int:
    """Run both measurements; return how many bounds were broken."""
    with process_cluster.running_cluster(
        engines=ENGINES, plains=1, entries=1, step_ms=STEP_MS
    ) as cluster:
        direct = cluster.upstream_address_by_runner["model-0"]
        through = cluster.entry_address_by_name["e0"]
        _print_first_token(direct, through)
        return _measure_streams(cluster, through)


def _print_first_token(direct: str, through: str) -> None:
    """Print the time to the first token, alternating both ways."""
    pairs = [
        (_first_token_s(direct), _first_token_s(through))
        for _ in range(FIRST_TOKEN_CALLS)
    ]
    direct_s = statistics.median(pair[0] for pair in pairs)
    through_s = statistics.median(pair[1] for pair in pairs)
    print(
        f"first token: {direct_s * 1000:.1f} ms at the stand-in, "
        f"{through_s * 1000:.1f} ms through entry and agent, "
        f"ratio {through_s / direct_s:.2f}; target 790 ms for 95 in 100"
    )


def _first_token_s(address: str) -> float:
    stream = Stream(address, 2)
    while stream.read():
        pass
    stream.socket.close()
    return stream.arrivals_s[0] - stream.sent_s


def _measure_streams(
    cluster: process_cluster.ProcessCluster, address: str
) -> int:
    pid = cluster.process_by_name["entry/e0"].pid
    before_s = process_cluster.processor_time_s(pid)
    begin_s = time.monotonic()
    streams = [Stream(address, TOKENS) for _ in range(STREAMS)]
    _read_all(streams)
    spent_s = time.monotonic() - begin_s
    cpu_s = process_cluster.processor_time_s(pid) - before_s
    events = sum(stream.events for stream in streams)
    # The last event of each stream is its end mark.
    whole = sum(s.ended and s.events >= TOKENS + 1 for s in streams)
    gaps_ms = sorted(
        (after - first) * 1000
        for stream in streams
        for first, after in zip(
            stream.arrivals_s, stream.arrivals_s[1:], strict=False
        )
    )
    print(
        f"{STREAMS} streams: {whole} whole, {events} events, "
        f"{events / spent_s:,.0f} events a second, "
        f"{events / spent_s / OFFERED_EVENTS_PER_S:.2f} of what the engines "
        f"offer "
        f"(letter: {TARGET_EVENTS_PER_S:,} a node), "
        f"{cpu_s / events * 1e6:.0f} us of the entry's processor an event, "
        f"gap p95 {gaps_ms[len(gaps_ms) * 95 // 100]:.0f} ms "
        f"at engine steps of {STEP_MS} ms (letter: 32 ms)"
    )
    return STREAMS - whole


def _read_all(streams: list[Stream]) -> None:
    deadline_s = time.monotonic() + DEADLINE_S
    with selectors.DefaultSelector() as selector:
        for stream in streams:
            selector.register(stream.socket, selectors.EVENT_READ, stream)
        while selector.get_map() and time.monotonic() < deadline_s:
            for key, _ in selector.select(timeout=1.0):
                if not key.data.read():
                    selector.unregister(key.fileobj)
                    key.data.socket.close()


if __name__ == "__main__":
    sys.exit(main())
