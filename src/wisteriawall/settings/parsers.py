"""Parsers of single setting values.

Each takes the setting's name, as a flag or environment variable, for the
message of the `SettingError` that it raises if the value is invalid.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import pathlib
from typing import TypeVar
from typing import final

from wisteriawall import errors

__all__ = [
    "SettingError",
    "SettingErrors",
    "parse_address",
    "parse_addresses",
    "parse_folder",
    "parse_key",
    "parse_name",
    "parse_optional_address",
    "parse_range",
    "run_all",
]

MIN_KEY_BYTES = 16
MAX_NAME_CHARS = 128
MAX_PORT = 65_535

ValueT = TypeVar("ValueT")


@final
class SettingError(errors.UsageError):
    """A setting has an invalid value."""

    def __init__(self, setting: str, got: str, expected: str) -> None:
        super().__init__(f"{setting}: got {got!r}, expected {expected}")


@final
class SettingErrors(ExceptionGroup[SettingError]):
    """All settings that have an invalid value."""


def run_all(
    checks: Iterable[Callable[[], object]],
) -> None:
    """Run every check, then raise all their errors together.

    Raises:
        SettingErrors: At least one check failed.
    """
    setting_errors = list(_failures(checks))
    if setting_errors:
        raise SettingErrors("invalid settings", setting_errors)


def _failures(checks: Iterable[Callable[[], object]]) -> Iterator[SettingError]:
    for check in checks:
        try:
            check()
        except SettingError as error:
            yield error


def parse_address(setting: str, text: str) -> str:
    """Return `text` if it is HOST:PORT."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise SettingError(setting, text, "HOST:PORT, as 10.0.0.1:7000")
    return text


def parse_optional_address(setting: str, text: str) -> str:
    """Return `text` if it is empty or HOST:PORT."""
    return parse_address(setting, text) if text else text


def parse_addresses(setting: str, text: str) -> dict[str, str]:
    """Return the addresses in `NAME=HOST:PORT,...`, keyed by their name."""
    addresses: dict[str, str] = {}
    for part in filter(None, text.split(",")):
        name, _, address = part.partition("=")
        addresses[parse_name(setting, name)] = parse_address(setting, address)
    if not addresses:
        raise SettingError(setting, text, "NAME=HOST:PORT, separated by commas")
    return addresses


def parse_name(setting: str, text: str) -> str:
    """Return `text` if it is a valid name of a process, runner or zone."""
    allowed = text.replace("-", "").replace("_", "").replace(".", "")
    if not allowed.isalnum() or len(text) > MAX_NAME_CHARS:
        raise SettingError(
            setting, text, "1 to 128 letters, digits, dots, dashes"
        )
    return text


def parse_key(setting: str, text: str) -> bytes:
    """Return the bytes of the cluster key, given in hexadecimal digits."""
    try:
        key = bytes.fromhex(text)
    except ValueError:
        key = b""
    if len(key) < MIN_KEY_BYTES:
        # The key is a secret, so the message must not contain it.
        raise SettingError(
            setting, "(hidden)", f"at least {2 * MIN_KEY_BYTES} hex digits"
        )
    return key


def parse_folder(setting: str, path: pathlib.Path) -> pathlib.Path:
    """Return `path` if it is a folder or does not exist yet."""
    if path.exists() and not path.is_dir():
        raise SettingError(setting, str(path), "a folder")
    return path


def parse_range(setting: str, value: int, *, minimum: int, maximum: int) -> int:
    """Return `value` if it is from `minimum` to `maximum`, both included."""
    if not minimum <= value <= maximum:
        raise SettingError(setting, str(value), f"{minimum} to {maximum}")
    return value
