"""Join a replica that the membership does not name, or that was removed."""

from collections.abc import Mapping
import logging
import threading
from typing import Protocol
from typing import final

from wisteriawall.wire import control_client
from wisteriawall.wire import site_messages

__all__ = ["Joining"]

_LOG = logging.getLogger("control")

ASK_S = 0.5
# Elections end well within this; a member that hears no leader for longer may
# have been removed while it was away.
SILENCE_MS = 3_000


class Replica(Protocol):
    """What joining needs to know of the replica."""

    def is_settled(self, *, silence_ms: int) -> bool:
        """Tell whether this member heard a leader within `silence_ms`."""

    def know_peers(self, peer_address_by_replica: Mapping[str, str]) -> None:
        """Reach these members until the log names them."""


@final
class Joining:
    """Ask the leader for membership for as long as it is missing.

    Args:
        replica: The replica that joins.
        request: What to ask.
        client: Calls the control replicas that are known.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        request: site_messages.JoinReplicas,
        client: control_client.ControlClient,
    ) -> None:
        self._replica = replica
        self._request = request
        self._client = client
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="joining", daemon=True
        )

    def start(self) -> None:
        """Start asking when needed."""
        self._thread.start()

    def stop(self) -> None:
        """Stop asking."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.wait(ASK_S):
            if self._replica.is_settled(silence_ms=SILENCE_MS):
                continue
            try:
                reply = self._client.call(self._request)
            except control_client.ControlUnavailable as error:
                _LOG.info("control: not joined yet: %s", error)
                continue
            _LOG.info("control: asked to join: %s", reply)
            if isinstance(reply, site_messages.JoinReply):
                self._replica.know_peers(reply.peer_address_by_replica)
