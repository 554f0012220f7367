"""Fetches changes of the routing table, and serves them to other gateways."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import logging
import threading
from typing import final

from wisteriawall import clock
from wisteriawall import errors
from wisteriawall.config import route_table
from wisteriawall.config import table_change
from wisteriawall.config import table_history
from wisteriawall.wire import control_messages
from wisteriawall.wire import envelope
from wisteriawall.wire import gateway_messages
from wisteriawall.wire import transport

__all__ = ["FetchFailed", "TableRelay"]

_LOG = logging.getLogger("gateway")

# A part takes 26 ms on a link of 5 Mbit/s.
PART_TIMEOUT_MS = 400
FETCH_TIMEOUT_MS = 1_000
# A change of many keys takes longer: those of 100,000 new ones have 1.7 MB, for
# 2.7 s on such a link. Control is not polled meanwhile, so that the time is
# limited by that for which gateways count as connected.
SLOW_LINK_BYTES_PER_MS = 400
MAX_FETCH_TIMEOUT_MS = 2_900
SERVING_THREADS = 2


@final
class FetchFailed(errors.WisteriawallError):
    """A table could not be fetched from its source."""


@final
class TableRelay:
    """Keeps the newest tables of this gateway and exchanges their changes.

    Args:
        address: Host and port to listen on; port 0 selects a free port.
        key: Shared cluster key that authenticates the messages.
        sender: Identity of this process.
        describe_engines: Answers what this gateway knows of engines, None to
            give no answer.
    """

    def __init__(
        self,
        *,
        address: str,
        key: bytes,
        sender: envelope.Sender,
        describe_engines: Callable[
            [gateway_messages.ContentsRequest],
            gateway_messages.ContentsReply | None,
        ] = lambda request: None,
    ) -> None:
        self._describe_engines = describe_engines
        self._lock = threading.Lock()
        # Client of the fetch in progress.
        self._client: transport.RpcClient | None = None
        self._is_closed = False
        self._tables = table_history.TableHistory()
        # Encodes requests and decodes their replies.
        self._fetch_codec: envelope.Codec[object] = envelope.Codec(
            message_type=control_messages.ControlReply, key=key, sender=sender
        )
        self._serve_codec: envelope.Codec[object] = envelope.Codec(
            message_type=gateway_messages.TablePartRequest
            | gateway_messages.ContentsRequest,
            key=key,
            sender=sender,
        )
        self._server = transport.RpcServer(
            address=address, handler=self._serve, threads=SERVING_THREADS
        )
        self.address = self._server.address

    def start(self) -> None:
        """Start serving other gateways."""
        self._server.start()

    def close(self) -> None:
        """Stop serving, release the port and end a fetch in progress."""
        with self._lock:
            self._is_closed = True
            client = self._client
        if client is not None:
            client.close()
        self._server.close()

    def add(self, table: route_table.RouteTable) -> None:
        """Serve a table that this gateway uses now."""
        with self._lock:
            self._tables.add(table)

    def fetch(
        self,
        source: str,
        base: route_table.RouteTable | None,
        number: int,
        *,
        connection: transport.RpcClient | None = None,
    ) -> route_table.RouteTable:
        """Return the table `number`, fetched as a change of `base`.

        Args:
            source: Host and port of a control replica or another gateway.
            base: Table of this gateway, None if it has none.
            number: Number of the table to fetch.
            connection: Open connection to the source; None opens one for this
                fetch.

        Raises:
            FetchFailed: The source did not answer in time, or does not have the
                table or its difference from `base`, or the relay is closed.
        """
        request = gateway_messages.TablePartRequest(
            base.number if base else 0, number, 0
        )
        data = b""
        started_ms = clock.monotonic_ms()
        with (
            contextlib.nullcontext(connection)
            if connection is not None
            else self._open_client(source)
        ) as client:
            while True:
                part = self._fetch_part(client, request)
                data += part.data
                if len(data) >= part.total_bytes:
                    break
                until_ms = started_ms + _fetch_timeout_ms(part.total_bytes)
                if not part.data or clock.monotonic_ms() > until_ms:
                    raise FetchFailed(
                        f"{len(data)} of {part.total_bytes} bytes in time"
                    )
                request = gateway_messages.TablePartRequest(
                    part.base_number, number, len(data)
                )
        try:
            return table_change.apply(
                base if part.base_number else None, table_change.decode(data)
            )
        except table_change.ChangeRejected as error:
            raise FetchFailed(str(error)) from error

    @contextlib.contextmanager
    def _open_client(self, source: str) -> Iterator[transport.RpcClient]:
        with self._lock:
            if self._is_closed:
                raise FetchFailed("the gateway stops")
            try:
                client = transport.RpcClient(
                    address=source, timeout_ms=PART_TIMEOUT_MS
                )
            except transport.AddressRejected as error:
                raise FetchFailed(str(error)) from error
            self._client = client
        try:
            yield client
        finally:
            client.close()

    def _fetch_part(
        self,
        client: transport.RpcClient,
        request: gateway_messages.TablePartRequest,
    ) -> gateway_messages.TablePart:
        try:
            data = client.call(self._fetch_codec.encode(request))
            _, reply = self._fetch_codec.decode(data)
        except (
            transport.RpcClosed,
            transport.RpcTimeout,
            envelope.MessageRejected,
        ) as error:
            raise FetchFailed(str(error)) from error
        if not isinstance(reply, gateway_messages.TablePart):
            raise FetchFailed("the source does not have the table")
        return reply

    def _serve(self, data: bytes) -> bytes | None:
        try:
            _, request = self._serve_codec.decode(data)
        except envelope.MessageRejected as error:
            _LOG.warning(
                "gateway: rejected a request of another gateway: %s", error
            )
            return None
        if isinstance(request, gateway_messages.ContentsRequest):
            reply = self._describe_engines(request)
            return None if reply is None else self._serve_codec.encode(reply)
        assert isinstance(request, gateway_messages.TablePartRequest)
        with self._lock:
            encoded = self._tables.encoded_change(
                request.base_number, request.number
            )
        return self._serve_codec.encode(
            gateway_messages.table_part(request, encoded)
        )


def _fetch_timeout_ms(total_bytes: int) -> int:
    """Return how long the fetch of a change may take."""
    slow_ms = total_bytes // SLOW_LINK_BYTES_PER_MS
    return max(FETCH_TIMEOUT_MS, min(MAX_FETCH_TIMEOUT_MS, slow_ms))
