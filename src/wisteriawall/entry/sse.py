"""Splitting of a server-sent event stream into events.

Events are forwarded byte for byte as the engine wrote them, so they are
checked here without being decoded.
"""

from collections.abc import Iterator
from typing import final

from wisteriawall import errors

__all__ = ["END_MARK", "EventScanner", "ForeignEvent", "is_comment"]

SEPARATOR = b"\n\n"
END_MARK = b"data: [DONE]\n\n"
MAX_EVENT_BYTES = 1024 * 1024


@final
class ForeignEvent(errors.WisteriawallError):
    """An event is too large or lacks the id of the expected request."""


@final
class EventScanner:
    """Splits a byte stream into events and checks their request id.

    Args:
        request_id: Id that every event has to contain, except comments and
            the end mark.
    """

    __slots__ = ("_partial_event", "_request_id")

    def __init__(self, *, request_id: str) -> None:
        self._request_id = request_id.encode()
        self._partial_event = b""

    def feed(self, chunk: bytes) -> Iterator[bytes]:
        """Yield each event that `chunk` completes, with its final blank line.

        Raises:
            ForeignEvent: An event is too large or lacks the request id.
        """
        data = self._partial_event + chunk if self._partial_event else chunk
        start = 0
        while (end := data.find(SEPARATOR, start)) >= 0:
            end += len(SEPARATOR)
            event = data[start:end]
            # Advanced before the check and the yield, so that this event is
            # not read twice if either of them ends the loop.
            start = end
            self._check(event)
            yield event
        self._partial_event = data[start:]
        if len(self._partial_event) > MAX_EVENT_BYTES:
            raise ForeignEvent(f"event exceeds {MAX_EVENT_BYTES} bytes")

    def _check(self, event: bytes) -> None:
        if self._request_id in event or event == END_MARK or is_comment(event):
            return
        raise ForeignEvent("event without this request's id")


def is_comment(event: bytes) -> bool:
    """Return whether an event is a keep-alive comment without a token."""
    return event.startswith(b":")
