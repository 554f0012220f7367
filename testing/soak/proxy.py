"""Proxy between gateways and runners that disturbs connections."""

import asyncio
import collections
from collections.abc import Collection
from collections.abc import Mapping
import contextlib
import enum
import socket
import threading
import time
from typing import final

from soak import passages
from soak import records

RELAY_BYTES = 65_536
# Interval at which the proxy measures how late its thread runs.
PULSE_S = 0.02
BACKLOG = 256
# When Linux repeats the first packet of a connection, and one on a link without
# a delay, for the first time.
CONNECT_RETRY_S = 1.0
SEND_RETRY_S = 0.2
RESET_ON_CLOSE = b"\1\0\0\0\0\0\0\0"


@final
class Disturbance(enum.StrEnum):
    """What is done to the connections of a runner."""

    DELAY = "delay"
    RESET = "reset"
    # Nothing more reaches the gateway, the other direction works.
    CUT_ANSWERS = "cut towards the gateway"
    # Nothing more reaches the runner, the other direction works.
    CUT_REQUESTS = "cut towards the runner"
    # Open connections stay open without a byte, new ones work.
    SILENCE = "silence"


@final
class Rate:
    """Bytes a second that fit through a link, in each direction.

    Several addresses may share one; 0 stands for no limit.
    """

    def __init__(self, bytes_s: int = 0) -> None:
        self.bytes_s = bytes_s
        self._free_at_s: dict[Disturbance, float] = {}
        self.held_s = 0.0

    async def pass_on(self, direction: Disturbance, size: int) -> None:
        """Wait until `size` more bytes have fit through."""
        if not self.bytes_s:
            return
        now_s = time.monotonic()
        free_at_s = max(now_s, self._free_at_s.get(direction, 0.0))
        self._free_at_s[direction] = free_at_s + size / self.bytes_s
        wait_s = self._free_at_s[direction] - now_s
        self.held_s = max(self.held_s, wait_s)
        await asyncio.sleep(wait_s)


@final
class _Link:
    """One proxied address and its open connections."""

    def __init__(self, target: str, machine: str) -> None:
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.machine = machine
        self.delay_s = 0.0
        self.relays: set[_Relay] = set()
        self.rate = Rate()
        self.sent_bytes = 0


@final
class _Relay:
    """The two directions of one connection; `cut` names the stopped ones.

    `machines` are those at its two ends.
    """

    def __init__(
        self,
        gateway: asyncio.StreamWriter,
        runner: asyncio.StreamWriter,
        machines: frozenset[str],
        passage: passages.Passage,
    ) -> None:
        self.passage = passage
        self.writers = (gateway, runner)
        self.machines = machines
        self.cut: set[Disturbance] = set()

    def reset(self) -> None:
        """Reset both connections."""
        for writer in self.writers:
            _reset(writer)


@final
class Proxy:
    """Relays connections in one thread.

    Args:
        seen: Records that get each disturbance.
        machine_by_source: Machines by the host from which they connect.
    """

    def __init__(
        self,
        *,
        seen: records.Records,
        machine_by_source: Mapping[str, str] | None = None,
    ) -> None:
        self._seen = seen
        self.passages = passages.Passages()
        self._machine_by_source = machine_by_source or {}
        # How many cuts are open, and what waits for the end of the last one.
        self._cut_count_by_pair: collections.Counter[frozenset[str]] = (
            collections.Counter()
        )
        self._healed_by_pair: dict[frozenset[str], asyncio.Event] = {}
        self._loop = asyncio.new_event_loop()
        self._link_by_address: dict[str, _Link] = {}
        self._servers: list[asyncio.Server] = []
        self._late_ms: list[float] = []
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._thread.start()
        asyncio.run_coroutine_threadsafe(self._measure(), self._loop)

    def close(self) -> None:
        """End all connections."""
        asyncio.run_coroutine_threadsafe(self._end_tasks(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _end_tasks(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for server in self._servers:
            server.close()
            await server.wait_closed()

    def add(
        self,
        target: str,
        *,
        address: str = "127.0.0.1:0",
        rate: Rate | None = None,
        machine: str = "",
    ) -> str:
        """Return an address whose connections go to `target`.

        Port 0 selects a free port. Addresses with one `rate` share it. The
        target is on `machine`.
        """
        host, _, port = address.rpartition(":")
        listener = socket.create_server((host, int(port)), backlog=BACKLOG)
        address = f"{host}:{listener.getsockname()[1]}"
        link = self._link_by_address[address] = _Link(target, machine)
        if rate is not None:
            link.rate = rate
        self._servers.append(
            asyncio.run_coroutine_threadsafe(
                asyncio.start_server(
                    lambda reader, writer: self._serve(link, reader, writer),
                    sock=listener,
                ),
                self._loop,
            ).result()
        )
        return address

    def sent_bytes(self, address: str) -> int:
        """Return how many bytes have come from an address."""
        return self._link_by_address[address].sent_bytes

    @property
    def late_s(self) -> float:
        """Return by how much the relaying thread was late at most."""
        return max(self._late_ms, default=0.0) / 1_000

    def report(self) -> str:
        """Return what was relayed, and how long it was held back."""
        links = self._link_by_address.values()
        sent_bytes = sum(link.sent_bytes for link in links)
        held_ms = max((link.rate.held_s for link in links), default=0) * 1_000
        late_ms = sorted(self._late_ms) or [0.0]
        return (
            f"{sent_bytes} bytes, held by limits for {held_ms:.0f} ms at most;"
            f" thread late by {late_ms[len(late_ms) // 2]:.0f} ms at the"
            f" median, {late_ms[-1]:.0f} ms at most"
        )

    async def _measure(self) -> None:
        while True:
            due_s = time.monotonic() + PULSE_S
            await asyncio.sleep(PULSE_S)
            self._late_ms.append((time.monotonic() - due_s) * 1_000)

    def disturb(
        self, address: str, runner: str, what: Disturbance, for_s: float
    ) -> None:
        """Disturb the connections of an address for some seconds."""
        now_s = time.monotonic()
        self._seen.incidents.append(
            records.Incident(
                runner, records.Change.DISTURBED, now_s, until_s=now_s + for_s
            )
        )
        link = self._link_by_address[address]
        self._loop.call_soon_threadsafe(self._disturb, link, what, for_s)

    def _disturb(self, link: _Link, what: Disturbance, for_s: float) -> None:
        match what:
            case Disturbance.DELAY:
                link.delay_s = 0.2
            case Disturbance.RESET:
                for relay in list(link.relays):
                    relay.reset()
            case Disturbance.CUT_ANSWERS | Disturbance.CUT_REQUESTS:
                for relay in link.relays:
                    relay.cut.add(what)
            case Disturbance.SILENCE:
                for relay in link.relays:
                    relay.cut |= {
                        Disturbance.CUT_ANSWERS,
                        Disturbance.CUT_REQUESTS,
                    }
        self._loop.call_later(for_s, self._restore, link, what)

    def _restore(self, link: _Link, what: Disturbance) -> None:
        """End a disturbance; bytes that were held up are lost."""
        link.delay_s = 0.0
        if what is not Disturbance.DELAY:
            for relay in list(link.relays):
                if relay.cut:
                    relay.reset()

    def cut(self, pairs: Collection[frozenset[str]], for_s: float) -> None:
        """Pass nothing on between pairs of machines for some seconds.

        Connections stay open, and what waits is passed on afterwards.
        """
        self._loop.call_soon_threadsafe(self._cut, pairs, for_s)

    def _cut(self, pairs: Collection[frozenset[str]], for_s: float) -> None:
        for pair in pairs:
            self._cut_count_by_pair[pair] += 1
            self._healed_by_pair.setdefault(pair, asyncio.Event())
            self._loop.call_later(for_s, self._heal, pair)

    def _heal(self, pair: frozenset[str]) -> None:
        self._cut_count_by_pair[pair] -= 1
        if not self._cut_count_by_pair[pair]:
            self._healed_by_pair.pop(pair).set()

    async def _wait_until_healed(
        self, pair: frozenset[str], retry_s: float
    ) -> None:
        """Wait as TCP does: after a cut it is quiet until the next repeat.

        Args:
            pair: The machines at both ends.
            retry_s: Time to the first repeat, which doubles with each.
        """
        due_s = self._loop.time()
        while healed := self._healed_by_pair.get(pair):
            await healed.wait()
            while due_s < self._loop.time():
                due_s += retry_s
                retry_s *= 2
            await asyncio.sleep(due_s - self._loop.time())

    def _machines(
        self, link: _Link, writer: asyncio.StreamWriter
    ) -> frozenset[str]:
        """Return the machines at both ends of a connection."""
        host, *_ = writer.get_extra_info("peername") or ("",)
        return frozenset((link.machine, self._machine_by_source.get(host, "")))

    async def _serve(
        self,
        link: _Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        machines = self._machines(link, writer)
        try:
            await self._wait_until_healed(machines, CONNECT_RETRY_S)
        except asyncio.CancelledError:
            writer.close()
            raise
        if reader.at_eof() or reader.exception() is not None:
            writer.close()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*link.target)
        except OSError:
            _reset(writer)
            return
        _, port = far_writer.get_extra_info("sockname")
        passage = self.passages.add(port, link.target[1])
        relay = _Relay(writer, far_writer, machines, passage)
        link.relays.add(relay)
        try:
            await asyncio.gather(
                self._relay(
                    link, relay, reader, far_writer, Disturbance.CUT_REQUESTS
                ),
                self._relay(
                    link, relay, far_reader, writer, Disturbance.CUT_ANSWERS
                ),
            )
        except OSError:
            await self._wait_until_healed(machines, SEND_RETRY_S)
            relay.reset()
        finally:
            link.relays.discard(relay)
            passage.close()
            for end in relay.writers:
                end.close()

    async def _relay(
        self,
        link: _Link,
        relay: _Relay,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Disturbance,
    ) -> None:
        while data := await reader.read(RELAY_BYTES):
            if link.delay_s:
                await asyncio.sleep(link.delay_s)
            await self._wait_until_healed(relay.machines, SEND_RETRY_S)
            if direction in relay.cut:
                continue
            if direction is Disturbance.CUT_ANSWERS:
                link.sent_bytes += len(data)
            await link.rate.pass_on(direction, len(data))
            writer.write(data)
            await writer.drain()
            if direction is Disturbance.CUT_ANSWERS:
                relay.passage.pass_on(len(data))
        if direction is Disturbance.CUT_REQUESTS:
            relay.passage.close()
        await self._wait_until_healed(relay.machines, SEND_RETRY_S)
        # The other direction may not be half closed: a gateway or runner that
        # closes its connection wants no more bytes.
        with contextlib.suppress(OSError):
            if direction not in relay.cut:
                writer.close()
                await writer.wait_closed()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; `abort` alone closes it as if it had ended."""
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
    writer.transport.abort()
