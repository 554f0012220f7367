"""Type checks of a decoded document that report every invalid field."""

from collections.abc import Iterator
import inspect
import typing

import msgspec

__all__ = ["find_faults"]

# Values in this section may be tokens that were put in the wrong place.
HIDDEN_SECTION = "accounts"


def find_faults(
    value: object, expected_type: object, path: str = ""
) -> Iterator[str]:
    """Yield one message for each field whose value does not have its type.

    Args:
        value: Decoded JSON.
        expected_type: Type that the value must have.
        path: Dotted path of the value, for the messages; empty for the
            whole document.
    """
    if inspect.isclass(expected_type) and issubclass(
        expected_type, msgspec.Struct
    ):
        yield from _struct_faults(value, expected_type, path)
    elif typing.get_origin(expected_type) is dict and isinstance(value, dict):
        _, item_type = typing.get_args(expected_type)
        for name, item in value.items():
            if not name:
                yield f"{path}: got an empty name, expected a name"
            yield from find_faults(item, item_type, _join_path(path, name))
    else:
        yield from _scalar_faults(value, expected_type, path)


def _struct_faults(
    value: object, expected_type: type[msgspec.Struct], path: str
) -> Iterator[str]:
    if not isinstance(value, dict):
        yield f"{path or 'document'}: {_got(value, path)}expected an object"
        return
    type_by_name = typing.get_type_hints(expected_type)
    for field in msgspec.structs.fields(expected_type):
        field_path = _join_path(path, field.encode_name)
        if field.encode_name in value:
            field_value = value[field.encode_name]
            yield from find_faults(
                field_value, type_by_name[field.name], field_path
            )
        elif field.required:
            yield f"{field_path}: missing, expected a value"
    known_names = {
        field.encode_name for field in msgspec.structs.fields(expected_type)
    }
    for name in sorted(set(value) - known_names):
        yield f"{_join_path(path, name)}: unknown field"


def _scalar_faults(
    value: object, expected_type: object, path: str
) -> Iterator[str]:
    try:
        msgspec.convert(value, expected_type)
    except msgspec.ValidationError as error:
        shown = "" if _is_hidden(path) else f"got {value!r}: "
        yield f"{path}: {shown}{error}"


def _got(value: object, path: str) -> str:
    return "" if _is_hidden(path) else f"got {value!r}, "


def _is_hidden(path: str) -> bool:
    return path.partition(".")[0] == HIDDEN_SECTION


def _join_path(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name
