"""Calls of singleton duties to the platform."""

from collections.abc import Callable
import math
from typing import final

import msgspec

from wisteriawall.control import duties
from wisteriawall.control import duty_sender
from wisteriawall.control import state
from wisteriawall.control import usage
from wisteriawall.platform import settings as settings_lib
from wisteriawall.wire import http_call

__all__ = [
    "DutyClient",
    "duty_settings",
    "usage_settings",
]

USAGE_PATH = "/usage"
HOLDER = "X-Wisteriawall-Duty-Holder"
FENCING_TOKEN = "X-Wisteriawall-Fencing-Token"
# Together far below the time for which a former holder may still act.
CONNECT_TIMEOUT_S = 0.4
CALL_TIMEOUT_S = 1.0
# Nothing in a response is needed but its status.
MAX_RESPONSE_BYTES = 4 * 1024
ACCEPTED_STATUS = 200
MS_PER_S = 1_000


@final
class _Usage(msgspec.Struct, frozen=True):
    window_id: int
    counts: dict[str, int]


@final
class DutyClient:
    """Makes the calls under the name of this node.

    Args:
        address: Host and port of the platform's API.
        holder: Name of this node.
    """

    def __init__(self, *, address: str, holder: str) -> None:
        self._address = address
        self._holder = holder

    def send_usage(
        self,
        report: state.UsageWindow,
        token: int,
        check: Callable[[], None],
    ) -> None:
        """Send a usage report; the same report has always the same bytes.

        Args:
            report: The report.
            token: Fencing token.
            check: Called right before the request is sent; raises `DutyFailed`
                if this node may not act any more.

        Raises:
            duty_sender.DutyFailed: The platform did not accept it, or the
                response was lost.
        """
        counts = dict(sorted(report.count_by_account.items()))
        body = msgspec.json.encode(_Usage(report.window, counts))
        try:
            response = http_call.call(
                "POST",
                f"http://{self._address}{USAGE_PATH}",
                timeout_s=CONNECT_TIMEOUT_S,
                total_timeout_s=CALL_TIMEOUT_S,
                body=body,
                headers={
                    "Content-Type": "application/json",
                    HOLDER: self._holder,
                    FENCING_TOKEN: str(token),
                },
                max_body_bytes=MAX_RESPONSE_BYTES,
                resets=True,
                check=check,
            )
        except http_call.CallFailed as error:
            raise duty_sender.DutyFailed(str(error)) from error
        if response.status != ACCEPTED_STATUS:
            raise duty_sender.DutyFailed(
                f"got status {response.status}, expected {ACCEPTED_STATUS}"
            )


def duty_settings(settings: settings_lib.Settings) -> duties.DutySettings:
    """Return the limits of the deployment on duties."""
    return duties.DutySettings(
        lease_ms=max(0, settings.bounds.lease_ms),
        per_s=settings.cloud_api.duty_per_s,
    )


def usage_settings(
    settings: settings_lib.Settings,
) -> usage.UsageSettings | None:
    """Return the windows of usage, None if no usage is reported."""
    window_ms = settings.usage_window_ms
    late_s = settings.bounds.usage_late_s
    if not window_ms or not math.isfinite(late_s):
        return None
    return usage.UsageSettings(
        window_ms=window_ms, late_ms=max(0, round(late_s * MS_PER_S))
    )
