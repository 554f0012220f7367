"""Body of a request, received before the request is served."""

import io
from typing import final

__all__ = ["NullSink", "ReceivedBody"]


@final
class NullSink:
    """Drops the bytes of a body that the application doesn't read."""

    def write(self, data: bytes, /) -> int:
        """Drop `data`."""
        return len(data)

    def getvalue(self) -> bytes:
        """Return no bytes."""
        return b""


@final
class ReceivedBody:
    """WSGI's `wsgi.input` for a body in memory.

    Args:
        sink: Has the bytes that were received.
        error: Raised by `read` for a body that can't be used.
        is_complete: Whether the body was received to its end.
    """

    def __init__(
        self,
        sink: io.BytesIO | NullSink,
        *,
        error: Exception | None,
        is_complete: bool,
    ) -> None:
        self._sink: io.BytesIO | NullSink | None = sink
        self._error = error
        self.is_complete = is_complete

    def read(self) -> bytes:
        """Return the whole body; a second call returns nothing.

        Raises:
            MaxSizeExceeded: The body is too large.
            ValueError: The body is malformed.
        """
        sink, self._sink = self._sink, None
        if sink is None:
            return b""
        if self._error is not None:
            raise self._error
        return sink.getvalue()
