"""Sends each caller's request to one server and returns its answer.

The forwarder runs in the task of the caller's connection. The decisions are made in
:mod:`ploverhatch.routing`, which does no I/O; this module waits, sends and enforces
time limits.
"""

import random
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager, suppress
from dataclasses import dataclass, field

import gevent

from ploverhatch.common import results
from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.in_flight import InFlightRequests, ProcessEndsError
from ploverhatch.common.logs import PartLogger
from ploverhatch.common.results import NOT_RUN_STATUSES, RefusedError, Result
from ploverhatch.gateway.call import Call
from ploverhatch.gateway.dialect import Dialect, MalformedRequestError
from ploverhatch.gateway.directory import Directory
from ploverhatch.gateway.links import LinkMonitor
from ploverhatch.gateway.messages import (
    CallerGoneError,
    CallerReply,
    CallerRequest,
    DeadlineOverError,
    RequestFacts,
)
from ploverhatch.gateway.metrics import GatewayMetrics
from ploverhatch.gateway.peer_forwarding import PeerForwarder
from ploverhatch.gateway.quarantine import OnTrialElsewhereError, Quarantine
from ploverhatch.gateway.request_log import RequestTrace
from ploverhatch.gateway.rerouting import Rerouting
from ploverhatch.gateway.server_attempts import ServerAttempts
from ploverhatch.gateway.server_choice import RETRY_AFTER_NO_SERVER_S, ServerChoice
from ploverhatch.gateway.shared_slots import (
    SharedSlot,
    SharedSlots,
    SlotRequirements,
    TurnedAwayError,
)
from ploverhatch.gateway.slot_dispatch import (
    LEASE_MARGIN_MS,
)
from ploverhatch.gateway.slots import NoSlotError, QueueFullError
from ploverhatch.gateway.upstreams import Upstream, UpstreamPool
from ploverhatch.routing.gateway_attempts import (
    AttemptHistory,
    AttemptResult,
    NextStep,
    next_step,
)
from ploverhatch.routing.planned_stop import PlannedStop
from ploverhatch.routing.route_table import Route, ShareSplitter
from ploverhatch.routing.shared_retry_budget import SharedRetryBudget
from ploverhatch.routing.usual_deadlines import UsualDeadlines
from ploverhatch.transport.http_connection import (
    WireAnswer,
)

LOG = PartLogger("forwarder")

# The share of the objective after which a request that no server can take is refused.
OFFER_FRACTION = 0.23
# The share of the objective within which a granted slot mostly still meets the objective.
USEFUL_FRACTION = 0.5
# The share of the request's time limit after which a granted slot comes too late for an answer.
WAIT_FRACTION = 0.55
MAX_RETRY_AFTER_S = 2.0  # Callers' deadlines are seconds, so a longer delay is of no use to them.
MOVE_FRACTION = 0.6  # The share of the objective spent waiting for keys that change holders.
MIN_ATTEMPT_FRACTION = 0.1  # With less of the objective left, another attempt is not made.
RETRY_AFTER_BUSY_S = 0.15
RETRY_AFTER_MOVE_S = 0.25
RETRY_AFTER_STOP_S = 0.0  # Another node can serve the request at once.
RETRY_PAUSE_S = 0.02
DRAIN_MS = 2000.0  # The default time after which a server that announced its leaving gets nothing.

FAILED_RESULTS = frozenset(
    {AttemptResult.NOT_CONNECTED, AttemptResult.LOST, AttemptResult.TIMED_OUT}
)
# Outcomes which show that the server still runs after it handled the request.
RAN_RESULTS = frozenset({AttemptResult.ANSWERED, AttemptResult.SERVER_ERROR})
UNANSWERED_RESULTS = frozenset({AttemptResult.NOT_CONNECTED, AttemptResult.TIMED_OUT})


def _single_node_quarantine() -> Quarantine:
    """Return a quarantine for a node that knows no other nodes."""
    quarantine = Quarantine("", tuple, lambda message, to: None)
    quarantine.mark_synced()
    return quarantine


@dataclass(slots=True)
class _Progress:
    """The attempts made for one request so far."""

    history: AttemptHistory
    tried: set[str] = field(default_factory=set)  # Servers that failed a request without a key.
    last_answer: WireAnswer | None = None  # The last server's error response.


class Forwarder:
    """Serves the requests that one node receives from callers.

    :param budget: bounds retries; shared by all requests of the node.
    :param shared_slots: slots that all nodes share; without them the node uses its own limits.
    :param evacuate_ms: time after which an evacuated zone gets nothing.
    :param quarantine: decides which requests are refused; without one the node decides alone.
    :param drain_ms: time after which a server that announced to this node that it is leaving
        gets nothing.
    :param links: the state of this node's links; without it, the node knows of no other nodes.
    :param peers: sends requests on while links are cut; without it, no request is sent on.
    """

    def __init__(
        self,
        directory: Directory,
        pool: UpstreamPool,
        dialect: Dialect,
        budget: SharedRetryBudget,
        shared_slots: SharedSlots | None = None,
        evacuate_ms: float = 0.0,
        quarantine: Quarantine | None = None,
        drain_ms: float = DRAIN_MS,
        links: LinkMonitor | None = None,
        peers: PeerForwarder | None = None,
    ) -> None:
        self._links = links or LinkMonitor(pool, tuple, lambda message, to: None)
        self._choice = ServerChoice(directory, pool, evacuate_ms, drain_ms, self._links)
        self._rerouting = Rerouting(self._links, self._choice, peers)
        self._shared_slots = shared_slots
        self._directory = directory
        self._dialect = dialect
        self._budget = budget
        self._splitter = ShareSplitter()
        self._usual_deadlines = UsualDeadlines()
        self.planned_stop: PlannedStop | None = None  # Set once the process is told to stop.
        self._in_flight = InFlightRequests()
        self.sampled_keys: dict[str, list[int]] = {}
        self._quarantine = quarantine or _single_node_quarantine()
        pool.on_removed = self._quarantine.note_server_ended
        self.metrics = GatewayMetrics(pool.uses)
        self._attempts = ServerAttempts(
            dialect, directory, self._choice, self._links, self._quarantine, self.metrics
        )

    # ---- entry ----------------------------------------------------------------------

    def handle(self, request: CallerRequest) -> CallerReply:
        """Serve one request and return the reply for its caller.

        :raises CallerGoneError: when the caller closes its connection meanwhile.
        """
        facts = None
        trace = RequestTrace(received_ms=request.received_ms)
        if request.forwarded_by is not None and request.forwarded_by.may_have_run:
            trace.execution.note_send()
        detail = ""
        result = results.OK
        try:
            facts = self._dialect.facts(request)
            request.request_id = trace.request_id = facts.request_id.decode("latin-1") or "-"
            call = self._match(request, facts, trace)
            with self._in_flight.serve() as in_flight:
                in_flight.deadline_ms = call.deadline_ms
                try:
                    reply = self._run(call)
                finally:
                    self._quarantine.note_finished(call)
        except MalformedRequestError as error:
            result, detail = results.BAD_REQUEST, str(error).replace(" ", "-")
            reply = self._refuse(RefusedError(result), facts)
        except RefusedError as error:
            result, detail = error.result, error.detail
            reply = self._refuse(error, facts)
            reply.unreached = (
                result is results.SERVER_REFUSED and detail == AttemptResult.NOT_CONNECTED.value
            )
        except Exception as error:
            # An internal fault: the reply says that the request may have run.
            LOG.error("Request failed.", request=trace.request_id, cause=repr(error))
            result, detail = results.INTERNAL_ERROR, type(error).__name__
            reply = self._refuse(RefusedError(result), facts)
        except CallerGoneError:
            trace.log_unanswered("caller-gone", elapsed_ms() - request.received_ms)
            raise
        except DeadlineOverError:
            may_have_run = trace.execution.may_have_run
            result = results.DEADLINE_IN_FLIGHT if may_have_run else results.QUEUE_TIMEOUT
            reply = self._refuse(RefusedError(result), facts)
        except ProcessEndsError:
            may_have_run = trace.execution.may_have_run
            result = results.DEADLINE_IN_FLIGHT if may_have_run else results.NODE_DRAINING
            reply = self._refuse(RefusedError(result), facts)
        if reply.status in NOT_RUN_STATUSES and trace.execution.may_have_run:
            # An internal fault: no decision should promise this.
            LOG.error("Promise withheld, as the request may have run.", request=trace.request_id)
            result, detail = results.ANSWER_LOST, result.name
            reply = self._refuse(RefusedError(result), facts)
        took_ms = elapsed_ms() - request.received_ms
        if request.forwarded_by is None:
            self.metrics.count_request(result.code, took_ms, trace.is_return)
        trace.finish(reply.status, result.code, detail, took_ms)
        return reply

    def end_in_flight(self) -> int:
        """Answer all requests in flight now, because the process is about to exit.

        They were accepted before the process was told to stop, with deadlines later than its exit.

        :returns: the number of requests.
        """
        return self._in_flight.end_all(ProcessEndsError)

    def end_overdue(self) -> None:
        """Answer requests whose deadline passed while a suspension delayed their timers."""
        self._in_flight.end_overdue(elapsed_ms(), DeadlineOverError)

    def _refuse(self, refusal: RefusedError, facts: RequestFacts | None) -> CallerReply:
        result = refusal.result
        retry_after_s = refusal.retry_after_s if result.retryable else None
        headers = self._dialect.refusal_headers(facts, retry_after_s)
        headers.append((b"Ploverhatch-Result", b"%d" % result.code))
        return CallerReply(result.status, headers)

    def _match(self, request: CallerRequest, facts: RequestFacts, trace: RequestTrace) -> Call:
        table = self._directory.table
        if table is None:
            raise RefusedError(results.NOT_READY, "", RETRY_AFTER_NO_SERVER_S)
        trace.version = table.version
        route = table.match(facts.host, request.path)
        if route is None:
            raise RefusedError(results.NO_ROUTE)
        service = self._splitter.choose(route)
        known = table.services.get(service)
        partitioned = known is not None and known.partitioned
        trace.route, trace.service = route.name, service
        trace.objective_ms, trace.key = route.objective_ms, facts.shard_key
        if partitioned and facts.shard_key is None:
            raise RefusedError(results.KEY_MISSING)
        trace.stated_ms = facts.deadline_ms
        trace.before_ms = self._time_before(request, facts, route)
        start_ms = request.received_ms
        limit_ms = min(route.timeout_ms, facts.deadline_ms or route.timeout_ms)
        limit_ms = self._limit_by_stop(start_ms + limit_ms) - start_ms
        return Call(
            request=request,
            facts=facts,
            route=route,
            service=service,
            partitioned=partitioned,
            deadline_ms=start_ms + limit_ms,
            offer_by_ms=start_ms + min(route.objective_ms * OFFER_FRACTION, limit_ms),
            move_by_ms=start_ms + min(route.objective_ms * MOVE_FRACTION, limit_ms),
            first_attempt_ms=start_ms - trace.before_ms,
            trace=trace,
        )

    def _time_before(self, request: CallerRequest, facts: RequestFacts, route: Route) -> float:
        """Return the milliseconds from the caller's first attempt to this one; 0 if unknown."""
        if facts.deadline_ms is None:
            return 0.0
        if request.forwarded_by is None:
            self._usual_deadlines.note(route.name, facts.deadline_ms, request.received_ms)
        return self._usual_deadlines.elapsed_ms(route.name, facts.deadline_ms)

    def _limit_by_stop(self, deadline_ms: float) -> float:
        """Return the request's deadline, limited to the exit of a process that is stopping.

        :raises RefusedError: when the process would exit before the request's deadline.
        """
        stop = self.planned_stop
        if stop is None:
            return deadline_ms
        if not stop.admits(elapsed_ms(), deadline_ms):
            raise RefusedError(results.NODE_DRAINING, "", RETRY_AFTER_STOP_S)
        return stop.answer_deadline_ms(deadline_ms)

    # ---- attempts -------------------------------------------------------------------

    def _run(self, call: Call) -> CallerReply:
        progress = _Progress(call.earlier_attempts)
        if self._links.is_cut_off:
            reply = self._rerouting.forward(call, progress.history, counted=False)
            if reply is not None:
                return reply
        self._count(call)
        while True:
            reply = self._try_next(call, progress)
            if reply is not None:
                return reply

    def _try_next(self, call: Call, progress: _Progress) -> CallerReply | None:
        """Make one attempt; return the reply, or ``None`` if another attempt is to be made."""
        if self._rerouting.is_due(call):
            reply = self._rerouting.forward(call, progress.history)
            if reply is not None:
                return reply
        upstream, result, answer = self._attempt_when_permitted(
            call, progress.tried, progress.history
        )
        self.metrics.attempts[result.value] += 1
        if result in RAN_RESULTS:
            self._quarantine.note_answer(call)
        if result is AttemptResult.ANSWERED:
            assert answer is not None
            return self._forward_answer(answer)
        if result is AttemptResult.SERVER_ERROR:
            progress.last_answer = answer
        progress.history = progress.history.after(result)
        self._update_upstream(upstream, result, call.trace.attempts[-1].took_ms)
        if result is AttemptResult.NOT_CONNECTED and self._rerouting.may_help(call, upstream):
            reply = self._rerouting.forward(call, progress.history)
            if reply is not None:
                return reply
        step = self._decide(call, progress.history, result)
        if step is not NextStep.RETRY:
            return self._give_up(call, step, result, progress)
        self._prepare_retry(call, upstream, result, progress)
        return None

    def _prepare_retry(
        self, call: Call, upstream: Upstream, result: AttemptResult, progress: _Progress
    ) -> None:
        if not call.partitioned:
            progress.tried.add(upstream.record.server_id)
        elif result in {AttemptResult.NOT_HOLDER, AttemptResult.NOT_CONNECTED}:
            self._directory.changed.wait(RETRY_PAUSE_S)
        elif self._choice.unservable(call) is None:
            # The retry goes to the same server, which an immediate retry would find as full
            # as before. The pause is random and at most a typical answer time.
            gevent.sleep(upstream.answer_time.typical_ms / 1000 * random.random())

    def _count(self, call: Call) -> None:
        """Count a request for the retry budget and the load of its key, at one node only."""
        if call.request.forwarded_by is not None and call.request.forwarded_by.counted:
            return
        self._budget.earn(call.service, elapsed_ms())
        key = call.facts.shard_key
        if call.partitioned and key is not None:
            self.sampled_keys.setdefault(call.service, []).append(key)

    def _decide(self, call: Call, history: AttemptHistory, result: AttemptResult) -> NextStep:
        step = next_step(
            history,
            result,
            call.route.repeatable,
            call.route.max_attempts,
            call.remaining_ms,
            call.route.objective_ms * MIN_ATTEMPT_FRACTION,
        )
        no_holder = call.partitioned and result is AttemptResult.NOT_CONNECTED
        if step is NextStep.RETRY and no_holder and elapsed_ms() > call.offer_by_ms:
            return NextStep.FAIL if history.may_have_run else NextStep.REFUSE
        # An attempt counts as a retry only if an earlier one may have reached a server.
        is_retry = step is NextStep.RETRY and history.arrivals > 0
        if is_retry and not self._budget.spend(call.service, elapsed_ms()):
            return NextStep.FAIL if history.may_have_run else NextStep.REFUSE
        return step

    def _give_up(
        self,
        call: Call,
        step: NextStep,
        result: AttemptResult,
        progress: _Progress,
    ) -> CallerReply:
        if progress.last_answer is not None:
            # The server's own error response goes to the caller unchanged.
            return self._forward_answer(progress.last_answer)
        if step is NextStep.REFUSE:
            unservable = self._choice.unservable(call, progress.tried)
            after_s = unservable.after_s if unservable else 0.0
            after_s = max(after_s, RETRY_AFTER_BUSY_S)
            raise RefusedError(results.SERVER_REFUSED, result.value, after_s)
        if result is AttemptResult.TIMED_OUT:
            raise RefusedError(results.DEADLINE_IN_FLIGHT, result.value)
        raise RefusedError(results.ANSWER_LOST, result.value)

    def _forward_answer(self, answer: WireAnswer) -> CallerReply:
        """Return a server's answer as the reply to the caller.

        :raises RefusedError: for a status by which the caller would take the request, which the
            server ran, for one that has not run.
        """
        if answer.status in NOT_RUN_STATUSES:
            raise RefusedError(results.SERVER_FAILED, str(answer.status))
        headers = self._dialect.reply_headers(answer)
        return CallerReply(answer.status, headers, answer.body, buffer=answer.buffer)

    def _update_upstream(self, upstream: Upstream, result: AttemptResult, took_ms: float) -> None:
        if result is AttemptResult.WRONG_INSTANCE:
            self._quarantine.note_server_ended(upstream)
            self._directory.note_server_replaced(upstream.record.server_id)
        rejected = result is AttemptResult.LOST and upstream.suggests_rejection(took_ms)
        if rejected or result in {AttemptResult.DECLINED, AttemptResult.TIMED_OUT}:
            upstream.note_overload()
        if result in FAILED_RESULTS:
            upstream.note_failure()

    def _attempt_when_permitted(
        self, call: Call, tried: set[str], history: AttemptHistory
    ) -> tuple[Upstream, AttemptResult, WireAnswer | None]:
        """Send the request to one server as soon as the quarantine permits it."""
        while True:
            self._quarantine.check(call, history.may_have_run)
            with suppress(OnTrialElsewhereError):  # It became suspect while it waited for a slot.
                return self._attempt_once(call, tried, history)

    def _attempt_once(
        self, call: Call, tried: set[str], history: AttemptHistory
    ) -> tuple[Upstream, AttemptResult, WireAnswer | None]:
        """Send the request to one server in a shared slot, or else in a slot of this node."""
        upstream = None
        if call.partitioned:
            upstream = self._await_upstream(call, tried, history)
        else:
            self._refuse_unservable(call, tried, history)
        with ExitStack() as held_slots:
            slot = self._acquire_shared_slot(call, history, upstream, held_slots)
            granted = self._choice.upstream_for_slot(call, slot.server_id) if slot else None
            if slot is not None and granted is not None:
                self._quarantine.recheck(call, history.may_have_run)
                with granted.granted_slot():
                    result, answer = self._attempts.make(call, granted)
                # A failure of the link says nothing of the server.
                in_doubt = self._links.in_doubt(granted.record.server_id)
                slot.failed = result in FAILED_RESULTS and not in_doubt
                slot.unanswered = result in UNANSWERED_RESULTS and not in_doubt
                if result is AttemptResult.ANSWERED:
                    slot.service_ms = call.trace.attempts[-1].took_ms
                return granted, result, answer
        if self._choice.all_need_dispatcher(call, tried):
            raise self._refusal_without_server(call, history, results.QUEUE_TIMEOUT)
        # The holder may have changed during the wait for a slot.
        upstream = self._await_upstream(call, tried, history)
        if self._choice.needs_dispatcher(upstream.record):
            raise self._refusal_without_server(call, history, results.QUEUE_TIMEOUT)
        return upstream, *self._attempt_in_slot(call, upstream, history)

    def _acquire_shared_slot(
        self, call: Call, history: AttemptHistory, holder: Upstream | None, held_slots: ExitStack
    ) -> SharedSlot | None:
        """Return a shared slot, which is held until ``held_slots`` is closed.

        :returns: ``None`` when no dispatcher answers.
        :raises RefusedError: when no slot can be expected in time.
        """
        if self._shared_slots is None:
            return None
        requirements = self._slot_requirements(call, history, holder)
        try:
            slot = held_slots.enter_context(self._shared_slots.hold(requirements))
        except TurnedAwayError as error:
            call.trace.slot = f"turned-away:{error.retry_after_ms:.0f}@{error.dispatcher}"
            after_s = min(error.retry_after_ms / 1000, MAX_RETRY_AFTER_S)
            raise self._refusal_without_server(
                call, history, results.QUEUE_TIMEOUT, after_s
            ) from error
        call.trace.slot = f"given@{slot.dispatcher}" if slot else "none"
        return slot

    def _slot_requirements(
        self, call: Call, history: AttemptHistory, holder: Upstream | None
    ) -> SlotRequirements:
        now_ms = elapsed_ms()
        received_ms = call.request.received_ms
        useful_ms = received_ms + call.route.objective_ms * USEFUL_FRACTION
        until_ms = received_ms + (call.deadline_ms - received_ms) * WAIT_FRACTION
        if history.arrivals:  # The request may have run, so it can't be refused as not run.
            until_ms = call.deadline_ms
        attempts = call.trace.attempts
        return SlotRequirements(
            call.service,
            call.route.priority,
            max(0.0, useful_ms - now_ms),
            max(0.0, until_ms - now_ms),
            max(0.0, call.remaining_ms) + LEASE_MARGIN_MS,
            holder.record if holder else None,
            attempts[-1].server_id if attempts else "",
            call.route.regions,
            () if holder else self._choice.excluded(),
            0.0 if history.arrivals else call.route.objective_ms,
            call.in_time_ms,
            content=call.content_digest,
            stated_ms=call.facts.deadline_ms or 0.0,
            stated_left_ms=call.stated_left_ms,
            kind=call.route.name,
            connected=() if holder else self._choice.connected(call.service),
        )

    @contextmanager
    def _reported_use(
        self, call: Call, upstream: Upstream, history: AttemptHistory
    ) -> Iterator[None]:
        """Have dispatchers count a request that is sent without a shared slot."""
        if self._shared_slots is None:
            yield
            return
        holder = upstream if call.partitioned else None
        requirements = self._slot_requirements(call, history, holder)
        with self._shared_slots.report_use(requirements, upstream.record):
            yield

    def _attempt_in_slot(
        self, call: Call, upstream: Upstream, history: AttemptHistory
    ) -> tuple[AttemptResult, WireAnswer | None]:
        until_ms = call.deadline_ms if history.arrivals else call.offer_by_ms
        try:
            with upstream.slot(call.route.priority, (until_ms - elapsed_ms()) / 1000):
                self._quarantine.recheck(call, history.may_have_run)
                with self._reported_use(call, upstream, history):
                    return self._attempts.make(call, upstream)
        except QueueFullError as error:
            raise self._refusal_without_server(call, history, results.QUEUE_FULL) from error
        except NoSlotError as error:
            raise self._refusal_without_server(call, history, results.QUEUE_TIMEOUT) from error

    def _refusal_without_server(
        self,
        call: Call,
        history: AttemptHistory,
        result: Result,
        after_s: float = 0.0,
        detail: str = "",
    ) -> RefusedError:
        """Return the refusal of a request that found no server in time.

        :param after_s: seconds until a slot can be expected; 0 when unknown.
        :param detail: text for the log; the service by default.
        """
        if history.may_have_run:
            return RefusedError(results.ANSWER_LOST, ",".join(filter(None, (result.name, detail))))
        busy = result in {results.QUEUE_TIMEOUT, results.QUEUE_FULL}
        retry_after_s = RETRY_AFTER_BUSY_S if busy else RETRY_AFTER_MOVE_S
        return RefusedError(result, detail or call.service, max(retry_after_s, after_s))

    # ---- choice of the server ---------------------------------------------------------

    def _await_upstream(self, call: Call, tried: set[str], history: AttemptHistory) -> Upstream:
        """Return the server to send to; wait while keys change holders.

        :raises RefusedError: when no server is available in time.
        """
        while True:
            if call.partitioned:
                upstream = self._choice.holder(call)
            else:
                upstream = self._choice.fastest(call, tried)
            if upstream is not None:
                return upstream
            self._refuse_unservable(call, tried, history)
            left_ms = self._choice.wait_until_ms(call) - elapsed_ms()
            if left_ms <= 0:
                raise self._refusal_without_server(call, history, results.NO_OWNER)
            self._directory.changed.wait(left_ms / 1000)

    def _refuse_unservable(self, call: Call, tried: set[str], history: AttemptHistory) -> None:
        """Refuse a request at once if it is unservable.

        :raises RefusedError: when it is; states when the caller may retry.
        """
        unservable = self._choice.unservable(call, tried)
        if unservable is not None:
            raise self._refusal_without_server(
                call, history, unservable.result, unservable.after_s, unservable.detail
            )
