"""Tests of a gateway's decisions about the keys of client accounts."""

from collections.abc import Iterator
import contextlib
import random
import time

import msgspec
import pytest
from support import plain_table
from support import replay
from support import scripted_server

from wisteriawall import clock
from wisteriawall.config import accounts as accounts_lib
from wisteriawall.config import route_table
from wisteriawall.gateway import accounts
from wisteriawall.gateway import events
from wisteriawall.gateway import placing
from wisteriawall.gateway import protocol
from wisteriawall.gateway import reducer
from wisteriawall.gateway import state as state_lib
from wisteriawall.policy import retry_window
from wisteriawall.web import connection_pool
from wisteriawall.web import http_exchange
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import gateway_messages

REVOKE_MS = 5_000
# Until then a gateway without contact must not refuse.
CONTACT_MS = 3_000
START_MS = 100_000
TABLE = plain_table.make(route_table.RequestKind.READ_ONLY)
[ROUTE] = TABLE.routes
RUNNERS = [
    gateway_messages.Upstream(
        upstream_id=f"i-{number}",
        service=plain_table.SERVICE,
        address=f"10.0.0.{number}:80",
        zone="z",
        slots=6,
    )
    for number in (1, 2, 3)
]


def key(text: str) -> protocol.ClientKey:
    """Return a key as a request has it."""
    return protocol.ClientKey(
        protocol.KeyKind.GIVEN, accounts_lib.key_digest(text)
    )


def make_table(number: int, *keys: str) -> route_table.RouteTable:
    """Return a table with an account of these keys, and a public route."""
    return msgspec.structs.replace(
        TABLE,
        number=number,
        routes=[
            ROUTE,
            msgspec.structs.replace(ROUTE, prefix="/open/", public=True),
        ],
        accounts=[accounts_lib.make("acme", keys, 0)],
    )


class Caller:
    """A gateway in virtual time, and its callers."""

    def __init__(self, *, revoke_ms: int | None = REVOKE_MS) -> None:
        """Start a gateway without a table."""
        self.now_ms = START_MS
        self._keys = iter(range(1, 100))
        self.gateway = state_lib.Gateway(
            name="g",
            zone="z",
            random=random.Random(1),
            tuning=state_lib.Tuning(revoke_ms=revoke_ms),
            retries=retry_window.RetryWindow(
                window_ms=10_000, ratio=0.5, slack=50
            ),
        )

    def poll(
        self,
        newest: int,
        table: route_table.RouteTable | None = None,
        runners: list[gateway_messages.Upstream] = RUNNERS,
    ) -> None:
        """Receive an answer of control, which may bring a table."""
        self.reduce(events.TableAnnounced(number=newest, now_ms=self.now_ms))
        self.reduce(
            events.ControlUpdate(
                table=table,
                upstreams=gateway_messages.UpstreamList(1, newest, runners),
                gateway_count=1,
                now_ms=self.now_ms,
                newest_table=newest,
                confirmed_ms=self.now_ms,
            )
        )

    def reduce(
        self, event: events.Event
    ) -> list[protocol.Send | events.Refuse]:
        """Reduce an event; return whether to send or to refuse."""
        return [
            effect
            for effect in reducer.reduce(self.gateway, event)
            if isinstance(effect, protocol.Send | events.Refuse)
        ]

    def send(
        self,
        key: protocol.ClientKey,
        path: str = "/x",
        *,
        host: str = "h",
        prompt: protocol.PromptTokens | None = None,
    ) -> protocol.Send | events.Refuse:
        """Send a request; return what the gateway does with it.

        The check of the head has to agree with the reducer.
        """
        refused = accounts.check_head(
            self.gateway, host=host, path=path, key=key, now_ms=self.now_ms
        )
        [effect] = self.reduce(
            events.Arrived(
                request_key=next(self._keys),
                request_id="r",
                host=host,
                path=path,
                head=protocol.RequestHead(
                    attempt_id="r", remaining_ms=9_000, prompt=prompt, key=key
                ),
                now_ms=self.now_ms,
            )
        )
        if refused is not None:
            assert effect == events.Refuse(refusal=refused.refusal)
        return effect

    def fail(self, run: refusal_lib.RunState) -> protocol.Send | events.Refuse:
        """Fail the phase of the first request; return what follows."""
        [effect] = self.reduce(
            events.PhaseFailed(
                request_key=1, run=run, reason="x", now_ms=self.now_ms
            )
        )
        return effect


def status(effect: protocol.Send | events.Refuse) -> int:
    """Return the status of a refusal, 0 for a request that is sent."""
    if isinstance(effect, protocol.Send):
        return 0
    assert (effect.refusal.status == 503) is bool(effect.refusal.retry_after_ms)
    return effect.refusal.status


@pytest.mark.parametrize(
    ("sent", "path", "expected"),
    [
        pytest.param(key("k1"), "/x", (0, "acme"), id="known"),
        pytest.param(key("k9"), "/x", (401, ""), id="unknown"),
        pytest.param(protocol.ClientKey(), "/x", (401, ""), id="missing"),
        pytest.param(
            protocol.ClientKey(protocol.KeyKind.MALFORMED),
            "/x",
            (401, ""),
            id="malformed",
        ),
        pytest.param(key("k1"), "/open/x", (0, "acme"), id="public-known"),
        pytest.param(key("k9"), "/open/x", (0, ""), id="public-unknown"),
    ],
)
def test_key_decides_on_the_request_and_its_account(
    sent: protocol.ClientKey, path: str, expected: tuple[int, str]
) -> None:
    caller = Caller()
    caller.poll(1, make_table(1, "k1"))
    effect = caller.send(sent, path)
    account = effect.account if isinstance(effect, protocol.Send) else ""
    assert (status(effect), account) == expected
    assert isinstance(effect, events.Refuse) or effect.hides_key


def test_requests_need_no_key_without_accounts() -> None:
    caller = Caller()
    caller.poll(1, msgspec.structs.replace(TABLE, accounts=None))
    caller.now_ms += 10 * REVOKE_MS
    effect = caller.send(protocol.ClientKey())
    assert isinstance(effect, protocol.Send)
    assert (effect.hides_key, effect.valid_until_ms) == (False, None)


@pytest.mark.parametrize(
    ("revoke_ms", "elapsed_ms", "path", "expected"),
    [
        pytest.param(REVOKE_MS, CONTACT_MS, "/x", 0, id="short-cut"),
        pytest.param(REVOKE_MS, REVOKE_MS - 1, "/x", 503, id="long-cut"),
        pytest.param(REVOKE_MS, 3_600_000, "/x", 503, id="pause"),
        pytest.param(REVOKE_MS, 3_600_000, "/open/x", 0, id="public"),
        pytest.param(None, 3_600_000, "/x", 0, id="not-strict"),
    ],
)
def test_gateway_without_contact_refuses_in_time(
    revoke_ms: int | None, elapsed_ms: int, path: str, expected: int
) -> None:
    """A key that was withdrawn meanwhile would be accepted for good."""
    caller = Caller(revoke_ms=revoke_ms)
    caller.poll(1, make_table(1, "k1"))
    caller.now_ms += elapsed_ms
    assert status(caller.send(key("k1"), path)) == expected
    if expected:
        caller.poll(1)
        assert status(caller.send(key("k1"), path)) == 0


def test_account_of_an_unproved_key_is_not_named_on_a_public_route() -> None:
    caller = Caller()
    caller.poll(1, make_table(1, "k1"))
    caller.now_ms += REVOKE_MS
    effect = caller.send(key("k1"), "/open/x")
    assert isinstance(effect, protocol.Send)
    assert effect.account == ""


@pytest.mark.parametrize("revoke_ms", [None, REVOKE_MS])
def test_table_of_a_gateway_that_is_behind_allows_no_key_after_a_start(
    revoke_ms: int | None,
) -> None:
    """A withdrawn key was in use again at a gateway that had started anew."""
    caller = Caller(revoke_ms=revoke_ms)
    caller.poll(3, make_table(2, "k1"))
    assert status(caller.send(key("k1"))) == 503
    caller.poll(3, make_table(3, "k2"))
    assert status(caller.send(key("k1"))) == 401
    assert status(caller.send(key("k2"))) == 0


def test_newer_table_that_is_not_here_may_know_the_key() -> None:
    """401 is final, as 404 is."""
    caller = Caller()
    caller.poll(1, make_table(1, "k1"))
    caller.poll(2)
    assert status(caller.send(key("k2"))) == 503
    assert status(caller.send(key("k1"))) == 0


@pytest.mark.parametrize("revoke_ms", [None, 10 * REVOKE_MS])
def test_key_is_not_denied_by_a_table_that_may_be_outdated(
    revoke_ms: int | None,
) -> None:
    """A key that was added while polls waited was refused for good."""
    caller = Caller(revoke_ms=revoke_ms)
    config_ms = caller.gateway.tuning.config_ms
    caller.poll(1, make_table(1, "k1"))
    caller.now_ms += config_ms
    assert status(caller.send(key("k2"))) == 401
    caller.now_ms += 1
    assert status(caller.send(key("k2"))) == 503
    assert status(caller.send(key("k1"))) == 0
    caller.poll(1)
    assert status(caller.send(key("k2"))) == 401


def test_key_that_a_later_table_restores_works_again() -> None:
    caller = Caller()
    statuses = []
    for number, keys in enumerate((["k1"], ["k2"], ["k1"]), start=1):
        caller.poll(number, make_table(number, *keys))
        statuses.append(status(caller.send(key("k1"))))
    assert statuses == [0, 401, 0]


@pytest.mark.parametrize(
    ("run", "expected"),
    [
        pytest.param(refusal_lib.RunState.NOT_RUN, 401, id="not-run"),
        pytest.param(refusal_lib.RunState.UNKNOWN, 502, id="may-have-run"),
    ],
)
def test_retry_looks_the_key_up_again(
    run: refusal_lib.RunState, expected: int
) -> None:
    """The retry reached a runner with a key that was withdrawn meanwhile."""
    caller = Caller()
    caller.poll(1, make_table(1, "k1"))
    assert status(caller.send(key("k1"))) == 0
    caller.poll(2, make_table(2, "k2"))
    assert status(caller.fail(run)) == expected


def test_retry_needs_a_proof_too() -> None:
    caller = Caller()
    caller.poll(1, make_table(1, "k1"))
    assert status(caller.send(key("k1"))) == 0
    caller.now_ms += REVOKE_MS
    assert status(caller.fail(refusal_lib.RunState.NOT_RUN)) == 503


def test_decode_phase_needs_a_key_that_is_still_valid() -> None:
    """The key was withdrawn while another engine ran the prefill."""
    caller = Caller()
    tables = [
        msgspec.structs.replace(
            replay.TABLE,
            number=number,
            accounts=[accounts_lib.make("acme", [text], 0)],
        )
        for number, text in ((1, "k1"), (2, "k2"))
    ]
    engines = [
        replay.upstream("p", gateway_messages.Stage.PREFILL),
        replay.upstream("d", gateway_messages.Stage.DECODE),
    ]
    caller.poll(1, tables[0], engines)
    prompt = protocol.PromptTokens(
        model="m", parts=(("a", 900),), input_tokens=900, output_tokens=20
    )
    prefill = caller.send(
        key("k1"), "/brief/x", host=replay.HOST, prompt=prompt
    )
    assert isinstance(prefill, protocol.Send)
    assert prefill.phase is protocol.Phase.PREFILL
    # The account has rank 0, and the route rank 2.
    assert prefill.priority_class == 2
    caller.poll(2, tables[1], engines)
    done = events.PrefillDone(
        request_key=1, transfer_handle="t", now_ms=caller.now_ms
    )
    [effect] = caller.reduce(done)
    assert status(effect) == 401


def test_malformed_accounts_do_not_stop_the_list_of_runners() -> None:
    caller = Caller()
    shared = [accounts_lib.make(name, ["k1"], None) for name in ("a", "b")]
    caller.poll(1, msgspec.structs.replace(make_table(1), accounts=shared))
    assert caller.gateway.route_index is None
    assert "AccountsInvalid" in caller.gateway.error_by_part["table"]
    assert len(caller.gateway.upstream_by_id) == len(RUNNERS)


@contextlib.contextmanager
def paused_pool(pause_s: float) -> Iterator[connection_pool.ConnectionPool]:
    """Yield a pool whose process is paused while it opens a connection."""

    def acquire(*args: object, **options: object) -> object:
        time.sleep(pause_s)
        return connect(*args, **options)  # type: ignore[arg-type]

    pool = connection_pool.ConnectionPool()
    connect = pool.acquire
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(pool, "acquire", acquire)
        yield pool
    pool.close()


def test_gateway_paused_after_the_check_does_not_send() -> None:
    """A request was sent on by an outdated proof after the pause."""
    runner = scripted_server.ScriptedServer()
    runner.script = [b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"]
    with paused_pool(0.1) as pool:
        exchange = http_exchange.HttpExchange(pool)
        with pytest.raises(http_exchange.NotSent):
            exchange.send(
                runner.address,
                method="GET",
                target="/",
                headers={},
                body=None,
                timeout_s=5.0,
                send_by_ms=clock.monotonic_ms() + 50,
            )
        exchange.close()
    runner.close()
    assert len(runner.script) == 1


@pytest.mark.parametrize(
    ("account_ranks", "route_ranks"),
    [
        pytest.param((0, 1), (2, 0), id="account-before-route"),
        pytest.param((1, 1), (0, 2), id="route-within-a-rank-of-accounts"),
        pytest.param((0, 1), (9, -9), id="ranks-out-of-range"),
        pytest.param((-5, 1), (0, 0), id="account-rank-below-0"),
    ],
)
def test_first_of_two_requests_is_the_more_urgent_one(
    account_ranks: tuple[int, int], route_ranks: tuple[int, int]
) -> None:
    """Short requests waited behind long ones of accounts of the same rank."""
    [first, second] = [
        state_lib.Request(
            request_key=1,
            request_id="a",
            head=protocol.RequestHead(
                attempt_id="a", remaining_ms=1, prompt=None
            ),
            route=msgspec.structs.replace(
                replay.TABLE.routes[0], rank=route_rank
            ),
            service=replay.TABLE.services[0],
            arrived_ms=0,
            account_rank=account_rank,
        )
        for account_rank, route_rank in zip(
            account_ranks, route_ranks, strict=True
        )
    ]
    classes = [placing.priority_class(each) for each in (first, second)]
    assert 0 <= classes[0] < classes[1] < placing.LATE_PRIORITY_CLASS
