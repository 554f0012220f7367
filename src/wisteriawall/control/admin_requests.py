"""Requests of operators over HTTP, parsed into events or refused."""

from typing import Annotated
from typing import TypeVar
from typing import final
from urllib import parse

import msgspec

from wisteriawall.control import events
from wisteriawall.control import state
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.web import server as server_lib

__all__ = ["BODY", "parse_request"]

BODY = "wisteriawall.body"
AUDIT_PAGE_RECORDS = 500

QueryT = TypeVar("QueryT", bound=msgspec.Struct)
BodyT = TypeVar("BodyT", bound=msgspec.Struct)
_Parsed = events.Request | refusal_lib.Refusal


def parse_request(
    environ: server_lib.Environ, operator: str, *, forwarded: bool
) -> _Parsed:
    """Return the request that an operator sent, or the refusal of it.

    A request whose body is needed finds it under `BODY` in `environ`.
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
    query = _query(environ, _ConfigQuery)
    if isinstance(query, refusal_lib.Refusal):
        return query
    return events.ConfigRequest(query.number)


def _history_request(
    environ: server_lib.Environ,
) -> events.Request | refusal_lib.Refusal:
    query = _query(environ, _HistoryQuery)
    if isinstance(query, refusal_lib.Refusal):
        return query
    return events.HistoryRequest(query.limit)


def _audit_request(
    environ: server_lib.Environ,
) -> events.Request | refusal_lib.Refusal:
    query = _query(environ, _AuditQuery)
    if isinstance(query, refusal_lib.Refusal):
        return query
    return events.AuditRequest(
        query.after, query.limit, query.kind or "", query.subject
    )


def _query(
    environ: server_lib.Environ, wanted: type[QueryT]
) -> QueryT | refusal_lib.Refusal:
    """Return the typed query string, or the refusal that names its fault."""
    pairs = parse.parse_qsl(environ.get("QUERY_STRING", ""))
    try:
        return msgspec.convert(dict(pairs), wanted, strict=False)
    except msgspec.ValidationError as error:
        return refusal_lib.Refusal(
            status=400, code=refusal_lib.Code.BAD_REQUEST, message=str(error)
        )


_Limit = Annotated[int, msgspec.Meta(ge=1, le=AUDIT_PAGE_RECORDS)]


@final
class _ConfigQuery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    number: int | None = None


@final
class _HistoryQuery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    limit: _Limit = 50


@final
class _AuditQuery(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    after: int = 0
    kind: state.AuditKind | None = None
    subject: str = ""
    limit: _Limit = AUDIT_PAGE_RECORDS


def _patch_request(
    environ: server_lib.Environ, operator: str
) -> events.PatchRequest | refusal_lib.Refusal:
    number = environ.get("HTTP_IF_MATCH", "").strip().strip('"')
    if not number.isdecimal():
        return _NO_NUMBER
    return events.PatchRequest(
        patch_id=environ.get("HTTP_IDEMPOTENCY_KEY", ""),
        operator=operator,
        base_number=int(number),
        change=environ[BODY],
    )


def _drain_request(environ: server_lib.Environ, operator: str) -> _Parsed:
    body = _body(environ, _DrainBody)
    if isinstance(body, refusal_lib.Refusal):
        return body
    return events.DrainRequest(operator, body.runner, body.undo)


def _replica_request(
    environ: server_lib.Environ, operator: str, method: str
) -> _Parsed:
    body = _body(environ, _ReplicaBody)
    if isinstance(body, refusal_lib.Refusal):
        return body
    if method == "DELETE":
        return events.ReplicaRemove(operator, body.replica)
    if not body.peer_address:
        return refusal_lib.Refusal(
            status=400,
            code=refusal_lib.Code.BAD_REQUEST,
            message="peer_address: missing, expected HOST:PORT",
        )
    return events.ReplicaAdd(
        operator,
        body.replica,
        body.peer_address,
        body.rpc_address,
        body.admin_address,
    )


def _body(
    environ: server_lib.Environ, wanted: type[BodyT]
) -> BodyT | refusal_lib.Refusal:
    """Return the typed body, or the refusal that names its fault."""
    try:
        return msgspec.json.decode(environ[BODY], type=wanted)
    except msgspec.DecodeError as error:
        return refusal_lib.Refusal(
            status=400, code=refusal_lib.Code.BAD_REQUEST, message=str(error)
        )


_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]


@final
class _ReplicaBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    replica: _Name
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
_NO_NUMBER = refusal_lib.Refusal(
    status=428,
    code=refusal_lib.Code.INVALID,
    message='expected `If-Match: "<number>"`',
)
