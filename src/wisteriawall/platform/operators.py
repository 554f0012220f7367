"""HTTP API through which the platform's operators publish routing tables."""

import enum
import itertools
import logging
from typing import Literal
from typing import final

import msgspec

from wisteriawall import clock
from wisteriawall.config import accounts as accounts_lib
from wisteriawall.config import integers
from wisteriawall.config import route_table
from wisteriawall.control import events
from wisteriawall.control import outcomes
from wisteriawall.control import shell as shell_lib
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.web import server as server_lib
from wisteriawall.wire import control_messages

__all__ = ["OperatorApp", "SeedRedirect", "TableInvalid", "decode_table"]

_LOG = logging.getLogger("operators")

OPERATOR_NAME = "platform"
BITS_PER_MS_PER_MBPS = 1_000
# An operator calls another replica after a second, or later if it has sent a
# long table. A call that waits longer only keeps others from a thread.
CALL_TIMEOUT_S = 1.0
BODY_BYTES_PER_S = 1_000_000

_KIND_BY_TYPE = {
    "read_only": route_table.RequestKind.READ_ONLY,
    "non_idempotent": route_table.RequestKind.AT_MOST_ONCE,
    "streaming": route_table.RequestKind.STREAM,
}


@final
class OperatorCall(enum.StrEnum):
    """Method and path of the operators' calls."""

    PUBLISH = "POST /Configuration.Put"
    READ = "GET /Configuration.Get"


class TableInvalid(ValueError):
    """A published document is not a valid routing table.

    `faults` has a message per fault.
    """

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


@final
class _WeightedService(msgspec.Struct, frozen=True):
    service: str
    weight: int


@final
class _Route(msgspec.Struct, frozen=True):
    """A route; `type` determines whether its requests may be repeated."""

    name: str
    host: str
    path_prefix: str
    type: Literal["read_only", "non_idempotent", "streaming"]
    timeout_ms: int
    target_latency_ms: int
    service: str | None = None
    weighted_services: list[_WeightedService] | None = None
    # Rank of the route; lower ranks are served first.
    priority: int = 0
    max_attempts: int = 1
    # Requests carry prompts with shared parts, which profit from being sent to
    # the same engine.
    sticky_sessions: bool = False
    resumable: bool = False
    # Longest time between two events of an answer that counts as in time.
    target_gap_ms: int = 0
    # Requests need no key although the table has accounts.
    public: bool = False


@final
class _Engine(msgspec.Struct, frozen=True):
    slots: int
    kv_cache_tokens: int
    kv_token_bytes: int
    link_mbps: float


@final
class _Service(msgspec.Struct, frozen=True):
    name: str
    health_path: str = "/health"
    connection_limit: int = 100
    engine: _Engine | None = None


@final
class _Tenant(msgspec.Struct, frozen=True):
    """A client account; `priority` goes before that of the route."""

    name: str
    api_keys: list[str]
    priority: int | None = None


@final
class _Limits(msgspec.Struct, frozen=True):
    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_ms: int = 3_000
    idle_ms: int = 15_000


@final
class _Document(msgspec.Struct, frozen=True):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = _Limits()
    # Without this list requests need no key; an empty one allows no key.
    tenants: list[_Tenant] | None = None


def decode_table(body: bytes) -> route_table.RouteTable:
    """Return the routing table of a published JSON document.

    Raises:
        TableInvalid: The document can't be decoded, or the table has faults.
    """
    try:
        document = msgspec.json.decode(body, type=_Document)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise TableInvalid([str(error)]) from error
    integer_faults = list(integers.find_faults(msgspec.to_builtins(document)))
    if integer_faults:
        raise TableInvalid(integer_faults)
    account_faults = accounts_lib.find_faults(
        (tenant.name, tenant.api_keys) for tenant in document.tenants or ()
    )
    table = route_table.RouteTable(
        number=document.version,
        routes=[_convert_route(route) for route in document.routes],
        services=[_convert_service(service) for service in document.services],
        limits=route_table.ConnectionLimits(
            head_bytes=document.limits.header_bytes,
            body_bytes=document.limits.body_bytes,
            head_ms=document.limits.header_ms,
            idle_ms=document.limits.idle_ms,
        ),
        accounts=None
        if document.tenants is None
        else [
            accounts_lib.make(tenant.name, tenant.api_keys, tenant.priority)
            for tenant in document.tenants
        ],
    )
    faults = [*route_table.find_faults(table), *account_faults]
    if faults:
        raise TableInvalid(faults)
    return table


def _convert_route(route: _Route) -> route_table.Route:
    shares = [
        route_table.ServiceWeight(weighted.service, weighted.weight)
        for weighted in route.weighted_services or ()
    ]
    if not shares and route.service is not None:
        shares = [route_table.ServiceWeight(route.service, 1)]
    return route_table.Route(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        kind=_KIND_BY_TYPE[route.type],
        timeout_ms=route.timeout_ms,
        goal_ms=route.target_latency_ms,
        pause_goal_ms=route.target_gap_ms,
        rank=route.priority,
        shares=shares,
        max_attempts=max(1, route.max_attempts),
        has_prompt=route.sticky_sessions,
        resumable=route.resumable,
        public=route.public,
    )


def _convert_service(service: _Service) -> route_table.RoutedService:
    engine = service.engine
    engine_capacity = None
    if engine is not None:
        engine_capacity = route_table.EngineCapacity(
            slots=engine.slots,
            memory_tokens=engine.kv_cache_tokens,
            token_bytes=engine.kv_token_bytes,
            link_bits_per_ms=engine.link_mbps * BITS_PER_MS_PER_MBPS,
        )
    return route_table.RoutedService(
        name=service.name,
        health_path=service.health_path,
        max_connections=service.connection_limit,
        engine=engine_capacity,
    )


@final
class OperatorApp:
    """WSGI application for publishing and reading the routing table.

    Calls carry no token, so whoever can connect may publish a table. The
    platform restricts access to the listener.

    Args:
        shell: Control replica that handles the calls.
    """

    def __init__(self, *, shell: shell_lib.ControlShell) -> None:
        self._shell = shell

    def __call__(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        """Handle one call; calls for the leader are redirected to it."""
        body = server_lib.read_body(environ)
        request: events.Request
        match f"{environ['REQUEST_METHOD']} {environ['PATH_INFO']}":
            case OperatorCall.PUBLISH:
                try:
                    table = decode_table(body)
                except TableInvalid as error:
                    _LOG.info("operators: rejected a routing table: %s", error)
                    return server_lib.send_refusal(
                        start_response, _invalid_table(error)
                    )
                request = events.PublishRequest(OPERATOR_NAME, table, body)
            case OperatorCall.READ:
                request = events.TableRequest()
            case _:
                return server_lib.send_refusal(start_response, _NOT_FOUND)
        called_ms = clock.monotonic_ms()
        timeout_s = min(
            shell_lib.CALL_TIMEOUT_S,
            CALL_TIMEOUT_S + len(body) / BODY_BYTES_PER_S,
        )
        reply = self._shell.call(request, timeout_s=timeout_s)
        _LOG.info(
            "operators: %s answered %s, version %d, after %d ms",
            environ["PATH_INFO"],
            type(reply).__name__,
            _table_number(reply),
            clock.monotonic_ms() - called_ms,
        )
        return self._respond(environ, start_response, reply)

    def _respond(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
        reply: events.Reply,
    ) -> server_lib.Response:
        match reply:
            case events.PublishReply(outcomes.TableInForce(number)):
                return server_lib.send_response(
                    start_response,
                    status=200,
                    body=msgspec.json.encode({"version": number}),
                )
            case events.PublishReply(outcomes.TableConflict(number)):
                return server_lib.send_refusal(
                    start_response, _table_conflict(number)
                )
            case events.TableReply(number, source) if number:
                return server_lib.send_response(
                    start_response, status=200, body=source
                )
            case control_messages.NotLeader(leader):
                return self._redirect(environ, start_response, leader)
            case _:
                return server_lib.send_refusal(start_response, _UNAVAILABLE)

    def _redirect(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
        leader: str,
    ) -> server_lib.Response:
        address = self._shell.admin_address(leader)
        if not address:
            return server_lib.send_refusal(start_response, _UNAVAILABLE)
        return _redirect_to(environ, start_response, address)


@final
class SeedRedirect:
    """WSGI application that redirects each request to the next seed.

    It runs on VMs without a disk, which hold no control replica.

    Args:
        seeds: Addresses at which control replicas serve operators.
    """

    def __init__(self, *, seeds: list[str]) -> None:
        self._seeds = itertools.cycle(seeds)

    def set_seeds(self, seeds: list[str]) -> None:
        """Replace the addresses, after a reload."""
        self._seeds = itertools.cycle(seeds)

    def __call__(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        """Redirect one request."""
        server_lib.read_body(environ)
        return _redirect_to(environ, start_response, next(self._seeds))


def _redirect_to(
    environ: server_lib.Environ,
    start_response: server_lib.StartResponse,
    address: str,
) -> server_lib.Response:
    return server_lib.send_response(
        start_response,
        status=307,
        body=b"{}",
        headers=[("Location", f"http://{address}{environ['PATH_INFO']}")],
    )


_NOT_FOUND = refusal_lib.Refusal(
    status=404,
    code=refusal_lib.Code.NOT_FOUND,
    message="no such operator call",
)
_UNAVAILABLE = refusal_lib.Refusal(
    status=503,
    code=refusal_lib.Code.UNAVAILABLE,
    message="this replica can't tell now; ask another one",
    run=refusal_lib.RunState.UNKNOWN,
)


def _table_number(reply: events.Reply) -> int:
    """Return the number of the table in a reply, 0 if it has none."""
    match reply:
        case events.TableReply(number):
            return number
        case events.PublishReply(
            outcomes.TableInForce(number) | outcomes.TableConflict(number)
        ):
            return number
        case _:
            return 0


def _invalid_table(error: TableInvalid) -> refusal_lib.Refusal:
    return refusal_lib.Refusal(
        status=400, code=refusal_lib.Code.INVALID, message=str(error)
    )


def _table_conflict(number: int) -> refusal_lib.Refusal:
    return refusal_lib.Refusal(
        status=409,
        code=refusal_lib.Code.STALE_CONFIG,
        message=f"another table was published under number {number}",
    )
