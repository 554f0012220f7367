"""Complete HTTP responses for errors before the application is called."""

from wisteriawall.web import refusal as refusal_lib

__all__ = ["encode", "encode_refusal"]

CODE_BY_STATUS = {
    408: refusal_lib.Code.REQUEST_TIMEOUT,
    413: refusal_lib.Code.BODY_TOO_LARGE,
    414: refusal_lib.Code.BODY_TOO_LARGE,
    431: refusal_lib.Code.BODY_TOO_LARGE,
    500: refusal_lib.Code.INTERNAL,
    503: refusal_lib.Code.OVERLOADED,
}
OVERLOAD_RETRY_AFTER_MS = 1_000
MS_PER_S = 1_000


def encode(status: str, message: str = "", protocol: str = "HTTP/1.1") -> bytes:
    """Return an HTTP response in JSON for an error of the server.

    Args:
        status: Status code and reason phrase.
        message: Error message; if empty, the reason phrase is sent.
        protocol: HTTP version of the response.
    """
    status_code = int(status[:3])
    # Cheroot sends 500 after the application was called, and every other
    # status before that.
    run_state = refusal_lib.RunState
    refusal = refusal_lib.Refusal(
        status=status_code,
        code=CODE_BY_STATUS.get(status_code, refusal_lib.Code.BAD_REQUEST),
        message=message or status[4:],
        run=run_state.UNKNOWN if status_code == 500 else run_state.NOT_RUN,
        retry_after_ms=OVERLOAD_RETRY_AFTER_MS if status_code == 503 else 0,
    )
    return encode_refusal(refusal, reason=status[4:], protocol=protocol)


def encode_refusal(
    refusal: refusal_lib.Refusal,
    *,
    reason: str = "Refused",
    protocol: str = "HTTP/1.1",
) -> bytes:
    """Return an HTTP response that refuses a request and closes."""
    body = refusal_lib.encode_json(refusal)
    lines = [
        f"{protocol} {refusal.status} {reason}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    if refusal.retry_after_ms:
        whole = refusal.retry_after_ms % MS_PER_S == 0
        seconds = refusal.retry_after_ms / MS_PER_S
        lines.append(
            f"Retry-After: {refusal.retry_after_s}"
            if whole
            else f"Retry-After: {seconds:.3f}"
        )
    if refusal.allow:
        lines.append(f"Allow: {refusal.allow}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
