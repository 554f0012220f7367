"""Gateways, control and runners that crash in virtual time, without sockets."""

from collections import Counter
from collections import defaultdict
from collections.abc import Callable
import heapq
import itertools
import random
from typing import Any

from support import plain_table
from wisteriawall.config import route_table
from wisteriawall.control import commands
from wisteriawall.control import gateway_updates
from wisteriawall.control import ledger
from wisteriawall.control import state as control_state
from wisteriawall.control import suspect_blocks
from wisteriawall.gateway import events
from wisteriawall.gateway import protocol
from wisteriawall.gateway import reducer
from wisteriawall.gateway import state as state_lib
from wisteriawall.gateway import suspects
from wisteriawall.policy import retry_window
from wisteriawall.web import connection_pool
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import gateway_messages

LOAD_EVENT_MS = 12
POLL_MS = 350
RESTART_MS = 3_000
RUN_MS = 40


class CrashingFleet:
    """Gateways that exchange load events, and plain runners.

    A runner crashes `RUN_MS` after it began to run a request whose fingerprint
    is in `deadly`; it cuts off all its requests and is back after `RESTART_MS`
    under another id. `crashes` counts crashes by fingerprint, `answers` the
    complete answers, `refused` the refusals, and `arrivals_ms` are the times at
    which requests reached runners. The first `deaf` gateways get no load
    events.
    """

    def __init__(
        self,
        *,
        gateways: int,
        runners: int = 3,
        kind: route_table.RequestKind = route_table.RequestKind.READ_ONLY,
        deaf: int = 0,
        lost_events: float = 0.0,
        poll_ms: int = POLL_MS,
    ) -> None:
        """Start all gateways with the table and the list of runners."""
        self.deadly: set[str] = set()
        self.crashes: Counter[str] = Counter()
        self.answers: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.arrivals_ms: defaultdict[str, list[int]] = defaultdict(list)
        self.names = [f"g{number:03}" for number in range(gateways)]
        self._deaf = set(self.names[:deaf])
        self._lost_events = lost_events
        self._poll_ms = poll_ms
        self._table = plain_table.make(kind)
        self._chance = random.Random(5)
        self._queue: list[tuple[int, int, Callable[[int], None]]] = []
        self._numbers = itertools.count(1)
        # The start of a runner that is down is kept as its complement: the
        # list still has it.
        self._start_by_runner = dict.fromkeys(
            (f"u{number}" for number in range(runners)), 0
        )
        self._running: defaultdict[str, dict[int, Callable[[int], None]]] = (
            defaultdict(dict)
        )
        self._list_sequence = 1
        self._ledger = control_state.Ledger()
        self._log_index = 0
        self._updates = gateway_updates.GatewayUpdates()
        self._state_by_name: dict[str, state_lib.Gateway] = {}
        self._incarnation = 0
        self.restart_gateways()
        for number, name in enumerate(self.names):
            self._at(number * poll_ms // gateways, self._poll(name))

    def gateway(self, name: str) -> state_lib.Gateway:
        """Return the state of a gateway."""
        return self._state_by_name[name]

    def restart_gateways(self) -> None:
        """Replace all gateways by ones that know nothing yet."""
        self._incarnation += 1
        for name in self.names:
            self._state_by_name[name] = state_lib.Gateway(
                name=name,
                zone="z",
                random=random.Random(name),
                tuning=state_lib.Tuning(),
                retries=retry_window.RetryWindow(
                    window_ms=10_000, ratio=0.5, slack=50
                ),
            )

    def restart_control(self) -> None:
        """Replace the leader by one that has the ledger only."""
        self._updates = gateway_updates.GatewayUpdates()

    def ask(self, at_ms: int, fingerprint: str, gateway: str = "") -> None:
        """Have a request arrive, at a random gateway by default."""
        name = gateway or self._chance.choice(self.names)
        self._at(at_ms, lambda now_ms: self._arrive(name, fingerprint, now_ms))

    def at(self, at_ms: int, action: Callable[[int], None]) -> None:
        """Have something happen."""
        self._at(at_ms, action)

    def play(self, until_ms: int) -> None:
        """Play up to a time."""
        while self._queue and self._queue[0][0] < until_ms:
            now_ms, _, action = heapq.heappop(self._queue)
            action(now_ms)

    def _at(self, at_ms: int, action: Callable[[int], None]) -> None:
        heapq.heappush(self._queue, (at_ms, next(self._numbers), action))

    def _upstreams(self) -> gateway_messages.UpstreamList:
        return gateway_messages.UpstreamList(
            1,
            self._list_sequence,
            [
                gateway_messages.Upstream(
                    upstream_id=f"{runner}.{start if start >= 0 else ~start}",
                    service=plain_table.SERVICE,
                    address=f"{runner}:1",
                    zone="z",
                    slots=6,
                )
                for runner, start in self._start_by_runner.items()
            ],
        )

    def _poll(self, name: str) -> Callable[[int], None]:
        def poll(now_ms: int) -> None:
            gateway = self._state_by_name[name]
            blocked, report = suspects.report(gateway, now_ms)
            request = gateway_messages.FollowRequest(
                name,
                self._incarnation,
                f"{name}:1",
                gateway.table_number,
                gateway.list_version,
                blocked_ms_by_parts=blocked,
                suspects=report,
            )
            for command in suspect_blocks.follow(
                self._updates.suspect_blocks,
                self._ledger,
                request,
                now_ms=now_ms,
                wall_ms=now_ms,
            ):
                self._commit(command)
            known_ms, known = suspect_blocks.describe(
                self._updates.suspect_blocks, self._ledger, request, now_ms
            )
            update = events.ControlUpdate(
                table=self._table,
                upstreams=self._upstreams(),
                gateway_count=len(self.names),
                now_ms=now_ms,
                blocked_ms_by_parts=known_ms,
                suspects=known,
            )
            self._reduce(name, update, now_ms)
            self._at(now_ms + self._poll_ms, poll)

        return poll

    def _commit(self, command: commands.Command) -> None:
        self._log_index += 1
        encoded = commands.encode(command)
        ledger.apply(
            self._ledger,
            index=self._log_index,
            term=1,
            command=commands.decode(encoded),
        )

    def _arrive(self, name: str, fingerprint: str, now_ms: int) -> None:
        key = next(self._numbers)
        arrived = events.Arrived(
            request_key=key,
            request_id=f"{key:08x}",
            host="h",
            path="/",
            head=protocol.RequestHead(
                attempt_id=f"{key:08x}", remaining_ms=5_000, prompt=None
            ),
            now_ms=now_ms,
            fingerprint=fingerprint,
        )
        self._carry_out(name, key, fingerprint, arrived, now_ms)

    def _carry_out(
        self,
        name: str,
        key: int,
        fingerprint: str,
        event: events.Event,
        now_ms: int,
    ) -> None:
        for effect in self._reduce(name, event, now_ms):
            match effect:
                case protocol.Send() as send:
                    self._send(name, key, fingerprint, send, now_ms)
                case events.Refuse():
                    self.refused[fingerprint] += 1

    def _send(
        self,
        name: str,
        key: int,
        fingerprint: str,
        send: protocol.Send,
        now_ms: int,
    ) -> None:
        runner, _, start = send.upstream.upstream_id.partition(".")
        gateway = self._state_by_name[name]

        def fail(at_ms: int, *, is_reached: bool = True) -> None:
            if self._state_by_name[name] is not gateway:
                return  # The gateway has started again meanwhile.
            failed = events.PhaseFailed(
                request_key=key,
                run=refusal_lib.RunState.UNKNOWN
                if is_reached
                else refusal_lib.RunState.NOT_RUN,
                reason="the runner is down",
                now_ms=at_ms,
                unreachable=not is_reached,
                cut_off=is_reached,
                peer_state=connection_pool.PeerState.REFUSING,
            )
            self._carry_out(name, key, fingerprint, failed, at_ms)

        def finish(at_ms: int) -> None:
            if self._running[runner].pop(key, None) is None:
                return
            if fingerprint in self.deadly:
                self.crashes[fingerprint] += 1
                self._crash(runner, at_ms)
                fail(at_ms)
                return
            self.answers[fingerprint] += 1
            if self._state_by_name[name] is gateway:
                started = events.AnswerStarted(request_key=key, now_ms=at_ms)
                self._reduce(name, started, at_ms)
                ended = events.Ended(
                    request_key=key,
                    is_complete=True,
                    now_ms=at_ms,
                    is_success=True,
                )
                self._reduce(name, ended, at_ms)

        if int(start) != self._start_by_runner[runner]:
            self._at(now_ms + 1, lambda at_ms: fail(at_ms, is_reached=False))
            return
        self.arrivals_ms[fingerprint].append(now_ms)
        self._running[runner][key] = fail
        self._at(now_ms + RUN_MS, finish)

    def _crash(self, runner: str, now_ms: int) -> None:
        lost = self._running.pop(runner, {})
        start = self._start_by_runner[runner]
        self._start_by_runner[runner] = ~start

        def restart(_: int) -> None:
            self._start_by_runner[runner] = start + 1
            self._list_sequence += 1

        self._at(now_ms + RESTART_MS, restart)
        for fail in lost.values():
            fail(now_ms)

    def _reduce(self, name: str, event: events.Event, now_ms: int) -> list[Any]:
        left = []
        for effect in reducer.reduce(self._state_by_name[name], event):
            match effect:
                case events.BroadcastLoad(load_event=load_event):
                    self._broadcast(name, load_event, now_ms)
                case events.LogDecision():
                    pass
                case _:
                    left.append(effect)
        return left

    def _broadcast(
        self, sender: str, load_event: gateway_messages.LoadEvent, now_ms: int
    ) -> None:
        def deliver(at_ms: int) -> None:
            received = events.PeerLoadReceived(
                load_events=(load_event,), now_ms=at_ms
            )
            for name in self.names:
                is_lost = self._chance.random() < self._lost_events
                if name not in {sender, *self._deaf} and not is_lost:
                    self._reduce(name, received, at_ms)

        self._at(now_ms + LOAD_EVENT_MS, deliver)
