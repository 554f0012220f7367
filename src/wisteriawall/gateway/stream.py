"""Split server-sent event streams at event boundaries for resuming."""

from collections.abc import Iterable
from collections.abc import Iterator
import re
from typing import final

from wisteriawall import errors

__all__ = ["EventScanner", "EventTooLong", "NotContinued", "is_event_stream"]

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
COMMENT = b":"
MAX_EVENT_BYTES = 1024 * 1024
MEDIA_TYPE = "text/event-stream"
# Ids rise, and go into a header.
EVENT_ID = re.compile(rb"[0-9]{1,18}")


@final
class EventTooLong(errors.WisteriawallError):
    """An event has no end within `MAX_EVENT_BYTES`."""


@final
class NotContinued(errors.WisteriawallError):
    """A stream that was to go on after an event does not."""


def is_event_stream(content_type: str) -> bool:
    """Return whether the value of a Content-Type header is that of events."""
    return content_type.partition(";")[0].strip().lower() == MEDIA_TYPE


@final
class EventScanner:
    """Pass on only complete events of a stream of chunks.

    Attributes:
        last_event_id: Id of the last complete event with one, empty before the
            first.
        may_resume: Whether another stream can go on after `last_event_id`:
            every event since then is complete and has a usable id.
    """

    __slots__ = (
        "_after_number",
        "_awaits_next",
        "_pending",
        "last_event_id",
        "may_resume",
    )

    def __init__(self) -> None:
        self._pending = b""
        self._awaits_next = False
        self._after_number = 0
        self.last_event_id = ""
        self.may_resume = True

    @property
    def incomplete(self) -> bytes:
        """Return the bytes that arrived after the last complete event."""
        return self._pending

    def resume(self, after: str) -> None:
        """Drop a partial event; the next event must follow `after`.

        Args:
            after: Id of the event after which the next stream goes on, empty if
                it starts anew.
        """
        self._pending = b""
        self._awaits_next = bool(after)
        is_number = EVENT_ID.fullmatch(after.encode()) is not None
        self._after_number = int(after) if is_number else -1

    @property
    def awaits_next(self) -> bool:
        """Return whether the first event after a resumption is missing."""
        return self._awaits_next

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk; return the bytes of all events that are now complete.

        Raises:
            EventTooLong: The last event has become too long.
            NotContinued: The first event doesn't follow the last one of the
                stream that is resumed.
        """
        data = self._pending + chunk
        end = data.rfind(EVENT_END)
        if end < 0:
            if len(data) > MAX_EVENT_BYTES:
                raise EventTooLong(f"an event of over {MAX_EVENT_BYTES} bytes")
            self._pending = data
            return b""
        complete, self._pending = (
            data[: end + len(EVENT_END)],
            data[end + len(EVENT_END) :],
        )
        blocks = complete.split(EVENT_END)[:-1]
        if self._awaits_next:
            self._check_first(blocks)
        newest_ids = list(_event_ids(reversed(blocks)))
        if newest_ids:
            self.may_resume = newest_ids[0] != ""
            self.last_event_id = next(
                filter(None, newest_ids), self.last_event_id
            )
        return complete

    def _check_first(self, blocks: list[bytes]) -> None:
        for event_id in _event_ids(blocks):
            if not event_id or int(event_id) <= self._after_number:
                raise NotContinued(
                    f"the stream goes on with event {event_id or 'without id'}"
                    f" after event {self._after_number}"
                )
            self._awaits_next = False
            return


def _event_ids(blocks: Iterable[bytes]) -> Iterator[str]:
    """Yield the id of each event, empty if it has no usable one.

    Comments are no events.
    """
    for block in blocks:
        lines = [
            line
            for line in block.split(b"\n")
            if line and not line.startswith(COMMENT)
        ]
        if not lines:
            continue
        ids = [
            line[len(ID_FIELD) :].strip()
            for line in lines
            if line.startswith(ID_FIELD)
        ]
        is_usable = bool(ids) and EVENT_ID.fullmatch(ids[-1]) is not None
        yield ids[-1].decode() if is_usable else ""
