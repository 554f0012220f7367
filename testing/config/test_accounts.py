"""Tests of client accounts: their faults, changes and digests."""

import json
import random
from typing import Any

import hypothesis
from hypothesis import strategies
import msgspec
import pytest
from support import platform_site

from wisteriawall.config import accounts
from wisteriawall.config import route_table
from wisteriawall.config import table_change
from wisteriawall.config import text_change
from wisteriawall.platform import operators

SECRET = "k-secret-1"
MAX_CHANGE_BYTES = 1_024
ACCOUNTS = strategies.none() | strategies.lists(
    strategies.builds(
        accounts.make,
        strategies.sampled_from("abcd"),
        strategies.lists(strategies.sampled_from("uvwxyz")),
        strategies.none() | strategies.integers(0, 2),
    ),
    unique_by=lambda account: account.name,
)


def document(*tenants: dict[str, Any]) -> bytes:
    """Return a published document with these accounts."""
    return json.dumps(platform_site.document(1, tenants=tenants)).encode()


@pytest.mark.parametrize(
    ("tenants", "fault"),
    [
        pytest.param(
            [
                {"name": "a", "api_keys": [SECRET]},
                {"name": "b", "api_keys": ["x", SECRET]},
            ],
            r"tenants\[1\].api_keys\[1\]: the key is also one of tenants\[0\]",
            id="shared-key",
        ),
        pytest.param(
            [{"name": "a", "api_keys": [SECRET, ""]}],
            r"tenants\[0\].api_keys\[1\]: the key is empty",
            id="empty-key",
        ),
        pytest.param(
            [
                {"name": "a", "api_keys": [SECRET]},
                {"name": "a", "api_keys": []},
            ],
            r"tenants\[1\].name: 'a' is also the name of tenants\[0\]",
            id="name-twice",
        ),
        pytest.param(
            [{"name": "a\r\nX: 1", "api_keys": [SECRET]}],
            r"tenants\[0\].name: .*printable",
            id="header-in-name",
        ),
        pytest.param(
            [{"name": "a", "api_keys": SECRET}],
            r"tenants\[0\].api_keys",
            id="no-list",
        ),
        pytest.param(
            [{"name": "a", "api_keys": [SECRET], "priority": SECRET}],
            r"tenants\[0\].priority",
            id="priority-no-number",
        ),
    ],
)
def test_fault_is_reported_with_its_place_and_without_the_key(
    tenants: list[dict[str, Any]], fault: str
) -> None:
    """A key in an error would reach the operators' log."""
    with pytest.raises(operators.TableInvalid, match=fault) as caught:
        operators.decode_table(document(*tenants))
    assert SECRET not in f"{caught.value!r} {caught.value.__cause__!r}"


@pytest.mark.parametrize(
    ("more", "expected"),
    [
        pytest.param({}, None, id="absent"),
        pytest.param({"tenants": []}, [], id="empty"),
        pytest.param(
            {"tenants": [{"name": "b", "api_keys": ["y", "x", "y"]}]},
            [accounts.make("b", ["x", "y"], None)],
            id="one",
        ),
    ],
)
def test_accounts_of_a_document_are_decoded(
    more: dict[str, Any], expected: list[accounts.Account] | None
) -> None:
    data = json.dumps(platform_site.document(1, **more)).encode()
    assert operators.decode_table(data).accounts == expected


@hypothesis.given(base=ACCOUNTS, target=ACCOUNTS)
def test_change_of_accounts_gives_the_target_in_its_order(
    base: list[accounts.Account] | None, target: list[accounts.Account] | None
) -> None:
    tables = [
        route_table.RouteTable(
            number=number, routes=[], services=[], accounts=listed
        )
        for number, listed in ((1, base), (2, target))
    ]
    data = table_change.encode(table_change.difference(*tables))
    assert table_change.apply(tables[0], table_change.decode(data)) == tables[1]


def test_one_key_of_a_large_account_is_a_small_change() -> None:
    """The whole account filled the links of gateways at each rotation."""
    chance = random.Random(1)
    keys = [f"{chance.getrandbits(128):032x}" for _ in range(10_000)]
    bodies = [
        document({"name": "a", "api_keys": api_keys})
        for api_keys in (keys, [*keys[:5_000], "new", *keys[5_001:]])
    ]
    tables = [operators.decode_table(body) for body in bodies]
    change = table_change.encode(table_change.difference(*tables))
    assert len(change) < MAX_CHANGE_BYTES
    assert len(text_change.difference(*bodies)) < MAX_CHANGE_BYTES


def test_change_encoded_without_accounts_is_decoded() -> None:
    """Logs of earlier versions hold such changes."""
    table = operators.decode_table(document({"name": "a", "api_keys": ["x"]}))
    fields = msgspec.to_builtins(table_change.difference(table, table))
    change = msgspec.convert(fields[:-1], table_change.TableChange)
    assert table_change.apply(table, change).accounts == table.accounts


@pytest.mark.parametrize(
    "digests",
    [
        pytest.param([[b"short"]], id="malformed-digest"),
        pytest.param([[b"0" * 16], [b"0" * 16]], id="shared-digest"),
    ],
)
def test_malformed_accounts_give_no_index(digests: list[list[bytes]]) -> None:
    listed = [
        accounts.Account(name=str(number), key_digests=key_digests)
        for number, key_digests in enumerate(digests)
    ]
    with pytest.raises(accounts.AccountsInvalid):
        accounts.index_by_digest(listed)
