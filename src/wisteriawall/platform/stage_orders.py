"""Client of the runners' order call, which changes an engine's stage."""

from typing import final

import msgspec
import urllib3

from wisteriawall.control import stage_director
from wisteriawall.platform import header_names

__all__ = ["send"]

ORDER_PATH = "/order"
# A late order could arrive after one of the next leader.
ORDER_TIMEOUT_S = 1.0
ACCEPTED_STATUSES = (200, 202)


@final
class _Order(msgspec.Struct, frozen=True):
    operation: str
    stage: str
    # Name and fencing number of the leader that gives the order.
    holder: str
    fencing_token: int


def send(order: stage_director.StageOrder) -> stage_director.OrderResult:
    """Send one order, on a connection of its own, and return its result."""
    body = _Order(
        "stage", order.stage.value, order.holder, order.fencing_number
    )
    try:
        response = urllib3.request(
            "POST",
            f"http://{order.upstream.address}{ORDER_PATH}",
            body=msgspec.json.encode(body),
            headers={
                "Content-Type": "application/json",
                "Connection": "close",
                header_names.EXPECT_INSTANCE: order.upstream.upstream_id,
            },
            timeout=ORDER_TIMEOUT_S,
            retries=False,
        )
    except urllib3.exceptions.HTTPError:
        return stage_director.OrderResult.UNKNOWN
    if response.status in ACCEPTED_STATUSES:
        return stage_director.OrderResult.ACCEPTED
    return stage_director.OrderResult.REFUSED
