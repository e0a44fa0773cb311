"""Router: serves the requests of callers.

Each request runs in a greenlet of its own. The decisions are made in ``routing``, which
does no I/O; this module owns the connections to back ends and does the waiting.
"""

import secrets
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
import xxhash

from ploverhatch.backend.interface import (
    BackendAnswerLostError,
    BackendClient,
    BackendReply,
    BackendRequest,
    BackendUnreachableError,
    Refusal,
)
from ploverhatch.common import results
from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.in_flight import InFlightRequests, ProcessEndsError
from ploverhatch.common.keyspace import hash_key
from ploverhatch.common.logs import PartLogger
from ploverhatch.common.problem import (
    OUTCOME_HEADER,
    RESULT_HEADER,
    HttpReply,
    problem_reply,
)
from ploverhatch.common.results import NOT_RUN_STATUSES, RefusedError, Result
from ploverhatch.node.crash_guard import CrashGuard, GuardedRequest
from ploverhatch.node.metrics import RouterMetrics
from ploverhatch.node.records_client import RecordsClient, RecordsUnavailableError
from ploverhatch.node.upstreams import Upstream, UpstreamPool
from ploverhatch.node.view import StateView
from ploverhatch.policy.syntax import Route
from ploverhatch.policy.table import extract_key
from ploverhatch.routing.load_meter import LoadMeter
from ploverhatch.routing.router_attempts import (
    AttemptEnd,
    GiveUp,
    RequestState,
    Retry,
    after_attempt,
)
from ploverhatch.routing.router_retry_budget import RetryBudget
from ploverhatch.settings.model import LimitsSection
from ploverhatch.state.assignment import Slice
from ploverhatch.state.configuration import ServerSpec
from ploverhatch.state.records import ClaimResult
from ploverhatch.transport import wire
from ploverhatch.transport.wsgi import (
    BodyTooLargeError,
    Environ,
    read_body,
    request_headers,
    request_target,
)

LOG = PartLogger("router")

DEADLINE_HEADER = "request-deadline-ms"
IDEMPOTENCY_HEADER = "idempotency-key"
MAX_IDEMPOTENCY_KEY_CHARS = 200
RETRY_AFTER_S = 1.0
CANCEL_TIMEOUT_S = 0.5
RELEASE_WAIT_MS = 300.0
BACKGROUND_COMMIT_MS = 10_000.0
OWNER_POLL_S = 0.05
_DROPPED_HEADERS = frozenset(
    {
        "host",
        "connection",
        "keep-alive",
        "transfer-encoding",
        "te",
        "trailer",
        "upgrade",
        "content-length",
        "proxy-connection",
        "proxy-authorization",
        "expect",
        "slice-group",
        "slice-key-hash",
        "slice-token",
        "slice-not-after",
        "request-budget-ms",
        "request-id",
    }
)


@dataclass(frozen=True)
class Call:
    """A request of a caller, matched to a route.

    The request ends at ``deadline_ms``, and the wait before it is sent at ``give_up_ms``.
    """

    route: Route
    key: str
    key_hash: int
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotency_key: str
    deadline_ms: float
    give_up_ms: float
    guarded: GuardedRequest


class Router:
    """Serves the requests of callers at one node."""

    def __init__(
        self,
        view: StateView,
        records: RecordsClient,
        limits: LimitsSection,
        open_backend: Callable[[ServerSpec], BackendClient],
        metrics: RouterMetrics,
    ) -> None:
        self._view = view
        self._records = records
        self._limits = limits
        self._metrics = metrics
        self._upstreams = UpstreamPool(view, limits.queue_per_server, open_backend)
        self._budget = RetryBudget(limits.retry_budget_percent)
        self._crash_guard = CrashGuard()
        self._background_commits: set[gevent.Greenlet] = set()
        self._in_flight = InFlightRequests()
        self.meter = LoadMeter(elapsed_ms())

    # ---- entry ------------------------------------------------------------------

    def handle(self, environ: Environ) -> HttpReply:
        """Serve one request; every failure is answered by a problem document."""
        started_ms = elapsed_ms()
        group = "-"
        try:
            call = self._read_call(environ, started_ms)
            group = call.route.group
            with self._in_flight.serve():
                reply, result = self._run(call)
        except RefusedError as error:
            result = error.result
            reply = self._refusal(error)
        except ProcessEndsError:
            result = results.DEADLINE_IN_FLIGHT
            reply = problem_reply(result, "the node stops")
        except BodyTooLargeError:
            result = results.BODY_TOO_LARGE
            reply = problem_reply(result)
        except Exception as error:  # an internal error must be answered as an unknown outcome
            LOG.error("Request failed.", cause=type(error).__name__, group=group)
            result = results.INTERNAL_ERROR
            reply = problem_reply(result)
        self._metrics.observe(group, result, elapsed_ms() - started_ms)
        return reply

    def _refusal(self, error: RefusedError) -> HttpReply:
        retry_after_s = (error.retry_after_s or RETRY_AFTER_S) if error.result.retryable else None
        return problem_reply(error.result, error.detail, retry_after_s)

    def _read_call(self, environ: Environ, now_ms: float) -> Call:
        policy = self._view.policy
        if policy is None:
            raise RefusedError(results.NOT_READY)
        path, query = request_target(environ)
        match = policy.match(environ["REQUEST_METHOD"], path)
        if match is None:
            raise RefusedError(results.NO_ROUTE)
        route = match.route
        headers = request_headers(environ)
        key = extract_key(match, query, headers)
        if not key:
            raise RefusedError(results.KEY_MISSING, f"{route.key_source} {route.key_name}")
        idempotency_key = headers.get(IDEMPOTENCY_HEADER, "")
        if route.once and not 0 < len(idempotency_key) <= MAX_IDEMPOTENCY_KEY_CHARS:
            raise RefusedError(results.IDEMPOTENCY_KEY_MISSING)
        deadline_ms = now_ms + self._deadline(headers, route)
        target = f"{path}?{query}" if query else path
        body = read_body(environ, self._limits.body_bytes)
        caller = environ.get("REMOTE_ADDR", ""), headers.get("authorization", "")
        return Call(
            route=route,
            key=key,
            key_hash=hash_key(route.group, key),
            target=target,
            headers=tuple(item for item in headers.items() if item[0] not in _DROPPED_HEADERS),
            body=body,
            idempotency_key=idempotency_key,
            deadline_ms=deadline_ms,
            give_up_ms=min(deadline_ms, now_ms + route.wait_ms),
            guarded=GuardedRequest(target, body, (route.method, route.group, key), caller),
        )

    def _deadline(self, headers: dict[str, str], route: Route) -> float:
        text = headers.get(DEADLINE_HEADER, "")
        if not text:
            return float(route.deadline_ms)
        if not (text.isascii() and text.isdigit() and int(text) > 0):
            raise RefusedError(results.BAD_REQUEST, f"{DEADLINE_HEADER} is not a number")
        return float(min(int(text), route.deadline_ms))

    def _run(self, call: Call) -> tuple[HttpReply, Result]:
        if call.route.once:
            return self._run_once(call)
        return self._answer(self._run_attempts(call)), results.OK

    def _answer(self, reply: BackendReply) -> HttpReply:
        _check_promises(reply.status)
        headers = (
            *reply.headers,
            ("Content-Length", str(len(reply.body))),
            (RESULT_HEADER, str(results.OK.code)),
            (OUTCOME_HEADER, results.OK.outcome.value),
        )
        return HttpReply(reply.status, headers, reply.body)

    # ---- requests that run at most once --------------------------------------------

    def _run_once(self, call: Call) -> tuple[HttpReply, Result]:
        claim = wire.RecordClaim(
            record_id=f"{call.route.group}/{call.idempotency_key}",
            claim_id=secrets.token_hex(8),
            fingerprint=_fingerprint(call),
        )
        try:
            outcome, record = self._records.submit(claim, call.give_up_ms)
        except RecordsUnavailableError as error:
            self._commit_in_background(wire.RecordRelease(claim.record_id, claim.claim_id))
            raise RefusedError(results.CONTROL_UNAVAILABLE) from error
        if outcome is not ClaimResult.CLAIMED:
            return self._repeat(outcome, record)
        try:
            reply = self._run_attempts(call)
        except RefusedError as error:
            if error.result.outcome is results.Outcome.NOT_RUN:
                self._release(claim)
            raise
        self._commit_in_background(self._completion(claim, reply))
        return self._answer(reply), results.OK

    def _completion(self, claim: wire.RecordClaim, reply: BackendReply) -> wire.RecordComplete:
        kept = len(reply.body) <= self._limits.kept_answer_bytes
        content_types = [value for name, value in reply.headers if name == "content-type"]
        return wire.RecordComplete(
            record_id=claim.record_id,
            claim_id=claim.claim_id,
            status=reply.status,
            content_type=content_types[0] if content_types else "",
            body=reply.body if kept else b"",
            body_kept=kept,
        )

    def _repeat(self, outcome: ClaimResult, record: wire.RecordState) -> tuple[HttpReply, Result]:
        """Answer a request whose idempotency key is already claimed."""
        if outcome is ClaimResult.MISMATCH:
            raise RefusedError(results.KEY_REUSED)
        if outcome is ClaimResult.LOST:
            raise RefusedError(results.RECORDS_LOST)
        if outcome is ClaimResult.HELD:
            raise RefusedError(results.RUN_IN_PROGRESS)
        result = results.REPEATED_ANSWER
        _check_promises(record.status)
        if not record.body_kept:
            raise RefusedError(results.ANSWER_NOT_KEPT, f"status {record.status}")
        headers = (
            ("Content-Type", record.content_type or "application/octet-stream"),
            ("Content-Length", str(len(record.body))),
            (RESULT_HEADER, str(result.code)),
            (OUTCOME_HEADER, result.outcome.value),
        )
        return HttpReply(record.status, headers, record.body), result

    def _release(self, claim: wire.RecordClaim) -> None:
        """Release a claim before the caller is told "not-run" and repeats the request."""
        release = wire.RecordRelease(record_id=claim.record_id, claim_id=claim.claim_id)
        try:
            self._records.submit(release, elapsed_ms() + RELEASE_WAIT_MS)
        except RecordsUnavailableError:
            self._commit_in_background(release)

    def _commit_in_background(self, command: wire.RecordComplete | wire.RecordRelease) -> None:
        """Commit a command in the background, within ``BACKGROUND_COMMIT_MS``."""
        task = gevent.spawn(self._commit_task, command)
        self._background_commits.add(task)
        task.link(self._background_commits.discard)

    def end_in_flight(self) -> int:
        """Answer all requests in flight now, since the process ends.

        :returns: the number of these requests.
        """
        return self._in_flight.end_all(ProcessEndsError)

    def await_background_commits(self, limit_s: float) -> bool:
        """Wait for the background commits; return whether all ended within ``limit_s``."""
        gevent.joinall(list(self._background_commits), timeout=limit_s)
        return not self._background_commits

    def _commit_task(self, command: wire.RecordComplete | wire.RecordRelease) -> None:
        try:
            self._records.submit(command, elapsed_ms() + BACKGROUND_COMMIT_MS)
        except RecordsUnavailableError:
            self._metrics.unsettled.inc()

    # ---- attempts -------------------------------------------------------------------

    def _run_attempts(self, call: Call) -> BackendReply:
        try:
            return self._attempts(call)
        finally:
            self._crash_guard.note_finished(call.guarded)

    def _attempts(self, call: Call) -> BackendReply:
        state = RequestState(
            once=call.route.once,
            deadline_ms=call.deadline_ms,
            give_up_ms=call.give_up_ms,
            max_attempts=self._limits.attempts,
        )
        self._budget.earn()
        while True:
            self._crash_guard.check(call.guarded, state.may_have_run)
            owner = self._await_owner(call, state)
            upstream = self._upstreams.get(owner.server)
            if upstream is None:
                lost = state.may_have_run
                raise RefusedError(results.ANSWER_LOST if lost else results.NO_OWNER)
            end, reply = self._attempt_or_answer_lost(call, owner, upstream, state)
            if end is None:
                assert reply is not None
                self._crash_guard.note_answer(call.guarded)
                return reply
            refusal = reply.refusal if reply else Refusal.NONE
            self._metrics.attempts.labels(end.value, refusal.value).inc()
            decision = self._decide(state, end, refusal)
            if isinstance(decision, GiveUp):
                raise RefusedError(decision.result, refusal.value, upstream.retry_after_s())
            state = decision.state
            self._pause(decision)

    def _attempt_or_answer_lost(
        self, call: Call, owner: Slice, upstream: Upstream, state: RequestState
    ) -> tuple[AttemptEnd | None, BackendReply | None]:
        """Run one attempt; refusals become ANSWER_LOST if an earlier attempt may have run."""
        try:
            return self._attempt(call, owner, upstream, state.may_have_run)
        except RefusedError as error:
            if not state.may_have_run:
                raise
            raise RefusedError(results.ANSWER_LOST, error.result.name) from error

    def _decide(self, state: RequestState, end: AttemptEnd, refusal: Refusal) -> Retry | GiveUp:
        # A retry that only waits for a change of ownership puts no load on a back end.
        costs = refusal is Refusal.BUSY or end in {AttemptEnd.LOST, AttemptEnd.CANCELLED}
        budget_left = self._budget.spend() if costs else True
        return after_attempt(state, end, refusal, elapsed_ms(), budget_left)

    def _pause(self, decision: Retry) -> None:
        if decision.await_owner:
            self._view.wait_change(max(decision.pause_ms, 0) / 1000)
        else:
            gevent.sleep(max(decision.pause_ms, 0) / 1000)

    def _await_owner(self, call: Call, state: RequestState) -> Slice:
        """Return the owner of the key; wait while there is none.

        An owner that refused the token is returned again as well, since its lease may have
        been renewed meanwhile.

        :raises RefusedError: there was no owner until ``call.give_up_ms``.
        """
        while True:
            owner = self._view.state.assignments.find(call.route.group, call.key_hash)
            if owner is not None and owner.server:
                return owner
            now_ms = elapsed_ms()
            if now_ms >= call.give_up_ms:
                result = results.ANSWER_LOST if state.may_have_run else results.NO_OWNER
                raise RefusedError(result)
            self._view.wait_change(min(OWNER_POLL_S, (call.give_up_ms - now_ms) / 1000))

    def _attempt(
        self, call: Call, owner: Slice, upstream: Upstream, may_have_run: bool
    ) -> tuple[AttemptEnd | None, BackendReply | None]:
        """Run one attempt; the first result is ``None`` if a back end answered.

        :raises RefusedError: the queue is full, no slot was free in time, the request is
            quarantined, or the deadline has passed.
        """
        self.meter.count(call.route.group, owner.range.first, call.key_hash)
        ticket = self._upstreams.acquire_slot(upstream, call.route.group, call.give_up_ms)
        if ticket is None:
            retry_after_s = upstream.retry_after_s()
            full = elapsed_ms() < call.give_up_ms
            raise RefusedError(
                results.QUEUE_FULL if full else results.QUEUE_TIMEOUT, "", retry_after_s
            )
        started_ms = elapsed_ms()
        shed = False
        try:
            # The wait for a slot may have been long, or this process may have been suspended.
            current = self._view.state.assignments.find(call.route.group, call.key_hash)
            if current is None or current.token != owner.token:
                return AttemptEnd.NOT_SENT, None
            if not self._crash_guard.allows(call.guarded, may_have_run):
                return AttemptEnd.NOT_SENT, None  # a copy crashed its back end meanwhile
            if elapsed_ms() >= call.deadline_ms:
                raise RefusedError(results.DEADLINE_PASSED)
            end, reply = self._send(call, owner, upstream)
            shed = reply is not None and reply.refusal is Refusal.BUSY
            return end, reply
        finally:
            upstream.release_slot(ticket, elapsed_ms() - started_ms, shed)

    def _send(
        self, call: Call, owner: Slice, upstream: Upstream
    ) -> tuple[AttemptEnd | None, BackendReply | None]:
        if call.route.once and not upstream.clock_read_ms and not self._read_clock(upstream):
            return AttemptEnd.NOT_SENT, None
        now_ms = elapsed_ms()
        budget_ms = max(call.deadline_ms - now_ms, 1.0)
        request = BackendRequest(
            request_id=secrets.token_hex(8),
            method=call.route.method,
            target=call.target,
            headers=call.headers,
            body=call.body,
            group=call.route.group,
            key_hash=call.key_hash,
            token=owner.token,
            not_after_ms=upstream.not_after(budget_ms, now_ms) if call.route.once else 0.0,
            budget_ms=budget_ms,
        )
        try:
            reply = upstream.client.send(request)
        except BackendUnreachableError:
            return AttemptEnd.NOT_SENT, None
        except BackendAnswerLostError as error:
            return self._after_loss(call, upstream, request, error, now_ms), None
        upstream.note_clock(reply.clock_ms, reply.received_ms)
        if reply.refusal is not Refusal.NONE:
            return AttemptEnd.REFUSED, reply
        return None, reply

    def _read_clock(self, upstream: Upstream) -> bool:
        """Read the clock of a back end before the first request that needs it."""
        try:
            probe = upstream.client.probe(CANCEL_TIMEOUT_S)
        except (ConnectionError, ValueError, KeyError):
            return False
        upstream.note_clock(probe.clock_ms, probe.received_ms)
        return True

    def _after_loss(
        self,
        call: Call,
        upstream: Upstream,
        request: BackendRequest,
        error: BackendAnswerLostError,
        sent_ms: float,
    ) -> AttemptEnd:
        """Try to cancel a request whose answer was lost; return how the attempt ended."""
        try:
            cancelled = upstream.client.cancel(request.request_id, CANCEL_TIMEOUT_S)
        except (ConnectionError, ValueError, KeyError):
            cancelled = False
            # Only a refused new connection proves that the process has ended. The error of the
            # cancel call does not: a persistent connection also breaks when the process ends,
            # possibly later than the connection of the request, and its failure does not show
            # whether a process still listens.
            if upstream.client.has_ended(CANCEL_TIMEOUT_S):
                self._crash_guard.note_crash(call.guarded, upstream.spec.name, sent_ms)
        if cancelled:
            return AttemptEnd.CANCELLED
        return AttemptEnd.TIMED_OUT if error.timed_out else AttemptEnd.LOST

    # ---- for operators ------------------------------------------------------------------

    def queues(self) -> dict[str, dict[str, Any]]:
        """Return the state of the slot queues by name of the back end."""
        return self._upstreams.queues()


def _check_promises(status: int) -> None:
    """Check the status with which a back end answered a request that it ran.

    :raises RefusedError: for one by which the caller would take the request for not run.
    """
    if status in NOT_RUN_STATUSES:
        raise RefusedError(results.SERVER_FAILED, f"status {status}")


def _fingerprint(call: Call) -> int:
    digest = xxhash.xxh3_64()
    digest.update(f"{call.route.method} {call.target}\n".encode())
    digest.update(call.body)
    return int(digest.intdigest())
