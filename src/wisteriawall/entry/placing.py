"""Choice of a runner, and what each attempt teaches about runners."""

from collections.abc import Iterator

from wisteriawall.entry import events
from wisteriawall.entry import state
from wisteriawall.policy import health as health_lib
from wisteriawall.policy import retries
from wisteriawall.policy import routing
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import fleet

__all__ = [
    "abandoned",
    "admitted",
    "choose",
    "dispatched",
    "failed",
    "finished",
    "forget_gone",
    "give_back_demand",
    "may_retry",
    "started",
    "take_demand",
]


def admitted(entry: state.Entry, arrived: events.Arrived) -> None:
    """Count a new request as demand and into its service's retry budget."""
    _budget(entry, arrived.service).add_request()
    before = entry.demand_by_service.get(arrived.service, (0, 0))
    work = _work(entry, arrived)
    entry.demand_by_service[arrived.service] = (
        before[0] + work.prompt_tokens,
        before[1] + work.output_tokens,
    )


def choose(
    entry: state.Entry, in_flight: state.InFlight, *, now_ms: int
) -> str | None:
    """Return the runner for the next attempt, None without any."""
    arrived = in_flight.arrived
    candidates = list(_candidates(entry, arrived))
    health = _health(entry, arrived.service)
    trusted = [
        c for c in candidates if health.may_send(c.runner, now_ms=now_ms)
    ]
    return routing.choose_runner(
        trusted or candidates,
        avoid=frozenset(in_flight.failed_runners),
        work=_work(entry, arrived),
        rng=entry.rng,
    )


def dispatched(
    entry: state.Entry, in_flight: state.InFlight, *, now_ms: int
) -> None:
    """Record that an attempt goes out."""
    arrived = in_flight.arrived
    entry.load.dispatched(
        arrived.request_id,
        runner=in_flight.runner,
        prefill_tokens=arrived.prefill_tokens,
        now_ms=now_ms,
    )
    _health(entry, arrived.service).dispatched(
        in_flight.runner, arrived.request_id
    )
    entry.prefixes.assume_cached(in_flight.runner, arrived.prefix_hashes)


def started(entry: state.Entry, in_flight: state.InFlight) -> None:
    """Record an attempt's first token."""
    arrived = in_flight.arrived
    entry.load.started(arrived.request_id)
    _health(entry, arrived.service).succeeded(
        in_flight.runner, arrived.request_id
    )


def finished(
    entry: state.Entry, in_flight: state.InFlight, *, output_tokens: int
) -> None:
    """Record a whole answer and learn from its length."""
    arrived = in_flight.arrived
    entry.load.finished(arrived.request_id)
    _health(entry, arrived.service).succeeded(
        in_flight.runner, arrived.request_id
    )
    if output_tokens:
        entry.estimates.observe(arrived.service, arrived.account, output_tokens)


def failed(
    entry: state.Entry, in_flight: state.InFlight, event: events.AttemptFailed
) -> None:
    """Record a failed attempt; an agent's refusal is no fault of it."""
    arrived = in_flight.arrived
    entry.load.finished(arrived.request_id)
    health = _health(entry, arrived.service)
    if event.refused:
        health.cancelled(in_flight.runner, arrived.request_id)
        return
    health.failed(
        in_flight.runner,
        arrived.request_id,
        sent_ms=in_flight.sent_ms,
        now_ms=event.now_ms,
        runners=len(entry.chosen_by_service.get(arrived.service, ())),
    )


def abandoned(entry: state.Entry, in_flight: state.InFlight) -> None:
    """Record that an attempt's caller left."""
    arrived = in_flight.arrived
    entry.load.finished(arrived.request_id)
    _health(entry, arrived.service).cancelled(
        in_flight.runner, arrived.request_id
    )


def may_retry(
    entry: state.Entry, in_flight: state.InFlight, event: events.AttemptFailed
) -> bool:
    """Tell whether the retry budget lets a request try again.

    Free are attempts proved not run, which cost no engine work, and answers
    that have begun, whose tokens so far are not generated again.
    """
    not_run = event.run is refusal_lib.RunState.NOT_RUN
    if event.refused or not_run or in_flight.started:
        return True
    return _budget(entry, in_flight.arrived.service).take_retry()


def forget_gone(entry: state.Entry) -> None:
    """Drop what is known of runners that this entry no longer uses."""
    kept = {
        view.runner
        for views in entry.chosen_by_service.values()
        for view in views
    }
    entry.leaving &= kept
    for runner in set(entry.load.load_by_runner) - kept:
        entry.load.remove_runner(runner)
    for runner in set(entry.prefixes.cache_by_runner) - kept:
        entry.prefixes.remove_runner(runner)


def take_demand(entry: state.Entry) -> list[fleet.ServiceDemand]:
    """Return the demand since the last call."""
    taken = [
        fleet.ServiceDemand(service, prefill, decode)
        for service, (prefill, decode) in entry.demand_by_service.items()
    ]
    entry.demand_by_service.clear()
    return taken


def give_back_demand(
    entry: state.Entry, demand: list[fleet.ServiceDemand]
) -> None:
    """Count again what control did not hear."""
    for part in demand:
        before = entry.demand_by_service.get(part.service, (0, 0))
        entry.demand_by_service[part.service] = (
            before[0] + part.prefill_tokens,
            before[1] + part.decode_tokens,
        )


def _candidates(
    entry: state.Entry, arrived: events.Arrived
) -> Iterator[routing.Candidate]:
    pieces = len(arrived.prefix_hashes)
    for view in entry.chosen_by_service.get(arrived.service, ()):
        runner = entry.config.runners.get(view.runner)
        if runner is None or not runner.address:
            continue
        hits = entry.prefixes.cached_pieces(view.runner, arrived.prefix_hashes)
        cached_tokens = arrived.prefill_tokens * hits // pieces if pieces else 0
        yield routing.Candidate(
            runner=view.runner,
            waiting_tokens=entry.load.waiting_tokens(view.runner),
            streams=entry.load.streams(view.runner),
            same_zone=runner.zone == entry.zone,
            role=view.role,
            cached_tokens=cached_tokens,
            draining=view.runner in entry.leaving,
            free_pieces=entry.load.free_pieces(view.runner),
        )


def _work(entry: state.Entry, arrived: events.Arrived) -> routing.EstimatedWork:
    return routing.EstimatedWork(
        prompt_tokens=arrived.prefill_tokens,
        output_tokens=entry.estimates.estimate(
            arrived.service, arrived.account, arrived.decode_tokens
        ),
    )


def _health(entry: state.Entry, service: str) -> health_lib.Health:
    return entry.health_by_service.setdefault(service, health_lib.Health())


def _budget(entry: state.Entry, service: str) -> retries.RetryBudget:
    return entry.budget_by_service.setdefault(service, retries.RetryBudget())
