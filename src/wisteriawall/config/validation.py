"""Checks of a configuration document beyond the types of its fields."""

from collections.abc import Iterable
from collections.abc import Iterator
import itertools
import re

from wisteriawall.config import document

__all__ = ["find_faults"]

TOKEN_DIGEST_PATTERN = re.compile("[0-9a-f]{64}")
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")
METHOD_AND_PATH_PATTERN = re.compile(r"[A-Z]+ /\S*")
MAX_PORT = 65_535


def find_faults(candidate: document.Document) -> Iterator[str]:
    """Yield one message per invalid field: path, value and what is expected."""
    yield from _name_faults(candidate)
    yield from _weight_store_faults(candidate.weight_store)
    for name, service in candidate.services.items():
        yield from _service_faults(f"services.{name}", service)
    for name, runner in candidate.runners.items():
        yield from _runner_faults(candidate, f"runners.{name}", runner)
    yield from _address_faults(candidate)
    yield from _account_faults(candidate)
    yield from _share_faults(candidate)


def _fault(path: str, value: object, expected: str) -> str:
    return f"{path}: got {value!r}, expected {expected}"


def _check_minimum(path: str, value: float, minimum: int) -> Iterator[str]:
    if not value >= minimum:
        yield _fault(path, value, f"at least {minimum}")


def _name_faults(candidate: document.Document) -> Iterator[str]:
    sections: dict[str, Iterable[str]] = {
        "services": candidate.services,
        "runners": candidate.runners,
        "accounts": candidate.accounts,
    }
    for section, names in sections.items():
        for name in names:
            if not NAME_PATTERN.fullmatch(name):
                yield _fault(
                    f"{section}.{name}",
                    name,
                    "a name of 1 to 128 letters, digits, dots, dashes",
                )


def _weight_store_faults(weight_store: document.WeightStore) -> Iterator[str]:
    yield from _check_minimum(
        "weight_store.fetches_at_once", weight_store.fetches_at_once, 1
    )
    yield from _check_minimum(
        "weight_store.fetch_interval_ms", weight_store.fetch_interval_ms, 0
    )


def _service_faults(path: str, service: document.Service) -> Iterator[str]:
    yield from _check_minimum(f"{path}.share_pieces", service.share_pieces, 1)
    yield from _check_minimum(f"{path}.deadline_ms", service.deadline_ms, 1)
    yield from _check_minimum(f"{path}.payback_s", service.payback_s, 0)
    limits = service.limits
    yield from _check_minimum(f"{path}.limits.max_queued", limits.max_queued, 1)
    yield from _check_minimum(
        f"{path}.limits.max_streams", limits.max_streams, 1
    )
    yield from _check_minimum(
        f"{path}.limits.max_output_tokens", limits.max_output_tokens, 1
    )
    yield from _model_faults(path, service)
    for route in service.non_repeatable:
        if not METHOD_AND_PATH_PATTERN.fullmatch(route):
            yield _fault(f"{path}.non_repeatable", route, "METHOD /path")


def _model_faults(path: str, service: document.Service) -> Iterator[str]:
    is_model = service.kind is document.ServiceKind.MODEL
    if is_model and not service.models:
        yield _fault(f"{path}.models", [], "at least one model")
    if not is_model and service.models:
        yield _fault(
            f"{path}.models", service.models, "none for a plain service"
        )
    if not is_model and service.adapters:
        yield _fault(
            f"{path}.adapters", service.adapters, "none for a plain service"
        )
    if not service.version or "@" in service.version:
        yield _fault(f"{path}.version", service.version, "text without @")
    for field in ("models", "adapters"):
        names = getattr(service, field)
        if len(set(names)) < len(names):
            yield _fault(f"{path}.{field}", names, "each name once")
        for name in names:
            if not name or "@" in name:
                yield _fault(f"{path}.{field}", name, "text without @")


def _runner_faults(
    candidate: document.Document, path: str, runner: document.Runner
) -> Iterator[str]:
    service = candidate.services.get(runner.service)
    if service is None:
        yield _fault(f"{path}.service", runner.service, "the name of a service")
    elif runner.model and runner.model not in service.models:
        yield _fault(f"{path}.model", runner.model, f"one of {service.models}")
    yield from _check_minimum(f"{path}.pieces", runner.pieces, 1)
    for field in ("zone", "vm"):
        if not getattr(runner, field):
            yield _fault(f"{path}.{field}", "", "a name")
    if not runner.address and runner.fencing is document.Fencing.IGNORED:
        yield _fault(
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
                yield _fault(path, address, "HOST:PORT")
            other = runner_by_address.setdefault(address, name)
            if other != name:
                yield _fault(
                    path,
                    address,
                    f"not that of runner {other}",
                )


def _account_faults(candidate: document.Document) -> Iterator[str]:
    account_by_digest: dict[str, str] = {}
    for name, account in candidate.accounts.items():
        path = f"accounts.{name}"
        if not TOKEN_DIGEST_PATTERN.fullmatch(account.token_digest):
            # The value may be the token itself, put here by mistake.
            yield (
                f"{path}.token_digest: expected 64 lower-case hex digits, "
                "the SHA-256 of the token"
            )
        other = account_by_digest.setdefault(account.token_digest, name)
        if other != name:
            yield f"{path}.token_digest: the same as of account {other}"
        if not account.weight > 0:
            yield _fault(f"{path}.weight", account.weight, "above 0")


def _share_faults(candidate: document.Document) -> Iterator[str]:
    yield from _check_minimum("capacity_pieces", candidate.capacity_pieces, 0)
    total_share_pieces = sum(
        service.share_pieces for service in candidate.services.values()
    )
    if total_share_pieces > candidate.capacity_pieces:
        yield (
            f"services: shares sum to {total_share_pieces} pieces, "
            f"expected at most capacity_pieces = {candidate.capacity_pieces}"
        )
    sorted_runners = sorted(
        candidate.runners.values(), key=lambda runner: runner.service
    )
    for name, group in itertools.groupby(
        sorted_runners, key=lambda runner: runner.service
    ):
        service = candidate.services.get(name)
        runner_pieces = sum(runner.pieces for runner in group)
        if service is not None and runner_pieces > service.share_pieces:
            yield (
                f"services.{name}.share_pieces: runners hold {runner_pieces} "
                f"pieces, expected at most {service.share_pieces}"
            )
