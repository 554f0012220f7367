"""Parsing and validation of callers' requests."""

import hashlib
import hmac
from typing import final

import msgspec

from wisteriawall.config import document
from wisteriawall.policy import prefix_index
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.web import server as server_lib

__all__ = ["CallerRequest", "Refused", "parse"]

SERVICES_PREFIX = "/services/"
COMPLETION_PATHS = ("/v1/completions", "/v1/chat/completions")
DEFAULT_MAX_TOKENS = 256
MAX_KEY_CHARS = 255
MAX_TOKENS = 1_000_000
ABSENT = msgspec.Raw()
RESERVED_FIELDS = (
    "request_id",
    "resume_tokens",
    "resume_text",
    "kv_transfer",
)


@final
class Refused(Exception):
    """The request is not valid; `refusal` is the answer to it."""

    def __init__(self, refusal: refusal_lib.Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


@final
class CompletionBody(msgspec.Struct, frozen=True):
    """The fields of a completion request that the entry reads."""

    model: str
    prompt: str = ""
    messages: list["Message"] = []
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False
    n: int = 1
    logprobs: msgspec.Raw = ABSENT
    tools: msgspec.Raw = ABSENT
    request_id: msgspec.Raw = ABSENT
    resume_tokens: msgspec.Raw = ABSENT
    resume_text: msgspec.Raw = ABSENT
    kv_transfer: msgspec.Raw = ABSENT

    @property
    def is_plain_text(self) -> bool:
        """Return whether the streamed text suffices for the JSON answer."""
        return self.n == 1 and not self.logprobs and not self.tools

    @property
    def reserved_fields(self) -> list[str]:
        """Return the fields in this body that only an entry may set."""
        return [name for name in RESERVED_FIELDS if getattr(self, name)]


@final
class Message(msgspec.Struct, frozen=True):
    """One chat message."""

    role: str
    content: str = ""


@final
class CallerRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A valid request.

    Attributes:
        account: Client account that the token belongs to.
        service: Name of the service.
        method: HTTP method.
        path: Path and query that the upstream receives.
        content_type: Content type of the body, "" without one.
        body: The request's body.
        key: Idempotency key, "" without one.
        digest: SHA-256 of method, path and body, in hexadecimal.
        prefill_tokens: Estimated tokens of the prompt.
        decode_tokens: Largest number of tokens that may be generated.
        prefix_hashes: Hashes of the prompt's prefixes; see `prefix_index`.
        is_completion: Whether the path is one of `COMPLETION_PATHS`.
        stream: Whether the caller wants a stream of events.
        assembled: Whether the entry builds the JSON answer from a stream,
            so that an answer that ends early can be resumed.
    """

    account: str
    service: str
    method: str
    path: str
    content_type: str
    body: bytes
    key: str
    digest: str
    prefill_tokens: int
    decode_tokens: int
    prefix_hashes: tuple[int, ...]
    is_completion: bool
    stream: bool
    assembled: bool


def parse(
    environ: server_lib.Environ, config: document.Document
) -> CallerRequest:
    """Return the request in `environ`, checked against `config`.

    Raises:
        Refused: The request is not valid under `config`.
    """
    path = environ["PATH_INFO"]
    is_completion = path in COMPLETION_PATHS
    if is_completion and environ["REQUEST_METHOD"] != "POST":
        raise Refused(_POST_ONLY)
    account = _authenticate(environ, config)
    if is_completion:
        return _parse_completion(environ, config, account)
    if path.startswith(SERVICES_PREFIX):
        return _parse_plain(environ, config, account)
    raise _refused(404, refusal_lib.Code.NOT_FOUND, f"no resource at {path}")


def _authenticate(
    environ: server_lib.Environ, config: document.Document
) -> str:
    scheme, _, token = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    digest = hashlib.sha256(token.strip().encode("latin-1")).hexdigest()
    matched_account = ""
    # All accounts are compared, so that the time taken reveals no token.
    for name, account in config.accounts.items():
        if hmac.compare_digest(account.token_digest, digest):
            matched_account = name
    if matched_account and scheme.lower() == "bearer":
        return matched_account
    raise _refused(
        401,
        refusal_lib.Code.UNAUTHENTICATED,
        "expected `Authorization: Bearer` with a client account's token",
    )


def _parse_completion(
    environ: server_lib.Environ, config: document.Document, account: str
) -> CallerRequest:
    body = server_lib.read_body(environ)
    parsed = _decode_completion(body)
    text = parsed.prompt or " ".join(m.content for m in parsed.messages)
    return CallerRequest(
        account=account,
        service=_service_of_model(config, parsed.model),
        method="POST",
        path=environ["PATH_INFO"],
        content_type="application/json",
        body=body,
        key=_idempotency_key(environ),
        digest=_digest(environ, body),
        prefill_tokens=len(text.split()) + 1,
        decode_tokens=parsed.max_tokens,
        prefix_hashes=prefix_index.prefix_hashes(text.encode()),
        is_completion=True,
        stream=parsed.stream,
        assembled=not parsed.stream and parsed.is_plain_text,
    )


def _decode_completion(body: bytes) -> CompletionBody:
    try:
        parsed = msgspec.json.decode(body, type=CompletionBody)
    except (msgspec.DecodeError, RecursionError, UnicodeError) as error:
        raise _refused(
            400, refusal_lib.Code.BAD_REQUEST, f"body: {error}"
        ) from error
    if not 1 <= parsed.max_tokens <= MAX_TOKENS:
        raise _refused(
            400,
            refusal_lib.Code.BAD_REQUEST,
            f"max_tokens: got {parsed.max_tokens}, expected 1 to {MAX_TOKENS}",
        )
    if parsed.reserved_fields:
        raise _refused(
            400,
            refusal_lib.Code.BAD_REQUEST,
            f"body: {', '.join(parsed.reserved_fields)} may not be set",
        )
    return parsed


def _service_of_model(config: document.Document, model: str) -> str:
    for name, service in config.services.items():
        if service.kind is document.ServiceKind.MODEL and (
            model in service.models or model in service.adapters
        ):
            return name
    raise _refused(
        404, refusal_lib.Code.NOT_FOUND, f"no service has model {model!r}"
    )


def _parse_plain(
    environ: server_lib.Environ, config: document.Document, account: str
) -> CallerRequest:
    rest = environ["PATH_INFO"].removeprefix(SERVICES_PREFIX)
    name, _, path = rest.partition("/")
    service = config.services.get(name)
    if service is None or service.kind is not document.ServiceKind.PLAIN:
        raise _refused(
            404, refusal_lib.Code.NOT_FOUND, f"no plain service {name!r}"
        )
    route = f"{environ['REQUEST_METHOD']} /{path}"
    key = _idempotency_key(environ)
    if route in service.non_repeatable and not key:
        raise _refused(
            400,
            refusal_lib.Code.KEY_REQUIRED,
            f"{route} runs at most once, expected an Idempotency-Key",
        )
    body = server_lib.read_body(environ)
    query = environ.get("QUERY_STRING", "")
    return CallerRequest(
        account=account,
        service=name,
        method=environ["REQUEST_METHOD"],
        path=f"/{path}" + (f"?{query}" if query else ""),
        content_type=environ.get("CONTENT_TYPE", ""),
        body=body,
        key=key,
        digest=_digest(environ, body),
        prefill_tokens=1,
        decode_tokens=1,
        prefix_hashes=(),
        is_completion=False,
        stream=False,
        assembled=False,
    )


def _idempotency_key(environ: server_lib.Environ) -> str:
    key: str = environ.get("HTTP_IDEMPOTENCY_KEY", "")
    if len(key) > MAX_KEY_CHARS:
        raise _refused(
            400,
            refusal_lib.Code.BAD_REQUEST,
            f"Idempotency-Key: got {len(key)} characters, "
            f"expected at most {MAX_KEY_CHARS}",
        )
    return key


def _digest(environ: server_lib.Environ, body: bytes) -> str:
    head = f"{environ['REQUEST_METHOD']} {environ['PATH_INFO']}\n"
    return hashlib.sha256(head.encode() + body).hexdigest()


_POST_ONLY = refusal_lib.Refusal(
    status=405,
    code=refusal_lib.Code.METHOD_NOT_ALLOWED,
    message="expected POST",
    allow="POST",
)


def _refused(status: int, code: refusal_lib.Code, message: str) -> Refused:
    return Refused(
        refusal_lib.Refusal(status=status, code=code, message=message)
    )
