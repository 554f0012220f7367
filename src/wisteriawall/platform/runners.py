"""The platform's list of runners."""

from collections.abc import Iterator
import json
import re
from typing import final
from urllib import parse

import msgspec
import urllib3

from wisteriawall.control import upstream_reader
from wisteriawall.wire import site_messages

__all__ = ["RunnerList", "decode_page"]

LIST_PATH = "/instances"
TIMEOUT_S = 1.0
MAX_PAGES = 200
LIST_START = re.compile(r'"instances"\s*:\s*\[')
NEXT_PAGE = re.compile(r'"next"\s*:\s*"([^"]*)"')


@final
class _Model(msgspec.Struct, frozen=True):
    version: int = 0


@final
class _Runner(msgspec.Struct, frozen=True):
    """One entry; `cold_remaining_ms` and the software version are not used."""

    identifier: str
    service: str
    address: str
    zone: str
    slots: int
    state: str
    stage: str = ""
    models: list[_Model] = []
    born: int = 0


@final
class _Page(msgspec.Struct, frozen=True):
    instances: list[msgspec.Raw]
    next: str | None = None


@final
class RunnerList:
    """Read the whole list.

    Args:
        address: Host and port of the platform's interface.
    """

    def __init__(self, *, address: str) -> None:
        self._url = f"http://{address}{LIST_PATH}"
        self._pool = urllib3.PoolManager(retries=False)

    def read(self) -> list[site_messages.Upstream]:
        """Return every runner of the list.

        Raises:
            ListUnreadable: The list could not be read in full.
        """
        return sorted(self._entries(), key=lambda u: u.upstream_id)

    def _entries(self) -> Iterator[site_messages.Upstream]:
        token: str | None = ""
        for _ in range(MAX_PAGES):
            entries, token = decode_page(self._get(token or ""))
            yield from entries
            if token is None:
                return
        raise upstream_reader.ListUnreadable(f"over {MAX_PAGES} pages")

    def _get(self, token: str) -> bytes:
        query = f"?{parse.urlencode({'page_token': token})}" if token else ""
        try:
            response = self._pool.request(
                "GET", self._url + query, timeout=TIMEOUT_S
            )
        except urllib3.exceptions.HTTPError as error:
            raise upstream_reader.ListUnreadable(str(error)) from error
        if response.status != 200:
            raise upstream_reader.ListUnreadable(f"status {response.status}")
        return response.data


def decode_page(
    body: bytes,
) -> tuple[list[site_messages.Upstream], str | None]:
    """Return a page's runners and the token of the next page.

    Entries of another writer that can't be read name no runner.

    Raises:
        ListUnreadable: The page is not a list.
    """
    try:
        page = msgspec.json.decode(body, type=_Page)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return _decode_loose(body)
    found = [_decode_entry(bytes(raw)) for raw in page.instances]
    return [u for u in found if u is not None], page.next


def _decode_loose(
    body: bytes,
) -> tuple[list[site_messages.Upstream], str | None]:
    """Read a page that is not JSON as a whole because of some entry."""
    text = body.decode("utf-8", "replace")
    if not LIST_START.search(text):
        raise upstream_reader.ListUnreadable("page: no list of entries")
    found = [
        _decode_entry(json.dumps(entry).encode()) for entry in _objects(text)
    ]
    token = NEXT_PAGE.search(text)
    return [u for u in found if u is not None], token and token.group(1)


def _objects(text: str) -> Iterator[object]:
    """Yield every object in the text that can be read by itself."""
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


def _decode_entry(raw: bytes) -> site_messages.Upstream | None:
    try:
        entry = msgspec.json.decode(raw, type=_Runner)
        stage = site_messages.Stage(entry.stage)
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError):
        return None
    if entry.state not in ("ready", "draining") or not _is_address(entry):
        return None
    return site_messages.Upstream(
        upstream_id=entry.identifier,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        slots=entry.slots,
        leaving=entry.state == "draining",
        stage=stage,
        weights_version=entry.models[0].version if entry.models else 0,
        born_ms=entry.born,
    )


def _is_address(entry: _Runner) -> bool:
    host, _, port = entry.address.rpartition(":")
    return bool(host and entry.identifier) and port.isdecimal()
