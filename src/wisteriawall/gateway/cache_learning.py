"""Decides whom a gateway that has started asks what engines hold.

After a loss of power of all VMs the engines' KV caches are warm, but no gateway
knows what they hold. The gateways divide the engines among themselves by a
rendezvous hash, and each asks its engines once and tells the others. Engines
are asked for that only if every gateway has just started: each call delays an
engine's work. Nothing here waits for an answer, and requests are placed
meanwhile with what is known.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import hashlib
from typing import TypeAlias
from typing import final

from wisteriawall.wire import gateway_messages

__all__ = [
    "Announce",
    "AskEngine",
    "AskPeer",
    "Finish",
    "Learning",
    "Step",
    "Wait",
    "owner",
]

# Gateways that start together become known to the leader within 300 ms, and to
# each other with the next poll, which takes 100 ms while a gateway learns.
MIN_SETTLE_MS = 400
MAX_SETTLE_MS = 800
# The list of gateways has settled if it did not change for this long.
UNCHANGED_MS = 250
# A gateway that has served for this long knows what it was sent meanwhile, or
# what the gateways that started with it have asked for.
LONG_UP_MS = 2_500
# The chance that all of these started lately while others did not is small.
MAX_CALLS_TO_PEERS = 4
# What engines hold is known from the requests by then.
MAX_LEARNING_MS = 10_000


@final
@dataclasses.dataclass(slots=True, frozen=True)
class Wait:
    """Nothing to do yet."""


@final
@dataclasses.dataclass(slots=True, frozen=True)
class Announce:
    """Repeat the load events of the requests in progress at this gateway.

    Until then, not every gateway had the others in its list.
    """


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AskPeer:
    """Ask a gateway how long it has served."""

    name: str
    address: str


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class AskEngine:
    """Ask an engine what it holds, and tell the other gateways."""

    engine: gateway_messages.Upstream


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Finish:
    """Nothing is left to learn; `reason` says why."""

    reason: str


Step: TypeAlias = Wait | Announce | AskPeer | AskEngine | Finish


def owner(names: Iterable[str], upstream_id: str) -> str:
    """Return which of these gateways asks an engine.

    Every gateway that knows the same names comes to the same result. If one
    name is missing, only the engines of that gateway move.
    """
    return max(
        names,
        key=lambda name: hashlib.blake2b(
            f"{upstream_id}/{name}".encode(), digest_size=8
        ).digest(),
    )


@final
class Learning:
    """What a gateway has learned since its start, and what it does next.

    Args:
        name: Name of this gateway.
    """

    __slots__ = (
        "_address_by_peer",
        "_asked_engines",
        "_asked_peers",
        "_calls_to_peers",
        "_changed_ms",
        "_complete_ms",
        "_has_announced",
        "_is_finished",
        "_name",
        "_told_engines",
        "_young_peers",
    )

    def __init__(self, name: str) -> None:
        self._name = name
        self._address_by_peer: dict[str, str] = {}
        self._changed_ms = 0
        self._complete_ms: int | None = None
        self._asked_peers: set[str] = set()
        self._calls_to_peers = 0
        self._young_peers = 0
        self._asked_engines: set[str] = set()
        self._told_engines: set[str] = set()
        self._has_announced = False
        self._is_finished = False

    @property
    def needs_peers(self) -> bool:
        """Return whether the list of gateways still has to settle."""
        return not self._has_announced and not self._is_finished

    def note_peers(
        self, address_by_peer: Mapping[str, str], now_ms: int
    ) -> None:
        """Record the RPC addresses of the other gateways, as control lists."""
        if self._address_by_peer != address_by_peer:
            self._address_by_peer = dict(address_by_peer)
            self._changed_ms = now_ms

    def note_complete(self, now_ms: int) -> None:
        """Record that the routing table and the list of runners are known."""
        if self._complete_ms is None:
            self._complete_ms = now_ms

    def note_told(self, start_id: str) -> None:
        """Record that another gateway told what an engine holds."""
        if not self._is_finished:
            self._told_engines.add(start_id)

    def note_peer(self, up_ms: int | None) -> None:
        """Record how long the gateway asked last has served.

        None stands for no answer.
        """
        if up_ms is not None and up_ms < LONG_UP_MS:
            self._young_peers += 1
        elif up_ms is not None:
            self._is_finished = True

    def up_ms(self, now_ms: int) -> int:
        """Return how long this gateway has been able to serve."""
        return 0 if self._complete_ms is None else now_ms - self._complete_ms

    def next_step(
        self, engines: Iterable[gateway_messages.Upstream], now_ms: int
    ) -> Step:
        """Return what to do now; each step is returned once.

        Args:
            engines: Engines of the newest list of runners.
            now_ms: Monotonic clock.
        """
        if self._is_finished:
            return Finish(reason="another gateway has served for long")
        if self._complete_ms is None or not self._has_settled(now_ms):
            return Wait()
        if not self._has_announced:
            self._has_announced = True
            return Announce()
        if now_ms - self._complete_ms > MAX_LEARNING_MS:
            return self._finish("too late")
        peer = self._next_peer()
        if peer is not None:
            return peer
        if self._address_by_peer and not self._young_peers:
            # The others may have been up for long.
            return self._finish("no other gateway answered")
        names = {self._name, *self._address_by_peer}
        for engine in sorted(engines, key=_asking_order):
            start_id = engine.start_id
            if start_id in self._asked_engines | self._told_engines:
                continue
            if owner(names, engine.upstream_id) == self._name:
                self._asked_engines.add(start_id)
                return AskEngine(engine=engine)
        return self._finish("all gateways started lately")

    def _has_settled(self, now_ms: int) -> bool:
        assert self._complete_ms is not None
        settling_ms = now_ms - self._complete_ms
        if settling_ms >= MAX_SETTLE_MS:
            return True
        unchanged_ms = now_ms - self._changed_ms
        return settling_ms >= MIN_SETTLE_MS and unchanged_ms >= UNCHANGED_MS

    def _next_peer(self) -> AskPeer | None:
        """Return a gateway to ask, in an order of this gateway's own.

        If none of a few has answered, they are asked again.
        """
        if self._calls_to_peers >= MAX_CALLS_TO_PEERS:
            return None
        listed = {n for n, address in self._address_by_peer.items() if address}
        names = listed - self._asked_peers
        if not names and not self._young_peers:
            names = listed
        if not names:
            return None
        name = owner(names, self._name)
        self._asked_peers.add(name)
        self._calls_to_peers += 1
        return AskPeer(name=name, address=self._address_by_peer[name])

    def _finish(self, reason: str) -> Finish:
        self._is_finished = True
        return Finish(reason=reason)


def _asking_order(engine: gateway_messages.Upstream) -> tuple[bool, str]:
    """Return a key that puts prefill engines first, which hold most."""
    is_prefill_engine = engine.stage is gateway_messages.Stage.PREFILL
    return not is_prefill_engine, engine.upstream_id
