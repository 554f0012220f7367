"""Tests that input from the platform gives a typed value or a typed error."""

import json
import pathlib

import hypothesis
from hypothesis import strategies
import msgspec
import pytest
from support import platform_site as sites

from wisteriawall.control import upstream_reader
from wisteriawall.gateway import protocol
from wisteriawall.platform import headers
from wisteriawall.platform import operators
from wisteriawall.platform import runners
from wisteriawall.platform import settings

JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=4
        )
    ),
    max_leaves=12,
)
SETTINGS = {
    "node_name": "n1",
    "ip_address": "10.0.0.1",
    "zone": "z1",
    "seeds": ["10.0.0.1:80", "10.0.0.2:80"],
    "internal_ports": [7_000, 7_010],
    "cloud_api": {"address": "10.9.9.9:80"},
    "unknown_field": {"a": 1},
}


@hypothesis.given(strategies.binary(max_size=200))
def test_page_of_arbitrary_bytes_is_decoded_or_unreadable(data: bytes) -> None:
    try:
        upstreams, _ = runners.decode_page(data)
    except upstream_reader.ListUnreadable:
        return
    assert isinstance(upstreams, list)


@hypothesis.given(strategies.lists(JSON, max_size=5))
def test_invalid_entries_do_not_hide_a_valid_one(invalid: list[object]) -> None:
    runner = sites.StandInRunner("i-1", "shop")
    entry = runner.entry()
    runner.close()
    page = {"instances": [*invalid, entry], "next": None}
    upstreams, next_token = runners.decode_page(json.dumps(page).encode())
    assert [upstream.upstream_id for upstream in upstreams] == ["i-1"]
    assert next_token is None


@pytest.mark.parametrize(
    "invalid",
    [
        pytest.param(b"Infinity", id="not-a-json-number"),
        pytest.param(b"\xff\xfe", id="not-utf-8"),
        pytest.param(b'{"identifier": "i-0", "service', id="truncated"),
        pytest.param(b'"unfinished', id="unterminated-string"),
    ],
)
def test_invalid_bytes_do_not_hide_a_valid_entry(invalid: bytes) -> None:
    runner = sites.StandInRunner("i-1", "shop")
    entry = json.dumps(runner.entry()).encode()
    runner.close()
    body = b'{"instances": [' + entry + b"," + invalid + b'], "next": "p-2"}'
    upstreams, next_token = runners.decode_page(body)
    assert [upstream.upstream_id for upstream in upstreams] == ["i-1"]
    assert next_token == "p-2"


@hypothesis.given(
    strategies.binary(max_size=200)
    | JSON.map(lambda value: json.dumps(value).encode())
)
def test_arbitrary_table_document_is_invalid(data: bytes) -> None:
    with pytest.raises(operators.TableInvalid):
        operators.decode_table(data)


@pytest.mark.parametrize(
    "change",
    [
        pytest.param({"timeout_ms": 0}, id="time-out-of-0"),
        pytest.param({"service": "none"}, id="unknown-service"),
        pytest.param({"path_prefix": "/pay/"}, id="same-host-and-prefix"),
        pytest.param(
            {"weighted_services": [{"service": "shop", "weight": 0}]},
            id="weights-add-up-to-0",
        ),
        pytest.param({"type": "odd"}, id="unknown-type"),
    ],
)
def test_invalid_route_makes_the_table_invalid(
    change: dict[str, object],
) -> None:
    document = sites.document(1)
    document["routes"][0] |= change
    with pytest.raises(operators.TableInvalid):
        operators.decode_table(json.dumps(document).encode())


@pytest.mark.parametrize(
    ("change", "field"),
    [
        pytest.param({"version": 2**64}, "version", id="version"),
        pytest.param(
            {"limits": {"idle_ms": 2**63}}, "limits.idle_ms", id="limit"
        ),
        pytest.param(
            {"services": [{"name": "shop", "connection_limit": 2**70}]},
            r"services\[0\].connection_limit",
            id="in-a-list",
        ),
    ],
)
def test_table_with_an_integer_over_64_bits_is_invalid(
    change: dict[str, object], field: str
) -> None:
    """The leader accepted the table and ended when it encoded the command."""
    document = sites.document(1) | change
    with pytest.raises(operators.TableInvalid, match=f"{field}: .*64-bit"):
        operators.decode_table(json.dumps(document).encode())


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from(
            [
                headers.ATTEMPT_ID,
                headers.DEADLINE_REMAINING,
                headers.TOKEN_COUNTS,
                headers.PROMPT_PREFIX,
                headers.MODEL,
            ]
        ),
        strategies.text(max_size=20) | strategies.sampled_from(["5", "1,2"]),
    )
)
def test_arbitrary_headers_are_parsed_or_malformed(
    headers_by_name: dict[str, str],
) -> None:
    try:
        head = headers.PlatformDialect().parse_request_head(headers_by_name)
    except protocol.MalformedCall:
        return
    assert head.attempt_id
    assert head.remaining_ms >= 0


@pytest.mark.parametrize(
    ("counts", "prefix"),
    [
        pytest.param(str(2**70), "a:1", id="input-over-64-bits"),
        pytest.param(f"1,{2**70}", "a:1", id="output-over-64-bits"),
        pytest.param("1,1", f"a:{2**63}", id="part-over-63-bits"),
        pytest.param("1,1", "a:-1", id="negative"),
        pytest.param("1,1", "a:1_0", id="grouped"),
        pytest.param("1,1", "a:\u0661", id="other-digits"),
        pytest.param("1,1", "a:" + "9" * 5_000, id="thousands-of-digits"),
    ],
)
def test_count_that_messages_cannot_carry_is_malformed(
    counts: str, prefix: str
) -> None:
    """It ended the thread that sends load events to other gateways."""
    with pytest.raises(protocol.MalformedCall):
        headers.PlatformDialect().parse_request_head(
            {
                headers.ATTEMPT_ID: "a",
                headers.TOKEN_COUNTS: counts,
                headers.PROMPT_PREFIX: prefix,
            }
        )


def test_huge_deadline_fits_into_a_timer() -> None:
    """No socket takes a timeout of 300 digits."""
    head = headers.PlatformDialect().parse_request_head(
        {headers.ATTEMPT_ID: "a", headers.DEADLINE_REMAINING: "1e300"}
    )
    assert head.remaining_ms == headers.NO_DEADLINE_MS


@pytest.mark.parametrize(
    "handle",
    [
        pytest.param("", id="empty"),
        pytest.param("h\r\nA: b", id="line-break"),
        pytest.param("h\u4e00", id="beyond-latin-1"),
        pytest.param("h" * 1_000_000, id="megabyte"),
    ],
)
def test_transfer_handle_that_no_header_carries_is_invalid(handle: str) -> None:
    body = json.dumps({"transfer_handle": handle}).encode()
    assert headers.PlatformDialect().parse_prefill_answer(body) is None


def test_deeply_nested_prefill_answer_is_invalid() -> None:
    body = b'{"a":' + 50_000 * b"[" + 50_000 * b"]" + b"}"
    assert headers.PlatformDialect().parse_prefill_answer(body) is None


@pytest.mark.parametrize(
    "text",
    [
        pytest.param("", id="empty"),
        pytest.param("{", id="truncated"),
        pytest.param("{}", id="fields-missing"),
        pytest.param('{"a":' + 50_000 * "[" + 50_000 * "]", id="deep"),
    ],
)
def test_settings_error_names_the_file(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch, text: str
) -> None:
    path = tmp_path / "settings.json"
    path.write_text(text)
    monkeypatch.setenv(settings.SETTINGS_VARIABLE, str(path))
    with pytest.raises(settings.SettingsInvalid, match=r"settings\.json"):
        settings.load()


def test_settings_give_addresses_and_ignore_new_fields(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS))
    monkeypatch.setenv(settings.SETTINGS_VARIABLE, str(path))
    loaded = settings.load()
    assert loaded.rpc_address == "10.0.0.1:7001"
    assert loaded.seed_rpc_by_replica() == {
        "10.0.0.1": "10.0.0.1:7001",
        "10.0.0.2": "10.0.0.2:7001",
    }


@pytest.mark.parametrize(
    ("status", "text", "pause_ms"),
    [
        pytest.param(503, "2", 2_000, id="seconds"),
        pytest.param(503, "0.25", 250, id="fraction"),
        pytest.param(503, "1, 3", 3_000, id="twice"),
        pytest.param(503, "1, soon", 1_000, id="one-of-two-valid"),
        pytest.param(503, "soon", None, id="no-number"),
        pytest.param(503, "-1", None, id="negative"),
        pytest.param(503, "nan", None, id="not-a-number"),
        pytest.param(503, "1e400", None, id="infinite"),
        pytest.param(503, "1e300", 3_600_000, id="huge"),
        pytest.param(503, "", None, id="empty"),
        pytest.param(200, "2", None, id="another-status"),
    ],
)
def test_pause_of_an_overloaded_runner(
    status: int, text: str, pause_ms: int | None
) -> None:
    head = headers.PlatformDialect().parse_answer_head(
        status, {"Retry-After": text}
    )
    assert head.pause_ms == pause_ms


@pytest.mark.parametrize(
    ("values", "leaving"),
    [
        pytest.param({}, False, id="absent"),
        pytest.param({"server-leaving": "1"}, True, id="lower-case"),
        pytest.param({"Server-Leaving": "1, 1"}, True, id="twice"),
        pytest.param({"Server-Leaving": "0"}, False, id="zero"),
        pytest.param({"Server-Leaving": "maybe"}, False, id="other-text"),
    ],
)
def test_leaving_of_a_runner(values: dict[str, str], leaving: bool) -> None:
    head = headers.PlatformDialect().parse_answer_head(200, values)
    assert head.leaving is leaving


@pytest.mark.parametrize(
    ("value", "limit"),
    [
        pytest.param(None, None, id="none"),
        pytest.param("1.4", protocol.NamedLimit(1.4), id="decimal"),
        pytest.param("0", protocol.NamedLimit(0.0), id="zero"),
        pytest.param(" 25 ", protocol.NamedLimit(25.0), id="spaces"),
        *(
            pytest.param(value, protocol.NamedLimit(None), id=name)
            for name, value in (
                ("empty", ""),
                ("word", "few"),
                ("negative", "-1"),
                ("not-a-number", "nan"),
                ("endless", "inf"),
                ("huge", "9" * 40),
                ("exponent", "1e3"),
                ("grouped", "1_0"),
                ("other-digits", "\u0661"),
                ("twice", "1.4, 2.0"),
            )
        ),
    ],
)
def test_limit_of_a_runner_is_read_or_ignored_with_a_log_line(
    value: str | None,
    limit: protocol.NamedLimit | None,
    caplog: pytest.LogCaptureFixture,
) -> None:
    head_by_name = {} if value is None else {"Server-Limit": value}
    answer = headers.PlatformDialect().parse_answer_head(200, head_by_name)
    assert answer.limit == limit
    is_ignored = limit == protocol.NamedLimit(None)
    assert len(caplog.records) == (1 if is_ignored else 0)


@pytest.mark.parametrize(
    ("status", "head_by_name"),
    [
        pytest.param(421, {"Server-Limit": "1"}, id="another-runner"),
        pytest.param(503, {"X-Wisteriawall-Not-Executed": "1"}, id="rejection"),
    ],
)
def test_answer_that_does_not_tell_ends_no_limit(
    status: int, head_by_name: dict[str, str]
) -> None:
    answer = headers.PlatformDialect().parse_answer_head(status, head_by_name)
    assert answer.limit == protocol.NamedLimit(None)


@pytest.mark.parametrize(
    ("bounds", "expected"),
    [
        pytest.param({}, None, id="absent"),
        pytest.param({"revoke_ms": 900}, None, id="not-strict"),
        pytest.param({"strict_revocation": True}, 5_000, id="default"),
        pytest.param(
            {"strict_revocation": True, "revoke_ms": 900}, 900, id="own-limit"
        ),
    ],
)
def test_limit_of_revocation_applies_only_if_it_is_strict(
    bounds: dict[str, object], expected: int | None
) -> None:
    loaded = msgspec.convert(SETTINGS | {"bounds": bounds}, settings.Settings)
    assert loaded.revoke_ms == expected


@pytest.mark.parametrize(
    ("bounds", "expected"),
    [
        pytest.param({}, 2_000, id="absent"),
        pytest.param({"config_ms": 900}, 900, id="own-limit"),
    ],
)
def test_time_of_a_change_is_not_that_of_the_deployment(
    bounds: dict[str, object], expected: int
) -> None:
    loaded = msgspec.convert(SETTINGS | {"bounds": bounds}, settings.Settings)
    assert loaded.bounds.config_ms == expected
