"""A simulated router: attempts and idempotency records in virtual time.

Some lookups are stale on purpose: with probability ``STALE_LOOKUP`` the router uses an owner
that it found earlier, as a router that was frozen or cut off would.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ploverhatch.backend.interface import Refusal
from ploverhatch.common import results
from ploverhatch.control.core import Proposal
from ploverhatch.routing.router_attempts import AttemptEnd, GiveUp, RequestState, after_attempt
from ploverhatch.simulation.node import SimulatedNode
from ploverhatch.simulation.server import SimulatedServer
from ploverhatch.state.commands import RecordCommand
from ploverhatch.state.records import ClaimResult
from ploverhatch.transport import wire

if TYPE_CHECKING:
    from ploverhatch.simulation.cluster import Cluster

STALE_LOOKUP = 0.2
ATTEMPT_TIMEOUT_MS = 400.0
CLAIM_TIMEOUT_MS = 300.0
DEADLINE_MS = 2500.0
PAUSE_MS = 20.0

Answer = Callable[[str, results.Outcome], None]


@dataclass
class PendingRequest:
    """A caller's request at a router."""

    key: tuple[str, int]
    idempotency_key: str  # empty if the request may run more than once
    claim_id: str
    state: RequestState
    answer: Answer
    attempts: list[str] = field(default_factory=list)
    finished: bool = False


class SimulatedRouter:
    """Serves requests inside a node process."""

    def __init__(self, node: SimulatedNode, cluster: "Cluster") -> None:
        self._node = node
        self._cluster = cluster
        self._world = node.world
        self._owners: dict[tuple[str, int], tuple[str, int]] = {}
        self._clocks: dict[str, tuple[float, float]] = {}

    def serve(self, key: tuple[str, int], idempotency_key: str, answer: Answer) -> None:
        """Serve a request; must be called in the node's process."""
        now_ms = self._node.clock.read()
        state = RequestState(
            once=bool(idempotency_key),
            deadline_ms=now_ms + DEADLINE_MS,
            give_up_ms=now_ms + DEADLINE_MS * 0.8,
            max_attempts=20,
        )
        claim_id = f"{self._node.node_id}#{self._world.random.getrandbits(48):x}"
        request = PendingRequest(key, idempotency_key, claim_id, state, answer)
        if idempotency_key:
            self._claim(request)
        else:
            self._attempt(request)

    # ---- records ------------------------------------------------------------------------

    def _claim(self, request: PendingRequest) -> None:
        command = wire.RecordClaim(
            record_id=request.idempotency_key, claim_id=request.claim_id, fingerprint=1
        )
        self._submit(
            command,
            request.state.give_up_ms,
            lambda result: self._claimed(request, result),
        )

    def _claimed(self, request: PendingRequest, result: ClaimResult | None) -> None:
        if result is None:
            self._release(request)
            self._finish(request, "CONTROL_UNAVAILABLE", results.Outcome.NOT_RUN)
        elif result is ClaimResult.CLAIMED:
            self._attempt(request)
        elif result is ClaimResult.COMPLETED:
            self._finish(request, "REPEATED_ANSWER", results.Outcome.DONE)
        else:
            self._finish(request, "RUN_IN_PROGRESS", results.Outcome.UNKNOWN)

    def _release(self, request: PendingRequest) -> None:
        command = wire.RecordRelease(record_id=request.idempotency_key, claim_id=request.claim_id)
        self._submit(command, self._node.clock.read() + DEADLINE_MS, lambda _result: None)

    def _submit(
        self,
        command: RecordCommand,
        until_ms: float,
        done: Callable[[ClaimResult | None], None],
    ) -> None:
        """Send a command to the supposed leader, repeatedly until an answer or ``until_ms``."""
        if self._node.clock.read() >= until_ms:
            done(None)
            return
        pending = [True]

        def end(result: ClaimResult | None) -> None:
            if not pending:
                return
            pending.clear()
            if result is None:
                self._node.later(PAUSE_MS, lambda: self._submit(command, until_ms, done))
            else:
                done(result)

        target = self._cluster.supposed_leader(self._world.random)
        if target is not None:
            reply_to = self._reply_path(target.zone, end)
            proposal = Proposal(command, reply_to)
            self._world.transmit(
                self._node.zone, target.zone, lambda: target.do(lambda: target.submit(proposal))
            )
        self._node.later(CLAIM_TIMEOUT_MS, lambda: end(None))

    def _reply_path(
        self, zone: str, end: Callable[[ClaimResult | None], None]
    ) -> Callable[[ClaimResult | None], None]:
        node = self._node

        def reply(result: ClaimResult | None) -> None:
            node.world.transmit(zone, node.zone, lambda: node.do(lambda: end(result)))

        return reply

    # ---- attempts -----------------------------------------------------------------------

    def _find_owner(self, request: PendingRequest) -> tuple[str, int] | None:
        stale = self._owners.get(request.key)
        if stale is not None and self._world.random.random() < STALE_LOOKUP:
            return stale
        owner = self._cluster.look_up(request.key, self._world.random)
        if owner is not None:
            self._owners[request.key] = owner
        return owner

    def _attempt(self, request: PendingRequest) -> None:
        now_ms = self._node.clock.read()
        owner = self._find_owner(request)
        server = self._cluster.servers.get(owner[0]) if owner else None
        if owner is None or server is None:
            self._after(request, AttemptEnd.NOT_SENT, Refusal.NONE)
            return
        if now_ms >= request.state.deadline_ms:
            self._after(request, AttemptEnd.NOT_SENT, Refusal.NONE)
            return
        self._send(request, owner, server, now_ms)

    def _send(
        self,
        request: PendingRequest,
        owner: tuple[str, int],
        server: SimulatedServer,
        now_ms: float,
    ) -> None:
        request_id = f"{request.claim_id}/{len(request.attempts)}"
        request.attempts.append(request_id)
        read_ms, server_ms = self._clocks.get(server.name, (now_ms, server.clock.read()))
        remaining_ms = request.state.deadline_ms - now_ms
        not_after = (
            server_ms + (now_ms - read_ms) + remaining_ms if request.idempotency_key else 1e18
        )
        pending = [True]

        def end(outcome: AttemptEnd | None, refusal: Refusal) -> None:
            if pending:
                pending.clear()
                self._ended(request, server, request_id, outcome, refusal)

        def reply(refusal: Refusal, clock_ms: float) -> None:
            def arrive() -> None:
                self._clocks[server.name] = (self._node.clock.read(), clock_ms)
                end(None if refusal is Refusal.NONE else AttemptEnd.REFUSED, refusal)

            self._world.transmit(server.zone, self._node.zone, lambda: self._node.do(arrive))

        def execute() -> None:
            server.execute(
                request.key, owner[1], request_id, request.idempotency_key, not_after, reply
            )

        self._world.transmit(
            self._node.zone, server.zone, lambda: server.do(execute), repeatable=False
        )
        self._node.later(ATTEMPT_TIMEOUT_MS, lambda: end(AttemptEnd.LOST, Refusal.NONE))

    def _ended(
        self,
        request: PendingRequest,
        server: SimulatedServer,
        request_id: str,
        outcome: AttemptEnd | None,
        refusal: Refusal,
    ) -> None:
        if outcome is None:
            self._complete(request)
        elif outcome is AttemptEnd.LOST:
            self._try_cancel(request, server, request_id)
        else:
            self._after(request, outcome, refusal)

    def _try_cancel(
        self, request: PendingRequest, server: SimulatedServer, request_id: str
    ) -> None:
        pending = [True]

        def end(outcome: AttemptEnd) -> None:
            if pending:
                pending.clear()
                self._after(request, outcome, Refusal.NONE)

        def cancel() -> None:
            never_ran = server.cancel(request_id)
            outcome = AttemptEnd.CANCELLED if never_ran else AttemptEnd.LOST
            self._world.transmit(
                server.zone, self._node.zone, lambda: self._node.do(lambda: end(outcome))
            )

        self._world.transmit(self._node.zone, server.zone, lambda: server.do(cancel))
        self._node.later(ATTEMPT_TIMEOUT_MS, lambda: end(AttemptEnd.LOST))

    def _complete(self, request: PendingRequest) -> None:
        if request.idempotency_key:
            command = wire.RecordComplete(
                record_id=request.idempotency_key, claim_id=request.claim_id, status=200
            )
            until_ms = self._node.clock.read() + DEADLINE_MS
            self._submit(command, until_ms, lambda _result: None)
        self._finish(request, "OK", results.Outcome.DONE)

    def _after(self, request: PendingRequest, end: AttemptEnd, refusal: Refusal) -> None:
        decision = after_attempt(request.state, end, refusal, self._node.clock.read(), True)
        if isinstance(decision, GiveUp):
            outcome = decision.result.outcome
            if outcome is results.Outcome.NOT_RUN and request.idempotency_key:
                self._release(request)
            self._finish(request, decision.result.name, outcome)
            return
        request.state = decision.state
        self._node.later(max(decision.pause_ms, 1.0), lambda: self._attempt(request))

    def _finish(self, request: PendingRequest, name: str, outcome: results.Outcome) -> None:
        if request.finished:
            return
        request.finished = True
        if outcome is results.Outcome.NOT_RUN:
            self._cluster.checker.answered_not_run(request.attempts, self._world.now_ms)
        request.answer(name, outcome)
