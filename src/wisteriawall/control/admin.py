"""HTTP interface for operators, served by every control replica."""

from collections.abc import Mapping
import hashlib
import hmac
from typing import final

import msgspec

from wisteriawall.control import admin_requests
from wisteriawall.control import events
from wisteriawall.control import outcomes
from wisteriawall.control import shell as shell_lib
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.web import server as server_lib
from wisteriawall.wire import control_messages
from wisteriawall.wire import headers as headers_lib
from wisteriawall.wire import http_call

__all__ = ["AdminApp"]

FORWARD_TIMEOUT_S = 6.0
# Marks a request that a replica forwarded, which is never forwarded again.
FORWARDED_HEADER = "Wisteriawall-Forwarded"
FORWARDED_ENVIRON = headers_lib.wsgi_environ_key(FORWARDED_HEADER)

FORWARDED_REQUEST_HEADERS = ("Authorization", "If-Match", "Idempotency-Key")


@final
class AdminApp:
    """WSGI application for the operators' requests under `/v1/`.

    A request that only the leader can answer is forwarded to it.

    Args:
        shell: Shell of this process's control replica.
        address_by_replica: Admin address of every replica, to forward to.
        operator_by_token_digest: Operator's name by the hexadecimal SHA-256
            of the token.
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

    def __call__(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        """Authenticate, parse and answer one WSGI request."""
        operator = self._authenticate(environ)
        if operator is None:
            return server_lib.send_refusal(start_response, _UNAUTHENTICATED)
        environ[admin_requests.BODY_ENVIRON_KEY] = server_lib.read_body(environ)
        request = admin_requests.parse_request(
            environ, operator, forwarded=FORWARDED_ENVIRON in environ
        )
        if isinstance(request, refusal_lib.Refusal):
            return server_lib.send_refusal(start_response, request)
        reply = self._shell.call(request)
        return self._respond(environ, start_response, reply)

    def _authenticate(self, environ: server_lib.Environ) -> str | None:
        """Return the operator whose token the request has, None if invalid.

        All digests are compared, in constant time each, so that the time
        taken does not depend on the token.
        """
        scheme, _, token = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
        digest = hashlib.sha256(token.strip().encode()).hexdigest()
        found = None
        for known, operator in self._operator_by_token_digest.items():
            if hmac.compare_digest(known, digest):
                found = operator
        return found if scheme.lower() == "bearer" else None

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
                return server_lib.send_refusal(
                    start_response, _unavailable(reason)
                )
            case events.PatchReply():
                return _respond_patch(start_response, reply)
            case events.NotKept(reason) | events.DrainReply(refusal=reason) if (
                reason
            ):
                return server_lib.send_refusal(
                    start_response, _not_found(reason)
                )
            case events.ReplicasReply(_, refusal) if refusal:
                return server_lib.send_refusal(
                    start_response, _change_refused(refusal)
                )
            case events.ConfigReply(document):
                etag = ("ETag", f'"{document.number}"')
                return server_lib.send_response(
                    start_response,
                    status=200,
                    body=msgspec.json.encode(document),
                    headers=[etag],
                )
            case _:
                return server_lib.send_response(
                    start_response, status=200, body=msgspec.json.encode(reply)
                )

    def _forward(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
        leader: str,
    ) -> server_lib.Response:
        """Send the request to the leader and return its response.

        A request that was forwarded before is refused instead.
        """
        address = self._address_by_replica.get(leader)
        if address is None or FORWARDED_ENVIRON in environ:
            return server_lib.send_refusal(
                start_response,
                _unavailable("no leader"),
            )
        body = environ[admin_requests.BODY_ENVIRON_KEY]
        try:
            response = http_call.call(
                environ["REQUEST_METHOD"],
                f"http://{address}{_path_and_query(environ)}",
                body=body,
                headers=_forwarded_headers(environ),
                timeout_s=FORWARD_TIMEOUT_S,
            )
        except http_call.CallFailed as error:
            refusal = _unavailable(str(error))
            return server_lib.send_refusal(start_response, refusal)
        response_headers = [
            (name, response.headers[name])
            for name in ("ETag", "Retry-After", "Wisteriawall-Processes")
            if name in response.headers
        ]
        return server_lib.send_response(
            start_response,
            status=response.status,
            body=response.body,
            headers=response_headers,
        )


_UNAUTHENTICATED = refusal_lib.Refusal(
    status=401,
    code=refusal_lib.Code.UNAUTHENTICATED,
    message="expected `Authorization: Bearer` with an operator's token",
)


def _unavailable(reason: str) -> refusal_lib.Refusal:
    return refusal_lib.Refusal(
        status=503,
        code=refusal_lib.Code.UNAVAILABLE,
        message=reason,
        run=refusal_lib.RunState.UNKNOWN,
        retry_after_ms=1_000,
    )


def _not_found(reason: str) -> refusal_lib.Refusal:
    return refusal_lib.Refusal(
        status=404, code=refusal_lib.Code.NOT_FOUND, message=reason
    )


def _change_refused(reason: str) -> refusal_lib.Refusal:
    return refusal_lib.Refusal(
        status=503,
        code=refusal_lib.Code.UNAVAILABLE,
        message=reason,
        retry_after_ms=1_000,
    )


def _path_and_query(environ: server_lib.Environ) -> str:
    query = environ.get("QUERY_STRING", "")
    path: str = environ["PATH_INFO"]
    return f"{path}?{query}" if query else path


def _forwarded_headers(environ: server_lib.Environ) -> dict[str, str]:
    headers = {
        name: environ[headers_lib.wsgi_environ_key(name)]
        for name in FORWARDED_REQUEST_HEADERS
        if headers_lib.wsgi_environ_key(name) in environ
    }
    headers[FORWARDED_HEADER] = "1"
    return headers


@final
class _PatchBody(msgspec.Struct, frozen=True):
    number: int


def _respond_patch(
    start_response: server_lib.StartResponse, reply: events.PatchReply
) -> server_lib.Response:
    """Return the response to a patch.

    The body depends only on the outcome in the log, so that a patch sent
    again gets the same body; the process counts go into a header.
    """
    match reply.outcome:
        case outcomes.ConfigChanged(number):
            holding = f"{reply.holding} of {reply.processes}"
            return server_lib.send_response(
                start_response,
                status=200,
                body=msgspec.json.encode(_PatchBody(number)),
                headers=[
                    ("ETag", f'"{number}"'),
                    ("Wisteriawall-Processes", holding),
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
    return server_lib.send_refusal(start_response, refusal)
