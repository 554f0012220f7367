"""Choice of a runner for each attempt, and tracking of its outcome.

The outcomes update the load, health, prefix cache and answer length
estimates from which runners are chosen, and the services' retry budgets.
"""

from collections.abc import Iterator

from wisteriawall.entry import events
from wisteriawall.entry import state
from wisteriawall.policy import health as health_lib
from wisteriawall.policy import retries
from wisteriawall.policy import routing
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.wire import fleet

__all__ = [
    "choose_runner",
    "forget_removed_runners",
    "has_retry_budget",
    "record_answer",
    "record_arrival",
    "record_disconnect",
    "record_dispatch",
    "record_failure",
    "record_first_token",
    "restore_demand",
    "take_demand",
]


def record_arrival(
    entry: state.EntryState, arrived: events.RequestArrived
) -> None:
    """Add a new request to its service's demand and retry budget."""
    _retry_budget_of(entry, arrived.service).add_request()
    previous = entry.demand_by_service.get(arrived.service, (0, 0))
    work = _estimate_work(entry, arrived)
    entry.demand_by_service[arrived.service] = (
        previous[0] + work.prompt_tokens,
        previous[1] + work.output_tokens,
    )


def choose_runner(
    entry: state.EntryState, in_flight: state.InFlightRequest, *, now_ms: int
) -> str | None:
    """Return the runner for the next attempt; None if none is usable.

    Runners that `Health.may_send` excludes are used only without others.
    """
    arrived = in_flight.arrived
    candidates = list(_candidates(entry, arrived))
    health = _health_of(entry, arrived.service)
    healthy = [
        c for c in candidates if health.may_send(c.runner, now_ms=now_ms)
    ]
    return routing.choose_runner(
        healthy or candidates,
        avoid=frozenset(in_flight.failed_runners),
        work=_estimate_work(entry, arrived),
        rng=entry.rng,
    )


def record_dispatch(
    entry: state.EntryState, in_flight: state.InFlightRequest, *, now_ms: int
) -> None:
    """Record that an attempt is sent to `in_flight.runner`."""
    arrived = in_flight.arrived
    entry.load.dispatched(
        arrived.request_id,
        runner=in_flight.runner,
        prefill_tokens=arrived.prefill_tokens,
        now_ms=now_ms,
    )
    _health_of(entry, arrived.service).dispatched(
        in_flight.runner, arrived.request_id
    )
    entry.prefix_index.assume_cached(in_flight.runner, arrived.prefix_hashes)


def record_first_token(
    entry: state.EntryState, in_flight: state.InFlightRequest
) -> None:
    """Record that an attempt's first token arrived."""
    arrived = in_flight.arrived
    entry.load.started(arrived.request_id)
    _health_of(entry, arrived.service).succeeded(
        in_flight.runner, arrived.request_id
    )


def record_answer(
    entry: state.EntryState,
    in_flight: state.InFlightRequest,
    *,
    output_tokens: int,
) -> None:
    """Record a complete answer.

    Its length, if not 0, updates the estimate of the service's answers.
    """
    arrived = in_flight.arrived
    entry.load.finished(arrived.request_id)
    _health_of(entry, arrived.service).succeeded(
        in_flight.runner, arrived.request_id
    )
    if output_tokens:
        entry.estimates.observe(arrived.service, arrived.account, output_tokens)


def record_failure(
    entry: state.EntryState,
    in_flight: state.InFlightRequest,
    event: events.AttemptFailed,
) -> None:
    """Record a failed attempt.

    A refusal by the agent does not count against the runner's health.
    """
    arrived = in_flight.arrived
    entry.load.finished(arrived.request_id)
    health = _health_of(entry, arrived.service)
    if event.refused:
        health.cancelled(in_flight.runner, arrived.request_id)
        return
    health.failed(
        in_flight.runner,
        arrived.request_id,
        sent_ms=in_flight.sent_ms,
        now_ms=event.now_ms,
        runners=len(entry.subset_by_service.get(arrived.service, ())),
    )


def record_disconnect(
    entry: state.EntryState, in_flight: state.InFlightRequest
) -> None:
    """Record that an attempt's caller disconnected."""
    arrived = in_flight.arrived
    entry.load.finished(arrived.request_id)
    _health_of(entry, arrived.service).cancelled(
        in_flight.runner, arrived.request_id
    )


def has_retry_budget(
    entry: state.EntryState,
    in_flight: state.InFlightRequest,
    event: events.AttemptFailed,
) -> bool:
    """Return whether the service's retry budget allows another attempt.

    Two kinds of retry are not charged to the budget: those after an attempt
    that provably did not run, because it cost no engine work, and those that
    resume a started answer, because its tokens are not generated again.
    """
    not_run = event.run is refusal_lib.RunState.NOT_RUN
    if event.refused or not_run or in_flight.first_token_received:
        return True
    return _retry_budget_of(entry, in_flight.arrived.service).take_retry()


def forget_removed_runners(entry: state.EntryState) -> None:
    """Drop the data on runners that are no longer in this entry's subset."""
    listed_runners = {
        view.runner
        for views in entry.subset_by_service.values()
        for view in views
    }
    entry.draining_runners &= listed_runners
    for runner in set(entry.load.load_by_runner) - listed_runners:
        entry.load.remove_runner(runner)
    for runner in set(entry.prefix_index.cache_by_runner) - listed_runners:
        entry.prefix_index.remove_runner(runner)


def take_demand(entry: state.EntryState) -> list[fleet.ServiceDemand]:
    """Return the demand per service since the last call, and reset it."""
    demand = [
        fleet.ServiceDemand(service, prefill, decode)
        for service, (prefill, decode) in entry.demand_by_service.items()
    ]
    entry.demand_by_service.clear()
    return demand


def restore_demand(
    entry: state.EntryState, demand: list[fleet.ServiceDemand]
) -> None:
    """Add back demand that could not be reported to control."""
    for part in demand:
        previous = entry.demand_by_service.get(part.service, (0, 0))
        entry.demand_by_service[part.service] = (
            previous[0] + part.prefill_tokens,
            previous[1] + part.decode_tokens,
        )


def _candidates(
    entry: state.EntryState, arrived: events.RequestArrived
) -> Iterator[routing.Candidate]:
    pieces = len(arrived.prefix_hashes)
    for view in entry.subset_by_service.get(arrived.service, ()):
        runner = entry.config.runners.get(view.runner)
        if runner is None or not runner.address:
            continue
        cached_pieces = entry.prefix_index.cached_pieces(
            view.runner, arrived.prefix_hashes
        )
        cached_tokens = (
            arrived.prefill_tokens * cached_pieces // pieces if pieces else 0
        )
        yield routing.Candidate(
            runner=view.runner,
            waiting_tokens=entry.load.waiting_tokens(view.runner),
            streams=entry.load.streams(view.runner),
            same_zone=runner.zone == entry.zone,
            role=view.role,
            cached_tokens=cached_tokens,
            draining=view.runner in entry.draining_runners,
            free_pieces=entry.load.free_pieces(view.runner),
        )


def _estimate_work(
    entry: state.EntryState, arrived: events.RequestArrived
) -> routing.EstimatedWork:
    return routing.EstimatedWork(
        prompt_tokens=arrived.prefill_tokens,
        output_tokens=entry.estimates.estimate(
            arrived.service, arrived.account, arrived.decode_tokens
        ),
    )


def _health_of(entry: state.EntryState, service: str) -> health_lib.Health:
    return entry.health_by_service.setdefault(service, health_lib.Health())


def _retry_budget_of(
    entry: state.EntryState, service: str
) -> retries.RetryBudget:
    return entry.budget_by_service.setdefault(service, retries.RetryBudget())
