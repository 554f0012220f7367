"""What a usable runner of the list is.

The fields of a runner go into messages to gateways and replicas, into headers,
socket addresses, timers and log lines. A value that one of them can't carry is
rejected here, so that no code behind it needs to check.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import re

from wisteriawall.wire import gateway_messages

__all__ = ["find_fault", "is_dialable", "split_usable"]

MAX_NAME_LENGTH = 128
# Integers of JSON that every program reads without loss.
MAX_INTEGER = 2**53 - 1
MAX_SLOTS = 1_000_000
MAX_PORT = 65_535
IDENTIFIER = re.compile(rf"[!-~]{{1,{MAX_NAME_LENGTH}}}", re.ASCII)
ADDRESS = re.compile(
    r"[A-Za-z0-9][A-Za-z0-9._-]{0,252}:([1-9][0-9]{0,4})", re.ASCII
)


def find_fault(upstream: gateway_messages.Upstream) -> str:
    """Return the name of a field with an unusable value, empty if none has.

    The types of the fields are not checked; decoding does that.
    """
    if not IDENTIFIER.fullmatch(upstream.upstream_id):
        return "identifier"
    if not upstream.service or not _is_text(upstream.service):
        return "service"
    if not is_dialable(upstream.address):
        return "address"
    if not _is_text(upstream.zone):
        return "zone"
    if not _is_text(upstream.version):
        return "version"
    if not 1 <= upstream.slots <= MAX_SLOTS:
        return "slots"
    if not 0 <= upstream.weights_version <= MAX_INTEGER:
        return "weights-version"
    if not 0 <= upstream.born_ms <= MAX_INTEGER:
        return "born"
    return ""


def is_dialable(address: str) -> bool:
    """Return whether a connection to an address can be tried.

    It consists of a host name or IPv4 address, and a port.
    """
    match = ADDRESS.fullmatch(address)
    return match is not None and int(match[1]) <= MAX_PORT


def split_usable(
    upstreams: Iterable[gateway_messages.Upstream],
    known_by_id: Mapping[str, gateway_messages.Upstream],
) -> tuple[list[gateway_messages.Upstream], list[tuple[str, str]]]:
    """Return the usable runners, and the fault and id of each other one.

    Args:
        upstreams: Runners to check.
        known_by_id: Runners that were found usable before.
    """
    usable: list[gateway_messages.Upstream] = []
    faults: list[tuple[str, str]] = []
    for upstream in upstreams:
        is_known = known_by_id.get(upstream.upstream_id) == upstream
        fault = "" if is_known else find_fault(upstream)
        if fault:
            faults.append((fault, upstream.upstream_id))
        else:
            usable.append(upstream)
    return usable, faults


def _is_text(value: str) -> bool:
    """Return whether a value is short and fits into one line of a log."""
    return len(value) <= MAX_NAME_LENGTH and value.isprintable()
