"""Range check of the integers in decoded JSON.

JSON integers may have any length, but messages and files, which use msgpack,
hold only 64-bit integers.
"""

from collections.abc import Iterator

__all__ = ["MAX_INTEGER", "MIN_INTEGER", "find_faults"]

MIN_INTEGER = -(2**63)
MAX_INTEGER = 2**63 - 1


def find_faults(value: object, path: str = "") -> Iterator[str]:
    """Yield one message for each integer that exceeds signed 64 bits.

    Args:
        value: Decoded JSON.
        path: Dotted path of the value, for the messages; empty for the
            whole document.
    """
    if isinstance(value, dict):
        for name, item in value.items():
            yield from find_faults(item, f"{path}.{name}" if path else name)
    elif isinstance(value, list):
        for position, item in enumerate(value):
            yield from find_faults(item, f"{path}[{position}]")
    elif isinstance(value, int) and not MIN_INTEGER <= value <= MAX_INTEGER:
        # The value isn't shown, since it may be a key in the wrong place.
        yield f"{path or 'document'}: expected a signed 64-bit integer"
