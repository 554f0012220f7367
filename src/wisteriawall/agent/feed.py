"""Feed of one runner: load reports and cache events for entries.

The feed may lose messages, and the engine's cache events arrive late and with
gaps. Therefore each cache message has a sequence number, and the complete
cache is published after a gap and every few seconds.
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

__all__ = ["AgentLoad", "CachePoller", "FeedPublisher"]

_LOG = logging.getLogger("agent")

REPORT_INTERVAL_S = 0.25
REPORTS_PER_COMPLETE_CACHE = 16
MAX_CHANGES = 4_096


@final
class CachePoller:
    """Position in the numbered cache changes of one engine."""

    __slots__ = ("_next", "_poll_count")

    def __init__(self) -> None:
        self._next: int | None = None
        self._poll_count = 0

    def next_position(self) -> int | None:
        """Return the number of the next change; None for the complete cache."""
        self._poll_count += 1
        if self._poll_count % REPORTS_PER_COMPLETE_CACHE == 0:
            self._next = None
        return self._next

    def reset(self) -> None:
        """Request the complete cache next, because an answer was lost."""
        self._next = None

    def accept(
        self, page: engine_messages.CacheChangePage, *, requested: int | None
    ) -> bool:
        """Advance past a page, unless there is a gap before it.

        Args:
            page: The engine's answer.
            requested: Position that was requested, None for the complete cache.

        Returns:
            Whether the page was accepted. After a gap it is not, and the
            complete cache is requested next.
        """
        if not page.complete and page.first != requested:
            self._next = None
            return False
        self._next = page.next
        return True


@final
class AgentLoad:
    """The agent's own part of a load report.

    `running` is the number of running attempts. `stopping` means that a
    planned stop of the agent has begun.
    """

    __slots__ = ("first_token_ms", "order_phase", "running", "stopping")

    def __init__(
        self,
        *,
        running: int,
        first_token_ms: int,
        stopping: bool,
        order_phase: fleet.OrderPhase,
    ) -> None:
        self.running = running
        self.first_token_ms = first_token_ms
        self.stopping = stopping
        self.order_phase = order_phase


@final
class FeedPublisher:
    """Publishes the load and the cache events of one runner.

    Args:
        address: Host and port to publish on; port 0 selects a free one.
        runner: Name of the runner.
        key: Shared cluster key.
        sender: Identity of the agent.
        engine: Client of the engine; None for a plain upstream.
        agent_load: Returns the agent's part of a load report.
    """

    def __init__(
        self,
        *,
        address: str,
        runner: str,
        key: bytes,
        sender: envelope.Sender,
        engine: engine_client.EngineClient | None,
        agent_load: Callable[[], AgentLoad],
    ) -> None:
        self._runner = runner
        self._incarnation = sender.incarnation
        self._engine = engine
        self._agent_load = agent_load
        self._publisher = transport.Publisher(address=address)
        self.address = self._publisher.address
        self._codec: envelope.Codec[load_messages.FeedMessage] = envelope.Codec(
            message_type=load_messages.FeedMessage, key=key, sender=sender
        )
        self._cache_poller = CachePoller()
        self._load = engine_messages.EngineLoad()
        self._load_sequence = 0
        self._cache_sequence = 0
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"feed-{runner}", daemon=True
        )

    def start(self) -> None:
        """Start publishing from a thread of its own."""
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
                self._cache_poller.reset()
                _LOG.debug(
                    "agent %s: load and cache could not be read from the "
                    "engine: %s",
                    self._runner,
                    error,
                )
            self._publish_load()
            self._stopping.wait(REPORT_INTERVAL_S)

    def _publish_cache(self) -> None:
        if self._engine is None:
            return
        self._load = self._engine.fetch_load()
        requested = self._cache_poller.next_position()
        page = self._engine.fetch_cache_page(after=requested)
        if not self._cache_poller.accept(page, requested=requested):
            page = self._engine.fetch_cache_page(after=None)
            self._cache_poller.accept(page, requested=None)
        if page.changes or page.complete:
            self._publish(self._cache_message(page))

    def _cache_message(
        self, page: engine_messages.CacheChangePage
    ) -> load_messages.CacheUpdate:
        self._cache_sequence += 1
        # If there are too many changes, the oldest are omitted: the newest,
        # at the end, are the most useful for routing.
        return load_messages.CacheUpdate(
            runner=self._runner,
            incarnation=self._incarnation,
            sequence=self._cache_sequence,
            complete=page.complete,
            changes=page.changes[-MAX_CHANGES:],
        )

    def _publish_load(self) -> None:
        self._load_sequence += 1
        agent_load = self._agent_load()
        report = fleet.LoadReport(
            runner=self._runner,
            incarnation=self._incarnation,
            sequence=self._load_sequence,
            waiting_prefill_tokens=self._load.waiting_prefill_tokens,
            running_streams=self._load.running_streams,
            free_pieces=self._load.free_pieces,
            queued_decode_tokens=self._load.queued_decode_tokens,
            cached_pieces=self._load.cached_pieces,
            first_token_ms=agent_load.first_token_ms,
            running_requests=agent_load.running,
            stopping=agent_load.stopping,
            order_phase=agent_load.order_phase,
        )
        self._publish(report)

    def _publish(self, message: load_messages.FeedMessage) -> None:
        self._publisher.publish(self._codec.encode(message))
