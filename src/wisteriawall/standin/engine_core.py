"""Stand-in engine: continuous batching on a scaled clock, no I/O."""

import dataclasses
import queue
import threading
from typing import final

import xxhash

from wisteriawall.wire import fleet

__all__ = ["EngineCore", "EngineTiming", "Generation", "token_text"]

WORDS = ("amber", "basil", "cedar", "dove", "ember", "fern", "grove", "hazel")


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class EngineTiming:
    """Speed of a stand-in engine.

    `step_s` is the time of one batch step; a step takes up to
    `prefill_tokens` prompt tokens and yields one token for each running
    stream. `order_s` is how long an order takes the engine away.
    """

    step_s: float = 0.005
    prefill_tokens: int = 512
    max_streams: int = 64
    order_s: float = 0.5


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Generation:
    """One request inside the engine; `tokens` ends with None."""

    prompt: str
    first_token: int
    max_tokens: int
    prefill_left: int
    tokens: queue.SimpleQueue[str | None] = dataclasses.field(
        default_factory=queue.SimpleQueue
    )
    produced: int = 0
    cancelled: bool = False


def token_text(prompt: str, index: int) -> str:
    """Return the token at `index`; it depends on the prompt alone."""
    digest = xxhash.xxh64_intdigest(f"{prompt}|{index}".encode())
    return f"{WORDS[digest % len(WORDS)]}{digest % 997} "


@final
class EngineCore:
    """Batch scheduler of one stand-in engine."""

    def __init__(self, *, timing: EngineTiming) -> None:
        self._timing = timing
        self._lock = threading.Condition()
        self._waiting: list[Generation] = []
        self._running: list[Generation] = []
        self._stopped = False
        self.role = fleet.Role.MIXED
        self.busy = False
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
            self._lock.notify()
        self._thread.join()

    def submit(
        self, *, prompt: str, max_tokens: int, first_token: int = 0
    ) -> Generation:
        """Queue a request and return it."""
        generation = Generation(
            prompt=prompt,
            first_token=first_token,
            max_tokens=max_tokens,
            prefill_left=len(prompt.split()) + 1,
        )
        with self._lock:
            self._waiting.append(generation)
            self._lock.notify()
        return generation

    def change_role(self, role: fleet.Role) -> None:
        """Take the engine away, then set its role; running streams end."""
        with self._lock:
            self.busy = True
            for generation in self._waiting + self._running:
                generation.tokens.put(None)
            self._waiting.clear()
            self._running.clear()
            self._lock.wait_for(lambda: self._stopped, self._timing.order_s)
            self.role = role
            self.busy = False

    @property
    def waiting_prefill_tokens(self) -> int:
        """Return the prompt tokens that wait for prefill."""
        with self._lock:
            return sum(g.prefill_left for g in self._waiting)

    @property
    def running_streams(self) -> int:
        """Return how many streams produce tokens."""
        return len(self._running)

    @property
    def free_streams(self) -> int:
        """Return how many more streams fit the batch."""
        return self._timing.max_streams - len(self._running)

    def _run(self) -> None:
        while not self._stopped:
            with self._lock:
                if not self._waiting and not self._running:
                    self._lock.wait()
                    continue
                self._lock.wait_for(lambda: self._stopped, self._timing.step_s)
                self._prefill()
                self._decode()

    def _prefill(self) -> None:
        budget = self._timing.prefill_tokens
        while self._waiting and budget > 0 and self.free_streams > 0:
            generation = self._waiting[0]
            taken = min(budget, generation.prefill_left)
            generation.prefill_left -= taken
            budget -= taken
            if generation.prefill_left == 0:
                self._running.append(self._waiting.pop(0))

    def _decode(self) -> None:
        for generation in self._running:
            index = generation.first_token + generation.produced
            generation.tokens.put(token_text(generation.prompt, index))
            generation.produced += 1
        ended = [g for g in self._running if self._is_ended(g)]
        for generation in ended:
            generation.tokens.put(None)
        self._running = [g for g in self._running if not self._is_ended(g)]

    @staticmethod
    def _is_ended(generation: Generation) -> bool:
        left = generation.max_tokens - generation.first_token
        return generation.cancelled or generation.produced >= left
