"""Checks of a whole document that its types alone cannot express."""

from collections.abc import Iterable
from collections.abc import Iterator
import itertools
import re

from wisteriawall.config import document

__all__ = ["find_faults"]

DIGEST = re.compile("[0-9a-f]{64}")
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
ROUTE = re.compile(r"[A-Z]+ /\S*")
MAX_PORT = 65_535


def find_faults(candidate: document.Document) -> Iterator[str]:
    """Yield a line for each bad field: its path, value and what is allowed."""
    yield from _name_faults(candidate)
    yield from _weight_store_faults(candidate.weight_store)
    for name, service in candidate.services.items():
        yield from _service_faults(f"services.{name}", service)
    for name, runner in candidate.runners.items():
        yield from _runner_faults(candidate, f"runners.{name}", runner)
    yield from _address_faults(candidate)
    yield from _account_faults(candidate)
    yield from _share_faults(candidate)


def _expected(path: str, got: object, wanted: str) -> str:
    return f"{path}: got {got!r}, expected {wanted}"


def _at_least(path: str, got: float, least: int) -> Iterator[str]:
    if not got >= least:
        yield _expected(path, got, f"at least {least}")


def _name_faults(candidate: document.Document) -> Iterator[str]:
    sections: dict[str, Iterable[str]] = {
        "services": candidate.services,
        "runners": candidate.runners,
        "accounts": candidate.accounts,
    }
    for section, by_name in sections.items():
        for name in by_name:
            if not NAME.fullmatch(name):
                yield _expected(
                    f"{section}.{name}",
                    name,
                    "a name of 1 to 128 letters, digits, dots, dashes",
                )


def _weight_store_faults(store: document.WeightStore) -> Iterator[str]:
    yield from _at_least(
        "weight_store.fetches_at_once", store.fetches_at_once, 1
    )
    yield from _at_least(
        "weight_store.fetch_interval_ms", store.fetch_interval_ms, 0
    )


def _service_faults(path: str, service: document.Service) -> Iterator[str]:
    yield from _at_least(f"{path}.share_pieces", service.share_pieces, 1)
    yield from _at_least(f"{path}.deadline_ms", service.deadline_ms, 1)
    yield from _at_least(f"{path}.payback_s", service.payback_s, 0)
    limits = service.limits
    yield from _at_least(f"{path}.limits.max_queued", limits.max_queued, 1)
    yield from _at_least(f"{path}.limits.max_streams", limits.max_streams, 1)
    yield from _at_least(
        f"{path}.limits.max_output_tokens", limits.max_output_tokens, 1
    )
    yield from _model_faults(path, service)
    for route in service.non_repeatable:
        if not ROUTE.fullmatch(route):
            yield _expected(f"{path}.non_repeatable", route, "METHOD /path")


def _model_faults(path: str, service: document.Service) -> Iterator[str]:
    is_model = service.kind is document.ServiceKind.MODEL
    if is_model and not service.models:
        yield _expected(f"{path}.models", [], "at least one model")
    if not is_model and service.models:
        yield _expected(
            f"{path}.models", service.models, "none for a plain service"
        )
    if not is_model and service.adapters:
        yield _expected(
            f"{path}.adapters", service.adapters, "none for a plain service"
        )
    if not service.version or "@" in service.version:
        yield _expected(f"{path}.version", service.version, "text without @")
    for field in ("models", "adapters"):
        names = getattr(service, field)
        if len(set(names)) < len(names):
            yield _expected(f"{path}.{field}", names, "each name once")
        for name in names:
            if not name or "@" in name:
                yield _expected(f"{path}.{field}", name, "text without @")


def _runner_faults(
    candidate: document.Document, path: str, runner: document.Runner
) -> Iterator[str]:
    service = candidate.services.get(runner.service)
    if service is None:
        yield _expected(
            f"{path}.service", runner.service, "the name of a service"
        )
    elif runner.model and runner.model not in service.models:
        yield _expected(
            f"{path}.model", runner.model, f"one of {service.models}"
        )
    yield from _at_least(f"{path}.pieces", runner.pieces, 1)
    for field in ("zone", "vm"):
        if not getattr(runner, field):
            yield _expected(f"{path}.{field}", "", "a name")
    if not runner.address and runner.fencing is document.Fencing.IGNORED:
        yield _expected(
            f"{path}.address",
            runner.address,
            "an agent, because the engine ignores fencing numbers",
        )


def _address_faults(candidate: document.Document) -> Iterator[str]:
    runner_by_address: dict[str, str] = {}
    for name, runner in candidate.runners.items():
        for field, address in (
            ("address", runner.address),
            ("feed", runner.feed),
        ):
            path = f"runners.{name}.{field}"
            if not address:
                continue
            host, _, port = address.rpartition(":")
            if not host or not port.isdecimal() or int(port) > MAX_PORT:
                yield _expected(path, address, "HOST:PORT")
            other = runner_by_address.setdefault(address, name)
            if other != name:
                yield _expected(path, address, f"not that of runner {other}")


def _account_faults(candidate: document.Document) -> Iterator[str]:
    account_by_digest: dict[str, str] = {}
    for name, account in candidate.accounts.items():
        path = f"accounts.{name}"
        if not DIGEST.fullmatch(account.token_digest):
            yield _expected(
                f"{path}.token_digest",
                account.token_digest,
                "64 lower-case hex digits, the SHA-256 of the token",
            )
        other = account_by_digest.setdefault(account.token_digest, name)
        if other != name:
            yield f"{path}.token_digest: the same as of account {other}"
        if not account.weight > 0:
            yield _expected(f"{path}.weight", account.weight, "above 0")


def _share_faults(candidate: document.Document) -> Iterator[str]:
    yield from _at_least("capacity_pieces", candidate.capacity_pieces, 0)
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
