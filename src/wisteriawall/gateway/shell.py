"""The gateway process: sockets and threads around the reducer."""

from collections.abc import Mapping
from collections.abc import Sequence
from concurrent import futures
import contextlib
import dataclasses
import itertools
import logging
import random
import threading
from typing import final

from wisteriawall import clock
from wisteriawall.config import route_table
from wisteriawall.gateway import accounts
from wisteriawall.gateway import answer_memory
from wisteriawall.gateway import cache_learner
from wisteriawall.gateway import engine_contents
from wisteriawall.gateway import events
from wisteriawall.gateway import final_answers
from wisteriawall.gateway import fingerprint as fingerprint_lib
from wisteriawall.gateway import limits
from wisteriawall.gateway import origin_keeper
from wisteriawall.gateway import peers as peers_lib
from wisteriawall.gateway import poll_log
from wisteriawall.gateway import protocol
from wisteriawall.gateway import reducer
from wisteriawall.gateway import refusals
from wisteriawall.gateway import retry_budget
from wisteriawall.gateway import run as run_lib
from wisteriawall.gateway import start_gate
from wisteriawall.gateway import state as state_lib
from wisteriawall.gateway import suspects as suspects_lib
from wisteriawall.gateway import table_proof
from wisteriawall.gateway import table_relay
from wisteriawall.gateway import usage as usage_lib
from wisteriawall.gateway import usage_events
from wisteriawall.observability import decisions
from wisteriawall.observability import metrics as metrics_lib
from wisteriawall.policy import retry_window
from wisteriawall.policy import runner_limits
from wisteriawall.web import connection_pool
from wisteriawall.web import memory_budget
from wisteriawall.web import refusal as refusal_lib
from wisteriawall.web import server as server_lib
from wisteriawall.web import server_connection
from wisteriawall.wire import control_client
from wisteriawall.wire import envelope
from wisteriawall.wire import gateway_messages

__all__ = ["GatewayShell", "Identity"]

_LOG = logging.getLogger("gateway")

# Interval at which control is polled. A published routing table must be in use
# within 2 s.
CONTROL_POLL_S = 0.35
# Polling interval while control is unreachable, while the newest routing table
# or the list of runners is missing, or shortly after, while other gateways that
# start at the same time become known.
INCOMPLETE_POLL_S = 0.1
# Age of the proof that the table is the newest, as a part of the limit of
# revocation, from which control is polled at that interval too, as after a
# pause of the process.
OLD_PROOF_PART = 0.3
# Two calls to the leader, on a silent connection and on a new one, take less
# time than a table may stay outdated.
CONTROL_TIMEOUT_MS = 600
# Short, since trying another runner is better than waiting for a host that
# doesn't respond.
CONNECT_TIMEOUT_S = 0.5
# The balancer checks readiness once a second, and stops sending requests after
# two failures.
UNREADY_MS = 2_500
# Last part of the grace period, in which the gateway waits for no runner any
# more. Answers that have arrived by then are delivered, and the other requests
# get an answer of the stop. Runners have to be done 1.33 s before the end of a
# grace period of 8 s; their last bytes then arrive in time even if the first
# packet was lost, which Linux sends again after 200 ms at the earliest.
EXIT_RESERVE_MS = 1_000
# Last part of it, in which the process exits. Answers that are not written by
# then are cut; ending their threads may take `worker_pool.CUT_TIMEOUT_MS`.
EXIT_MS = 700
MS_PER_S = 1_000
# Closing the client ends the call in which the polling thread waits.
POLL_END_TIMEOUT_S = 1.0
# The last usage is reported before that.
LAST_REPORT_TIMEOUT_S = 0.5
# A balancer's connection without a request would keep a thread busy.
READY_STOP_TIMEOUT_S = 0.5
CALLER_THREADS = 96
# Threads in which requests may wait for the first routing table and runners.
# The others refuse requests whose deadline is close in time.
START_WAIT_THREADS = CALLER_THREADS // 2
READY_THREADS = 2


@final
@dataclasses.dataclass(slots=True, frozen=True, kw_only=True)
class Identity:
    """Name, location and addresses of a gateway.

    `listen_address` serves callers, `ready_address` the balancer's readiness
    checks, `load_address` receives load datagrams of other gateways, and
    `table_address` serves them routing tables.
    `incarnation` differs between runs of the process under one name.
    """

    name: str
    zone: str
    incarnation: int
    listen_address: str
    ready_address: str
    load_address: str
    table_address: str


@final
class GatewayShell:
    """Run one gateway.

    Args:
        identity: Name, location and addresses.
        control_address_by_replica: RPC addresses of the control replicas that
            are known at the start.
        key: Shared cluster key.
        dialect: Translates headers.
        budget: Limits on retries, shared by all gateways.
        tuning: Parameters of the decisions.
        log: Receives a line for each decision.
        metrics: Counts decisions and records durations.
        grace_ms: Time within which `stop` must finish.
        unready_ms: First part of the grace period, in which the gateway
            reports that it is not ready but still serves new requests, until
            the balancer sends no more.
        usage_window_ms: Length of a window of the usage report; 0 counts no
            usage.
        memory: Budget of the callers' connections, shared with other listeners
            of the process; None for the default.
        is_restart: Whether an earlier process may have used this gateway's part
            of the retry budget just before.
    """

    def __init__(
        self,
        *,
        identity: Identity,
        control_address_by_replica: Mapping[str, str],
        key: bytes,
        dialect: protocol.Dialect,
        budget: retry_window.RetryBudgetSettings,
        tuning: state_lib.Tuning,
        log: decisions.DecisionLog,
        metrics: metrics_lib.Metrics,
        grace_ms: int,
        unready_ms: int = UNREADY_MS,
        usage_window_ms: int = 0,
        memory: memory_budget.MemoryBudget | None = None,
        is_restart: bool = False,
    ) -> None:
        memory = memory or memory_budget.for_limits()
        self._identity = identity
        self._dialect = dialect
        self._log = log
        self._metrics = metrics
        self._grace_ms = grace_ms
        self._unready_ms = unready_ms
        sender = envelope.Sender(identity.name, identity.incarnation)
        self._seed_address_by_replica = dict(control_address_by_replica)
        self._control = control_client.ControlClient(
            address_by_replica=control_address_by_replica,
            key=key,
            sender=sender,
            timeout_ms=CONTROL_TIMEOUT_MS,
        )
        codec: envelope.Codec[gateway_messages.LoadEventBatch] = envelope.Codec(
            message_type=gateway_messages.LoadEventBatch, key=key, sender=sender
        )
        self._peer_load = peers_lib.PeerLoadChannel(
            name=identity.name,
            address=identity.load_address,
            codec=codec,
            receive=self._apply_peer_load,
            receive_contents=lambda contents: self._learner.receive(contents),
        )
        self._learner = cache_learner.CacheLearner(
            name=identity.name,
            key=key,
            sender=sender,
            dialect=dialect,
            find_engines=lambda: engine_contents.engines(self._gateway),
            describe_engines=self._describe_engines,
            submit=self._submit,
            tell=self._peer_load.tell_contents,
            log=log,
        )
        self._origins = origin_keeper.OriginKeeper(
            control=control_client.ControlClient(
                address_by_replica=control_address_by_replica,
                key=key,
                sender=sender,
                timeout_ms=origin_keeper.TIMEOUT_MS,
            )
        )
        self._relay = table_relay.TableRelay(
            address=identity.table_address,
            key=key,
            sender=sender,
            describe_engines=self._learner.describe,
        )
        self._poll_log = poll_log.PollLog()
        self._load_events_sent = 0
        self._table_fetch_failed = False
        self._newest_table = 0
        self._announced_table = 0
        self._lock = threading.Lock()
        chance = random.Random(f"{identity.name}/{identity.incarnation}")
        self._counts_usage = usage_window_ms > 0
        self._gateway = state_lib.Gateway(
            name=identity.name,
            zone=identity.zone,
            random=chance,
            limits=runner_limits.RunnerLimits(chance),
            tuning=tuning,
            retries=retry_budget.new_window(
                budget,
                started_ms=clock.monotonic_ms() if is_restart else None,
            ),
            usage=usage_lib.UsageCounts(window_ms=usage_window_ms),
        )
        self._pool = connection_pool.ConnectionPool(
            connect_timeout_s=CONNECT_TIMEOUT_S
        )
        self._answer_memory = answer_memory.AnswerMemory(budget=memory)
        self._request_keys = itertools.count()
        self._active_responses: set[run_lib.ForwardedResponse] = set()
        self._draining = False
        self._arrivals_closed = False
        self._waits_no_more = False
        self._start_gate = start_gate.StartGate(max_waiting=START_WAIT_THREADS)
        self._connected = False
        self._peer_count = 0
        self._peers_version = 0
        self._stopping = threading.Event()
        self._http = server_lib.HttpServer(
            address=identity.listen_address,
            app=self._serve_caller,
            threads=CALLER_THREADS,
            check_head=self._check_head,
            budget=memory,
        )
        self._ready = server_lib.HttpServer(
            address=identity.ready_address,
            app=self._serve_ready,
            threads=READY_THREADS,
            budget=memory,
            drops_body=True,
        )
        self._thread = threading.Thread(
            target=self._poll_control, name="poll-control", daemon=True
        )

    def start(self) -> None:
        """Start polling control and serving callers."""
        self._peer_load.start()
        self._relay.start()
        self._origins.start()
        self._thread.start()
        self._learner.start()
        self._ready.start()
        self._http.start()
        self._log.write("start", inputs={"address": self._http.address})

    def stop(self) -> None:
        """Report not ready, finish requests in progress, then shut down."""
        began_ms = clock.monotonic_ms()
        answers_end_ms = began_ms + self._grace_ms - EXIT_RESERVE_MS
        cut_at_ms = began_ms + self._grace_ms - EXIT_MS
        self._submit(events.StopBegan(answers_end_ms=answers_end_ms))
        self._draining = True
        # Callers then move to other gateways while this one still serves them.
        self._http.disable_keep_alive()
        self._log.write(
            "stopping", inputs={"in_progress": len(self._active_responses)}
        )
        self._stopping.wait(self._unready_ms / MS_PER_S)
        # Requests that arrive from here on, on connections that are not closed
        # yet, may not end in time.
        self._arrivals_closed = True
        now_ms = clock.monotonic_ms()
        answers_end_ms = max(now_ms, answers_end_ms)
        # Concurrently, since stopping a server takes up to 500 ms. Without its
        # answers the balancer takes the gateway for not ready, as before.
        with futures.ThreadPoolExecutor() as pool:
            closing = [
                pool.submit(
                    self._ready.stop, response_timeout_s=READY_STOP_TIMEOUT_S
                ),
                pool.submit(self._metrics.close),
            ]
            self._http.stop(
                response_timeout_s=(answers_end_ms - now_ms) / MS_PER_S,
                delivery_timeout_s=max(0, cut_at_ms - answers_end_ms)
                / MS_PER_S,
                on_timeout=self._stop_timed_out,
            )
        for closed in closing:
            closed.result()
        ended_ms = clock.monotonic_ms()
        self._stopping.set()
        if not self._gateway.usage.is_committed:
            self._thread.join(timeout=LAST_REPORT_TIMEOUT_S)
        self._learner.close()
        self._peer_load.close()
        self._relay.close()
        self._origins.close()
        self._control.close()
        self._thread.join(timeout=POLL_END_TIMEOUT_S)
        self._pool.close()
        stopped_ms = clock.monotonic_ms()
        self._log.write(
            "stopped",
            inputs={
                "cut": len(self._active_responses),
                "ms": stopped_ms - began_ms,
                "exit_ms": stopped_ms - ended_ms,
            },
        )
        self._log.close()

    def _stop_timed_out(self) -> None:
        """End what waits for a runner, each with an answer if none began."""
        self._waits_no_more = True
        active = list(self._active_responses)
        self._submit(
            events.StopTimedOut(
                now_ms=clock.monotonic_ms(),
                progress_by_key={
                    response.request_key: response.progress()
                    for response in active
                },
            )
        )
        for response in active:
            response.end_by_stop()

    def set_seeds(self, control_address_by_replica: Mapping[str, str]) -> None:
        """Replace the control replicas of the settings file, after a reload.

        They are added to the replicas in use when control can't be reached.
        """
        self._seed_address_by_replica = dict(control_address_by_replica)
        self._log.write(
            "reload",
            inputs={"control": sorted(control_address_by_replica.values())},
        )

    @property
    def address(self) -> str:
        """Return the host and port that serve callers."""
        return self._http.address

    @property
    def ready_address(self) -> str:
        """Return the host and port that serve readiness checks."""
        return self._ready.address

    @property
    def upstream_by_id(self) -> Mapping[str, gateway_messages.Upstream]:
        """Return the runners of the latest list by upstream id."""
        return self._gateway.upstream_by_id

    @property
    def is_ready(self) -> bool:
        """Return whether the balancer should send callers to this gateway."""
        gateway = self._gateway
        return (
            not self._draining
            and gateway.route_index is not None
            and bool(gateway.upstream_by_id)
        )

    def _serve_ready(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        ready = self.is_ready
        return server_lib.send_response(
            start_response,
            status=200 if ready else 503,
            body=b'{"ready":true}' if ready else b'{"ready":false}',
        )

    def _serve_caller(
        self,
        environ: server_lib.Environ,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        received_ms = clock.monotonic_ms()
        headers = server_lib.raw_headers(environ)
        try:
            head = self._dialect.parse_request_head(headers)
        except protocol.MalformedCall as error:
            return server_lib.send_refusal(
                start_response, refusals.malformed_head(str(error))
            )
        self._start_gate.wait(head.remaining_ms - server_lib.queued_ms(environ))
        target = environ["REQUEST_URI"]
        refusal = self._check_head(environ["REQUEST_METHOD"], target, headers)
        if refusal is not None:
            return server_lib.send_refusal(
                start_response, refusal, fractional_retry_after=True
            )
        body = server_lib.read_body(environ)
        request_key = next(self._request_keys)
        arrived = events.Arrived(
            request_key=request_key,
            request_id=head.attempt_id,
            host=headers.get("Host", ""),
            path=target.partition("?")[0],
            head=head,
            now_ms=clock.monotonic_ms(),
            unread_ms=clock.monotonic_ms()
            - received_ms
            + server_lib.queued_ms(environ),
            too_late=self._arrivals_closed,
            fingerprint=fingerprint_lib.request_fingerprint(
                method=environ["REQUEST_METHOD"],
                host=headers.get("Host", ""),
                target=target,
                account=head.credentials,
                body=body,
            ),
        )
        effects = self._submit(arrived)
        accepted = self._gateway.request_by_key.get(request_key)
        if accepted is None:
            return self._refuse_untracked(effects, start_response)
        route = accepted.route
        request = run_lib.CallerRequest(
            request_key=request_key,
            request_id=head.attempt_id,
            method=environ["REQUEST_METHOD"],
            target=target,
            headers=headers,
            body=body,
            head=head,
            deadline_at_ms=accepted.deadline_at_ms,
            is_stream=route.kind is route_table.RequestKind.STREAM,
            is_resumable=route.resumable,
            is_repeatable=route.is_repeatable,
            notes_times=accepted.account != "" and self._counts_usage,
        )
        return self._forward(
            request,
            effects,
            server_lib.caller_connection(environ),
            start_response,
        )

    def _check_head(
        self, _method: str, target: str, headers: protocol.Headers
    ) -> refusal_lib.Refusal | None:
        """Return the refusal of a request by its head, None to read its body.

        It neither blocks nor changes the state.
        """
        refused = accounts.check_head(
            self._gateway,
            host=headers.get("Host", ""),
            path=target.partition("?")[0],
            key=self._dialect.parse_key(headers),
            now_ms=clock.monotonic_ms(),
        )
        if refused is None:
            return None
        self._run_shared_effect(
            final_answers.refused_entry(
                headers.get(self._dialect.answer_id_header, ""),
                refused.refusal,
                refused.reason,
                table=self._gateway.table_number,
            )
        )
        return refused.refusal

    def _refuse_untracked(
        self,
        effects: list[events.Effect],
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        for effect in effects:
            match effect:
                case events.Refuse(refusal=refusal):
                    return server_lib.send_refusal(
                        start_response, refusal, fractional_retry_after=True
                    )
        raise AssertionError(
            "the reducer neither accepted nor refused a request"
        )

    def _forward(
        self,
        request: run_lib.CallerRequest,
        effects: list[events.Effect],
        caller: server_connection.CallerConnection,
        start_response: server_lib.StartResponse,
    ) -> server_lib.Response:
        response = run_lib.ForwardedResponse(
            request=request,
            effects=effects,
            caller=caller,
            start_response=start_response,
            submit=self._submit,
            find_origin=self._origins.find,
            dialect=self._dialect,
            pool=self._pool,
            memory=self._answer_memory,
            on_close=lambda: self._active_responses.discard(response),
        )
        self._active_responses.add(response)
        caller.on_disconnect(response.cancel)
        if self._waits_no_more:
            response.end_by_stop()
        return response

    def _submit(self, event: events.Event) -> list[events.Effect]:
        """Reduce an event; return the effects left to the request's thread.

        Log entries and broadcasts are carried out here.
        """
        with self._lock:
            effects = list(reducer.reduce(self._gateway, event))
        return [
            effect for effect in effects if not self._run_shared_effect(effect)
        ]

    def _run_shared_effect(self, effect: events.Effect) -> bool:
        match effect:
            case events.BroadcastLoad(load_event=load_event):
                self._load_events_sent += 1
                self._peer_load.broadcast(load_event)
            case events.KeepOrigin():
                self._origins.keep(effect)
            case events.LogDecision(
                decision=decision, request_id=request_id, inputs=inputs
            ):
                self._log.write(decision, request=request_id, inputs=inputs)
                self._count(decision, inputs)
            case _:
                return False
        return True

    def _count(self, decision: str, inputs: Mapping[str, object]) -> None:
        match decision, inputs:
            case "refused", {"status": status}:
                self._metrics.count(f"refused.{status}")
            case (("began" | "ended"), {"ms": int(elapsed_ms)}):
                self._metrics.count(decision)
                self._metrics.record_duration_ms(decision, elapsed_ms)
            case (
                "engine-speed",
                {"service": name, "stage": stage, "slowdown": float(slowdown)},
            ):
                self._metrics.set_gauge(f"slowdown.{name}.{stage}", slowdown)
            case _:
                self._metrics.count(decision)

    def _apply_peer_load(
        self, load_events: list[gateway_messages.LoadEvent]
    ) -> None:
        self._submit(
            events.PeerLoadReceived(
                load_events=tuple(load_events), now_ms=clock.monotonic_ms()
            )
        )

    def _describe_engines(
        self, after: str, now_ms: int
    ) -> tuple[list[gateway_messages.EngineContents], bool]:
        with self._lock:
            return engine_contents.describe(self._gateway, after, now_ms)

    def _poll_control(self) -> None:
        while not self._stopping.wait(self._poll_interval_s()):
            try:
                self._poll_once()
            except Exception:
                # Nothing but this thread would poll control again.
                _LOG.exception("gateway: polling control failed, retrying")
        if not self._gateway.usage.is_committed:
            with contextlib.suppress(Exception):
                self._poll_once()

    def _poll_once(self) -> None:
        gateway = self._gateway
        now_ms = clock.monotonic_ms()
        with self._lock:
            blocked_ms_by_parts, suspects = suspects_lib.report(gateway, now_ms)
            limit_by_runner = limits.known(gateway, now_ms)
            usage = usage_events.report(gateway, now_ms, clock.wall_ms())
            most_gateways = retry_budget.report(gateway, now_ms)
        follow = gateway_messages.FollowRequest(
            self._identity.name,
            self._identity.incarnation,
            self._peer_load.address,
            gateway.table_number,
            gateway.list_version,
            self._draining,
            self._peers_version,
            self._relay.address,
            self._table_fetch_failed,
            blocked_ms_by_parts,
            limit_by_runner,
            suspects,
            self._load_events_sent,
            usage=usage,
            most_gateways=most_gateways,
        )
        self._announced_table = follow.table_number
        called_ms = clock.monotonic_ms()
        try:
            asked = self._control.ask(
                follow, fallback=self._seed_address_by_replica
            )
        except control_client.ControlUnavailable as error:
            if self._stopping.is_set():
                return
            self._record_connection(False, str(error))
            self._log_poll("", error.steps, called_ms)
            return
        answered_ms = clock.monotonic_ms()
        self._record_connection(True, "")
        if isinstance(asked.reply, gateway_messages.Followed):
            self._apply_reply(asked.reply, called_ms)
        self._log_poll(asked.replica, asked.steps, called_ms, answered_ms)

    def _log_poll(
        self,
        replica: str,
        steps: Sequence[control_client.Step],
        began_ms: int,
        ended_ms: int | None = None,
    ) -> None:
        now_ms = clock.monotonic_ms()
        line = self._poll_log.note(
            poll_log.Poll(
                replica=replica,
                steps=steps,
                began_ms=began_ms,
                ended_ms=ended_ms or now_ms,
                table=self._gateway.table_number,
                table_age_ms=now_ms - self._gateway.table_confirmed_ms,
            )
        )
        if line is not None:
            self._run_shared_effect(line)

    def _poll_interval_s(self) -> float:
        """Return the time to the next poll, shorter while data is missing."""
        gateway = self._gateway
        if self._connected and gateway.table_number > self._announced_table:
            # Other gateways can fetch the table here once control knows.
            return 0.0
        complete = (
            gateway.table_number >= max(1, self._newest_table)
            and gateway.upstream_by_id
            and not self._needs_proof()
        )
        return (
            CONTROL_POLL_S
            if self._connected and complete and not self._learner.needs_peers
            else INCOMPLETE_POLL_S
        )

    def _needs_proof(self) -> bool:
        """Return whether requests will soon be refused for lack of a proof."""
        gateway = self._gateway
        tuning = gateway.tuning
        limit_ms = table_proof.HURRY_PART * tuning.config_ms
        if tuning.revoke_ms is not None:
            limit_ms = min(limit_ms, OLD_PROOF_PART * tuning.revoke_ms)
        return clock.monotonic_ms() - gateway.table_confirmed_ms > limit_ms

    def _apply_reply(
        self, reply: gateway_messages.Followed, called_ms: int
    ) -> None:
        if reply.peers is not None:
            self._peer_load.set_peers(reply.peers)
            self._learner.note_peers(reply.peers)
            self._peers_version = reply.peers_version
            self._peer_count = len(reply.peers)
        if reply.rpc_address_by_replica:
            self._control.set_replicas(reply.rpc_address_by_replica)
        self._origins.set_control(
            reply.rpc_address_by_replica, self._peer_count + 1
        )
        self._newest_table = reply.table_number
        self._submit(
            events.TableAnnounced(
                number=reply.table_number,
                now_ms=clock.monotonic_ms(),
                source=reply.table_source,
            )
        )
        now_ms = clock.monotonic_ms()
        confirmed_ms = called_ms - reply.age_ms
        update = events.ControlUpdate(
            table=reply.table,
            upstreams=reply.upstreams,
            gateway_count=self._peer_count + 1,
            now_ms=now_ms,
            newest_table=reply.table_number,
            confirmed_ms=confirmed_ms,
            took_ms=now_ms - called_ms,
            blocked_ms_by_parts=reply.blocked_ms_by_parts,
            limit_by_runner=reply.limit_by_runner,
            suspects=reply.suspects,
            mixed_services=tuple(reply.mixed_services),
            load_events_of_others=reply.load_events_of_others,
            usage=reply.usage,
            gateways_heard=reply.gateways_heard,
            most_gateways=reply.most_gateways,
        )
        self._submit(update)
        table = reply.table
        if table is None:
            # After all else is applied: the source may be gone.
            table = self._fetch_table(reply)
            if table is not None:
                self._submit(
                    events.TableFetched(
                        table=table,
                        newest_table=reply.table_number,
                        confirmed_ms=confirmed_ms,
                        took_ms=clock.monotonic_ms() - called_ms,
                        source=reply.table_source,
                    )
                )
        if table is not None:
            self._relay.add(table)
        if table is None and reply.upstreams is None:
            return
        if self._gateway.route_index is not None and (
            self._gateway.upstream_by_id
        ):
            self._start_gate.open()
            self._learner.note_complete()
        self._pool.close_other_addresses(
            {u.address for u in self._gateway.upstream_by_id.values()}
        )

    def _fetch_table(
        self, reply: gateway_messages.Followed
    ) -> route_table.RouteTable | None:
        """Return the table that this gateway lacks, None if there is none."""
        self._table_fetch_failed = False
        index = self._gateway.route_index
        if not reply.table_source:
            return None
        try:
            return self._relay.fetch(
                reply.table_source,
                index.table if index else None,
                reply.table_source_number,
                # A replica that answers polls may be reachable on connections
                # that are open already, and on no new one.
                connection=self._control.connection_to(reply.table_source),
            )
        except table_relay.FetchFailed as error:
            self._table_fetch_failed = True
            self._log.write(
                "table-fetch-failed",
                inputs={
                    "number": reply.table_source_number,
                    "source": reply.table_source,
                    "reason": str(error),
                },
            )
            return None

    def _record_connection(self, connected: bool, reason: str) -> None:
        if connected is self._connected:
            return
        self._connected = connected
        self._log.write(
            "control-back" if connected else "control-lost",
            inputs={"reason": reason, "table": self._gateway.table_number},
        )
