"""HTTP interface for operators, served by every control replica."""

from collections.abc import Mapping
import hashlib
import hmac
from typing import Annotated
from typing import Literal
from typing import TypeVar
from typing import final
from urllib import parse

import msgspec
import urllib3

from wisteriawall.control import admin_replicas
from wisteriawall.control import events
from wisteriawall.control import outcomes
from wisteriawall.control import shell as shell_lib
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.web import server as server_lib
from wisteriawall.wire import control_messages
from wisteriawall.wire import headers as headers_lib

__all__ = ["AdminApp"]

AUDIT_PAGE_RECORDS = 500
FORWARD_TIMEOUT_S = 6.0
FORWARDED = "Wisteriawall-Forwarded"
FORWARDED_ENVIRON = headers_lib.environ_name(FORWARDED)

QueryT = TypeVar("QueryT", bound=msgspec.Struct)
COPIED_HEADERS = ("Authorization", "If-Match", "Idempotency-Key")


@final
class AdminApp:
    """WSGI application for `/v1/config`, `/v1/status` and `/v1/audit`.

    Args:
        shell: Replica that answers.
        address_by_replica: Admin address of every replica, for forwarding.
        operator_by_token_digest: Operator's name by SHA-256 of the token.
    """

    def __init__(
        self,
        *,
        shell: shell_lib.ControlShell,
        address_by_replica: Mapping[str, str],
        operator_by_token_digest: Mapping[str, str],
    ) -> None:
        self._shell = shell
        self._address_by_replica = address_by_replica
        self._operator_by_token_digest = operator_by_token_digest
        self._pool = urllib3.PoolManager(retries=False)

    def __call__(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        """Serve one request."""
        operator = self._operator(environ)
        if operator is None:
            return server_lib.refuse(start_response, _UNAUTHENTICATED)
        environ["wisteriawall.body"] = server_lib.read_body(environ)
        request = self._request(environ, operator)
        if isinstance(request, refusal_lib.Refusal):
            return server_lib.refuse(start_response, request)
        reply = self._shell.call(request)
        return self._respond(environ, start_response, reply)

    def _operator(self, environ: server_lib.Environ) -> str | None:
        scheme, _, token = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        found = None
        for known, operator in self._operator_by_token_digest.items():
            if hmac.compare_digest(known, digest):
                found = operator
        return found if scheme.lower() == "bearer" else None

    def _request(
        self, environ: server_lib.Environ, operator: str
    ) -> events.Request | refusal_lib.Refusal:
        match environ["REQUEST_METHOD"], environ["PATH_INFO"]:
            case "GET", "/v1/config":
                return _config_request(environ)
            case "GET", "/v1/config/history":
                return _history_request(environ)
            case "PATCH", "/v1/config":
                return _patch_request(environ, operator)
            case "GET", "/v1/status":
                return events.StatusRequest(whole=not _is_forwarded(environ))
            case "GET", "/v1/audit":
                return _audit_request(environ)
            case "POST", "/v1/drain":
                return _drain_request(environ, operator)
            case ("POST" | "DELETE") as method, "/v1/replicas":
                return admin_replicas.read_request(
                    environ["wisteriawall.body"], operator, method
                )
            case _:
                return _NOT_FOUND

    def _respond(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
        reply: events.Reply,
    ) -> server_lib.Response:
        match reply:
            case control_messages.NotLeader(leader):
                return self._forward(environ, start_response, leader)
            case events.Unavailable(reason):
                return server_lib.refuse(start_response, _unavailable(reason))
            case events.PatchReply():
                return _respond_patch(start_response, reply)
            case events.ReplicasReply(_, reason) if reason:
                return server_lib.refuse(start_response, _not_now(reason))
            case events.NotKept(reason) | events.DrainReply(refusal=reason) if (
                reason
            ):
                return server_lib.refuse(start_response, _not_found(reason))
            case events.ConfigReply(document):
                etag = ("ETag", f'"{document.number}"')
                return server_lib.respond(
                    start_response,
                    status=200,
                    body=msgspec.json.encode(document),
                    headers=[etag],
                )
            case _:
                return server_lib.respond(
                    start_response, status=200, body=msgspec.json.encode(reply)
                )

    def _forward(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
        leader: str,
    ) -> server_lib.Response:
        """Repeat the request at the leader, once."""
        address = self._address_by_replica.get(leader)
        if address is None or FORWARDED_ENVIRON in environ:
            return server_lib.refuse(start_response, _unavailable("no leader"))
        body = environ["wisteriawall.body"]
        try:
            response = self._pool.request(
                environ["REQUEST_METHOD"],
                f"http://{address}{_path(environ)}",
                body=body,
                headers=_forwarded_headers(environ),
                timeout=FORWARD_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError as error:
            refusal = _unavailable(type(error).__name__)
            return server_lib.refuse(start_response, refusal)
        kept = [
            (name, response.headers[name])
            for name in ("ETag", "Retry-After", "Wisteriawall-Processes")
            if name in response.headers
        ]
        return server_lib.respond(
            start_response,
            status=response.status,
            body=response.data,
            headers=kept,
        )


_UNAUTHENTICATED = refusal_lib.Refusal(
    status=401,
    code=refusal_lib.Code.UNAUTHENTICATED,
    message="expected `Authorization: Bearer` with an operator's token",
)
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


def _unavailable(reason: str) -> refusal_lib.Refusal:
    return refusal_lib.Refusal(
        status=503,
        code=refusal_lib.Code.UNAVAILABLE,
        message=reason,
        run=refusal_lib.RunState.UNKNOWN,
        retry_after_ms=1_000,
    )


def _not_now(reason: str) -> refusal_lib.Refusal:
    return refusal_lib.Refusal(
        status=503,
        code=refusal_lib.Code.UNAVAILABLE,
        message=reason,
        run=refusal_lib.RunState.NOT_RUN,
        retry_after_ms=1_000,
    )


def _not_found(reason: str) -> refusal_lib.Refusal:
    return refusal_lib.Refusal(
        status=404, code=refusal_lib.Code.NOT_FOUND, message=reason
    )


def _is_forwarded(environ: server_lib.Environ) -> bool:
    return FORWARDED_ENVIRON in environ


def _path(environ: server_lib.Environ) -> str:
    query = environ.get("QUERY_STRING", "")
    path: str = environ["PATH_INFO"]
    return f"{path}?{query}" if query else path


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
        query.after, query.limit, query.kind, query.subject
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
    kind: Literal[
        "",
        "patch",
        "order",
        "order-result",
        "membership",
        "drain",
        "leadership",
        "replica",
    ] = ""
    subject: str = ""
    limit: _Limit = AUDIT_PAGE_RECORDS


def _forwarded_headers(environ: server_lib.Environ) -> dict[str, str]:
    named = {
        name: environ[headers_lib.environ_name(name)]
        for name in COPIED_HEADERS
        if headers_lib.environ_name(name) in environ
    }
    named[FORWARDED] = "1"
    return named


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
        change=environ["wisteriawall.body"],
    )


def _drain_request(
    environ: server_lib.Environ, operator: str
) -> events.Request | refusal_lib.Refusal:
    try:
        body = msgspec.json.decode(
            environ["wisteriawall.body"], type=_DrainBody
        )
    except msgspec.DecodeError as error:
        return refusal_lib.Refusal(
            status=400, code=refusal_lib.Code.BAD_REQUEST, message=str(error)
        )
    return events.DrainRequest(operator, body.runner, body.undo)


@final
class _DrainBody(msgspec.Struct, frozen=True):
    runner: str
    undo: bool = False


@final
class _PatchBody(msgspec.Struct, frozen=True):
    number: int


def _respond_patch(
    start_response: server_lib.StartResponse, reply: events.PatchReply
) -> server_lib.Response:
    """Answer a patch; the body depends on the logged outcome alone."""
    match reply.outcome:
        case outcomes.ConfigChanged(number):
            held = f"{reply.holding} of {reply.processes}"
            return server_lib.respond(
                start_response,
                status=200,
                body=msgspec.json.encode(_PatchBody(number)),
                headers=[
                    ("ETag", f'"{number}"'),
                    ("Wisteriawall-Processes", held),
                ],
            )
        case outcomes.ConfigStale(expected, current):
            refusal = refusal_lib.Refusal(
                status=412,
                code=refusal_lib.Code.STALE_CONFIG,
                message=f"patch against {expected}, current is {current}",
            )
        case outcomes.PatchIdReused(patch_id):
            refusal = refusal_lib.Refusal(
                status=422,
                code=refusal_lib.Code.CLAIM_MISMATCH,
                message=f"patch id {patch_id!r} was used for another patch",
            )
        case outcomes.ConfigInvalid(faults):
            refusal = refusal_lib.Refusal(
                status=422,
                code=refusal_lib.Code.INVALID,
                message="; ".join(faults),
            )
    return server_lib.refuse(start_response, refusal)
