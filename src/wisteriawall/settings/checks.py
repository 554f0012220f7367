"""Checks of single setting values; each names the setting and its fault."""

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
    "collect",
    "parse_address",
    "parse_addresses",
    "parse_folder",
    "parse_key",
    "parse_name",
    "parse_optional_address",
    "parse_range",
]

MIN_KEY_BYTES = 16
MAX_NAME_CHARS = 128
MAX_PORT = 65_535

ValueT = TypeVar("ValueT")


@final
class SettingError(errors.UsageError):
    """One setting that must be corrected."""

    def __init__(self, setting: str, got: str, expected: str) -> None:
        super().__init__(f"{setting}: got {got!r}, expected {expected}")


@final
class SettingErrors(ExceptionGroup[SettingError]):
    """Every setting that must be corrected."""


def collect(
    checks: Iterable[Callable[[], object]],
) -> None:
    """Run every check, then report all faults together.

    Raises:
        SettingErrors: At least one check failed.
    """
    faults = list(_faults(checks))
    if faults:
        raise SettingErrors("invalid settings", faults)


def _faults(checks: Iterable[Callable[[], object]]) -> Iterator[SettingError]:
    for check in checks:
        try:
            check()
        except SettingError as error:
            yield error


def parse_address(setting: str, text: str) -> str:
    """Return `text` if it is an IP host and port."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise SettingError(setting, text, "HOST:PORT, as 10.0.0.1:7000")
    return text


def parse_optional_address(setting: str, text: str) -> str:
    """Return `text` if it is empty or an IP host and port."""
    return parse_address(setting, text) if text else text


def parse_addresses(setting: str, text: str) -> dict[str, str]:
    """Return addresses by name from `name=HOST:PORT,...`."""
    addresses: dict[str, str] = {}
    for part in filter(None, text.split(",")):
        name, _, address = part.partition("=")
        addresses[parse_name(setting, name)] = parse_address(setting, address)
    if not addresses:
        raise SettingError(setting, text, "NAME=HOST:PORT, separated by commas")
    return addresses


def parse_name(setting: str, text: str) -> str:
    """Return `text` if it can name a process or runner."""
    allowed = text.replace("-", "").replace("_", "").replace(".", "")
    if not allowed.isalnum() or len(text) > MAX_NAME_CHARS:
        raise SettingError(
            setting, text, "1 to 128 letters, digits, dots, dashes"
        )
    return text


def parse_key(setting: str, text: str) -> bytes:
    """Return the cluster key that `text` holds as hexadecimal digits."""
    try:
        key = bytes.fromhex(text)
    except ValueError:
        key = b""
    if len(key) < MIN_KEY_BYTES:
        # The key is a secret, so the fault does not repeat it.
        raise SettingError(
            setting, "(hidden)", f"at least {2 * MIN_KEY_BYTES} hex digits"
        )
    return key


def parse_folder(setting: str, path: pathlib.Path) -> pathlib.Path:
    """Return `path` if a data folder can be there."""
    if path.exists() and not path.is_dir():
        raise SettingError(setting, str(path), "a folder")
    return path


def parse_range(setting: str, value: int, *, least: int, most: int) -> int:
    """Return `value` if it lies between `least` and `most`."""
    if not least <= value <= most:
        raise SettingError(setting, str(value), f"{least} to {most}")
    return value
