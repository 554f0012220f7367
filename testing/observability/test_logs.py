"""Tests of `wisteriawall.observability.logs`."""

from collections.abc import Iterator
import logging

import msgspec
import pytest

from wisteriawall.observability import logs


@pytest.fixture
def root() -> Iterator[logging.Logger]:
    """Yield the root logger and restore its handlers and level."""
    logger = logging.getLogger()
    handlers, level = logger.handlers[:], logger.level
    yield logger
    logger.handlers[:] = handlers
    logger.setLevel(level)


def test_json_line_has_level_logger_and_message(
    root: logging.Logger, capsys: pytest.CaptureFixture[str]
) -> None:
    del root
    logs.configure(log_format=logs.LogFormat.JSON, level="info")
    logging.getLogger("entry").info("entry: stopped")
    line = msgspec.json.decode(capsys.readouterr().err)
    assert (line["levelname"], line["name"], line["message"]) == (
        "INFO",
        "entry",
        "entry: stopped",
    )


def test_text_line_below_the_level_is_dropped(
    root: logging.Logger, capsys: pytest.CaptureFixture[str]
) -> None:
    del root
    logs.configure(log_format=logs.LogFormat.TEXT, level="warning")
    logging.getLogger("control").info("control: below the level")
    logging.getLogger("control").warning("control: at the level")
    lines = capsys.readouterr().err.splitlines()
    assert [line.partition(" WARNING ")[2] for line in lines] == [
        "control: at the level"
    ]
