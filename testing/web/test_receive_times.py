"""Test of the time when a response arrived, however late it is read."""

import time

import pytest
from support import stuttering_server

from wisteriawall import clock
from wisteriawall.web import connection_pool
from wisteriawall.web import http_exchange

READ_AFTER_S = 0.3


@pytest.mark.parametrize("notes_times", [True, False])
def test_time_of_arrival_does_not_depend_on_the_time_of_reading(
    notes_times: bool,
) -> None:
    """A first token was counted when its thread got the processor."""
    body = b"x" * 100_000
    server = stuttering_server.StutteringServer(
        lambda _: stuttering_server.answer_bytes(body)
    )
    pool = connection_pool.ConnectionPool(connect_timeout_s=5.0)
    exchange = http_exchange.HttpExchange(pool)
    try:
        exchange.send(
            server.address,
            method="GET",
            target="/",
            headers={"Host": "h"},
            body=None,
            timeout_s=5.0,
            notes_times=notes_times,
        )
        time.sleep(READ_AFTER_S)
        read_ms = clock.wall_ms()
        assert len(next(exchange.body_chunks())) > 0
        arrived_ms = exchange.received_wall_ms
        if notes_times:
            assert arrived_ms is not None
            assert read_ms - 5_000 < arrived_ms < read_ms
        else:
            assert arrived_ms is None
        assert 0 < exchange.sent_ms <= clock.monotonic_ms()
    finally:
        exchange.close()
        pool.close()
        server.close()
