"""Tests of `wisteriawall check-settings`."""

import pytest
import typer.testing

from wisteriawall import cli
from wisteriawall.settings import parsers

CLUSTER_KEY = "ab" * 32
ENTRY_FLAGS = ["--name", "e", "--zone", "z", "--control", "c=127.0.0.1:1"]


@pytest.mark.parametrize(
    ("arguments", "environment"),
    [
        pytest.param(
            [*ENTRY_FLAGS, "--cluster-key", CLUSTER_KEY], {}, id="flags"
        ),
        pytest.param(
            ENTRY_FLAGS,
            {"WISTERIAWALL_CLUSTER_KEY": CLUSTER_KEY},
            id="variable",
        ),
    ],
)
def test_valid_settings_exit_without_starting(
    arguments: list[str], environment: dict[str, str]
) -> None:
    result = typer.testing.CliRunner().invoke(
        cli.app, ["check-settings", "entry", *arguments], env=environment
    )
    assert result.output == "settings: valid\n"
    assert result.exit_code == 0


def test_each_invalid_setting_is_reported_without_the_cluster_key() -> None:
    arguments = ["--name", "a b", "--zone", "z", "--control", "c=nowhere"]
    result = typer.testing.CliRunner().invoke(
        cli.app,
        ["check-settings", "entry", *arguments, "--cluster-key", "secret"],
    )
    assert isinstance(result.exception, parsers.SettingErrors)
    messages = [str(error) for error in result.exception.exceptions]
    assert [message.split(":")[0] for message in messages] == [
        "--name",
        "--control",
        "WISTERIAWALL_CLUSTER_KEY",
    ]
    assert "secret" not in "".join(messages)
