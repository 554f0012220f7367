"""Tests of calls to control while replicas that it knows are gone."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import heapq
import itertools
import socket
import threading

import pytest
from support import platform_site

from wisteriawall.demo import cluster
from wisteriawall.wire import control_client
from wisteriawall.wire import control_messages
from wisteriawall.wire import envelope
from wisteriawall.wire import gateway_messages
from wisteriawall.wire import replica_rounds
from wisteriawall.wire import transport

KEY = b"k" * 32
FOLLOW = gateway_messages.FollowRequest(
    "g1", 1, "127.0.0.1:1", 0, (0, 0), False
)
FOLLOWED = gateway_messages.Followed(0, 7, None, None, [], {})
# No test waits for it: what it guards against takes that long.
TIMEOUT_MS = 10_000 * platform_site.WAIT_S

# A change is in force this long after its acknowledgement.
CONFIG_MS = 2_000
# As in `gateway.shell`.
RPC_TIMEOUT_MS = 600
CALM_POLL_MS = 350
HURRIED_POLL_MS = 100


@contextlib.contextmanager
def _serve(handler: Callable[[], object | None]) -> Iterator[str]:
    codec: envelope.Codec[object] = envelope.Codec(
        message_type=object, key=KEY, sender=envelope.Sender("c", 1)
    )

    def answer(_: bytes) -> bytes | None:
        reply = handler()
        return None if reply is None else codec.encode(reply)

    server = transport.RpcServer(
        address=cluster.unused_loopback_address(), handler=answer, threads=2
    )
    server.start()
    try:
        yield server.address.removeprefix("tcp://")
    finally:
        server.close()


@contextlib.contextmanager
def _refusing() -> Iterator[str]:
    yield cluster.unused_loopback_address()


@contextlib.contextmanager
def _silent() -> Iterator[str]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        yield f"127.0.0.1:{listener.getsockname()[1]}"


@contextlib.contextmanager
def _mute() -> Iterator[str]:
    released = threading.Event()

    def wait() -> None:
        released.wait()

    with _serve(wait) as address:
        try:
            yield address
        finally:
            released.set()


@contextlib.contextmanager
def _naming_a_leader_that_is_gone() -> Iterator[str]:
    gone = cluster.unused_loopback_address()
    with _serve(lambda: control_messages.NotLeader(gone, gone)) as address:
        yield address


@pytest.mark.parametrize("is_seed", [False, True])
@pytest.mark.parametrize(
    "lost",
    [
        pytest.param(_refusing, id="refusing"),
        pytest.param(_silent, id="silent"),
        pytest.param(_mute, id="mute"),
        pytest.param(
            _naming_a_leader_that_is_gone, id="naming-a-leader-that-is-gone"
        ),
    ],
)
def test_leader_is_not_asked_before_lost_replicas_have_timed_out(
    lost: Callable[[], contextlib.AbstractContextManager[str]], is_seed: bool
) -> None:
    """Gateways waited for five lost replicas in turn with an old table."""
    asked_leader = threading.Event()

    def lead() -> object:
        asked_leader.set()
        return FOLLOWED

    answered: list[control_client.Asked] = []
    with contextlib.ExitStack() as closing_last, contextlib.ExitStack() as gone:
        leader = {"z": closing_last.enter_context(_serve(lead))}
        lost_ones = {f"c{n}": gone.enter_context(lost()) for n in range(5)}
        client = control_client.ControlClient(
            address_by_replica=lost_ones
            if is_seed
            else {**lost_ones, **leader},
            key=KEY,
            sender=envelope.Sender("g1", 1),
            timeout_ms=TIMEOUT_MS,
        )
        # After those that are mute have answered, so that their calls end.
        closing_last.callback(client.close)

        def ask() -> None:
            with contextlib.suppress(control_client.ControlUnavailable):
                answered.append(client.ask(FOLLOW, fallback=leader))

        thread = threading.Thread(target=ask, daemon=True)
        thread.start()
        assert asked_leader.wait(platform_site.WAIT_S)
        thread.join()
    [found] = answered
    assert (found.reply, found.replica) == (FOLLOWED, "z")


def test_request_that_must_run_once_reaches_one_replica_at_a_time() -> None:
    """A claim that is asked for twice at once could be granted to each."""
    asked_other = threading.Event()
    released = threading.Event()
    was_alone: list[bool] = []

    def wait() -> object:
        released.wait(platform_site.WAIT_S)
        was_alone.append(not asked_other.is_set())
        return control_messages.NotLeader("")

    def lead() -> object:
        asked_other.set()
        return control_messages.SettleReply(1)

    with _serve(wait) as first, _serve(lead) as second:
        client = control_client.ControlClient(
            address_by_replica={"c0": first, "c1": second},
            key=KEY,
            sender=envelope.Sender("e", 1),
            timeout_ms=TIMEOUT_MS,
        )
        with contextlib.closing(client):
            thread = threading.Thread(
                target=client.call,
                args=(control_messages.SettleRequest(1, "r", False, None),),
            )
            thread.start()
            # Longer than the delay after which `ask` asks the next replica.
            assert not asked_other.wait(4 * replica_rounds.ASK_DELAY_MS / 1_000)
            released.set()
            thread.join()
    assert was_alone == [True]


def test_calls_wait_anew_for_the_leader_that_is_gone() -> None:
    """Each of them asked it twice before the others, which had answered."""
    exchanged: list[str] = []
    request = control_messages.SettleRequest(1, "r", False, None)
    with (
        _serve(lambda: control_messages.NotLeader("c0")) as follower,
        _silent() as gone,
    ):
        client = control_client.ControlClient(
            address_by_replica={"c0": gone, "c1": follower},
            key=KEY,
            sender=envelope.Sender("e", 1),
            timeout_ms=200,
        )
        exchange = client._exchange

        def note(
            replica: str, request: control_messages.ControlRequest
        ) -> control_client._Result:
            exchanged.append(replica)
            return exchange(replica, request)

        with contextlib.closing(client), pytest.MonkeyPatch.context() as patch:
            patch.setattr(client, "_exchange", note)
            for _ in range(2):
                with pytest.raises(control_client.ControlUnavailable):
                    client.call(request)
    assert exchanged == ["c0", "c0", "c1", "c1", "c0"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Trouble:
    """What is lost at 0 ms, when `leader` was known as the leader.

    `successor` leads from `led_ms` on. The gateway knows `known`, and `seeds`.
    `is_silent` replicas that are gone had taken a request, on a connection.
    """

    known: str
    gone: str
    successor: str
    seeds: str = ""
    leader: str = "a"
    led_ms: int = 1_000
    is_silent: bool = False

    def answer(
        self, replica: str, asked_ms: int, *, is_first: bool
    ) -> tuple[int, bool, str | None]:
        """Return the end of a request, and how it ended.

        That is whether it was sent, and which leader was named, None if none.
        """
        if replica in self.gone:
            is_sent = self.is_silent and is_first
            return asked_ms + RPC_TIMEOUT_MS * (1 + is_sent), is_sent, None
        if asked_ms < self.led_ms:
            return asked_ms + 5, True, self.leader
        return asked_ms + 5, True, self.successor


def _poll_until_led(trouble: _Trouble, began_ms: int) -> int:
    """Return when a gateway whose first poll begins then has the answer."""
    replicas = replica_rounds.Replicas(trouble.leader)
    replicas.note_answered(trouble.leader, -1)
    known = list(trouble.known)
    now_ms = began_ms
    asked: set[str] = set()
    number = itertools.count()
    while now_ms < 60_000:
        round_ = replica_rounds.Round(replicas)
        requests: list[tuple[int, int, str, bool, str | None]] = []
        while True:
            replica = round_.next_replica(known, now_ms)
            if replica is not None:
                ended_ms, is_sent, named = trouble.answer(
                    replica, now_ms, is_first=replica not in asked
                )
                asked.add(replica)
                heapq.heappush(
                    requests,
                    (ended_ms, next(number), replica, is_sent, named),
                )
                continue
            if round_.wants_more(known, now_ms) and not set(
                trouble.seeds
            ) <= set(known):
                known += [s for s in trouble.seeds if s not in known]
                continue
            if not round_.is_waiting:
                break
            due_ms = now_ms + round_.wait_ms(now_ms)
            if not requests or requests[0][0] > due_ms:
                now_ms = due_ms
                continue
            now_ms, _, replica, is_sent, named = heapq.heappop(requests)
            if named is None:
                replicas.note_failed(replica, now_ms - 1, now_ms)
                round_.note_failed(replica, is_sent=is_sent, now_ms=now_ms)
            elif named == replica:
                return now_ms
            else:
                replicas.note_answered(replica, now_ms)
                round_.note_redirect(replica, named, now_ms)
        now_ms += HURRIED_POLL_MS
    raise AssertionError("no replica answered as the leader")


@pytest.mark.parametrize("is_silent", [False, True], ids=["refusing", "silent"])
@pytest.mark.parametrize(
    "trouble",
    [
        pytest.param(_Trouble(known="abc", gone="a", successor="b"), id="one"),
        pytest.param(
            _Trouble(known="abcde", gone="ab", successor="e", seeds="abc"),
            id="two-of-five",
        ),
        pytest.param(
            _Trouble(
                known="abcdefghi", gone="abcdxyz", successor="i", seeds="xyz"
            ),
            id="four-of-nine-and-all-seeds",
        ),
        pytest.param(
            _Trouble(known="abcde", gone="abcde", successor="z", seeds="xyz"),
            id="all-but-the-seeds",
        ),
        pytest.param(
            _Trouble(known="abcde", gone="abcdx", successor="z", seeds="xyz"),
            id="leader-is-a-seed",
        ),
    ],
)
def test_leader_is_found_later_than_a_change_may_take(
    trouble: _Trouble, is_silent: bool
) -> None:
    trouble = dataclasses.replace(trouble, is_silent=is_silent)
    for led_ms, began_ms in itertools.product(
        range(0, 3_000, 70), range(0, CALM_POLL_MS, 20)
    ):
        case = dataclasses.replace(trouble, led_ms=led_ms)
        found_ms = _poll_until_led(case, began_ms)
        assert found_ms - led_ms <= CONFIG_MS, (led_ms, began_ms)


def test_polls_in_calm_ask_nobody_but_the_leader() -> None:
    replicas = replica_rounds.Replicas("c")
    asked: list[str | None] = []
    for now_ms in range(0, 3_500, CALM_POLL_MS):
        round_ = replica_rounds.Round(replicas)
        asked += [
            round_.next_replica(["a", "b", "c"], now_ms),
            round_.next_replica(["a", "b", "c"], now_ms + 5),
        ]
        replicas.note_answered("c", now_ms + 5)
    assert asked == 10 * ["c", None]


def test_requests_in_progress_are_bounded() -> None:
    round_ = replica_rounds.Round(replica_rounds.Replicas("0"))
    known = [str(n) for n in range(50)]
    asked = [
        round_.next_replica(known, now_ms) for now_ms in range(0, 9000, 100)
    ]
    assert sum(replica is not None for replica in asked) == (
        replica_rounds.MAX_PENDING
    )


def test_followers_that_name_each_other_do_not_prolong_a_round() -> None:
    round_ = replica_rounds.Round(replica_rounds.Replicas("a"))
    asked = []
    now_ms = 0
    while (replica := round_.next_replica(["a", "b"], now_ms)) is not None:
        asked.append(replica)
        now_ms += 250
        round_.note_redirect(replica, "b" if replica == "a" else "a", now_ms)
    assert (asked, round_.is_waiting) == (["a", "b"], False)
