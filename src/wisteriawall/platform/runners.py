"""Client of the platform's list of runners."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import re
from typing import TypeAlias
from typing import final
from urllib import parse

import msgspec

from wisteriawall.control import rejected_entries
from wisteriawall.control import upstream_reader
from wisteriawall.observability import metrics as metrics_lib
from wisteriawall.wire import gateway_messages
from wisteriawall.wire import http_call
from wisteriawall.wire import upstream_checks

__all__ = ["RunnerListClient", "decode_page"]

LIST_PATH = "/instances"
REQUEST_TIMEOUT_S = 1.0
PAGE_TIMEOUT_S = 3.0
MAX_PAGES = 200
INSTANCES_PATTERN = re.compile(r'"instances"\s*:\s*\[')
NEXT_TOKEN_PATTERN = re.compile(r'"next"\s*:\s*"([^"]*)"')
# A string of JSON, or a bracket outside of strings.
STRUCTURE = re.compile(r'"[^"\\\x00-\x1f]*(?:\\.[^"\\\x00-\x1f]*)*"|[{}\[\]]')
# Entries have four levels.
MAX_ENTRY_DEPTH = 16
# Results of a search for the end of an object.
NO_END = -1
TOO_DEEP = -2
LEAVING_STATE = "draining"
USABLE_STATES = ("ready", LEAVING_STATE)
# Faults of entries that can't be decoded.
NOT_JSON = "not-json"
TOO_DEEP_FAULT = "too-deep"

# Called with the fault and the identifier of an entry that names no runner.
OnRejected: TypeAlias = Callable[[str, str], None]


@final
class _Model(msgspec.Struct, frozen=True):
    version: int = 0


@final
class _Runner(msgspec.Struct, frozen=True):
    """Entry of the list.

    The field `cold_remaining_ms` of an entry is ignored. A `version` that is no
    text is not known.
    """

    identifier: str
    service: str
    address: str
    zone: str
    slots: int
    state: str
    stage: str = ""
    models: list[_Model] = []
    born: int = 0
    version: object = ""


@final
class _Page(msgspec.Struct, frozen=True):
    instances: list[msgspec.Raw]
    next: str | None = None


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class _DecodedPage:
    """Usable runners of a page, and the token of the next one."""

    upstreams: list[gateway_messages.Upstream]
    next: str | None
    is_fresh: bool


@final
class RunnerListClient:
    """Reads the platform's list of runners over HTTP.

    Args:
        address: Host and port of the platform's API.
        metrics: Counts the entries that name no runner, by fault.
    """

    def __init__(
        self, *, address: str, metrics: metrics_lib.Metrics | None = None
    ) -> None:
        self._url = f"http://{address}{LIST_PATH}"
        self._rejected = rejected_entries.RejectedEntries(metrics=metrics)
        self._page_by_token: dict[str, _DecodedPage] = {}

    def read(self) -> list[gateway_messages.Upstream]:
        """Return every runner of the list, sorted by id.

        A page that can't be decoded has the runners that it had at the last
        read, as far as no other page has them now.

        Raises:
            ListUnreadable: A page could not be fetched, or not be decoded and
                was not read before, or there are more than `MAX_PAGES`.
        """
        page_by_token: dict[str, _DecodedPage] = {}
        token: str | None = ""
        while token is not None:
            if len(page_by_token) == MAX_PAGES or token in page_by_token:
                raise upstream_reader.ListUnreadable(
                    f"the list has more than {MAX_PAGES} pages, or repeats one"
                )
            page_by_token[token] = page = self._read_page(token)
            token = page.next
        self._page_by_token = page_by_token
        upstream_by_id: dict[str, gateway_messages.Upstream] = {}
        for page in sorted(page_by_token.values(), key=lambda p: p.is_fresh):
            upstream_by_id.update((u.upstream_id, u) for u in page.upstreams)
        return sorted(upstream_by_id.values(), key=lambda u: u.upstream_id)

    def _read_page(self, token: str) -> _DecodedPage:
        body = self._fetch_page(token)
        try:
            upstreams, following = decode_page(
                body, on_rejected=self._rejected.note
            )
        except upstream_reader.ListUnreadable:
            known = self._page_by_token.get(token)
            if known is None:
                raise
            self._rejected.note("page", token)
            return dataclasses.replace(known, is_fresh=False)
        return _DecodedPage(upstreams=upstreams, next=following, is_fresh=True)

    def _fetch_page(self, token: str) -> bytes:
        query = f"?{parse.urlencode({'page_token': token})}" if token else ""
        try:
            response = http_call.call(
                "GET",
                self._url + query,
                timeout_s=REQUEST_TIMEOUT_S,
                total_timeout_s=PAGE_TIMEOUT_S,
            )
        except http_call.CallFailed as error:
            raise upstream_reader.ListUnreadable(str(error)) from error
        if response.status != 200:
            raise upstream_reader.ListUnreadable(
                f"got status {response.status}, expected 200"
            )
        return response.body


def decode_page(
    body: bytes, *, on_rejected: OnRejected = lambda fault, identifier: None
) -> tuple[list[gateway_messages.Upstream], str | None]:
    """Return a page's runners and the token of the next page.

    Entries that name no usable runner are left out: the list may contain
    entries that other programs wrote. The token is None on the last page.

    Args:
        body: The page.
        on_rejected: Called for each entry that is left out.

    Raises:
        ListUnreadable: The page contains no list of entries.
    """
    try:
        page = msgspec.json.decode(body, type=_Page)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return _decode_damaged_page(body, on_rejected)
    decoded = (_decode_entry(bytes(raw)) for raw in page.instances)
    return list(_to_upstreams(decoded, on_rejected)), page.next


def _decode_damaged_page(
    body: bytes, on_rejected: OnRejected
) -> tuple[list[gateway_messages.Upstream], str | None]:
    """Decode the entries of a page that can't be decoded as a whole."""
    text = body.decode("utf-8", "replace")
    if not INSTANCES_PATTERN.search(text):
        raise upstream_reader.ListUnreadable("the page has no list of entries")
    upstreams = list(_to_upstreams(_scan_entries(text), on_rejected))
    # An entry may have such a field too; that of the page is behind it.
    tokens = NEXT_TOKEN_PATTERN.findall(text)
    return upstreams, tokens[-1] if tokens else None


def _scan_entries(text: str) -> Iterator[_Runner | str]:
    """Yield every entry after the page's opening brace, or its fault.

    What is nested in an entry is no entry itself, as far as the entry's end can
    be found.
    """
    is_damaged = False
    finds_deep_ends = True
    position = text.find("{", text.find("{") + 1)
    while position >= 0:
        end = _object_end(text, position, max_depth=MAX_ENTRY_DEPTH)
        if end == TOO_DEEP and finds_deep_ends:
            end = _object_end(text, position, max_depth=len(text))
            # A search without success has read the rest of the text.
            finds_deep_ends = end != NO_END
            entry: _Runner | str = NOT_JSON if end == NO_END else TOO_DEEP_FAULT
        elif end in (NO_END, TOO_DEEP):
            entry, end = NOT_JSON, NO_END
        else:
            entry = _decode_entry(text[position:end].encode())
        if entry == NOT_JSON:
            end = position + 1
        if entry != NOT_JSON or not is_damaged:
            yield entry
        is_damaged = entry == NOT_JSON
        position = text.find("{", end)


def _object_end(text: str, start: int, *, max_depth: int) -> int:
    """Return where an object ends, or `NO_END` or `TOO_DEEP`."""
    depth = 0
    for token in STRUCTURE.finditer(text, start):
        match token[0]:
            case "{" | "[":
                depth += 1
                if depth > max_depth:
                    return TOO_DEEP
            case "}" | "]":
                depth -= 1
                if depth == 0:
                    return token.end()
    return NO_END


def _to_upstreams(
    entries: Iterable[_Runner | str], on_rejected: OnRejected
) -> Iterator[gateway_messages.Upstream]:
    """Yield the usable runners that entries name."""
    for entry in entries:
        if isinstance(entry, str):
            on_rejected(entry, "")
            continue
        upstream = _to_upstream(entry)
        if isinstance(upstream, str):
            on_rejected(upstream, entry.identifier)
        else:
            yield upstream


def _decode_entry(raw: bytes) -> _Runner | str:
    """Return a decoded entry, or its fault."""
    try:
        return msgspec.json.decode(raw, type=_Runner)
    except msgspec.ValidationError:
        return "field"
    except (msgspec.DecodeError, UnicodeDecodeError):
        return NOT_JSON
    except RecursionError:
        return TOO_DEEP_FAULT


def _to_upstream(entry: _Runner) -> gateway_messages.Upstream | str:
    """Return the runner that an entry names, or the entry's fault."""
    if entry.state not in USABLE_STATES:
        return "state"
    try:
        stage = gateway_messages.Stage(entry.stage)
    except ValueError:
        return "stage"
    upstream = gateway_messages.Upstream(
        upstream_id=entry.identifier,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        slots=entry.slots,
        leaving=entry.state == LEAVING_STATE,
        stage=stage,
        weights_version=entry.models[0].version if entry.models else 0,
        born_ms=entry.born,
        version=entry.version if isinstance(entry.version, str) else "",
    )
    return upstream_checks.find_fault(upstream) or upstream
