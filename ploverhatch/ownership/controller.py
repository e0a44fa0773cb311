"""Decisions of the control leader about leases, grants and moves.

One lease per server covers all grants of that server, so a renewal takes one call
per server and not one per slice. These rules keep ownership exclusive:

* a slice gets a new owner only after the old owner acknowledged the revoke
  (and executes no request of the slice), or after the lease of the old owner
  has certainly expired: ``lease_bound_ms`` after the clock reading on which the
  newest renewal was based;
* a new leader does not know the renewals of its predecessor, so it treats the
  lease of every server as renewed at the moment of the election;
* calls are sent only while the replica holds its leader lease.

This module does no I/O and reads no clock: events carry ``now_ms``, and calls and
proposals are returned as actions.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from ploverhatch.common.keyspace import SliceRange
from ploverhatch.common.timing import ControlTiming
from ploverhatch.ownership.messages import Grant, SyncReply, SyncRequest
from ploverhatch.ownership.placement import (
    Condition,
    PlacementLimits,
    PlacementView,
    Target,
    overlaps_any,
    plan,
)
from ploverhatch.ownership.sessions import (
    Move,
    NodeLoads,
    ServerSession,
    drop_pending,
    subtract,
)
from ploverhatch.policy.table import PolicyTable
from ploverhatch.state.assignment import make_token
from ploverhatch.state.configuration import ServerSpec
from ploverhatch.state.replicated import ReplicatedState
from ploverhatch.transport import wire

BUSY_POLL_MS = 10.0
CALL_TIMEOUT_MS = 400.0
REBALANCE_MS = 1000.0
MAX_MOVES_PER_SERVER = 4
LOAD_REPORT_MAX_AGE_MS = 5000.0


@dataclass(frozen=True)
class SyncCall:
    """Action: send a sync call to a back end.

    The result is passed to ``handle_reply`` or ``note_call_failed``.
    """

    server: str
    request: SyncRequest
    timeout_ms: float


@dataclass(frozen=True)
class ProposeAssignment:
    """Action: commit a change of slice owners to the log."""

    change: wire.AssignmentChange


class OwnershipController:
    """Decides about ownership during one leadership.

    A new controller is created at each election.
    """

    def __init__(
        self,
        timing: ControlTiming,
        term: int,
        state: ReplicatedState,
        now_ms: float,
        limits: PlacementLimits | None = None,
        founding: bool = False,
    ) -> None:
        """Begin a leadership.

        :param founding: whether this leadership founds an epoch after an earlier epoch
            was lost. The log may lack the last assignments of the lost epoch, so the
            leader grants nothing until every lease has expired, and then assigns all
            slices again with tokens of the new epoch.
        """
        self._founding = founding
        self._renewal_proposed = False
        self._timing = timing
        self._term = term
        self._state = state
        self._limits = limits or PlacementLimits()
        self._initial_lease_until_ms = now_ms + timing.lease_bound_ms
        self._sequence = 0
        self._rebalance_due_ms = now_ms + REBALANCE_MS
        self._policy: PolicyTable | None = None
        self._specs: dict[str, ServerSpec] = {}
        self._leaving: frozenset[str] = frozenset()
        self._loads: dict[str, NodeLoads] = {}
        self._moved_ms: dict[SliceRange, float] = {}
        self._owners: set[str] | None = None
        self.sessions: dict[str, ServerSession] = {}
        self.moves: dict[SliceRange, Move] = {}

    # ---- events -------------------------------------------------------------

    def configure(
        self, policy: PolicyTable | None, specs: dict[str, ServerSpec], now_ms: float
    ) -> None:
        """Apply a configuration.

        :param specs: the configured servers by name.
        """
        self._policy = policy
        self._specs = specs
        owners = {item.server for item in self._state.assignments if item.server}
        for name in sorted(set(specs) | owners):
            self.sessions.setdefault(
                name, ServerSession(self._initial_lease_until_ms, due_ms=now_ms)
            )

    def note_machines_leaving(self, servers: Iterable[str]) -> None:
        """Note which servers the machine list of the platform shows as leaving."""
        self._leaving = frozenset(servers)

    def note_load(self, node_id: str, loads: NodeLoads) -> None:
        """Replace the load report of a node."""
        self._loads[node_id] = loads

    def handle_reply(
        self, server: str, request: SyncRequest, reply: SyncReply, now_ms: float
    ) -> None:
        """Handle the reply of a server to ``request``; an outdated reply is ignored."""
        session = self.sessions.get(server)
        if session is None or session.call is not request:
            return
        session.call = None
        session.failures = 0
        session.replied_ms = now_ms
        session.draining = reply.draining
        session.clock_ms = reply.clock_ms
        session.clock_read_ms = now_ms
        if reply.boot_id != session.boot_id:
            self._note_new_process(server, session, reply.boot_id, now_ms)
            return
        if not reply.accepted:
            session.needs_full = True
            session.due_ms = now_ms + BUSY_POLL_MS
            return
        self._confirm(server, session, request, reply, now_ms)

    def note_call_failed(self, server: str, request: SyncRequest, now_ms: float) -> None:
        """Note that a call got no reply; the server may or may not have received it."""
        session = self.sessions.get(server)
        if session is None or session.call is not request:
            return
        session.call = None
        session.failures += 1
        session.due_ms = now_ms + self._timing.renew_ms / 2

    def note_committed(self, change: wire.AssignmentChange, index: int, now_ms: float) -> None:
        """Queue the grants of a committed assignment for delivery to the servers."""
        token = make_token(self._state.epoch, index)
        self._owners = None
        if self._founding:
            self._end_founding()
        for item in change.slices:
            span = SliceRange(item.group, item.first, item.last)
            move = self.moves.pop(span, None)
            if move is not None and move.source:
                self._moved_ms[span] = now_ms
            if item.server:
                self._queue_grant(item.server, span, token, now_ms)

    def tick(self, now_ms: float, has_lease: bool) -> list[SyncCall | ProposeAssignment]:
        """Return the calls and proposals that are due; none without the leader lease."""
        if not has_lease:
            return []
        actions: list[SyncCall | ProposeAssignment] = []
        if self._founding:
            change = self._renew_tokens(now_ms)
        else:
            self._plan(now_ms)
            change = self._ready_assignments(now_ms)
        if change.slices:
            actions.append(ProposeAssignment(change))
        for name, session in self.sessions.items():
            if session.call is None and now_ms >= session.due_ms:
                actions.append(self._call(name, session, now_ms))
        return actions

    # ---- views --------------------------------------------------------------

    def condition(self, server: str, now_ms: float) -> Condition:
        """Return the condition of a server at ``now_ms``."""
        session = self.sessions.get(server)
        if session is None:
            return Condition.LOST
        if self._is_unresponsive(session, now_ms):
            expired = now_ms >= session.lease_until_ms and session.failures > 0
            return Condition.LOST if expired else Condition.UNCERTAIN
        spec = self._specs.get(server)
        leaving = spec is None or spec.drain or server in self._leaving
        return Condition.DRAINING if leaving or session.draining else Condition.UP

    def _is_unresponsive(self, session: ServerSession, now_ms: float) -> bool:
        return not session.boot_id or now_ms - session.replied_ms >= self._timing.lease_ms

    # ---- planning -----------------------------------------------------------

    def _plan(self, now_ms: float) -> None:
        if self._policy is None:
            return
        rebalance = now_ms >= self._rebalance_due_ms
        conditions = {name: self.condition(name, now_ms) for name in self.sessions}
        urgent = any(
            conditions.get(owner) in {Condition.LOST, Condition.DRAINING}
            for owner in self._current_owners()
        )
        unplaced = any(not self._state.assignments.group(name) for name in self._policy.groups)
        if unplaced and self._awaits_first_replies():
            return
        if not (rebalance or urgent or unplaced):
            return
        if rebalance:
            self._rebalance_due_ms = now_ms + REBALANCE_MS
            self._forget_old_moves(now_ms)
        for target in plan(self._view(conditions, now_ms), self._limits, now_ms):
            self._start_move(target, now_ms)

    def _awaits_first_replies(self) -> bool:
        """Tell whether a configured server has neither replied nor failed a call yet.

        A group that is placed while there is such a server would have all its slices
        on the few servers that replied first.
        """
        return any(
            not self.sessions[name].boot_id and not self.sessions[name].failures
            for name in self._specs
        )

    def _forget_old_moves(self, now_ms: float) -> None:
        oldest_ms = now_ms - self._limits.move_interval_ms
        self._moved_ms = {
            span: moved_ms for span, moved_ms in self._moved_ms.items() if moved_ms > oldest_ms
        }

    def _current_owners(self) -> set[str]:
        if self._owners is None:
            self._owners = {item.server for item in self._state.assignments}
        return self._owners

    def _view(self, conditions: dict[str, Condition], now_ms: float) -> PlacementView:
        assert self._policy is not None
        loads: dict[tuple[str, int], float] = {}
        keys: dict[tuple[str, int], float] = {}
        for report in self._loads.values():
            if now_ms - report.reported_ms > LOAD_REPORT_MAX_AGE_MS:
                continue
            for slice_identity, rate in report.slices.items():
                loads[slice_identity] = loads.get(slice_identity, 0.0) + rate
            for key_identity, rate in report.keys.items():
                keys[key_identity] = keys.get(key_identity, 0.0) + rate
        configuration = self._state.configuration
        return PlacementView(
            policy=self._policy,
            servers=self._specs,
            conditions=conditions,
            assignments=self._state.assignments,
            loads=loads,
            key_loads=keys,
            key_labels={name: configuration.key_labels(name) for name in self._policy.groups},
            moved_ms=self._moved_ms,
            moving=frozenset(self.moves),
        )

    def _start_move(self, target: Target, now_ms: float) -> None:
        owners = {
            item.server for item in self._state.assignments.overlapping(target.range) if item.server
        }
        # With overlapping moves, an owner could lose a range that it was never told to release.
        if len(owners) > 1 or overlaps_any(target.range, self.moves):
            return
        source = next(iter(owners), "")
        source_lost = not source or self.condition(source, now_ms) is Condition.LOST
        if not source_lost:
            started = sum(move.source == source for move in self.moves.values())
            if started >= MAX_MOVES_PER_SERVER:
                return
            session = self.sessions[source]
            session.revokes.add(target.range)
            session.due_ms = now_ms
            drop_pending(session, target.range)
        self.moves[target.range] = Move(target.server, source, target.reason)

    def _ready_assignments(self, now_ms: float) -> wire.AssignmentChange:
        """Return, as assignments, the moves whose old owner no longer executes requests."""
        items = []
        for span, move in self.moves.items():
            if move.proposed or not self._source_released(span, move, now_ms):
                continue
            move.proposed = True
            if self.condition(move.source, now_ms) is Condition.LOST:
                self._forget_grants_of(move.source, span)
            target_up = self.condition(move.target, now_ms) is Condition.UP
            items.append(
                wire.SliceAssignment(
                    group=span.group,
                    first=span.first,
                    last=span.last,
                    server=move.target if target_up else "",
                )
            )
        return wire.AssignmentChange(slices=items)

    def _renew_tokens(self, now_ms: float) -> wire.AssignmentChange:
        """Return all slices once, to be committed again with tokens of the new epoch."""
        change = wire.AssignmentChange()
        if now_ms < self._initial_lease_until_ms or self._renewal_proposed:
            return change
        self._renewal_proposed = True
        change.slices = [
            wire.SliceAssignment(
                group=item.range.group,
                first=item.range.first,
                last=item.range.last,
                server=item.server,
            )
            for item in self._state.assignments
        ]
        self._founding = bool(change.slices)
        return change

    def _end_founding(self) -> None:
        """Resume normal grants; the next call to each server replaces all its grants."""
        self._founding = False
        for session in self.sessions.values():
            session.needs_full = True
            session.full_above_sequence = self._sequence

    def _forget_grants_of(self, server: str, span: SliceRange) -> None:
        """Make the next call replace all grants of a server that loses a slice.

        A server that was frozen still holds its old grants when it resumes; if its
        lease were renewed without replacing them, it would be a second owner. An
        undelivered grant of the slice must not be delivered later either.
        """
        session = self.sessions.get(server)
        if session is not None:
            session.needs_full = True
            # A call in flight may still list the lost slice or renew the lease without
            # replacing grants, so its reply must not clear ``needs_full``.
            session.full_above_sequence = self._sequence
            drop_pending(session, span)

    def _source_released(self, span: SliceRange, move: Move, now_ms: float) -> bool:
        if not move.source or self.condition(move.source, now_ms) is Condition.LOST:
            return True
        return span not in self.sessions[move.source].revokes

    # ---- calls --------------------------------------------------------------

    def _call(self, server: str, session: ServerSession, now_ms: float) -> SyncCall:
        self._sequence += 1
        full = session.needs_full or self._founding
        grants = self._all_grants(server) if full else dict(session.grants)
        request = SyncRequest(
            epoch=self._state.epoch,
            term=self._term,
            sequence=self._sequence,
            boot_id=session.boot_id,
            expires_clock_ms=session.clock_ms + self._timing.lease_ms,
            full=full,
            grants=tuple(Grant(span, token) for span, token in grants.items()),
            revokes=tuple(sorted(session.revokes)),
        )
        session.call = request
        if session.boot_id:
            # The call may extend the lease even when its reply is lost.
            bound = session.clock_read_ms + self._timing.lease_bound_ms
            session.lease_until_ms = max(session.lease_until_ms, bound)
        return SyncCall(server, request, CALL_TIMEOUT_MS)

    def _all_grants(self, server: str) -> dict[SliceRange, int]:
        """Return the grants recorded in the log, without ranges that are being moved away.

        Revokes are sent in the same call and are applied before grants, so a slice
        that a running move splits is sent as its remaining parts.
        """
        if self._founding:
            return {}
        moving = [span for span, move in self.moves.items() if move.source == server]
        grants: dict[SliceRange, int] = {}
        for item in self._state.assignments.owned_by(server):
            for span in subtract(item.range, moving):
                grants[span] = item.token
        return grants

    def _queue_grant(self, server: str, span: SliceRange, token: int, now_ms: float) -> None:
        session = self.sessions.setdefault(
            server, ServerSession(self._initial_lease_until_ms, due_ms=now_ms)
        )
        session.grants[span] = token
        session.due_ms = now_ms

    def _note_new_process(
        self, server: str, session: ServerSession, boot_id: str, now_ms: float
    ) -> None:
        """Handle the first reply of a server process; it holds no grants of this leader.

        A new boot id proves that the previous process and all grants it held are
        gone, so its pending revokes are complete.
        """
        restarted = bool(session.boot_id)
        session.boot_id = boot_id
        session.needs_full = True
        session.due_ms = now_ms
        if restarted:
            session.revokes.clear()

    def _confirm(
        self,
        server: str,
        session: ServerSession,
        request: SyncRequest,
        reply: SyncReply,
        now_ms: float,
    ) -> None:
        if request.full and request.sequence > session.full_above_sequence:
            session.needs_full = False
        for grant in request.grants:
            if session.grants.get(grant.range) == grant.token:
                del session.grants[grant.range]
        busy = set(reply.busy)
        for span in request.revokes:
            if span not in busy:
                session.revokes.discard(span)
        pending = session.grants or session.revokes
        if session.revokes:
            session.due_ms = now_ms + BUSY_POLL_MS
        elif pending:
            session.due_ms = now_ms
        else:
            session.due_ms = now_ms + self._timing.renew_ms
