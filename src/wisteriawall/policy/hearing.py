"""Whether a gateway gets the load events of the other gateways.

Load events are datagrams, some of which are lost. A gateway that gets few of
them, while it reaches control, acts on what it sends itself alone. Control
counts the events that gateways send, so that each can tell.
"""

from typing import final

__all__ = ["Hearing"]

# Fewer events say little.
MIN_EVENTS = 20
# Of the events of others; more than half of them may be late or lost by chance.
MIN_HEARD_SHARE = 0.5


@final
class Hearing:
    """Compares the load events that others sent with those that arrived.

    `hears` is false while most of them don't arrive.
    """

    __slots__ = ("_base_heard", "_base_sent", "hears")

    def __init__(self) -> None:
        self._base_sent = -1
        self._base_heard = 0
        self.hears = True

    def note(self, *, sent: int, heard: int) -> bool:
        """Record both counts; return whether `hears` has changed.

        Args:
            sent: Events that the other gateways sent, as control counts them
                since its leader began; below 0 if it does not.
            heard: Events of others that arrived here.
        """
        if sent < 0:
            return False
        if not 0 <= self._base_sent <= sent:
            self._base_sent, self._base_heard = sent, heard
            return False
        sent_lately = sent - self._base_sent
        if sent_lately < MIN_EVENTS:
            return False
        heard_share = (heard - self._base_heard) / sent_lately
        self._base_sent, self._base_heard = sent, heard
        heard_before, self.hears = self.hears, heard_share >= MIN_HEARD_SHARE
        return self.hears is not heard_before
