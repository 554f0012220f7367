"""Checks of a whole document that its types alone cannot express."""

from collections.abc import Iterator
import itertools

from wisteriawall.config import document

__all__ = ["find_faults"]


def find_faults(candidate: document.Document) -> Iterator[str]:
    """Yield a line for each bad field: its path, value and what is allowed."""
    yield from _service_faults(candidate)
    yield from _runner_faults(candidate)
    yield from _share_faults(candidate)


def _expected(path: str, got: object, wanted: str) -> str:
    return f"{path}: got {got!r}, expected {wanted}"


def _service_faults(candidate: document.Document) -> Iterator[str]:
    for name, service in candidate.services.items():
        path = f"services.{name}"
        if service.share_pieces < 1:
            yield _expected(
                f"{path}.share_pieces", service.share_pieces, "at least 1"
            )
        if service.deadline_ms < 1:
            yield _expected(
                f"{path}.deadline_ms", service.deadline_ms, "at least 1"
            )
        if service.payback_s < 0:
            yield _expected(
                f"{path}.payback_s", service.payback_s, "at least 0"
            )
        if service.kind is document.ServiceKind.MODEL and not service.models:
            yield _expected(f"{path}.models", [], "at least one model")


def _runner_faults(candidate: document.Document) -> Iterator[str]:
    for name, runner in candidate.runners.items():
        path = f"runners.{name}"
        if runner.service not in candidate.services:
            yield _expected(
                f"{path}.service", runner.service, "the name of a service"
            )
        if runner.pieces < 1:
            yield _expected(f"{path}.pieces", runner.pieces, "at least 1")
        if not runner.address and runner.fencing is document.Fencing.IGNORED:
            yield _expected(
                f"{path}.address",
                runner.address,
                "an agent, because the engine ignores fencing numbers",
            )


def _share_faults(candidate: document.Document) -> Iterator[str]:
    total = sum(service.share_pieces for service in candidate.services.values())
    if total > candidate.capacity_pieces:
        yield (
            f"services: shares sum to {total} pieces, expected at most "
            f"capacity_pieces = {candidate.capacity_pieces}"
        )
    by_service = sorted(candidate.runners.values(), key=lambda r: r.service)
    for name, group in itertools.groupby(by_service, key=lambda r: r.service):
        service = candidate.services.get(name)
        held = sum(runner.pieces for runner in group)
        if service is not None and held > service.share_pieces:
            yield (
                f"services.{name}.share_pieces: runners hold {held} pieces, "
                f"expected at most {service.share_pieces}"
            )
