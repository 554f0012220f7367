"""Cost of streaming answers through one entry, with real processes.

Fails when a stream is incomplete. Times and rates are printed with their
targets but not checked, since they depend on the machine.
"""

import selectors
import socket
import statistics
import sys
import time
from typing import final

import msgspec
from support import process_cluster

ENGINE_COUNT = 4
STREAM_COUNT = 200
TOKENS_PER_STREAM = 150
STEP_MS = 20
FIRST_TOKEN_CALL_COUNT = 30
READ_BYTES = 65_536
OFFERED_EVENTS_PER_S = STREAM_COUNT * 1_000 / STEP_MS
DEADLINE_S = 60.0
TARGET_EVENTS_PER_S = 8_500
EVENT_PREFIX = b"data: "
END_MARKER = b"data: [DONE]\n\n"


@final
class Stream:
    """Connection of one caller, with the arrival times of its events."""

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
        self.arrival_times_s: list[float] = []
        self.events = 0
        self.ended = False

    def read(self) -> bool:
        """Receive available bytes; return whether the stream continues."""
        data = self.socket.recv(READ_BYTES)
        event_count = data.count(EVENT_PREFIX)
        self.ended = self.ended or END_MARKER in data
        if event_count:
            self.arrival_times_s.append(time.monotonic())
            self.events += event_count
        return bool(data) and not self.ended


def main() -> int:
    """Run both measurements; return the number of incomplete streams."""
    with process_cluster.running_cluster(
        engines=ENGINE_COUNT, plains=1, entries=1, step_ms=STEP_MS
    ) as cluster:
        direct = cluster.upstream_address_by_runner["model-0"]
        via_entry = cluster.entry_address_by_name["e0"]
        _print_first_token(direct, via_entry)
        return _measure_streams(cluster, via_entry)


def _print_first_token(direct: str, via_entry: str) -> None:
    """Print the median times to the first token, direct and through the entry.

    The calls alternate, so that both see the same load on the machine.
    """
    pairs = [
        (_first_token_s(direct), _first_token_s(via_entry))
        for _ in range(FIRST_TOKEN_CALL_COUNT)
    ]
    direct_s = statistics.median(pair[0] for pair in pairs)
    via_entry_s = statistics.median(pair[1] for pair in pairs)
    print(
        f"first token: {direct_s * 1000:.1f} ms at the stand-in, "
        f"{via_entry_s * 1000:.1f} ms through entry and agent, "
        f"ratio {via_entry_s / direct_s:.2f}; target 790 ms for 95 in 100"
    )


def _first_token_s(address: str) -> float:
    stream = Stream(address, 2)
    while stream.read():
        pass
    stream.socket.close()
    return stream.arrival_times_s[0] - stream.sent_s


def _measure_streams(
    cluster: process_cluster.ProcessCluster, address: str
) -> int:
    pid = cluster.process_by_name["entry/e0"].pid
    cpu_before_s = process_cluster.processor_time_s(pid)
    start_s = time.monotonic()
    streams = [Stream(address, TOKENS_PER_STREAM) for _ in range(STREAM_COUNT)]
    _read_all(streams)
    elapsed_s = time.monotonic() - start_s
    cpu_s = process_cluster.processor_time_s(pid) - cpu_before_s
    events = sum(stream.events for stream in streams)
    # Each stream ends with one more event, the end marker.
    complete_streams = sum(
        s.ended and s.events >= TOKENS_PER_STREAM + 1 for s in streams
    )
    gaps_ms = sorted(
        (following_s - preceding_s) * 1000
        for stream in streams
        for preceding_s, following_s in zip(
            stream.arrival_times_s, stream.arrival_times_s[1:], strict=False
        )
    )
    print(
        f"{STREAM_COUNT} streams: {complete_streams} whole, {events} events, "
        f"{events / elapsed_s:,.0f} events a second, "
        f"{events / elapsed_s / OFFERED_EVENTS_PER_S:.2f} of what the engines "
        f"offer "
        f"(target: {TARGET_EVENTS_PER_S:,} a node), "
        f"{cpu_s / events * 1e6:.0f} us of the entry's processor an event, "
        f"gap p95 {gaps_ms[len(gaps_ms) * 95 // 100]:.0f} ms "
        f"at engine steps of {STEP_MS} ms (target: 32 ms)"
    )
    return STREAM_COUNT - complete_streams


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
