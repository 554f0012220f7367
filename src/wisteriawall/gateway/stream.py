"""Split server-sent event streams at event boundaries for resuming."""

from typing import final

from wisteriawall import errors

__all__ = ["EventScanner", "EventTooLong"]

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
MAX_EVENT_BYTES = 1024 * 1024


@final
class EventTooLong(errors.WisteriawallError):
    """An event has no end within `MAX_EVENT_BYTES`."""


@final
class EventScanner:
    """Pass on only complete events of a stream of chunks.

    `last_event_id` is the id of the last complete event, empty before the
    first.
    """

    __slots__ = ("_pending", "last_event_id")

    def __init__(self) -> None:
        self._pending = b""
        self.last_event_id = ""

    @property
    def incomplete(self) -> bytes:
        """Return the bytes that arrived after the last complete event."""
        return self._pending

    def discard_incomplete(self) -> None:
        """Drop a partial event, before the stream resumes on another runner.

        The new runner continues after `last_event_id`.
        """
        self._pending = b""

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk; return the bytes of all events that are now complete.

        Raises:
            EventTooLong: The last event has become too long.
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
        for line in reversed(complete.split(b"\n")):
            if line.startswith(ID_FIELD):
                self.last_event_id = line[len(ID_FIELD) :].strip().decode()
                break
        return complete
