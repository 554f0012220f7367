"""Batch scheduler of a stand-in engine: continuous batching without HTTP."""

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

__all__ = ["EngineCore", "EngineParameters", "Generation", "token_text"]

WORDS = ("amber", "basil", "cedar", "dove", "ember", "fern", "grove", "hazel")


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class EngineParameters:
    """Speed and capacity of a stand-in engine.

    Attributes:
        step_s: Seconds of one batch step, which yields one token for each
            running stream.
        prefill_tokens_per_step: Most prompt tokens prefilled in one batch step.
        max_streams: Most requests that decode at the same time.
        order_duration_s: Seconds that an order takes, without a stall or fetch.
        crash_recovery_s: Seconds after a crash for which the state is unclear.
        kv_transfer_s_per_piece: Seconds to transfer the KV cache of one piece.
        cache_pieces: Capacity of the prefix cache in pieces.
        cache_event_delay_s: Seconds after which a cache event can be read.
        load_report_lag_s: Age in seconds of the load that the engine reports.
    """

    step_s: float = 0.005
    prefill_tokens_per_step: int = 512
    max_streams: int = 64
    order_duration_s: float = 0.5
    crash_recovery_s: float = 0.5
    kv_transfer_s_per_piece: float = 0.001
    cache_pieces: int = 256
    cache_event_delay_s: float = 0.1
    load_report_lag_s: float = 0.1


@final
@dataclasses.dataclass(slots=True, kw_only=True)
class Generation:
    """State of one request in the engine.

    Attributes:
        prompt: Prompt, which alone determines the tokens.
        first_token_index: Index of the first token to generate; above 0 when
            an interrupted answer is resumed.
        max_tokens: Tokens of the complete answer, including those that the
            caller already has.
        remaining_prefill_tokens: Prompt tokens still to prefill.
        prompt_tokens: Tokens of the prompt: its words plus one.
        prefix_hashes: Hashes that the prefix cache stores after the prefill.
        prefill_only: Whether the request ends after the prefill.
        token_queue: Generated tokens, then None at the end or on an abort.
        produced_tokens: Tokens generated so far.
        cancelled: Whether the caller has disconnected.
    """

    prompt: str
    first_token_index: int
    max_tokens: int
    remaining_prefill_tokens: int
    prompt_tokens: int
    prefix_hashes: tuple[int, ...]
    prefill_only: bool = False
    token_queue: queue.SimpleQueue[str | None] = dataclasses.field(
        default_factory=queue.SimpleQueue
    )
    produced_tokens: int = 0
    cancelled: bool = False

    @property
    def remaining_tokens(self) -> int:
        """Return the number of tokens still to generate."""
        if self.prefill_only or self.cancelled:
            return 0
        return self.max_tokens - self.first_token_index - self.produced_tokens


def token_text(prompt: str, index: int) -> str:
    """Return the text of the answer's token at `index`.

    It depends only on the prompt and the index, so that every engine gives the
    same answer and a resumed one continues it exactly.
    """
    digest = xxhash.xxh64_intdigest(f"{prompt}|{index}".encode())
    return f"{WORDS[digest % len(WORDS)]}{digest % 997} "


@final
class EngineCore:
    """Batch scheduler of one stand-in engine.

    Requests wait in order of priority, are prefilled and then decode together,
    one token for each in a step. `aborted_requests` counts the requests that
    were aborted by orders.
    """

    def __init__(
        self, *, parameters: EngineParameters, faults: faults_lib.Faults
    ) -> None:
        self._parameters = parameters
        self._condition = threading.Condition()
        self._submission_numbers = itertools.count()
        self._waiting: list[tuple[int, int, Generation]] = []
        self._running: list[Generation] = []
        self._stopped = False
        self._load_history: deque[tuple[float, engine_messages.EngineLoad]] = (
            deque([(0.0, engine_messages.EngineLoad())])
        )
        self.cache = prefix_cache.PrefixCache(
            pieces=parameters.cache_pieces,
            delay_s=parameters.cache_event_delay_s,
            faults=faults,
        )
        self.aborted_requests = 0
        self._thread = threading.Thread(
            target=self._run, name="engine", daemon=True
        )

    def start(self) -> None:
        """Start the batch loop in its own thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the batch loop and wait for its thread."""
        with self._condition:
            self._stopped = True
            self._condition.notify_all()
        self._thread.join()

    def submit(
        self,
        *,
        prompt: str,
        max_tokens: int,
        first_token_index: int = 0,
        priority: int = 0,
        prefill_only: bool = False,
        has_imported_kv: bool = False,
    ) -> Generation:
        """Queue a request and return its state; lower `priority` goes first.

        With `has_imported_kv` the prefill is reduced to one token.
        """
        encoded_prompt = prompt.encode()
        prefix_hashes = prefix_index.prefix_hashes(encoded_prompt)
        prompt_tokens = len(prompt.split()) + 1
        cached_bytes = (
            self.cache.cached_pieces(prefix_hashes) * prefix_index.PIECE_BYTES
        )
        uncached_tokens = prompt_tokens - prompt_tokens * cached_bytes // max(
            1, len(encoded_prompt)
        )
        generation = Generation(
            prompt=prompt,
            first_token_index=first_token_index,
            max_tokens=max_tokens,
            remaining_prefill_tokens=1
            if has_imported_kv
            else max(1, uncached_tokens),
            prompt_tokens=prompt_tokens,
            prefix_hashes=prefix_hashes,
            prefill_only=prefill_only,
        )
        with self._condition:
            item = (priority, next(self._submission_numbers), generation)
            bisect.insort(self._waiting, item, key=lambda queued: queued[:2])
            self._condition.notify_all()
        return generation

    def abort_all(self) -> None:
        """Abort all waiting and running requests; called by each order."""
        with self._condition:
            aborted = [item[2] for item in self._waiting] + self._running
            self.aborted_requests += len(aborted)
            for generation in aborted:
                generation.token_queue.put(None)
            self._waiting.clear()
            self._running.clear()

    @property
    def is_idle(self) -> bool:
        """Return whether no request is waiting or running."""
        return not self._waiting and not self._running

    def load(self) -> engine_messages.EngineLoad:
        """Return the load as it was `load_report_lag_s` ago.

        The load is recorded only when this method is called. It returns the
        newest record that is old enough, or an empty load if there is none.
        """
        now_s = time.monotonic()
        with self._condition:
            self._load_history.append((now_s, self._current_load()))
            newest_reported_s = now_s - self._parameters.load_report_lag_s
            while (
                len(self._load_history) > 1
                and self._load_history[1][0] <= newest_reported_s
            ):
                self._load_history.popleft()
            return self._load_history[0][1]

    def _current_load(self) -> engine_messages.EngineLoad:
        waiting = [item[2] for item in self._waiting]
        return engine_messages.EngineLoad(
            waiting_prefill_tokens=sum(
                g.remaining_prefill_tokens for g in waiting
            ),
            running_streams=len(self._running),
            free_pieces=self._parameters.max_streams - len(self._running),
            queued_decode_tokens=sum(
                g.remaining_tokens for g in waiting + self._running
            ),
            cached_pieces=len(self.cache),
        )

    def _run(self) -> None:
        while not self._stopped:
            with self._condition:
                if self.is_idle:
                    self._condition.wait()
                    continue
            time.sleep(self._parameters.step_s)
            with self._condition:
                self._prefill()
                self._decode()

    def _prefill(self) -> None:
        remaining_budget = self._parameters.prefill_tokens_per_step
        self._waiting = [
            item for item in self._waiting if not item[2].cancelled
        ]
        free_streams = self._parameters.max_streams - len(self._running)
        while self._waiting and remaining_budget > 0 and free_streams > 0:
            generation = self._waiting[0][2]
            prefilled = min(
                remaining_budget, generation.remaining_prefill_tokens
            )
            generation.remaining_prefill_tokens -= prefilled
            remaining_budget -= prefilled
            if generation.remaining_prefill_tokens == 0:
                del self._waiting[0]
                free_streams -= 1
                self._running.append(generation)
                self.cache.store(
                    generation.prefix_hashes, now_s=time.monotonic()
                )

    def _decode(self) -> None:
        for generation in self._running:
            if generation.remaining_tokens > 0:
                index = (
                    generation.first_token_index + generation.produced_tokens
                )
                # Counted before the token is sent: its reader may look at the
                # count at once.
                generation.produced_tokens += 1
                generation.token_queue.put(token_text(generation.prompt, index))
            if generation.remaining_tokens <= 0:
                generation.token_queue.put(None)
        self._running = [g for g in self._running if g.remaining_tokens > 0]
