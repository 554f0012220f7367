"""Tests of the command line's settings checks."""

import pytest
import typer.testing

from wisteriawall import cli
from wisteriawall.settings import parsers

KEY = "ab" * 32
ENTRY = ["--name", "e", "--zone", "z", "--control", "c=127.0.0.1:1"]


@pytest.mark.parametrize(
    ("arguments", "environment"),
    [
        pytest.param([*ENTRY, "--cluster-key", KEY], {}, id="flags"),
        pytest.param(ENTRY, {"WISTERIAWALL_CLUSTER_KEY": KEY}, id="variable"),
    ],
)
def test_valid_settings_start_nothing(
    arguments: list[str], environment: dict[str, str]
) -> None:
    result = typer.testing.CliRunner().invoke(
        cli.app, ["check-settings", "entry", *arguments], env=environment
    )
    assert result.output == "settings: valid\n"
    assert result.exit_code == 0


def test_every_invalid_setting_is_named_and_the_key_is_not_shown() -> None:
    arguments = ["--name", "a b", "--zone", "z", "--control", "c=nowhere"]
    result = typer.testing.CliRunner().invoke(
        cli.app,
        ["check-settings", "entry", *arguments, "--cluster-key", "secret"],
    )
    assert isinstance(result.exception, parsers.SettingErrors)
    lines = [str(fault) for fault in result.exception.exceptions]
    assert [line.split(":")[0] for line in lines] == [
        "--name",
        "--control",
        "WISTERIAWALL_CLUSTER_KEY",
    ]
    assert "secret" not in "".join(lines)
