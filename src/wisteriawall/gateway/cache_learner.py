"""Thread that learns what engines hold, after a gateway has started.

`cache_learning` decides what it does. No request waits for it.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import logging
import threading
from typing import final

from wisteriawall import clock
from wisteriawall.gateway import cache_learning
from wisteriawall.gateway import events
from wisteriawall.gateway import protocol
from wisteriawall.observability import decisions
from wisteriawall.wire import envelope
from wisteriawall.wire import gateway_messages
from wisteriawall.wire import http_call
from wisteriawall.wire import transport

__all__ = ["CacheLearner"]

_LOG = logging.getLogger("gateway")

# Time between decisions while nothing can be done.
TICK_S = 0.05
ENGINE_TIMEOUT_S = 0.5
MAX_ANSWER_BYTES = 256 * 1024
# A reply of 16 KiB takes 35 ms on a link of 3.75 Mbit/s.
PEER_TIMEOUT_MS = 400
# Lets requests pass between the replies of an exchange.
REPLY_PAUSE_S = 0.06
# Bounds an exchange to about 1 MB.
MAX_REPLIES = 64
MAX_LOGGED_LENGTH = 200
CLOSE_TIMEOUT_S = 0.6


@final
class CacheLearner:
    """Asks other gateways or engines, and hands the answers to the reducer.

    Args:
        name: Name of this gateway.
        key: Shared cluster key.
        sender: Identity of this process.
        dialect: Translates the platform's calls.
        find_engines: Returns the engines of the newest list of runners.
        describe_engines: Returns what this gateway knows of engines behind an
            id, at a time, and if these are the last.
        submit: Reduces an event.
        tell: Tells the other gateways what an engine holds.
        log: Receives what was asked.
    """

    def __init__(
        self,
        *,
        name: str,
        key: bytes,
        sender: envelope.Sender,
        dialect: protocol.Dialect,
        find_engines: Callable[[], list[gateway_messages.Upstream]],
        describe_engines: Callable[
            [str, int], tuple[list[gateway_messages.EngineContents], bool]
        ],
        submit: Callable[[events.Event], object],
        tell: Callable[[gateway_messages.EngineContents], None],
        log: decisions.DecisionLog,
    ) -> None:
        self._dialect = dialect
        self._find_engines = find_engines
        self._submit = submit
        self._tell = tell
        self._log = log
        self._describe_engines = describe_engines
        # Last engine that another gateway described.
        self._after = ""
        self._codec: envelope.Codec[object] = envelope.Codec(
            message_type=gateway_messages.ContentsReply, key=key, sender=sender
        )
        self._lock = threading.Lock()
        self._learning = cache_learning.Learning(name)
        # Client of the call in progress.
        self._client: transport.RpcClient | None = None
        self._closing = threading.Event()
        self._thread = threading.Thread(
            target=self._learn, name="learn-contents", daemon=True
        )

    def start(self) -> None:
        """Start the thread; it ends when nothing is left to learn."""
        self._thread.start()

    def close(self) -> None:
        """Stop learning, and end a call to another gateway."""
        with self._lock:
            self._closing.set()
            client = self._client
        if client is not None:
            client.close()
        if self._thread.is_alive():
            self._thread.join(timeout=CLOSE_TIMEOUT_S)

    @property
    def needs_peers(self) -> bool:
        """Return whether it waits for the list of gateways."""
        with self._lock:
            return self._learning.needs_peers

    def note_peers(self, peers: Iterable[gateway_messages.GatewayPeer]) -> None:
        """Record the other gateways, as control lists them."""
        with self._lock:
            self._learning.note_peers(
                {peer.name: peer.table_address for peer in peers},
                clock.monotonic_ms(),
            )

    def note_complete(self) -> None:
        """Record that the routing table and the list of runners are known."""
        with self._lock:
            self._learning.note_complete(clock.monotonic_ms())

    def receive(self, contents: list[gateway_messages.EngineContents]) -> None:
        """Adopt what another gateway tells about engines."""
        with self._lock:
            for told in contents:
                self._learning.note_told(f"{told.upstream_id}/{told.born_ms}")
        self._submit(
            events.ContentsTold(
                contents=tuple(contents),
                source="datagram",
                now_ms=clock.monotonic_ms(),
            )
        )

    def describe(
        self, request: gateway_messages.ContentsRequest
    ) -> gateway_messages.ContentsReply:
        """Answer another gateway's question.

        A gateway that started lately knows little itself.
        """
        now_ms = clock.monotonic_ms()
        with self._lock:
            up_ms = self._learning.up_ms(now_ms)
        if up_ms < cache_learning.LONG_UP_MS:
            return gateway_messages.ContentsReply(up_ms)
        engines, is_last = self._describe_engines(request.after, now_ms)
        return gateway_messages.ContentsReply(up_ms, engines, is_last)

    def _learn(self) -> None:
        while not self._closing.is_set():
            try:
                with self._lock:
                    step = self._learning.next_step(
                        self._find_engines(), clock.monotonic_ms()
                    )
                match step:
                    case cache_learning.Finish(reason=reason):
                        self._log.write(
                            "learning-ended", inputs={"reason": reason}
                        )
                        return
                    case cache_learning.Wait():
                        self._closing.wait(TICK_S)
                    case _:
                        self._carry_out(step)
            except Exception:
                # Nothing but this thread would learn the rest.
                _LOG.exception("gateway: learning what engines hold failed")
                self._closing.wait(TICK_S)

    def _carry_out(self, step: cache_learning.Step) -> None:
        match step:
            case cache_learning.Announce():
                self._submit(events.PeersSettled(now_ms=clock.monotonic_ms()))
            case cache_learning.AskPeer():
                self._ask_peer(step)
            case cache_learning.AskEngine(engine=engine):
                self._ask_engine(engine)

    def _ask_engine(self, engine: gateway_messages.Upstream) -> None:
        """Ask an engine what it holds, and tell the other gateways."""
        query = self._dialect.contents_query(engine)
        self._submit(events.EngineAsked(upstream=engine))
        held, reason = None, ""
        started_ms = clock.monotonic_ms()
        try:
            response = http_call.call(
                "GET",
                f"http://{engine.address}{query.target}",
                timeout_s=ENGINE_TIMEOUT_S,
                total_timeout_s=ENGINE_TIMEOUT_S,
                headers=query.headers,
                max_body_bytes=MAX_ANSWER_BYTES,
            )
        except http_call.CallFailed as error:
            reason = str(error)[:MAX_LOGGED_LENGTH]
        else:
            held = self._dialect.parse_held_parts(
                response.status, response.body
            )
            reason = f"invalid answer with status {response.status}"
        self._submit(
            events.EngineAnswered(
                upstream=engine,
                held=held,
                reason=reason,
                took_ms=clock.monotonic_ms() - started_ms,
            )
        )
        if held is not None and held.parts:
            self._tell(
                gateway_messages.EngineContents(
                    engine.upstream_id, engine.born_ms, 0, list(held.parts)
                )
            )

    def _ask_peer(self, peer: cache_learning.AskPeer) -> None:
        """Ask a gateway how long it has served, and then what it knows."""
        up_ms, reason = None, ""
        engines = parts = requests = 0
        started_ms = clock.monotonic_ms()
        try:
            for reply in self._exchange(peer.address):
                up_ms = reply.up_ms
                engines += len(reply.engines)
                parts += sum(len(e.parts) for e in reply.engines)
                requests += sum(len(e.requests) for e in reply.engines)
        except (
            transport.AddressRejected,
            transport.RpcClosed,
            transport.RpcTimeout,
            envelope.MessageRejected,
        ) as error:
            reason = str(error)[:MAX_LOGGED_LENGTH]
        with self._lock:
            # After a break, the next gateway is asked for the rest.
            self._learning.note_peer(None if reason else up_ms)
        self._log.write(
            "gateway-asked",
            inputs={
                "gateway": peer.name,
                "up_ms": up_ms,
                "engines": engines,
                "parts": parts,
                "requests": requests,
                "took_ms": clock.monotonic_ms() - started_ms,
                "reason": reason,
            },
        )

    def _exchange(
        self, address: str
    ) -> Iterator[gateway_messages.ContentsReply]:
        """Yield the replies of a gateway, whose contents are adopted."""
        with self._open_client(address) as client:
            for _ in range(MAX_REPLIES):
                request = gateway_messages.ContentsRequest(self._after)
                _, reply = self._codec.decode(
                    client.call(self._codec.encode(request))
                )
                assert isinstance(reply, gateway_messages.ContentsReply)
                if reply.engines:
                    self._after = reply.engines[-1].upstream_id
                    self._submit(
                        events.ContentsTold(
                            contents=tuple(reply.engines),
                            source="gateway",
                            now_ms=clock.monotonic_ms(),
                        )
                    )
                yield reply
                if reply.is_last or not reply.engines:
                    return
                if self._closing.wait(REPLY_PAUSE_S):
                    return

    @contextlib.contextmanager
    def _open_client(self, address: str) -> Iterator[transport.RpcClient]:
        client = transport.RpcClient(
            address=address, timeout_ms=PEER_TIMEOUT_MS
        )
        try:
            with self._lock:
                self._client = client
                is_closing = self._closing.is_set()
            if is_closing:
                raise transport.RpcClosed("the gateway stops")
            yield client
        finally:
            with self._lock:
                self._client = None
            client.close()
