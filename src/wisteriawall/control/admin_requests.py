"""Parses the operators' HTTP requests into control requests."""

import re
from typing import Annotated
from typing import TypeVar
from typing import final
from urllib import parse

import msgspec

from wisteriawall.config import integers
from wisteriawall.control import events
from wisteriawall.control import state
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.web import server as server_lib

__all__ = ["BODY_ENVIRON_KEY", "parse_request"]

# WSGI environ key of the request body, which the caller reads.
BODY_ENVIRON_KEY = "wisteriawall.body"
MAX_PAGE_RECORDS = 500
# The ledger keeps the ids of drains.
MAX_DRAIN_ID_CHARS = 128
MAX_NUMBER_DIGITS = len(str(integers.MAX_INTEGER))
# A name, an IPv4 address, or an IPv6 address in brackets.
ADDRESS_PATTERN = re.compile(
    r"([A-Za-z0-9._-]+|\[[A-Za-z0-9:.%]+\]):(?P<port>[0-9]{1,5})"
)
MAX_PORT = 65_535

QueryT = TypeVar("QueryT", bound=msgspec.Struct)
BodyT = TypeVar("BodyT", bound=msgspec.Struct)
_ParseResult = events.Request | refusal_lib.Refusal


def parse_request(
    environ: server_lib.Environ, operator: str, *, forwarded: bool
) -> _ParseResult:
    """Return the control request that an HTTP request asks for.

    A request that is not valid gets a refusal instead.

    Args:
        environ: WSGI environ, with the request body under `BODY_ENVIRON_KEY`.
        operator: Name of the authenticated operator.
        forwarded: Whether another replica forwarded the request.
    """
    match environ["REQUEST_METHOD"], environ["PATH_INFO"]:
        case "GET", "/v1/config":
            return _config_request(environ)
        case "GET", "/v1/config/history":
            return _history_request(environ)
        case "PATCH", "/v1/config":
            return _patch_request(environ, operator)
        case "GET", "/v1/status":
            return events.StatusRequest(whole=not forwarded)
        case "GET", "/v1/audit":
            return _audit_request(environ)
        case "POST", "/v1/drain":
            return _drain_request(environ, operator)
        case ("POST" | "DELETE") as method, "/v1/replicas":
            return _replica_request(environ, operator, method)
        case _:
            return _NOT_FOUND


def _config_request(
    environ: server_lib.Environ,
) -> events.Request | refusal_lib.Refusal:
    query = _parse_query(environ, _ConfigQuery)
    if isinstance(query, refusal_lib.Refusal):
        return query
    return events.ConfigRequest(query.number)


def _history_request(
    environ: server_lib.Environ,
) -> events.Request | refusal_lib.Refusal:
    query = _parse_query(environ, _HistoryQuery)
    if isinstance(query, refusal_lib.Refusal):
        return query
    return events.HistoryRequest(query.limit)


def _audit_request(
    environ: server_lib.Environ,
) -> events.Request | refusal_lib.Refusal:
    query = _parse_query(environ, _AuditQuery)
    if isinstance(query, refusal_lib.Refusal):
        return query
    return events.AuditRequest(
        query.after, query.limit, query.kind or "", query.subject
    )


def _parse_query(
    environ: server_lib.Environ, target_type: type[QueryT]
) -> QueryT | refusal_lib.Refusal:
    """Return the typed query string, or a refusal that says why not."""
    pairs = parse.parse_qsl(environ.get("QUERY_STRING", ""))
    try:
        return msgspec.convert(dict(pairs), target_type, strict=False)
    except msgspec.ValidationError as error:
        return refusal_lib.Refusal(
            status=400, code=refusal_lib.Code.BAD_REQUEST, message=str(error)
        )


_PageLimit = Annotated[int, msgspec.Meta(ge=1, le=MAX_PAGE_RECORDS)]


@final
class _ConfigQuery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    number: int | None = None


@final
class _HistoryQuery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    limit: _PageLimit = 50


@final
class _AuditQuery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    after: int = 0
    kind: state.AuditKind | None = None
    subject: str = ""
    limit: _PageLimit = MAX_PAGE_RECORDS


def _patch_request(
    environ: server_lib.Environ, operator: str
) -> events.PatchRequest | refusal_lib.Refusal:
    number = environ.get("HTTP_IF_MATCH", "").strip().strip('"')
    if not number.isdecimal():
        return _IF_MATCH_REQUIRED
    # Checked before `int`, which raises ValueError for thousands of digits.
    if len(number) > MAX_NUMBER_DIGITS or int(number) > integers.MAX_INTEGER:
        return refusal_lib.Refusal(
            status=400,
            code=refusal_lib.Code.BAD_REQUEST,
            message=f"If-Match: expected at most {integers.MAX_INTEGER}",
        )
    return events.PatchRequest(
        patch_id=environ.get("HTTP_IDEMPOTENCY_KEY", ""),
        operator=operator,
        base_number=int(number),
        change=environ[BODY_ENVIRON_KEY],
    )


def _drain_request(environ: server_lib.Environ, operator: str) -> _ParseResult:
    body = _parse_body(environ, _DrainBody)
    if isinstance(body, refusal_lib.Refusal):
        return body
    drain_id = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    if len(drain_id) > MAX_DRAIN_ID_CHARS:
        return refusal_lib.Refusal(
            status=400,
            code=refusal_lib.Code.BAD_REQUEST,
            message=(
                f"Idempotency-Key: got {len(drain_id)} characters, "
                f"expected at most {MAX_DRAIN_ID_CHARS}"
            ),
        )
    return events.DrainRequest(operator, body.runner, body.undo, drain_id)


def _replica_request(
    environ: server_lib.Environ, operator: str, method: str
) -> _ParseResult:
    body = _parse_body(environ, _ReplicaBody)
    if isinstance(body, refusal_lib.Refusal):
        return body
    if method == "DELETE":
        return events.RemoveReplicaRequest(operator, body.replica)
    for field in ("peer_address", "rpc_address", "admin_address"):
        address: str = getattr(body, field)
        is_left_out = not address and field != "peer_address"
        if not is_left_out and not _is_address(address):
            return refusal_lib.Refusal(
                status=400,
                code=refusal_lib.Code.BAD_REQUEST,
                message=f"{field}: got {address!r}, expected HOST:PORT",
            )
    return events.AddReplicaRequest(
        operator,
        body.replica,
        body.peer_address,
        body.rpc_address,
        body.admin_address,
    )


def _is_address(text: str) -> bool:
    match = ADDRESS_PATTERN.fullmatch(text)
    return match is not None and 1 <= int(match["port"]) <= MAX_PORT


def _parse_body(
    environ: server_lib.Environ, target_type: type[BodyT]
) -> BodyT | refusal_lib.Refusal:
    """Return the typed JSON body, or a refusal that says why not."""
    try:
        return msgspec.json.decode(environ[BODY_ENVIRON_KEY], type=target_type)
    except msgspec.DecodeError as error:
        return refusal_lib.Refusal(
            status=400, code=refusal_lib.Code.BAD_REQUEST, message=str(error)
        )


_ReplicaName = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]


@final
class _ReplicaBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    replica: _ReplicaName
    peer_address: str = ""
    rpc_address: str = ""
    admin_address: str = ""


@final
class _DrainBody(msgspec.Struct, frozen=True):
    runner: str
    undo: bool = False


_NOT_FOUND = refusal_lib.Refusal(
    status=404,
    code=refusal_lib.Code.NOT_FOUND,
    message="no such operator resource",
)
_IF_MATCH_REQUIRED = refusal_lib.Refusal(
    status=428,
    code=refusal_lib.Code.INVALID,
    message='expected `If-Match: "<number>"`',
)
