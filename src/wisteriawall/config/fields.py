"""Type checks of a document that name every bad field at once."""

from collections.abc import Iterator
import inspect
import typing

import msgspec

__all__ = ["find_faults"]


def find_faults(value: object, wanted: object, path: str = "") -> Iterator[str]:
    """Yield a line for each field of `value` that its type does not allow.

    Args:
        value: Decoded JSON.
        wanted: Type that the value must have.
        path: Dotted path of the value, for the messages.
    """
    if inspect.isclass(wanted) and issubclass(wanted, msgspec.Struct):
        yield from _struct_faults(value, wanted, path)
    elif typing.get_origin(wanted) is dict and isinstance(value, dict):
        _, item_type = typing.get_args(wanted)
        for name, item in value.items():
            if not name:
                yield f"{path}: got an empty name, expected a name"
            yield from find_faults(item, item_type, _join(path, name))
    else:
        yield from _scalar_faults(value, wanted, path)


def _struct_faults(
    value: object, wanted: type[msgspec.Struct], path: str
) -> Iterator[str]:
    if not isinstance(value, dict):
        yield f"{path or 'document'}: got {value!r}, expected an object"
        return
    hints = typing.get_type_hints(wanted)
    for field in msgspec.structs.fields(wanted):
        here = _join(path, field.encode_name)
        if field.encode_name in value:
            found = value[field.encode_name]
            yield from find_faults(found, hints[field.name], here)
        elif field.required:
            yield f"{here}: missing, expected a value"
    known = {field.encode_name for field in msgspec.structs.fields(wanted)}
    for name in sorted(set(value) - known):
        yield f"{_join(path, name)}: unknown field"


def _scalar_faults(value: object, wanted: object, path: str) -> Iterator[str]:
    try:
        msgspec.convert(value, wanted)
    except msgspec.ValidationError as error:
        yield f"{path}: got {value!r}: {error}"


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name
