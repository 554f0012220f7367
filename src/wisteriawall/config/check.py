"""Findings about a configuration document that is valid or nearly so.

The product's own validation rejects a document. The findings here add entries
that have no effect, limits that contradict each other, and the differences
from another document. No finding contains a value of an account.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import enum
import json
from typing import final

import msgspec

from wisteriawall.config import document
from wisteriawall.config import patch

__all__ = [
    "Finding",
    "Severity",
    "check_document",
    "check_source",
    "compare_documents",
    "compare_values",
    "from_faults",
]

ACCOUNTS_SECTION = "accounts"
# Place that `patch.apply_patch` names in the faults of a whole document.
WHOLE_PATCH = "patch"
# One piece of an engine's capacity holds about 1,000 tokens of KV cache.
TOKENS_PER_PIECE = 1_000


@final
class Severity(enum.StrEnum):
    """Kind of a finding.

    The product rejects a document with an ERROR. A WARNING is an entry without
    effect or a contradiction. A DIFFERENCE is a change from another document.
    """

    ERROR = "error"
    WARNING = "warning"
    DIFFERENCE = "difference"


@final
class Finding(msgspec.Struct, frozen=True):
    """One finding; `place` is the dotted path or the name of the entry."""

    severity: Severity
    place: str
    message: str


def from_faults(faults: Iterable[str]) -> Iterator[Finding]:
    """Yield an error for each message of the product's validation."""
    for fault in faults:
        place, separator, message = fault.partition(": ")
        if not separator or place == WHOLE_PATCH:
            place, message = "document", message or fault
        yield Finding(Severity.ERROR, place, message)


def check_document(candidate: document.Document) -> Iterator[Finding]:
    """Yield a warning for each entry of a valid document without effect."""
    for place, message in _find_warnings(candidate):
        yield Finding(Severity.WARNING, place, message)


def compare_documents(
    before: document.Document, after: document.Document
) -> Iterator[Finding]:
    """Yield a finding for each field that differs, except the number."""
    yield from compare_values(
        msgspec.to_builtins(before) | {"number": 0},
        msgspec.to_builtins(after) | {"number": 0},
    )


def compare_values(before: object, after: object) -> Iterator[Finding]:
    """Yield a finding for each field that differs between decoded objects."""
    yield from _compare((), before, after)


def _compare(
    path: tuple[str, ...], before: object, after: object
) -> Iterator[Finding]:
    if isinstance(before, dict) and isinstance(after, dict):
        for name in [*before, *(name for name in after if name not in before)]:
            field_path = (*path, name)
            if name not in after:
                yield _difference(field_path, "removed")
            elif name not in before:
                yield _difference(field_path, "added")
            else:
                yield from _compare(field_path, before[name], after[name])
    elif before != after:
        yield _difference(
            path,
            "changed"
            if path[:1] == (ACCOUNTS_SECTION,)
            else f"changed from {json.dumps(before)} to {json.dumps(after)}",
        )


def _difference(path: tuple[str, ...], message: str) -> Finding:
    return Finding(Severity.DIFFERENCE, ".".join(path), message)


def _find_warnings(
    candidate: document.Document,
) -> Iterator[tuple[str, str]]:
    owner_by_model: dict[str, str] = {}
    for name, service in candidate.services.items():
        runners = [
            runner
            for runner in candidate.runners.values()
            if runner.service == name
        ]
        path = f"services.{name}"
        if not runners:
            yield path, "no runner serves this service"
        match service.kind:
            case document.ServiceKind.MODEL:
                yield from _model_warnings(name, service, owner_by_model)
                yield from _runner_warnings(path, service, runners)
            case document.ServiceKind.PLAIN:
                yield from _route_warnings(path, service)
    if not candidate.services:
        for name in candidate.accounts:
            yield f"accounts.{name}", "there is no service that it can use"


def _model_warnings(
    name: str, service: document.Service, owner_by_model: dict[str, str]
) -> Iterator[tuple[str, str]]:
    """Yield the models that an earlier service shadows.

    An entry takes the first service that has the model of a request.
    """
    for field in ("models", "adapters"):
        for model in getattr(service, field):
            owner = owner_by_model.setdefault(model, name)
            if owner != name:
                yield (
                    f"services.{name}.{field}",
                    f"{model!r} is shadowed by service {owner}",
                )
    if service.non_repeatable:
        yield (
            f"services.{name}.non_repeatable",
            "has no effect, because only plain services have such routes",
        )


def _runner_warnings(
    path: str, service: document.Service, runners: list[document.Runner]
) -> Iterator[tuple[str, str]]:
    if not runners:
        return
    loaded = {runner.model or service.models[0] for runner in runners}
    for model in service.models:
        if model not in loaded:
            yield (
                f"{path}.models",
                f"{model!r} is loaded by no runner of the service",
            )
    max_tokens = service.limits.max_output_tokens
    capacity = TOKENS_PER_PIECE * max(runner.pieces for runner in runners)
    # Documents that leave the limit at its default state nothing about it.
    if (
        max_tokens != document.Limits().max_output_tokens
        and max_tokens > capacity
    ):
        yield (
            f"{path}.limits.max_output_tokens",
            f"{max_tokens} tokens exceed the {capacity} that the largest "
            "runner of the service holds",
        )


def _route_warnings(
    path: str, service: document.Service
) -> Iterator[tuple[str, str]]:
    seen: set[str] = set()
    for route in service.non_repeatable:
        if route in seen:
            yield f"{path}.non_repeatable", f"{route!r} is given twice"
        seen.add(route)
        if "?" in route or "#" in route:
            yield (
                f"{path}.non_repeatable",
                f"{route!r} never matches, because paths are compared "
                "without their query",
            )


def check_source(
    source: bytes,
) -> tuple[document.Document | None, list[Finding]]:
    """Return the document in a file, None if it is invalid, and findings.

    The file holds a whole document as `config get` prints it, or the first
    patch of a new cluster.
    """
    try:
        candidate = patch.apply_patch(current=document.empty(), change=source)
    except patch.PatchInvalid as error:
        return None, list(from_faults(error.faults))
    return candidate, list(check_document(candidate))
