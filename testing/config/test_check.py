"""Tests of the findings about configurations and of their command."""

import pathlib
from typing import Any

import msgspec
import pytest
from typer import testing as typer_testing

from wisteriawall import cli
from wisteriawall import errors
from wisteriawall.config import check

TOKEN = "tk-in-the-wrong-place"
DIGEST = "ab" * 32
MODEL = {"kind": "model", "share_pieces": 2, "models": ["m"]}
PLAIN = {"kind": "plain", "share_pieces": 2}
RUNNER = {"address": "h:1", "zone": "z", "vm": "v", "pieces": 2}
CLEAN = {
    "capacity_pieces": 4,
    "services": {"s": MODEL, "p": PLAIN},
    "runners": {
        "r": RUNNER | {"service": "s"},
        "q": RUNNER | {"service": "p", "address": "h:2"},
    },
    "accounts": {"a": {"token_digest": DIGEST}},
}


def with_service(name: str, service: dict[str, Any]) -> dict[str, Any]:
    """Return the clean document with a service replaced or added."""
    return CLEAN | {"services": {"s": MODEL, "p": PLAIN} | {name: service}}


def invoke(
    folder: pathlib.Path, *arguments: str, **content_by_name: Any
) -> typer_testing.Result:
    """Write the files and run the command in their folder."""
    for name, content in content_by_name.items():
        (folder / name).write_bytes(msgspec.json.encode(content))
    paths = [
        str(folder / argument) if argument in content_by_name else argument
        for argument in arguments
    ]
    return typer_testing.CliRunner().invoke(
        cli.app, ["config", "check", *paths], env={"COLUMNS": "200"}
    )


@pytest.mark.parametrize(
    ("content", "expected"),
    [
        pytest.param(CLEAN, [], id="clean"),
        pytest.param(
            CLEAN | {"capacity_pieces": 3},
            [("error", "services", "shares sum")],
            id="invalid",
        ),
        pytest.param([], [("error", "document", "object")], id="no-object"),
        pytest.param(
            with_service("t", MODEL | {"share_pieces": 0}),
            [("error", "services.t.share_pieces", "at least 1")],
            id="minimum",
        ),
        pytest.param(
            CLEAN | {"capacity_pieces": 6, "runners": {}},
            [
                ("warning", "services.s", "no runner"),
                ("warning", "services.p", "no runner"),
            ],
            id="service-without-runner",
        ),
        pytest.param(
            with_service("s", MODEL | {"models": ["m", "n"]}),
            [("warning", "services.s.models", "'n' is loaded by no runner")],
            id="model-without-runner",
        ),
        pytest.param(
            with_service("s", MODEL | {"adapters": ["m"]}),
            [],
            id="adapter-of-the-same-service",
        ),
        pytest.param(
            with_service("t", MODEL) | {"capacity_pieces": 6},
            [
                ("warning", "services.t", "no runner"),
                ("warning", "services.t.models", "shadowed by service s"),
            ],
            id="shadowed-model",
        ),
        pytest.param(
            with_service("s", MODEL | {"non_repeatable": ["POST /a"]}),
            [("warning", "services.s.non_repeatable", "only plain")],
            id="route-of-a-model",
        ),
        pytest.param(
            with_service(
                "p", PLAIN | {"non_repeatable": ["PUT /a", "PUT /a", "PUT /?b"]}
            ),
            [
                ("warning", "services.p.non_repeatable", "given twice"),
                ("warning", "services.p.non_repeatable", "never matches"),
            ],
            id="routes",
        ),
        pytest.param(
            with_service("s", MODEL | {"limits": {"max_output_tokens": 2_001}}),
            [("warning", "services.s.limits.max_output_tokens", "2000")],
            id="answer-above-capacity",
        ),
        pytest.param(
            CLEAN | {"services": {}, "runners": {}},
            [("warning", "accounts.a", "no service")],
            id="account-without-use",
        ),
    ],
)
def test_findings_of_a_document(
    content: object, expected: list[tuple[str, str, str]]
) -> None:
    _, findings = check.check_source(msgspec.json.encode(content))
    assert [(f.severity.value, f.place) for f in findings] == [
        (severity, place) for severity, place, _ in expected
    ]
    for finding, (_, _, message) in zip(findings, expected, strict=True):
        assert message in finding.message


def test_text_that_is_no_json_is_an_error() -> None:
    for source in (b"{", b'"\xff"', b"[" * 100_000):
        _, [finding] = check.check_source(source)
        assert (finding.severity, finding.place) == ("error", "document")


@pytest.mark.parametrize(
    "accounts",
    [
        pytest.param(TOKEN, id="section"),
        pytest.param([TOKEN], id="list"),
        pytest.param({"a": TOKEN}, id="account"),
        pytest.param({"a": {"token_digest": TOKEN}}, id="digest"),
        pytest.param({"a": {"token_digest": [TOKEN]}}, id="digest-type"),
        pytest.param(
            {"a": {"token_digest": DIGEST, "weight": TOKEN}}, id="weight"
        ),
        pytest.param({"a": {"token_digest": "cd" * 32}}, id="other-digest"),
    ],
)
@pytest.mark.parametrize("flags", [(), ("--json",)])
def test_no_output_contains_a_key(
    tmp_path: pathlib.Path, accounts: object, flags: tuple[str, ...]
) -> None:
    """An operator's log would keep a token that is in the wrong field."""
    for file, base in (("new", "old"), ("old", "new")):
        result = invoke(
            tmp_path,
            *(file, "--against", base, *flags),
            new=CLEAN | {"accounts": accounts},
            old=CLEAN,
        )
        output = f"{result.output} {result.exception}"
        assert "accounts" in output
        assert result.exit_code
        for secret in (TOKEN, DIGEST, "cd" * 32):
            assert secret not in output


def test_differences_are_findings_without_the_number(
    tmp_path: pathlib.Path,
) -> None:
    new = CLEAN | {"number": 9, "weight_store": {"fetches_at_once": 3}}
    new["runners"] = {"q": RUNNER | {"service": "p", "address": "h:2"}}
    new["runners"]["t"] = RUNNER | {"service": "s"}
    files = {"new": new, "old": CLEAN | {"number": 3}}
    result = invoke(tmp_path, "new", "--against", "old", "--json", **files)
    assert result.exit_code == errors.ExitCode.FAILED
    findings = msgspec.json.decode(result.stdout)["findings"]
    assert [tuple(finding.values()) for finding in findings] == [
        ("difference", "runners.r", "removed"),
        ("difference", "runners.t", "added"),
        (
            "difference",
            "weight_store.fetches_at_once",
            "changed from 2 to 3",
        ),
    ]


@pytest.mark.parametrize(
    ("arguments", "exit_code", "output"),
    [
        pytest.param(["ok"], 0, "no findings\n", id="clean"),
        pytest.param(["ok", "--against", "ok"], 0, "no findings\n", id="same"),
        pytest.param(["bad"], 1, "bad: error: capacity_pieces: ", id="error"),
        pytest.param(["absent"], 2, "", id="absent"),
        pytest.param(["ok", "--against", "absent"], 2, "", id="no-base"),
        pytest.param(["ok", "--against", "bad"], 2, "", id="invalid-base"),
        pytest.param(["ok", "--against", "live"], 2, "", id="no-token"),
        pytest.param(["ok", "--odd"], 2, "", id="unknown-option"),
    ],
)
def test_exit_code(
    tmp_path: pathlib.Path, arguments: list[str], exit_code: int, output: str
) -> None:
    result = invoke(
        tmp_path, *arguments, ok=CLEAN, bad=CLEAN | {"capacity_pieces": "x"}
    )
    assert output in result.stdout
    if isinstance(result.exception, errors.WisteriawallError):
        assert result.exception.exit_code == exit_code
    else:
        assert result.exit_code == exit_code
