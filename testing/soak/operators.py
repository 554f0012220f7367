"""Operators that publish configurations and read them back."""

from collections.abc import Callable
import json
import random
import threading
import time
from typing import Any
from typing import final
import urllib.parse

from support import large_tables
from support import platform_site
import urllib3

from soak import accounts
from soak import records
from soak import schedule

CALL_TIMEOUT_S = 1.0
MAX_REDIRECTS = 2
RETRY_PAUSE_S = 0.1
# The pause after a failed try of a change doubles up to this.
MAX_RETRY_PAUSE_S = 0.8
# "Up to eight orders may be in progress at once."
MAX_CHANGES = 8
READ_GAP_S = (0.02, 0.2)
# Longer than any route is unavailable while processes restart.
ACKNOWLEDGEMENT_TIMEOUT_S = 20.0
# The first configuration "is resent until it is accepted".
FIRST_TIMEOUT_S = 60.0
ROUTE_TIMEOUT_MS = 12_000
ROUTE_TARGET_MS = 4_000
IDLE_MS = 2_000
BLOCK_ROUTES = 700


@final
class Configuration:
    """The configuration that the operator wants, changed by faults."""

    def __init__(self) -> None:
        """Start with the base routes."""
        self.version = 1
        self._extra: set[int] = set()
        self._blocks: set[int] = set()
        self._withdrawn: set[str] = set()
        self._moved: set[int] = set()
        self._weights = (50, 51)
        self._timeout_ms = ROUTE_TIMEOUT_MS

    def change(
        self,
        fault: (
            schedule.ToggleRoute
            | schedule.ToggleBlock
            | schedule.ToggleKey
            | schedule.SetWeights
            | schedule.SetTimeout
            | schedule.MoveRoute
        ),
    ) -> None:
        """Apply a change; the version grows by an uneven step."""
        self.version += 1 + self.version % 3
        match fault:
            case schedule.ToggleRoute(number=number):
                self._extra ^= {number}
            case schedule.ToggleBlock(number=number):
                self._blocks ^= {number}
            case schedule.ToggleKey(key=key):
                self._withdrawn ^= {key}
            case schedule.SetWeights(weights=weights):
                self._weights = weights
            case schedule.SetTimeout(timeout_ms=timeout_ms):
                self._timeout_ms = timeout_ms
            case schedule.MoveRoute(number=number):
                self._moved ^= {number}

    def moved_services(self, number: int) -> tuple[str, str]:
        """Return the former and the present service of a moved route."""
        return ("shop", "store") if number in self._moved else ("store", "shop")

    def document(self) -> dict[str, Any]:
        """Return the configuration in the operators' format."""
        document = platform_site.document(self.version)
        routes = [
            route
            | {
                "timeout_ms": ROUTE_TIMEOUT_MS,
                # Prompts are not turned away while runners are slow.
                "target_latency_ms": ROUTE_TARGET_MS,
            }
            for route in document["routes"]
        ]
        weighted = [
            {"service": name, "weight": weight}
            for name, weight in zip(
                ("shop", "store"), self._weights, strict=True
            )
        ]
        split = platform_site.route(
            accounts.PUBLIC_PREFIX,
            "read_only",
            "shop",
            timeout_ms=self._timeout_ms,
            public=True,
        )
        del split["service"]
        routes.append(split | {"weighted_services": weighted})
        routes += [
            platform_site.route(f"/extra-{number}/", "read_only", "shop")
            for number in sorted(self._extra)
        ]
        routes += [
            platform_site.route(
                f"/moved-{number}/",
                "read_only",
                self.moved_services(number)[1],
            )
            for number in range(schedule.MOVED_ROUTES)
        ]
        for number in sorted(self._blocks):
            block = large_tables.document(1, routes=BLOCK_ROUTES, seed=number)
            routes += block["routes"]
        services = [
            service | {"connection_limit": 400}
            for service in document["services"]
        ]
        store = services[0] | {"name": "store"}
        return document | {
            "routes": routes,
            "services": [*services, store],
            "tenants": accounts.document(self._withdrawn),
            "limits": document["limits"] | {"idle_ms": IDLE_MS},
        }


def services(document: dict[str, Any]) -> frozenset[tuple[str, str]]:
    """Return the prefix and the service of each route, all of a split one."""
    return frozenset(
        (route["path_prefix"], target["service"])
        for route in document["routes"]
        for target in route.get("weighted_services", [route])
    )


@final
class Operator:
    """Publishes configurations and reads them at all replicas.

    Args:
        seed: Seed of the choice of replicas.
        address_by_replica: Operator address of each replica, of those too that
            are started later or were removed.
        listed: Returns the names of those that are listed.
        seen: Records of its calls.
    """

    def __init__(
        self,
        *,
        seed: int,
        address_by_replica: dict[str, str],
        listed: Callable[[], list[str]],
        seen: records.Records,
    ) -> None:
        self._listed = listed
        # The replica that acknowledged last.
        self.leader = listed()[0]
        self._chance = random.Random(f"{seed}/operator")
        self._address_by_replica = address_by_replica
        self._replica_by_address = {
            address: name for name, address in address_by_replica.items()
        }
        self._seen = seen
        self._pool = urllib3.PoolManager(retries=False)
        self._stopping = threading.Event()
        self._reader = threading.Thread(target=self._keep_reading, daemon=True)
        self._writers: list[threading.Thread] = []
        self._turns = threading.Semaphore(MAX_CHANGES)

    def start(self) -> None:
        """Start to read the configuration."""
        self._reader.start()

    def stop(self) -> None:
        """Wait for the end of all calls."""
        for writer in self._writers:
            writer.join()
        self._stopping.set()
        self._reader.join()

    def publish(self, document: dict[str, Any]) -> None:
        """Send a configuration until it is acknowledged, in a thread."""
        writer = threading.Thread(
            target=self._publish_in_turn, args=(document,)
        )
        writer.start()
        self._writers.append(writer)

    def publish_first(self, document: dict[str, Any]) -> None:
        """Send a configuration until it is acknowledged."""
        writer = threading.Thread(
            target=self._publish, args=(document, FIRST_TIMEOUT_S)
        )
        writer.start()
        deadline_s = time.monotonic() + FIRST_TIMEOUT_S
        waiting = self._listed()
        while waiting and time.monotonic() < deadline_s:
            time.sleep(RETRY_PAUSE_S)
            waiting = [name for name in waiting if not self._answers(name)]
        self._seen.all_answer_s = time.monotonic()
        writer.join()

    def read_last(self) -> bool:
        """Read the configuration at the end; return whether it came."""
        deadline_s = time.monotonic() + ACKNOWLEDGEMENT_TIMEOUT_S
        waiting = set(self._listed())
        while waiting and time.monotonic() < deadline_s:
            for name in sorted(waiting):
                if self._read(self._address_by_replica[name], is_final=True):
                    waiting.discard(name)
            time.sleep(RETRY_PAUSE_S)
        return not waiting

    def _answers(self, name: str) -> bool:
        address = self._address_by_replica[name]
        url = f"http://{address}/Configuration.Get"
        return self._call("GET", url, redirects=0)[0] is not None

    def _publish_in_turn(self, document: dict[str, Any]) -> None:
        with self._turns:
            self._publish(document, ACKNOWLEDGEMENT_TIMEOUT_S)

    def _publish(self, document: dict[str, Any], timeout_s: float) -> None:
        body = json.dumps(document).encode()
        content = json.dumps(document, sort_keys=True)
        sent_s = time.monotonic()
        deadline_s = sent_s + timeout_s
        acknowledged_s, pause_s, name = 0.0, RETRY_PAUSE_S, ""
        tries: list[records.Try] = []
        while not acknowledged_s and time.monotonic() < deadline_s:
            name = self._chance.choice(
                [n for n in self._listed() if n != name] or self._listed()
            )
            address = self._address_by_replica[name]
            at_s = time.monotonic()
            response, url, error = self._call(
                "POST", f"http://{address}/Configuration.Put", body
            )
            ended_s = time.monotonic()
            status = 0 if response is None else response.status
            replica = self._replica_by_address[
                urllib.parse.urlsplit(url).netloc
            ]
            tries.append(records.Try(at_s, ended_s, replica, status, error))
            if status == 200:
                acknowledged_s, self.leader = ended_s, replica
            else:
                time.sleep(pause_s)
                pause_s = min(2 * pause_s, MAX_RETRY_PAUSE_S)
        self._seen.publications.append(
            records.Publication(
                document["version"],
                content,
                sent_s,
                acknowledged_s,
                frozenset(r["path_prefix"] for r in document["routes"]),
                accounts.keys(document),
                tuple(tries),
                services(document),
            )
        )

    def _keep_reading(self) -> None:
        while not self._stopping.wait(self._chance.uniform(*READ_GAP_S)):
            self._read(self._chance.choice([*self._replica_by_address]))

    def _read(self, address: str, *, is_final: bool = False) -> bool:
        sent_s = time.monotonic()
        url = f"http://{address}/Configuration.Get"
        response, _, _ = self._call("GET", url)
        if response is None or response.status != 200:
            return False
        document = json.loads(response.data)
        self._seen.readings.append(
            records.Reading(
                self._replica_by_address[address],
                document["version"],
                json.dumps(document, sort_keys=True),
                sent_s,
                time.monotonic(),
                is_final,
            )
        )
        return True

    def _call(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        redirects: int = MAX_REDIRECTS,
    ) -> tuple[urllib3.BaseHTTPResponse | None, str, str]:
        """Return the answer, None if none came, its URL and what failed."""
        for left in range(redirects, -1, -1):
            try:
                response = self._pool.request(
                    method,
                    url,
                    body=body,
                    timeout=CALL_TIMEOUT_S,
                    redirect=False,
                )
            except urllib3.exceptions.HTTPError as error:
                # A lost call is sent again, to any replica.
                return None, url, type(error).__name__
            if response.status != 307 or not left:
                break
            url = response.headers["Location"]
        return response, url, ""
