"""Tests with a runner that names a limit for all gateways together."""

from collections.abc import Iterator
import contextlib
import itertools
import pathlib
import time
from typing import Any

from support import platform_site as sites

GATEWAYS = 6
# Far below one request a window for each gateway.
LIMIT_PER_S = 0.4
WINDOW_S = 4.0
CONTACT_S = 3.0
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
PAUSE_S = 0.02


class LimitedRunner(sites.StandInRunner):
    """Names its limit in each answer; `arrived_s` are the requests' times."""

    def __init__(self, name: str, limit: float | None) -> None:
        """Listen on a free port."""
        self.arrived_s: list[float] = []
        self.limit = limit
        super().__init__(name, "shop")

    def _run(
        self,
        connection: Any,
        headers_by_name: dict[str, str],
        head: str,
        body: bytes,
    ) -> bool:
        self.arrived_s.append(time.monotonic())
        if self.limit is not None:
            head += f"Server-Limit: {self.limit}\r\n"
        return super()._run(connection, headers_by_name, head, body)


def most_in_window(times_s: list[float], window_s: float) -> int:
    """Return the most of these times in any window of this length."""
    return max(
        (
            sum(start_s <= at_s < start_s + window_s for at_s in times_s)
            for start_s in times_s
        ),
        default=0,
    )


@contextlib.contextmanager
def _site_with(
    folder: pathlib.Path, runners: list[LimitedRunner]
) -> Iterator[sites.Site]:
    site = sites.Site(folder)
    site.runners += runners
    with contextlib.ExitStack() as stack:
        stack.callback(site.close)
        for number in range(1, GATEWAYS):
            gateway = site.add_gateway(f"g{number + 1}")
            stack.callback(gateway.stop)
        site.start_serving()
        for gateway in site.gateways:
            sites.wait_until(lambda g=gateway: g.is_ready, "all gateways")
        yield site


def test_runner_gets_no_more_than_its_limit_from_all_gateways_together(
    tmp_path: pathlib.Path,
) -> None:
    limited = LimitedRunner("i-1", LIMIT_PER_S)
    other = LimitedRunner("i-2", None)
    with _site_with(tmp_path, [limited, other]) as site:
        until_s = time.monotonic() + CONTACT_S + 2 * WINDOW_S
        addresses = itertools.cycle([g.address for g in site.gateways])
        for number in itertools.count():
            if time.monotonic() > until_s:
                break
            answer = site.call(
                "/read/", attempt=f"a{number}", gateway=next(addresses)
            )
            assert answer.status == 200
            time.sleep(PAUSE_S)
    named_s = limited.arrived_s[0]
    judged_s = [at for at in limited.arrived_s if at >= named_s + CONTACT_S]
    assert most_in_window(judged_s, WINDOW_S) <= MAX_IN_WINDOW
    assert other.arrived_s
