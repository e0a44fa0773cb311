"""Core of the control task: it receives events and returns actions.

The core combines the replica, the ownership decisions while the replica leads, and the
choice of voters. The control task of a node and the simulation run the same class. This
module does no I/O and reads no clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from ploverhatch.common.timing import ControlTiming
from ploverhatch.consensus.actions import (
    Action,
    Applied,
    NotLeaderError,
    Restored,
    RoleChanged,
    Send,
)
from ploverhatch.consensus.replica import Replica
from ploverhatch.control.compiled import CompiledConfiguration
from ploverhatch.membership.voters import (
    AddLearner,
    Candidate,
    ChangeVoters,
    VoterView,
    choose_voters,
)
from ploverhatch.ownership.controller import (
    OwnershipController,
    ProposeAssignment,
    SyncCall,
)
from ploverhatch.ownership.messages import SyncReply, SyncRequest
from ploverhatch.ownership.placement import PlacementLimits
from ploverhatch.ownership.sessions import NodeLoads
from ploverhatch.state.commands import ASSIGNMENT_KIND, RECORD_KINDS, Command, decode_command
from ploverhatch.state.records import ClaimResult
from ploverhatch.transport import wire

VOTER_CHECK_MS = 200.0
NODE_STATUS_MAX_AGE_MS = 3000.0
EXPIRE_CHECK_MS = 10_000.0
FIRST_EPOCH = 1
VOTER_TICK_MULTIPLE = 3  # tick interval of a voter, as a multiple of the leader's
OBSERVER_TICK_MULTIPLE = 10  # tick interval of other nodes, as a multiple of the leader's


@dataclass(frozen=True)
class Proposal:
    """A command to commit.

    ``reply_to`` is returned unchanged with the result, so that the caller can find the
    task that waits for it.
    """

    command: Command
    reply_to: Any = field(default=None, compare=False)


@dataclass(frozen=True)
class SendSyncCall:
    """Action: send a sync call; pass the result to ``handle_sync_result``."""

    leadership: OwnershipController
    call: SyncCall


@dataclass(frozen=True)
class ProposalCommitted:
    """Action: a proposal was committed and applied."""

    proposal: Proposal
    result: ClaimResult | None


@dataclass(frozen=True)
class ProposalRejected:
    """Action: a proposal was not accepted, or another entry took its index."""

    proposal: Proposal
    leader_id: str


@dataclass(frozen=True)
class EntryApplied:
    """Action: an entry was applied to ``replica.state``."""

    entry: wire.LogEntry


@dataclass(frozen=True)
class StateReplaced:
    """Action: ``replica.state`` was replaced by another object."""


@dataclass(frozen=True)
class LeadershipChanged:
    """Action: this node began or stopped leading in ``term``."""

    leading: bool
    term: int


@dataclass(frozen=True)
class VotersChanged:
    """Action: a change of the voters was proposed."""

    voters: tuple[str, ...]


CoreAction = (
    Send
    | SendSyncCall
    | ProposalCommitted
    | ProposalRejected
    | EntryApplied
    | StateReplaced
    | LeadershipChanged
    | VotersChanged
)


class ControlCore:
    """Makes the control decisions of one node. Times are elapsed milliseconds."""

    def __init__(
        self,
        member: wire.Member,
        timing: ControlTiming,
        voters_wanted: int,
        limits: PlacementLimits | None = None,
    ) -> None:
        self._member = member
        self._timing = timing
        self._voters_wanted = voters_wanted
        self._limits = limits
        self._proposals: dict[int, tuple[int, Proposal]] = {}
        self._recorded: frozenset[str] = frozenset()
        self._voter_check_ms = 0.0
        self._expire_check_ms = 0.0
        self._founding_term = 0
        self._configured: tuple[OwnershipController, int] | None = None
        self._compiled = CompiledConfiguration()
        self._actions: list[CoreAction] = []
        self.replica = Replica(member.node_id, timing)
        self.controller: OwnershipController | None = None
        self.nodes: dict[str, tuple[float, wire.NodeStatus]] = {}
        self.addresses: dict[str, wire.Member] = {}

    # ---- events -----------------------------------------------------------------

    def start(self, now_ms: float) -> list[CoreAction]:
        """Start the replica."""
        self._handle_replica_actions(self.replica.start(now_ms), now_ms)
        return self._pop_actions()

    def handle_peer_message(self, sender: str, message: Any, now_ms: float) -> list[CoreAction]:
        """Handle a consensus message of another node."""
        self._handle_replica_actions(self.replica.receive(sender, message, now_ms), now_ms)
        if self.controller is None or self._concerns_ownership():
            self._drive_ownership(now_ms)
        return self._pop_actions()

    def propose(self, proposals: list[Proposal], now_ms: float) -> list[CoreAction]:
        """Append commands to the log together.

        Each proposal is answered by ``ProposalCommitted`` or ``ProposalRejected``, or not
        at all when this node loses the leadership meanwhile.
        """
        self._propose(proposals, now_ms)
        return self._pop_actions()

    def handle_sync_result(
        self,
        leadership: OwnershipController,
        server: str,
        request: SyncRequest,
        reply: SyncReply | None,
        now_ms: float,
    ) -> list[CoreAction]:
        """Handle the result of a call to a back end; ``reply`` is ``None`` if it failed."""
        if leadership is not self.controller:
            return []
        if reply is None:
            leadership.note_call_failed(server, request, now_ms)
        else:
            leadership.handle_reply(server, request, reply, now_ms)
        if leadership.sessions[server].due_ms <= now_ms:
            self._drive_ownership(now_ms)
        return self._pop_actions()

    def note_node_status(
        self, status: wire.NodeStatus, loads: NodeLoads, now_ms: float
    ) -> list[CoreAction]:
        """Store the status report and the loads of a node."""
        node_id = status.member.node_id
        self.addresses[node_id] = status.member
        self.nodes[node_id] = (now_ms, status)
        self._forget_old_nodes(now_ms)
        if self.controller is not None:
            self.controller.note_load(node_id, loads)
        return []

    def note_machines_leaving(self, servers: Iterable[str]) -> list[CoreAction]:
        """Note which back ends the machine list of the platform shows as leaving."""
        if self.controller is not None:
            self.controller.note_machines_leaving(servers)
        return []

    def note_recorded_voters(self, voter_ids: frozenset[str]) -> list[CoreAction]:
        """Note which voters the cell object of the platform names."""
        self._recorded = voter_ids
        return []

    def found_cell(
        self, membership: wire.MembershipChange, survived: bool, now_ms: float
    ) -> list[CoreAction]:
        """Found the epoch that this node won by compare-and-set on the platform.

        :param survived: whether this node was a voter of the last epoch, whose log it keeps.
        """
        self._recorded = frozenset(item.node_id for item in membership.voters)
        if membership.epoch > FIRST_EPOCH:
            membership.refuse_claims_ms = int(self._timing.repeat_window_ms)
        if survived:
            actions = self.replica.found_next_epoch(membership, now_ms)
        else:
            self._reset_replica()
            actions = self.replica.bootstrap(membership, now_ms)
        if membership.epoch > FIRST_EPOCH:
            self._founding_term = self.replica.term
        self._handle_replica_actions(actions, now_ms)
        return self._pop_actions()

    def leave_epoch(self) -> list[CoreAction]:
        """Leave an epoch that a newer one has replaced."""
        self._reset_replica()
        return self._pop_actions()

    def hand_over_leadership(self, now_ms: float) -> list[CoreAction]:
        """Transfer the leadership to another voter, because this node stops."""
        self._handle_replica_actions(self.replica.transfer_leadership(now_ms), now_ms)
        return self._pop_actions()

    def tick(self, now_ms: float) -> list[CoreAction]:
        """Run everything that is due at ``now_ms``."""
        self._handle_replica_actions(self.replica.tick(now_ms), now_ms)
        self._drive_ownership(now_ms)
        if self.replica.is_leader:
            self._maintain_cell(now_ms)
        return self._pop_actions()

    def next_tick_ms(self) -> float:
        """Return the milliseconds until the next tick, which depend on the role of this node."""
        if self.replica.is_leader:
            return self._timing.tick_ms
        if self.replica.is_voter:
            return self._timing.tick_ms * VOTER_TICK_MULTIPLE
        return self._timing.tick_ms * OBSERVER_TICK_MULTIPLE

    def _concerns_ownership(self) -> bool:
        """Tell whether entries other than record entries were just applied."""
        return any(
            isinstance(action, EntryApplied) and action.entry.kind not in RECORD_KINDS
            for action in self._actions
        )

    # ---- proposals ----------------------------------------------------------------

    def _propose(self, proposals: list[Proposal], now_ms: float) -> None:
        try:
            indices, actions = self.replica.propose([item.command for item in proposals], now_ms)
        except NotLeaderError as error:
            self._actions += [ProposalRejected(proposal, error.leader_id) for proposal in proposals]
            return
        for index, proposal in zip(indices, proposals, strict=True):
            self._proposals[index] = (self.replica.term, proposal)
        self._handle_replica_actions(actions, now_ms)

    def _resolve_proposal(self, entry: wire.LogEntry, result: ClaimResult | None) -> None:
        waiting = self._proposals.pop(entry.index, None)
        if waiting is None:
            return
        term, proposal = waiting
        if term == entry.term:
            self._actions.append(ProposalCommitted(proposal, result))
        else:
            self._actions.append(ProposalRejected(proposal, self.replica.leader_id))

    # ---- leadership ---------------------------------------------------------------

    def _drive_ownership(self, now_ms: float) -> None:
        if not self.replica.is_leader:
            return
        if self.controller is None:
            if not self.replica.ready():
                return
            self.controller = OwnershipController(
                self._timing,
                self.replica.term,
                self.replica.state,
                now_ms,
                self._limits,
                founding=self._founding_term == self.replica.term,
            )
        controller = self.controller
        self._configure(controller, now_ms)
        for action in controller.tick(now_ms, self.replica.has_lease(now_ms)):
            match action:
                case SyncCall():
                    self._actions.append(SendSyncCall(controller, action))
                case ProposeAssignment(change):
                    self._propose([Proposal(change)], now_ms)

    def _configure(self, controller: OwnershipController, now_ms: float) -> None:
        configuration = self.replica.state.configuration
        wanted = (controller, configuration.generation)
        if self._configured == wanted:
            return
        self._configured = wanted
        self._compiled.refresh(configuration)
        controller.configure(self._compiled.policy, self._compiled.servers, now_ms)

    def _maintain_cell(self, now_ms: float) -> None:
        if now_ms >= self._voter_check_ms:
            self._voter_check_ms = now_ms + VOTER_CHECK_MS
            self._maintain_voters(now_ms)
        if now_ms >= self._expire_check_ms:
            self._expire_check_ms = now_ms + EXPIRE_CHECK_MS
            self._expire_records(now_ms)

    def _maintain_voters(self, now_ms: float) -> None:
        replica = self.replica
        if not replica.membership_settled() or not replica.ready():
            return
        fresh = self._reporting_nodes(now_ms)
        for node_id in replica.learner_ids:
            if node_id not in fresh:
                replica.drop_learner(node_id)
        match choose_voters(self._voter_view(fresh, now_ms)):
            case AddLearner(member):
                self.addresses[member.node_id] = member
                self._handle_replica_actions(replica.add_learner(member, now_ms), now_ms)
            case ChangeVoters(voters):
                self._actions.append(VotersChanged(tuple(item.node_id for item in voters)))
                _, actions = replica.propose_membership(list(voters), now_ms)
                self._handle_replica_actions(actions, now_ms)

    def _voter_view(self, fresh: dict[str, Candidate], now_ms: float) -> VoterView:
        replica = self.replica
        lost = frozenset(
            node_id
            for node_id in replica.voters
            if node_id != self._member.node_id
            and replica.since_reply_ms(node_id, now_ms) > self._timing.voter_loss_ms
        )
        return VoterView(
            leader_id=self._member.node_id,
            wanted=self._voters_wanted,
            voters=replica.voters,
            nodes=fresh,
            lost=lost,
            learners=frozenset(replica.learner_ids),
            caught_up=frozenset(item.node_id for item in replica.caught_up_learners()),
            recorded=self._recorded,
        )

    def _reporting_nodes(self, now_ms: float) -> dict[str, Candidate]:
        return {
            node_id: Candidate(status.member, status.leaving)
            for node_id, (reported_ms, status) in self.nodes.items()
            if now_ms - reported_ms < NODE_STATUS_MAX_AGE_MS
        }

    def _forget_old_nodes(self, now_ms: float) -> None:
        old = [
            node_id
            for node_id, (reported_ms, _) in self.nodes.items()
            if now_ms - reported_ms > 2 * NODE_STATUS_MAX_AGE_MS
        ]
        for node_id in old:
            del self.nodes[node_id]
            if node_id not in self.replica.voters:
                self.addresses.pop(node_id, None)

    def _expire_records(self, now_ms: float) -> None:
        state = self.replica.state
        before_ms = state.clock_ms - self._timing.record_retention_ms
        oldest = next(iter(state.records.records.values()), None)
        if oldest is not None and oldest.claimed_ms < before_ms:
            self._propose([Proposal(wire.RecordExpire(before_ms=int(before_ms)))], now_ms)

    # ---- actions of the replica -----------------------------------------------------

    def _handle_replica_actions(self, actions: list[Action], now_ms: float) -> None:
        for action in actions:
            match action:
                case Send():
                    self._actions.append(action)
                case Applied(entry, result):
                    self._on_applied(entry, result, now_ms)
                case Restored():
                    self._actions.append(StateReplaced())
                case RoleChanged(leading, term):
                    self._on_role_changed(leading, term, now_ms)

    def _on_applied(self, entry: wire.LogEntry, result: ClaimResult | None, now_ms: float) -> None:
        self._actions.append(EntryApplied(entry))
        self._resolve_proposal(entry, result)
        if self.controller is not None and entry.kind == ASSIGNMENT_KIND:
            command = decode_command(entry)
            assert isinstance(command, wire.AssignmentChange)
            self.controller.note_committed(command, entry.index, now_ms)

    def _on_role_changed(self, leading: bool, term: int, now_ms: float) -> None:
        self.controller = None
        self._actions.append(LeadershipChanged(leading, term))
        if leading:
            self._voter_check_ms = now_ms + VOTER_CHECK_MS
            return
        # The next leader may still commit open proposals, so they get no result: the tasks
        # that wait for them time out and report the result as unknown.
        self._proposals.clear()

    def _reset_replica(self) -> None:
        """Discard the vote, the log and the leadership of the old epoch."""
        self.controller = None
        self._proposals.clear()
        self.replica = Replica(self._member.node_id, self._timing)

    def _pop_actions(self) -> list[CoreAction]:
        actions, self._actions = self._actions, []
        return actions
