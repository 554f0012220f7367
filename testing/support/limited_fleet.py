"""Gateways and runners with limits in virtual time, without sockets."""

import collections
from collections import Counter
from collections.abc import Callable
import heapq
import itertools
import random
from typing import Any

from support import plain_table
from wisteriawall.config import route_table
from wisteriawall.control import load_events
from wisteriawall.gateway import events
from wisteriawall.gateway import protocol
from wisteriawall.gateway import reducer
from wisteriawall.gateway import state as state_lib
from wisteriawall.policy import retry_window
from wisteriawall.policy import runner_limits
from wisteriawall.wire import gateway_messages

LOAD_EVENT_MS = 12
POLL_MS = 350
TABLE = plain_table.make(route_table.RequestKind.READ_ONLY)


class LimitedFleet:
    """Gateways that exchange load events, and plain runners.

    `limit_by_runner` holds the limits that runners name, `sent_ms_by_runner`
    the times of the requests that each runner got, and `cut` the gateways that
    reach runners and callers, but neither control nor other gateways.
    `retry_ms` are the waits that refused callers were asked for.
    """

    def __init__(
        self,
        *,
        gateways: int,
        limit_by_runner: dict[str, float | None],
        answer_ms: int = 120,
        deaf: int = 0,
    ) -> None:
        """Start all gateways with the table and the list of runners.

        The first `deaf` gateways reach control, but get no load events.
        """
        self.limit_by_runner = limit_by_runner
        self._answer_ms = answer_ms
        self._deaf = {f"g{number:03}" for number in range(deaf)}
        self._counts = load_events.LoadEventCounts()
        self._sent_by_name: Counter[str] = Counter()
        self.sent_ms_by_runner: dict[str, list[int]] = collections.defaultdict(
            list
        )
        self.cut: set[str] = set()
        self.retry_ms: list[int] = []
        self.logs: list[events.LogDecision] = []
        self._chance = random.Random(7)
        self._queue: list[tuple[int, int, Callable[[int], None]]] = []
        self._numbers = itertools.count()
        self._state_by_name: dict[str, state_lib.Gateway] = {}
        for number in range(gateways):
            self.restart(f"g{number:03}", 0)
            self._at(number * POLL_MS // gateways, self._poll(f"g{number:03}"))

    def restart(self, name: str, now_ms: int) -> None:
        """Replace a gateway by one that knows the table and the list only."""
        self._state_by_name[name] = state_lib.Gateway(
            name=name,
            zone="z",
            random=random.Random(name),
            limits=runner_limits.RunnerLimits(random.Random(f"{name}/limits")),
            tuning=state_lib.Tuning(),
            retries=retry_window.RetryWindow(
                window_ms=10_000, ratio=0.5, slack=50
            ),
        )
        self._reduce(name, self._control_update(now_ms, is_first=True), now_ms)

    def play(
        self, *, for_ms: int, requests_per_s: float, from_ms: int = 0
    ) -> None:
        """Play up to `for_ms`, with requests from `from_ms` on."""
        at_ms = float(from_ms)
        while at_ms < for_ms:
            at_ms += self._chance.expovariate(requests_per_s / 1_000)
            name = self._chance.choice(sorted(self._state_by_name))
            self._at(round(at_ms), self._arrive(name))
        while self._queue and self._queue[0][0] < for_ms:
            now_ms, _, action = heapq.heappop(self._queue)
            action(now_ms)

    def at(self, at_ms: int, action: Callable[[int], None]) -> None:
        """Have something happen during the play."""
        self._at(at_ms, action)

    def most_in_window(
        self, runner: str, *, from_ms: int, window_ms: int
    ) -> int:
        """Return the most requests that a runner got in a window."""
        times_ms = [t for t in self.sent_ms_by_runner[runner] if t >= from_ms]
        return max(
            (
                sum(start_ms <= t < start_ms + window_ms for t in times_ms)
                for start_ms in times_ms
            ),
            default=0,
        )

    def _at(self, at_ms: int, action: Callable[[int], None]) -> None:
        heapq.heappush(self._queue, (at_ms, next(self._numbers), action))

    def _control_update(
        self, now_ms: int, *, is_first: bool = False, sent_by_others: int = -1
    ) -> events.ControlUpdate:
        upstreams = [
            gateway_messages.Upstream(
                upstream_id=runner,
                service=plain_table.SERVICE,
                address=f"{runner}:1",
                zone="z",
                slots=100,
            )
            for runner in self.limit_by_runner
        ]
        return events.ControlUpdate(
            table=TABLE if is_first else None,
            upstreams=gateway_messages.UpstreamList(1, 1, upstreams)
            if is_first
            else None,
            gateway_count=max(1, len(self._state_by_name)),
            now_ms=now_ms,
            load_events_of_others=sent_by_others,
        )

    def _poll(self, name: str) -> Callable[[int], None]:
        def poll(now_ms: int) -> None:
            if name not in self.cut:
                others = self._counts.note(
                    name, 1, self._sent_by_name[name], term=1
                )
                update = self._control_update(now_ms, sent_by_others=others)
                self._reduce(name, update, now_ms)
            self._at(now_ms + POLL_MS, poll)

        return poll

    def _arrive(self, name: str) -> Callable[[int], None]:
        def arrive(now_ms: int) -> None:
            key = next(self._numbers)
            request_id = f"{key:08x}"
            head = protocol.RequestHead(
                attempt_id=request_id, remaining_ms=5_000, prompt=None
            )
            arrived = events.Arrived(
                request_key=key,
                request_id=request_id,
                host="h",
                path="/",
                head=head,
                now_ms=now_ms,
            )
            self._carry_out(name, key, arrived, now_ms)

        return arrive

    def _carry_out(
        self, name: str, key: int, event: events.Event, now_ms: int
    ) -> None:
        for effect in self._reduce(name, event, now_ms):
            match effect:
                case protocol.Send() as send:
                    self._send(name, key, send, now_ms)
                case events.Refuse(refusal=refusal):
                    self.retry_ms.append(round(refusal.retry_after_ms or 0))

    def _send(
        self, name: str, key: int, send: protocol.Send, now_ms: int
    ) -> None:
        runner = send.upstream.upstream_id
        self.sent_ms_by_runner[runner].append(now_ms)
        per_s = self.limit_by_runner[runner]
        state = self._state_by_name[name]

        def answer(at_ms: int) -> None:
            if self._state_by_name[name] is not state:
                return  # The gateway has started again meanwhile.
            noticed = events.RunnerNoticed(
                request_id="",
                upstream=send.upstream,
                leaving=False,
                pause_ms=None,
                now_ms=at_ms,
                limit=None if per_s is None else protocol.NamedLimit(per_s),
                sent_ms=now_ms,
            )
            if per_s is not None or send.is_limited:
                self._reduce(name, noticed, at_ms)
            started = events.AnswerStarted(request_key=key, now_ms=at_ms)
            self._reduce(name, started, at_ms)
            ended = events.Ended(
                request_key=key, is_complete=True, now_ms=at_ms
            )
            self._reduce(name, ended, at_ms)

        self._at(now_ms + self._answer_ms, answer)

    def _reduce(self, name: str, event: events.Event, now_ms: int) -> list[Any]:
        left = []
        for effect in reducer.reduce(self._state_by_name[name], event):
            match effect:
                case events.BroadcastLoad(load_event=load_event):
                    self._broadcast(name, load_event, now_ms)
                case events.LogDecision():
                    self.logs.append(effect)
                case _:
                    left.append(effect)
        return left

    def _broadcast(
        self, sender: str, load_event: gateway_messages.LoadEvent, now_ms: int
    ) -> None:
        self._sent_by_name[sender] += 1
        if sender in self.cut:
            return

        def deliver(at_ms: int) -> None:
            received = events.PeerLoadReceived(
                load_events=(load_event,), now_ms=at_ms
            )
            for name in self._state_by_name:
                if name not in {sender, *self.cut, *self._deaf}:
                    self._reduce(name, received, at_ms)

        self._at(now_ms + LOAD_EVENT_MS, deliver)
