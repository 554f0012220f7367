"""Client of the platform's list of runners."""

from collections.abc import Iterator
import json
import re
from typing import final
from urllib import parse

import msgspec

from wisteriawall.control import upstream_reader
from wisteriawall.wire import gateway_messages
from wisteriawall.wire import http_call

__all__ = ["RunnerListClient", "decode_page"]

LIST_PATH = "/instances"
REQUEST_TIMEOUT_S = 1.0
MAX_PAGES = 200
INSTANCES_PATTERN = re.compile(r'"instances"\s*:\s*\[')
NEXT_TOKEN_PATTERN = re.compile(r'"next"\s*:\s*"([^"]*)"')


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
class RunnerListClient:
    """Reads the platform's list of runners over HTTP.

    Args:
        address: Host and port of the platform's API.
    """

    def __init__(self, *, address: str) -> None:
        self._url = f"http://{address}{LIST_PATH}"

    def read(self) -> list[gateway_messages.Upstream]:
        """Return every runner of the list, sorted by id.

        Raises:
            ListUnreadable: A page could not be fetched or decoded, or there are
                more than `MAX_PAGES`.
        """
        return sorted(self._read_pages(), key=lambda u: u.upstream_id)

    def _read_pages(self) -> Iterator[gateway_messages.Upstream]:
        token: str | None = ""
        for _ in range(MAX_PAGES):
            entries, token = decode_page(self._fetch_page(token or ""))
            yield from entries
            if token is None:
                return
        raise upstream_reader.ListUnreadable(
            f"the list has more than {MAX_PAGES} pages"
        )

    def _fetch_page(self, token: str) -> bytes:
        query = f"?{parse.urlencode({'page_token': token})}" if token else ""
        try:
            response = http_call.call(
                "GET", self._url + query, timeout_s=REQUEST_TIMEOUT_S
            )
        except http_call.CallFailed as error:
            raise upstream_reader.ListUnreadable(str(error)) from error
        if response.status != 200:
            raise upstream_reader.ListUnreadable(
                f"got status {response.status}, expected 200"
            )
        return response.body


def decode_page(
    body: bytes,
) -> tuple[list[gateway_messages.Upstream], str | None]:
    """Return a page's runners and the token of the next page.

    Entries that can't be decoded are left out: the list may contain entries
    that other programs wrote. The token is None on the last page.

    Raises:
        ListUnreadable: The page contains no list of entries.
    """
    try:
        page = msgspec.json.decode(body, type=_Page)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        return _decode_damaged_page(body)
    upstreams = [_decode_entry(bytes(raw)) for raw in page.instances]
    return [u for u in upstreams if u is not None], page.next


def _decode_damaged_page(
    body: bytes,
) -> tuple[list[gateway_messages.Upstream], str | None]:
    """Decode the valid entries of a page that is not valid JSON."""
    text = body.decode("utf-8", "replace")
    if not INSTANCES_PATTERN.search(text):
        raise upstream_reader.ListUnreadable("the page has no list of entries")
    upstreams = [
        _decode_entry(json.dumps(entry).encode())
        for entry in _scan_objects(text)
    ]
    token = NEXT_TOKEN_PATTERN.search(text)
    return [u for u in upstreams if u is not None], token and token.group(1)


def _scan_objects(text: str) -> Iterator[object]:
    """Yield every JSON object in the text, after the page's opening brace."""
    decoder = json.JSONDecoder()
    position = text.find("{", text.find("{") + 1)
    while position >= 0:
        try:
            value, end = decoder.raw_decode(text, position)
        except (ValueError, RecursionError):
            end = position + 1
        else:
            yield value
        position = text.find("{", end)


def _decode_entry(raw: bytes) -> gateway_messages.Upstream | None:
    try:
        entry = msgspec.json.decode(raw, type=_Runner)
        stage = gateway_messages.Stage(entry.stage)
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError):
        return None
    if entry.state not in ("ready", "draining") or not _has_address(entry):
        return None
    return gateway_messages.Upstream(
        upstream_id=entry.identifier,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        slots=entry.slots,
        leaving=entry.state == "draining",
        stage=stage,
        weights_version=entry.models[0].version if entry.models else 0,
        born_ms=entry.born,
        version=entry.version if isinstance(entry.version, str) else "",
    )


def _has_address(entry: _Runner) -> bool:
    host, _, port = entry.address.rpartition(":")
    return bool(host and entry.identifier) and port.isdecimal()
