"""Tests of `wisteriawall.settings.parsers`."""

from collections.abc import Callable

import pytest

from wisteriawall.settings import parsers


@pytest.mark.parametrize(
    ("parse", "text", "message"),
    [
        pytest.param(
            parsers.parse_address,
            "nowhere",
            "--x: got 'nowhere', expected HOST:PORT, as 10.0.0.1:7000",
            id="address-without-port",
        ),
        pytest.param(
            parsers.parse_address,
            "10.0.0.1:70000",
            "--x: got '10.0.0.1:70000', expected HOST:PORT, as 10.0.0.1:7000",
            id="port-too-large",
        ),
        pytest.param(
            parsers.parse_name,
            "a b",
            "--x: got 'a b', expected 1 to 128 letters, digits, dots, dashes",
            id="name-with-space",
        ),
        pytest.param(
            parsers.parse_key,
            "beef",
            "--x: got '(hidden)', expected at least 32 hex digits",
            id="short-key-stays-hidden",
        ),
    ],
)
def test_error_has_setting_value_and_expectation(
    parse: Callable[[str, str], object], text: str, message: str
) -> None:
    with pytest.raises(parsers.SettingError) as caught:
        parse("--x", text)
    assert str(caught.value) == message


def test_run_all_raises_every_error() -> None:
    with pytest.raises(parsers.SettingErrors) as caught:
        parsers.run_all(
            [
                lambda: parsers.parse_name("--a", ""),
                lambda: parsers.parse_name("--b", "fine"),
                lambda: parsers.parse_address("--c", ""),
            ]
        )
    assert [str(error).split(":")[0] for error in caught.value.exceptions] == [
        "--a",
        "--c",
    ]
