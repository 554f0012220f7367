"""Stand-in engine: continuous batching on a scaled clock, no sockets."""

import bisect
from collections import deque
import dataclasses
import itertools
import queue
import threading
import time
from typing import final

import xxhash

from wisteriawall.agent import engine_messages
from wisteriawall.policy import prefix_index
from wisteriawall.standin import faults as faults_lib
from wisteriawall.standin import prefix_cache

__all__ = ["EngineCore", "EngineTiming", "Generation", "token_text"]

WORDS = ("amber", "basil", "cedar", "dove", "ember", "fern", "grove", "hazel")


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class EngineTiming:
    """Speed and size of a stand-in engine.

    `step_s` is the time of one batch step; a step takes up to
    `prefill_tokens` prompt tokens and yields one token for each running
    stream. `order_s` is how long an order takes the engine away, `settle_s`
    how long a crash leaves its state unclear, `kv_piece_s` how long the KV
    cache of one piece takes to move.
    """

    step_s: float = 0.005
    prefill_tokens: int = 512
    max_streams: int = 64
    order_s: float = 0.5
    settle_s: float = 0.5
    kv_piece_s: float = 0.001
    cache_pieces: int = 256
    cache_delay_s: float = 0.1
    report_lag_s: float = 0.1


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Generation:
    """One request inside the engine; `tokens` ends with None."""

    prompt: str
    first_token: int
    max_tokens: int
    prefill_left: int
    prefill_total: int
    hashes: tuple[int, ...]
    prefill_only: bool = False
    tokens: queue.SimpleQueue[str | None] = dataclasses.field(
        default_factory=queue.SimpleQueue
    )
    produced: int = 0
    cancelled: bool = False

    @property
    def left(self) -> int:
        """Return how many tokens it still has to produce."""
        if self.prefill_only or self.cancelled:
            return 0
        return self.max_tokens - self.first_token - self.produced


def token_text(prompt: str, index: int) -> str:
    """Return the token at `index`; it depends on the prompt alone."""
    digest = xxhash.xxh64_intdigest(f"{prompt}|{index}".encode())
    return f"{WORDS[digest % len(WORDS)]}{digest % 997} "


@final
class EngineCore:
    """Batch scheduler of one stand-in engine."""

    def __init__(
        self, *, timing: EngineTiming, faults: faults_lib.Faults
    ) -> None:
        self._timing = timing
        self._lock = threading.Condition()
        self._numbers = itertools.count()
        self._waiting: list[tuple[int, int, Generation]] = []
        self._running: list[Generation] = []
        self._stopped = False
        self._loads: deque[tuple[float, engine_messages.EngineLoad]] = deque(
            [(0.0, engine_messages.EngineLoad())]
        )
        self.cache = prefix_cache.PrefixCache(
            pieces=timing.cache_pieces,
            delay_s=timing.cache_delay_s,
            faults=faults,
        )
        self.cut_streams = 0
        self._thread = threading.Thread(
            target=self._run, name="engine", daemon=True
        )

    def start(self) -> None:
        """Start the batch loop."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the batch loop."""
        with self._lock:
            self._stopped = True
            self._lock.notify_all()
        self._thread.join()

    def submit(
        self,
        *,
        prompt: str,
        max_tokens: int,
        first_token: int = 0,
        priority: int = 0,
        prefill_only: bool = False,
        imported: bool = False,
    ) -> Generation:
        """Queue a request; a lower `priority` goes first."""
        data = prompt.encode()
        hashes = prefix_index.prefix_hashes(data)
        total = len(prompt.split()) + 1
        cached = self.cache.hits(hashes) * prefix_index.PIECE_BYTES
        todo = total - total * cached // max(1, len(data))
        generation = Generation(
            prompt=prompt,
            first_token=first_token,
            max_tokens=max_tokens,
            prefill_left=1 if imported else max(1, todo),
            prefill_total=total,
            hashes=hashes,
            prefill_only=prefill_only,
        )
        with self._lock:
            entry = (priority, next(self._numbers), generation)
            bisect.insort(self._waiting, entry, key=lambda e: e[:2])
            self._lock.notify_all()
        return generation

    def cut(self) -> None:
        """End everything, as an order does to what still runs."""
        with self._lock:
            cut = [entry[2] for entry in self._waiting] + self._running
            self.cut_streams += len(cut)
            for generation in cut:
                generation.tokens.put(None)
            self._waiting.clear()
            self._running.clear()

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing waits or runs."""
        return not self._waiting and not self._running

    def load(self) -> engine_messages.EngineLoad:
        """Return the load as it was a while ago."""
        now_s = time.monotonic()
        with self._lock:
            self._loads.append((now_s, self._current_load()))
            until_s = now_s - self._timing.report_lag_s
            while len(self._loads) > 1 and self._loads[1][0] <= until_s:
                self._loads.popleft()
            return self._loads[0][1]

    def _current_load(self) -> engine_messages.EngineLoad:
        waiting = [entry[2] for entry in self._waiting]
        return engine_messages.EngineLoad(
            waiting_prefill_tokens=sum(g.prefill_left for g in waiting),
            running_streams=len(self._running),
            free_pieces=self._timing.max_streams - len(self._running),
            queued_decode_tokens=sum(g.left for g in waiting + self._running),
            cached_pieces=len(self.cache),
        )

    def _run(self) -> None:
        while not self._stopped:
            with self._lock:
                if self.is_idle:
                    self._lock.wait()
                    continue
            time.sleep(self._timing.step_s)
            with self._lock:
                self._prefill()
                self._decode()

    def _prefill(self) -> None:
        budget = self._timing.prefill_tokens
        self._waiting = [e for e in self._waiting if not e[2].cancelled]
        free = self._timing.max_streams - len(self._running)
        while self._waiting and budget > 0 and free > 0:
            generation = self._waiting[0][2]
            taken = min(budget, generation.prefill_left)
            generation.prefill_left -= taken
            budget -= taken
            if generation.prefill_left == 0:
                del self._waiting[0]
                free -= 1
                self._running.append(generation)
                self.cache.store(generation.hashes, now_s=time.monotonic())

    def _decode(self) -> None:
        for generation in self._running:
            if generation.left > 0:
                index = generation.first_token + generation.produced
                # The count goes first: a reader may check it on the token.
                generation.produced += 1
                generation.tokens.put(token_text(generation.prompt, index))
            if generation.left <= 0:
                generation.tokens.put(None)
        self._running = [g for g in self._running if g.left > 0]
