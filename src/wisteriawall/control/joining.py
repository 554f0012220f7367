"""Request membership for a replica that is not a member of the cluster."""

from collections.abc import Mapping
import logging
import threading
from typing import Protocol
from typing import final

from wisteriawall.wire import control_client
from wisteriawall.wire import gateway_messages

__all__ = ["ClusterJoiner"]

_LOG = logging.getLogger("control")

REQUEST_INTERVAL_S = 0.5
# Leaders send every 100 ms; a member without a leader for longer may have been
# removed while it was stopped or disconnected.
LEADER_TIMEOUT_MS = 1_000


class Replica(Protocol):
    """The methods of the joining replica that `ClusterJoiner` uses."""

    def has_recent_leader(self, *, within_ms: int) -> bool:
        """Return whether this member had a leader's message that recently."""

    def set_peer_addresses(
        self, peer_address_by_replica: Mapping[str, str]
    ) -> None:
        """Use these addresses of members until the log contains them."""


@final
class ClusterJoiner:
    """Asks the leader, in a thread, for membership whenever it is missing.

    Args:
        replica: The replica that joins.
        request: Name and addresses under which it joins.
        client: Client of the control replicas whose addresses are known.
    """

    def __init__(
        self,
        *,
        replica: Replica,
        request: gateway_messages.JoinRequest,
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
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Signal the thread to end, without waiting for it."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.wait(REQUEST_INTERVAL_S):
            if self._replica.has_recent_leader(within_ms=LEADER_TIMEOUT_MS):
                continue
            try:
                reply = self._client.ask(self._request).reply
            except control_client.ControlUnavailable as error:
                _LOG.info(
                    "control: request to join the cluster failed, retrying: %s",
                    error,
                )
                continue
            _LOG.info(
                "control: sent a request to join the cluster, reply: %s",
                reply,
            )
            if isinstance(reply, gateway_messages.JoinReply):
                self._replica.set_peer_addresses(reply.peer_address_by_replica)
