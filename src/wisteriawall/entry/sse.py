"""Server-sent events as raw bytes: whole events, identity and end mark.

The relay forwards events exactly as the engine wrote them, so this module
decodes none of them on the good path.
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
    """An event is oversize or does not carry the expected request id."""


@final
class EventScanner:
    """Cut a byte stream into whole events and check whose they are.

    Args:
        request_id: Id that every event but comments and the end mark carries.
    """

    __slots__ = ("_needle", "_rest")

    def __init__(self, *, request_id: str) -> None:
        self._needle = request_id.encode()
        self._rest = b""

    def feed(self, chunk: bytes) -> Iterator[bytes]:
        """Yield each event that `chunk` completes, with its blank line.

        Raises:
            ForeignEvent: An event belongs to another request.
        """
        data = self._rest + chunk if self._rest else chunk
        start = 0
        while (end := data.find(SEPARATOR, start)) >= 0:
            end += len(SEPARATOR)
            event = data[start:end]
            # Kept before the check, so that a consumer may stop in between.
            start = end
            self._check(event)
            yield event
        self._rest = data[start:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ForeignEvent(f"event exceeds {MAX_EVENT_BYTES} bytes")

    def _check(self, event: bytes) -> None:
        if self._needle in event or event == END_MARK or is_comment(event):
            return
        raise ForeignEvent("event without this request's id")


def is_comment(event: bytes) -> bool:
    """Tell whether an event is a keep-alive comment, which holds no token."""
    return event.startswith(b":")
