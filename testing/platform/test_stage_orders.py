"""Tests of the order call to a stand-in of a runner."""

from collections.abc import Iterator
import json
from typing import Any

import pytest

from wisteriawall.control import stage_director
from wisteriawall.platform import stage_orders
from wisteriawall.web import server as server_lib
from wisteriawall.wire import gateway_messages

ACCEPTED = stage_director.OrderResult.ACCEPTED
REFUSED = stage_director.OrderResult.REFUSED
UNKNOWN = stage_director.OrderResult.UNKNOWN


class OrderServer:
    """Runner that answers each order with `status`."""

    def __init__(self) -> None:
        """Serve on a free port."""
        self.status = 202
        self.orders: list[tuple[str, dict[str, Any], str]] = []
        self.http = server_lib.HttpServer(
            address="127.0.0.1:0", app=self._serve, threads=2
        )
        self.http.start()

    def _serve(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        body = json.loads(server_lib.read_body(environ))
        expected = server_lib.raw_headers(environ)[
            "X-Wisteriawall-Expect-Instance"
        ]
        call = f"{environ['REQUEST_METHOD']} {environ['PATH_INFO']}"
        self.orders.append((call, body, expected))
        return server_lib.send_response(
            start_response, status=self.status, body=b"{}"
        )


@pytest.fixture
def runner() -> Iterator[OrderServer]:
    server = OrderServer()
    yield server
    server.http.stop()


def _order(address: str) -> stage_director.StageOrder:
    return stage_director.StageOrder(
        upstream=gateway_messages.Upstream(
            upstream_id="i-1",
            service="model",
            address=address,
            zone="z",
            slots=8,
            stage=gateway_messages.Stage.DECODE,
        ),
        stage=gateway_messages.Stage.PREFILL,
        holder="c1",
        fencing_number=7,
    )


@pytest.mark.parametrize(
    ("status", "result"),
    [
        pytest.param(202, ACCEPTED, id="accepted"),
        pytest.param(200, ACCEPTED, id="already-done"),
        pytest.param(409, REFUSED, id="another-order"),
        pytest.param(412, REFUSED, id="low-fencing-number"),
        pytest.param(421, REFUSED, id="another-instance"),
    ],
)
def test_result_of_an_order(
    runner: OrderServer, status: int, result: stage_director.OrderResult
) -> None:
    runner.status = status
    assert stage_orders.send(_order(runner.http.address)) is result
    assert runner.orders == [
        (
            "POST /order",
            {
                "operation": "stage",
                "stage": "prefill",
                "holder": "c1",
                "fencing_token": 7,
            },
            "i-1",
        )
    ]


def test_an_order_without_an_answer_has_an_unknown_result(
    runner: OrderServer,
) -> None:
    address = runner.http.address
    runner.http.stop()
    assert stage_orders.send(_order(address)) is UNKNOWN
