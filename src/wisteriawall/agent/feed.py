"""Feed of one runner: load reports and cache events for entries.

The feed may lose messages and the engine's own events come late and with
gaps. So each cache message is numbered, and the whole cache is published
after a gap and every few seconds.
"""

from collections.abc import Callable
import logging
import threading
from typing import final

from wisteriawall.agent import engine_client
from wisteriawall.agent import engine_messages
from wisteriawall.wire import envelope
from wisteriawall.wire import fleet
from wisteriawall.wire import load_messages
from wisteriawall.wire import transport

__all__ = ["CacheFollower", "Feed", "OwnLoad"]

_LOG = logging.getLogger("agent")

REPORT_S = 0.25
COMPLETE_EVERY_REPORTS = 16
MAX_CHANGES = 4_096


@final
class CacheFollower:
    """Follow the numbered cache changes of one engine."""

    __slots__ = ("_next", "_polls")

    def __init__(self) -> None:
        self._next: int | None = None
        self._polls = 0

    def ask(self) -> int | None:
        """Return the number to ask from; None asks for the whole cache."""
        self._polls += 1
        if self._polls % COMPLETE_EVERY_REPORTS == 0:
            self._next = None
        return self._next

    def lose(self) -> None:
        """Ask for the whole cache next, after an answer that was lost."""
        self._next = None

    def take(
        self, page: engine_messages.CachePage, *, asked: int | None
    ) -> bool:
        """Tell whether the page continues what was known or replaces it."""
        if not page.complete and page.first != asked:
            self._next = None
            return False
        self._next = page.next
        return True


@final
class OwnLoad:
    """What an agent knows of its own load, read at each report."""

    __slots__ = ("first_token_ms", "leaving", "order_phase", "running")

    def __init__(
        self,
        *,
        running: int,
        first_token_ms: int,
        leaving: bool,
        order_phase: fleet.OrderPhase,
    ) -> None:
        self.running = running
        self.first_token_ms = first_token_ms
        self.leaving = leaving
        self.order_phase = order_phase


@final
class Feed:
    """Publish the load and the cache events of one runner.

    Args:
        address: Host and port to publish on; port 0 takes a free one.
        runner: Name of the runner.
        key: Shared cluster key.
        sender: Identity of the agent.
        engine: Client of the engine; None for a plain upstream.
        own_load: Returns the agent's own counts.
    """

    def __init__(
        self,
        *,
        address: str,
        runner: str,
        key: bytes,
        sender: envelope.Sender,
        engine: engine_client.EngineClient | None,
        own_load: Callable[[], OwnLoad],
    ) -> None:
        self._runner = runner
        self._incarnation = sender.incarnation
        self._engine = engine
        self._own_load = own_load
        self._publisher = transport.Publisher(address=address)
        self.address = self._publisher.address
        self._codec: envelope.Codec[load_messages.FeedMessage] = envelope.Codec(
            message_type=load_messages.FeedMessage, key=key, sender=sender
        )
        self._cache = CacheFollower()
        self._load = engine_messages.EngineLoad()
        self._load_number = 0
        self._cache_number = 0
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"feed-{runner}", daemon=True
        )

    def start(self) -> None:
        """Start publishing."""
        self._thread.start()

    def stop(self) -> None:
        """Stop publishing and release the port."""
        self._stopping.set()
        if self._thread.ident is not None:
            self._thread.join(timeout=5.0)
        self._publisher.close()

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._publish_cache()
            except engine_client.EngineUnclear as error:
                self._cache.lose()
                _LOG.debug("agent %s: no cache events: %s", self._runner, error)
            self._publish_load()
            self._stopping.wait(REPORT_S)

    def _publish_cache(self) -> None:
        if self._engine is None:
            return
        self._load = self._engine.load()
        asked = self._cache.ask()
        page = self._engine.cache_events(after=asked)
        if not self._cache.take(page, asked=asked):
            page = self._engine.cache_events(after=None)
            self._cache.take(page, asked=None)
        if page.changes or page.complete:
            self._publish(self._cache_message(page))

    def _cache_message(
        self, page: engine_messages.CachePage
    ) -> load_messages.CacheEvents:
        self._cache_number += 1
        # The newest changes come last and matter most to routing.
        return load_messages.CacheEvents(
            runner=self._runner,
            incarnation=self._incarnation,
            sequence=self._cache_number,
            complete=page.complete,
            changes=page.changes[-MAX_CHANGES:],
        )

    def _publish_load(self) -> None:
        self._load_number += 1
        own = self._own_load()
        report = fleet.LoadReport(
            runner=self._runner,
            incarnation=self._incarnation,
            sequence=self._load_number,
            waiting_prefill_tokens=self._load.waiting_prefill_tokens,
            running_streams=self._load.running_streams,
            free_pieces=self._load.free_pieces,
            queued_decode_tokens=self._load.queued_decode_tokens,
            cached_pieces=self._load.cached_pieces,
            first_token_ms=own.first_token_ms,
            running_requests=own.running,
            leaving=own.leaving,
            order_phase=own.order_phase,
        )
        self._publish(report)

    def _publish(self, message: load_messages.FeedMessage) -> None:
        self._publisher.publish(self._codec.encode(message))
