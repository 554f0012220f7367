"""Whole events of a stream, and the id at which it could be resumed."""

from typing import final

__all__ = ["EventScanner"]

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


@final
class EventScanner:
    """Cut a stream at the ends of its events.

    `last_event_id` is the id of the last whole event, empty before the first.
    """

    __slots__ = ("_pending", "last_event_id")

    def __init__(self) -> None:
        self._pending = b""
        self.last_event_id = ""

    @property
    def rest(self) -> bytes:
        """Return what came after the last whole event."""
        return self._pending

    def restart(self) -> None:
        """Drop an event that was cut: the stream goes on after the last."""
        self._pending = b""

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that are whole now, as they arrived."""
        data = self._pending + chunk
        end = data.rfind(EVENT_END)
        if end < 0:
            self._pending = data
            return b""
        whole, self._pending = (
            data[: end + len(EVENT_END)],
            data[end + len(EVENT_END) :],
        )
        for line in reversed(whole.split(b"\n")):
            if line.startswith(ID_FIELD):
                self.last_event_id = line[len(ID_FIELD) :].strip().decode()
                break
        return whole
