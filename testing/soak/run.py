"""Plays a soak and judges it."""

import argparse
import collections
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import functools
import itertools
import json
import pathlib
import signal
import sys
import tempfile
import threading
import time
from typing import final

import urllib3

from soak import accounts
from soak import acks
from soak import callers
from soak import checks
from soak import delays
from soak import fleet
from soak import hostile
from soak import operators
from soak import proxy
from soak import readings
from soak import records
from soak import runners
from soak import schedule

REPLICAS = 3
CALLERS_PER_GATEWAY = 12
# By default: with more, the threads of callers and runners, and the proxy of
# the links to runners, wait for each other in this process.
MAX_CALLERS = 48
LATE_SHARE = 0.25
# One of so many callers probes, where routes move in calm of the core.
PROBING_GAP = 4
# Of the links to runners, beyond which the soak itself is what is slow.
MAX_LATE_S = 1.0
LAST_CALLS_S = 4.0
READY_TIMEOUT_S = 60.0
FIRST_RUNNERS = (
    ("shop", ""),
    ("shop", ""),
    ("shop", ""),
    ("store", ""),
    ("model", "prefill"),
    ("model", "prefill"),
    ("model", "decode"),
    ("model", "decode"),
)
# Two engines of each stage and version.
MORE_ENGINES = (
    ("model", "prefill"),
    ("model", "prefill"),
    ("model", "decode"),
    ("model", "decode"),
)
MAX_DESCRIBED_PER_RULE = 10
MAX_DUMPED_LENGTH = 200


@final
class Soak:
    """One soak: the processes, their surroundings and a schedule.

    Args:
        seed: Seed of the schedule, the callers and the runners.
        duration_s: Time during which faults begin.
        late_share: Share of runners' answers that something late follows.
        gateways: Number of gateways.
        caller_count: Number of callers.
        link_bytes_s: Bytes a second that fit through the link of each machine,
            0 for no limit.
        large_tables: Whether changes add and remove many routes too.
        limits: Whether runners name limits.
        versions: Whether runners of two software versions serve.
        hostile_count: Number of hostile clients.
        core: Whether replicas are replaced, lose their disks and are cut off.
        slow_syncs_ms: Least and most time that each sync of a replica waits.
        stalls: Whether disks of replicas stall.
        folder: Folder of settings files, data folders and logs.
    """

    def __init__(
        self,
        *,
        seed: int,
        duration_s: float,
        late_share: float,
        gateways: int,
        caller_count: int,
        folder: pathlib.Path,
        link_bytes_s: int = 0,
        large_tables: bool = False,
        limits: bool = False,
        versions: bool = False,
        hostile_count: int = 0,
        core: bool = False,
        slow_syncs_ms: tuple[float, float] | None = None,
        stalls: bool = False,
    ) -> None:
        self.seen = records.Records()
        self.seed = seed
        self._first_runners = FIRST_RUNNERS + (MORE_ENGINES if versions else ())
        self.schedule = schedule.draw(
            seed,
            duration_s=duration_s,
            scope=schedule.Scope(
                gateways=tuple(f"g{n + 1}" for n in range(gateways)),
                replicas=tuple(f"c{n + 1}" for n in range(REPLICAS)),
                runners=len(self._first_runners),
                large_tables=large_tables,
                limits=limits,
                versions=versions,
                core=core,
                stalls=stalls,
            ),
        )
        # Faults of replicas that would have lost one disk too many.
        self.skipped: list[schedule.Fault] = []
        # What is done later, by time.
        self._later: list[tuple[float, Callable[[], object]]] = []
        self._replacing = 0
        self._late_share = late_share
        self._runners: list[runners.StandInRunner] = []
        self._handles = runners.HandleStore()
        self.proxy = proxy.Proxy(seen=self.seen)
        self._list = fleet.RunnerList(
            lambda: [r.entry() for r in self._runners if r.is_listed],
            seed=seed,
            seen=self.seen,
        )
        self.fleet = fleet.Fleet(
            folder=folder,
            gateways=gateways,
            replicas=REPLICAS,
            list_address=self._list.address,
            seen=self.seen,
            link_bytes_s=link_bytes_s,
            slow_syncs_ms=slow_syncs_ms,
            spares=sum(
                isinstance(timed.fault, schedule.ReplaceReplica)
                for timed in self.schedule
            ),
        )
        self._configuration = operators.Configuration()
        self._operator = operators.Operator(
            seed=seed,
            address_by_replica=self.fleet.replica_address_by_name,
            listed=lambda: self.fleet.listed,
            seen=self.seen,
        )
        is_moving = any(
            isinstance(timed.fault, schedule.MoveRoute)
            for timed in self.schedule
        )
        self._callers = [
            callers.Caller(
                number=number,
                seed=seed,
                address_by_gateway=self.fleet.gateway_address_by_name,
                seen=self.seen,
                weights=callers.PROBING_WEIGHTS
                if core or (is_moving and number % PROBING_GAP == 0)
                else callers.KIND_WEIGHTS,
            )
            for number in range(caller_count)
        ]
        self._hostile_clients = [
            hostile.HostileClient(
                number=number,
                seed=seed,
                address_by_gateway=self.fleet.gateway_address_by_name,
            )
            for number in range(hostile_count)
        ]
        self._version_count = 2 if versions else 1

    def play(self) -> None:
        """Play the schedule; all processes have ended afterwards."""
        for service, stage in self._first_runners:
            self._add_runner(service, stage)
        self.fleet.start()
        try:
            self._operator.publish_first(self._configuration.document())
            self._wait_until_ready()
            self._operator.start()
            for caller in self._callers:
                caller.start()
            for client in self._hostile_clients:
                client.start()
            self._play_schedule()
            for client in self._hostile_clients:
                client.stop()
            for caller in self._callers:
                caller.stop()
            last_s = time.monotonic() + LAST_CALLS_S
            for caller in self._callers:
                caller.join(max(0.1, last_s - time.monotonic()))
            self._operator.stop()
            self._operator.read_last()
        finally:
            self.fleet.close()
            self._close()

    def _close(self) -> None:
        for runner in self._runners:
            runner.close()
        self._list.close()
        self.proxy.close()

    def _wait_until_ready(self) -> None:
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        waiting = set(self.fleet.ready_address_by_name.values())
        while waiting:
            if time.monotonic() > deadline_s:
                raise AssertionError(f"gateways not ready: {sorted(waiting)}")
            waiting = {a for a in waiting if not _is_ready(a)}
            time.sleep(0.05)

    def _play_schedule(self) -> None:
        start_s = time.monotonic()
        for timed in self.schedule:
            self._pause_until(start_s + timed.at_s)
            self._apply(timed.fault)
        # What has begun is completed: runners that drain leave, replicas start.
        self._pause_until(
            max((at_s for at_s, _ in self._later), default=0.0) + 0.1
        )

    def _pause_until(self, until_s: float) -> None:
        while True:
            now_s = time.monotonic()
            for entry in [e for e in self._later if e[0] <= now_s]:
                self._later.remove(entry)
                entry[1]()
            if now_s >= until_s:
                return
            time.sleep(min(0.05, until_s - now_s))

    def _apply(self, fault: schedule.Fault) -> None:
        node_by_name = self.fleet.node_by_name
        match fault:
            case schedule.Terminate(process=process):
                node_by_name[self._machine(process)].terminate()
            case schedule.Reload(process=process):
                node_by_name[self._machine(process)].reload()
            case schedule.Freeze(process=process, for_s=for_s):
                node_by_name[self._machine(process)].freeze(for_s)
            case schedule.Kill(process=process):
                node_by_name[self._machine(process)].kill()
            case (
                schedule.ReplaceReplica()
                | schedule.LoseDisk()
                | schedule.StallDisk()
                | schedule.WriteSeeds()
                | schedule.CutLinks()
            ):
                self._apply_to_core(fault)
            case (
                schedule.ToggleRoute()
                | schedule.ToggleBlock()
                | schedule.ToggleKey()
                | schedule.SetWeights()
                | schedule.SetTimeout()
                | schedule.MoveRoute()
            ):
                self._configuration.change(fault)
                self._operator.publish(self._configuration.document())
                if isinstance(fault, schedule.MoveRoute):
                    self._release(fault)
            case _:
                self._apply_to_runner(fault)

    def _machine(self, process: str) -> str:
        """Return the machine that a fault names by its place in the core."""
        listed = self.fleet.listed
        if process == schedule.LEADER:
            return self._operator.leader
        if process in schedule.LISTED:
            return listed[schedule.LISTED.index(process) % len(listed)]
        return process

    def _apply_to_core(
        self,
        fault: (
            schedule.ReplaceReplica
            | schedule.LoseDisk
            | schedule.StallDisk
            | schedule.WriteSeeds
            | schedule.CutLinks
        ),
    ) -> None:
        match fault:
            case schedule.WriteSeeds(reloaded=reloaded):
                self.fleet.write_seeds()
                for process in reloaded:
                    self.fleet.node_by_name[self._machine(process)].reload()
                return
            case schedule.CutLinks(
                processes=processes, others=others, for_s=for_s
            ):
                machines = map(self._machine, others or self._running())
                pairs = {
                    (name, other)
                    for name, other in itertools.product(
                        map(self._machine, processes), list(machines)
                    )
                    if name != other
                }
                self.fleet.cut(sorted(pairs), for_s)
                return
        name = self._machine(fault.process)
        if isinstance(fault, schedule.StallDisk):
            self.fleet.stall_disk(name, fault.for_s)
            return
        if (
            self._replacing
            or name not in self.fleet.listed
            or not self.fleet.may_lose_disk()
        ):
            self.skipped.append(fault)
            return
        match fault:
            case schedule.LoseDisk():
                self.fleet.node_by_name[name].lose_disk()
            case schedule.ReplaceReplica(how=how, gap_s=gap_s):
                self._replace(name, how, gap_s)

    def _running(self) -> list[str]:
        """Return all machines but replicas that aren't listed."""
        return [*self.fleet.listed, *self.fleet.gateway_address_by_name]

    def _replace(self, name: str, how: schedule.Removal, gap_s: float) -> None:
        self._replacing += 1

        def start() -> None:
            self.fleet.start_spare()

        def remove() -> None:
            self.fleet.remove_replica(name, how=how)

        steps = [remove, start]
        if how is schedule.Removal.STOPPED:
            steps.reverse()

        def complete() -> None:
            steps[1]()
            self._replacing -= 1

        steps[0]()
        self._later.append((time.monotonic() + gap_s, complete))

    def _apply_to_runner(self, fault: schedule.Fault) -> None:
        match fault:
            case schedule.AddRunner(service=service, stage=stage):
                self._add_runner(service, stage)
            case schedule.RestartRunner(index=index, version=version):
                if self._runners[index].is_listed:
                    self._runners[index].restart(version)
            case schedule.LimitRunner(index=index, per_s=per_s):
                self._runners[index].limit_per_s = per_s
            case schedule.DrainRunner(index=index, leave_after_s=after_s):
                self._drain_runner(self._runners[index], after_s)
            case schedule.DisturbLink(index=index, what=what, for_s=for_s):
                runner = self._runners[index]
                self.proxy.disturb(
                    runner.listed_address, runner.name, what, for_s
                )

    def _add_runner(self, service: str, stage: str) -> None:
        runner = runners.StandInRunner(
            name=f"r{len(self._runners)}",
            service=service,
            stage=stage,
            seed=self.seed,
            late_share=self._late_share,
            seen=self.seen,
            handles=self._handles,
            version=f"v{len(self._runners) % self._version_count + 1}",
            passages=self.proxy.passages,
        )
        runner.listed_address = self.proxy.add(runner.address)
        self._runners.append(runner)

    def _release(self, move: schedule.MoveRoute) -> None:
        """Have a runner of a route's old service leave for one of the new."""
        old, new = self._configuration.moved_services(move.number)
        if move.release is schedule.Release.ADDED:
            self._add_runner(new, "")
        leaving = (
            r
            for r in self._runners
            if r.service == old and r.is_listed and r.state == "ready"
        )
        runner = next(leaving, None)
        if runner is None or move.release is schedule.Release.NONE:
            return
        end: Callable[[], object] = runner.close
        if move.release is schedule.Release.REUSED:
            end = functools.partial(runner.restart, service=new)
        self._drain_runner(runner, move.leave_after_s, end)

    def _drain_runner(
        self,
        runner: runners.StandInRunner,
        leave_after_s: float,
        end: Callable[[], object] | None = None,
    ) -> None:
        """Drain and end a runner unless it is the last one of its kind."""
        others = [
            r
            for r in self._runners
            if (r.service, r.stage) == (runner.service, runner.stage)
            and r.state == "ready"
            and r.is_listed
            and r is not runner
        ]
        if others and runner.is_listed and runner.state == "ready":
            runner.state = "draining"
            self._later.append(
                (time.monotonic() + leave_after_s, end or runner.close)
            )


def _is_ready(address: str) -> bool:
    try:
        response = urllib3.request(
            "GET", f"http://{address}/readiness", retries=False, timeout=1.0
        )
    except urllib3.exceptions.HTTPError:
        return False
    return response.status == 200


def play(
    *,
    seed: int,
    duration_s: float,
    late_share: float = LATE_SHARE,
    gateways: int,
    caller_count: int,
    folder: pathlib.Path,
    link_bytes_s: int = 0,
    large_tables: bool = False,
    limits: bool = False,
    versions: bool = False,
    hostile_count: int = 0,
    core: bool = False,
    slow_syncs_ms: tuple[float, float] | None = None,
    stalls: bool = False,
) -> list[checks.Finding]:
    """Play a soak, print its report and return the findings."""
    started_s = time.monotonic()
    soak = Soak(
        seed=seed,
        duration_s=duration_s,
        late_share=late_share,
        gateways=gateways,
        caller_count=caller_count,
        folder=folder,
        link_bytes_s=link_bytes_s,
        large_tables=large_tables,
        limits=limits,
        versions=versions,
        hostile_count=hostile_count,
        core=core,
        slow_syncs_ms=slow_syncs_ms,
        stalls=stalls,
    )
    with _thread_errors() as errors:
        soak.play()
    dump(soak.seen, folder / "records.jsonl")
    findings = checks.judge(soak.seen)
    for line in report(soak, findings, started_s):
        print(line)
    if errors:
        raise AssertionError(f"threads of the soak failed: {errors}")
    return findings


@contextlib.contextmanager
def _thread_errors() -> Iterator[list[str]]:
    """Collect the errors of threads; they are also printed."""
    errors: list[str] = []
    earlier = threading.excepthook

    def collect(error: threading.ExceptHookArgs) -> None:
        errors.append(repr(error.exc_value))
        earlier(error)

    threading.excepthook = collect
    try:
        yield errors
    finally:
        threading.excepthook = earlier


def report(
    soak: Soak, findings: list[checks.Finding], started_s: float
) -> Iterator[str]:
    """Yield the lines of a report."""
    seen = soak.seen
    yield f"seed: {soak.seed}"
    for title, values in (
        ("faults", [type(t.fault).__name__ for t in soak.schedule]),
        ("calls", [call.kind.value for call in seen.calls]),
        ("ended", [call.ending.value for call in seen.calls]),
        ("statuses", [str(call.status) for call in seen.calls if call.status]),
        ("runs", [arrival.ending.value for arrival in seen.arrivals]),
        ("runners' faults", [a.misbehavior for a in seen.arrivals]),
        ("before an answer", [a.preceded_by for a in seen.arrivals]),
    ):
        counts = collections.Counter(value for value in values if value)
        text = ", ".join(f"{n} {v}" for v, n in counts.most_common())
        yield f"{title}: {text}"
    if soak.skipped:
        yield f"skipped, as a disk was lost before: {len(soak.skipped)}"
    yield f"time: {time.monotonic() - started_s:.1f} s"
    # They tell a soak that is too slow from a system that is.
    yield f"links between processes: {soak.fleet.links.report}"
    yield f"duty calls: {_describe_duties(seen)}"
    yield f"after the removal of their keys: {accounts.describe_keys(seen)}"
    usage = accounts.describe_usage(seen, time.time() - time.monotonic())
    yield f"usage, reported of begun: {usage}"
    yield f"links to runners: {soak.proxy.report()}"
    yield describe_judged(seen, soak.proxy.late_s)
    yield from acks.describe(seen)
    yield from delays.describe(
        seen,
        {
            name: soak.fleet.node_by_name[name].log_path
            for name in soak.fleet.gateway_address_by_name
        },
        time.time() - time.monotonic(),
    )
    judged = readings.count_judged(seen)
    yield "probes by bound: " + ", ".join(
        f"{count} {bound}" for bound, count in judged.most_common()
    )
    yield f"routes and services: {checks.describe_moves(seen)}"
    counts = collections.Counter(finding.rule for finding in findings)
    yield "findings: " + ", ".join(
        f"{rule} {counts[rule]}" for rule in checks.RULES
    )
    causes = collections.Counter(
        (finding.rule, finding.preceded_by) for finding in findings
    )
    for (rule, preceded_by), count in sorted(causes.items()):
        yield f"  {rule} {count}, after {preceded_by or 'nothing'}"
    taken_up = [c for c in seen.calls if c.resumes and c.status]
    went_on = sum(call.status == 200 for call in taken_up)
    yield f"taken up: {len(taken_up)}, went on: {went_on}"
    early = sum(checks.is_failure(call.surplus) for call in seen.calls)
    yield f"failures sent without a request: {early}"
    held = checks.held_calls(seen)
    yield f"cut without having been passed on, over 0.2 s old: {len(held)}"
    for call in held[:MAX_DESCRIBED_PER_RULE]:
        yield from soak.fleet.log_lines(call.attempt)
    described: collections.Counter[str] = collections.Counter()
    for finding in findings:
        yield f"{finding.rule} {finding.attempt}: {finding.text}"
        if described[finding.rule] < MAX_DESCRIBED_PER_RULE:
            described[finding.rule] += 1
            yield from finding.lines
            yield from soak.fleet.log_lines(finding.attempt)
            if finding.span is not None:
                yield from acks.timing_lines(
                    {
                        name: soak.fleet.node_by_name[name].log_path
                        for name in soak.fleet.replica_address_by_name
                    },
                    *finding.span,
                    time.time() - time.monotonic(),
                )
            yield ""


def describe_judged(seen: records.Records, late_s: float) -> str:
    """Return how many answers were judged, and whether the soak was late."""
    good = sum(call.status == 200 for call in seen.calls)
    late = f"{late_s:.1f} s late at most"
    if late_s > MAX_LATE_S:
        late += ": the soak was too slow, this run judged little"
    return f"judged: {good} answers with 200 of {len(seen.calls)} calls, {late}"


def _describe_duties(seen: records.Records) -> str:
    """Return the number of calls, and of the windows that they reported.

    Reports of the last windows may still wait at the end.
    """
    calls = [call for call, _ in seen.duty_calls]
    holders = {call.holder for call in calls}
    tokens = {call.token for call in calls}
    windows = {
        json.loads(call.body)["window_id"]
        for call, is_taken in seen.duty_calls
        if is_taken
    }
    span = max(windows) - min(windows) + 1 if windows else 0
    return (
        f"{len(calls)}, {len(holders)} holders, {len(tokens)} tokens,"
        f" {len(windows)} of {span} windows reported"
    )


def dump(seen: records.Records, path: pathlib.Path) -> None:
    """Write all records as JSON lines; long values are shortened."""
    with path.open("w") as file:
        for group in (
            seen.calls,
            seen.arrivals,
            seen.incidents,
            seen.publications,
            seen.readings,
            [call for call, _ in seen.duty_calls],
        ):
            for record in group:
                fields = dataclasses.asdict(record)
                fields["record"] = type(record).__name__
                file.write(json.dumps(fields, default=_shorten) + "\n")


def _shorten(value: object) -> str:
    return repr(value)[:MAX_DUMPED_LENGTH]


def _parse_range(text: str) -> tuple[float, float]:
    low, high = map(float, text.split(","))
    return low, high


def main() -> int:
    """Play a soak from the command line; 1 if a rule was broken."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--for", type=float, default=20.0, dest="duration_s")
    parser.add_argument("--gateways", type=int, default=4)
    parser.add_argument("--callers", type=int, default=0)
    parser.add_argument("--late", type=float, default=LATE_SHARE)
    parser.add_argument("--link-bytes", type=int, default=0)
    parser.add_argument("--large-tables", action="store_true")
    parser.add_argument("--limits", action="store_true")
    parser.add_argument("--versions", action="store_true")
    parser.add_argument("--hostile", type=int, default=0)
    parser.add_argument("--core", action="store_true")
    parser.add_argument("--slow-syncs", type=_parse_range, metavar="LOW,HIGH")
    parser.add_argument("--stalls", action="store_true")
    parser.add_argument("--keep", type=pathlib.Path)
    arguments = parser.parse_args()
    # So that the processes are ended if the soak is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    with contextlib.ExitStack() as stack:
        folder = arguments.keep or pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory(prefix="soak-"))
        )
        findings = play(
            seed=arguments.seed,
            duration_s=arguments.duration_s,
            late_share=arguments.late,
            gateways=arguments.gateways,
            caller_count=arguments.callers
            or min(CALLERS_PER_GATEWAY * arguments.gateways, MAX_CALLERS),
            folder=folder,
            link_bytes_s=arguments.link_bytes,
            large_tables=arguments.large_tables,
            limits=arguments.limits,
            versions=arguments.versions,
            hostile_count=arguments.hostile,
            core=arguments.core,
            slow_syncs_ms=arguments.slow_syncs,
            stalls=arguments.stalls,
        )
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
