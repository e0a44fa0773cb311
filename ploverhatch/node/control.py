"""Control task: owns the replica and, while it leads, the ownership decisions.

Other tasks put typed events into its mailbox; it carries the returned actions
out. Calls to back ends run in tasks of their own and report back by event.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent import queue
from gevent.event import AsyncResult

from ploverhatch.backend.interface import BackendClient
from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.common.timing import ControlTiming
from ploverhatch.consensus.replica import (
    Action,
    Applied,
    NotLeaderError,
    Replica,
    Restored,
    RoleChanged,
    Send,
)
from ploverhatch.membership.voters import (
    AddLearner,
    Candidate,
    ChangeVoters,
    VoterView,
    choose_voters,
)
from ploverhatch.node.columns import from_columns
from ploverhatch.node.view import StateView
from ploverhatch.ownership.controller import (
    CallServer,
    NodeLoads,
    OwnershipController,
    ProposeAssignment,
)
from ploverhatch.ownership.messages import SyncReply, SyncRequest
from ploverhatch.state.commands import ASSIGNMENT_KIND, Command, decode_command
from ploverhatch.state.configuration import ServerSpec
from ploverhatch.state.records import ClaimResult
from ploverhatch.transport import wire
from ploverhatch.transport.peers import PeerNetwork

LOG = PartLogger("control")

MAILBOX_EVENTS = 10_000
VOTER_CHECK_MS = 200.0
NODE_FRESH_MS = 3000.0
EXPIRE_CHECK_MS = 10_000.0


@dataclass(frozen=True)
class PeerMessage:
    """A consensus message of another node."""

    sender: str
    message: Any


@dataclass(frozen=True)
class Proposal:
    """Commit a command; the result is set when it is applied."""

    command: Command
    result: AsyncResult = field(default_factory=AsyncResult, compare=False)


@dataclass(frozen=True)
class SyncEnded:
    """A call to a back end ended; ``reply`` is ``None`` when it failed."""

    controller: OwnershipController
    server: str
    request: SyncRequest
    reply: SyncReply | None


@dataclass(frozen=True)
class StatusReceived:
    """A node reported itself."""

    status: wire.NodeStatus


@dataclass(frozen=True)
class MachinesLeaving:
    """Back ends that the platform's machine list shows as leaving."""

    servers: tuple[str, ...]


@dataclass(frozen=True)
class CellRecorded:
    """The platform's cell object names these voters."""

    voter_ids: frozenset[str]


@dataclass(frozen=True)
class FoundCell:
    """This node won an epoch; it is the only voter.

    ``survived``: it voted in the last epoch and keeps that epoch's log.
    """

    membership: wire.MembershipChange
    survived: bool


@dataclass(frozen=True)
class EpochLost:
    """The platform's cell object names a newer epoch than this node's."""


@dataclass(frozen=True)
class StepAside:
    """Hand leadership on, because the node stops."""


class ControlTask:
    """The replica and its surroundings."""

    def __init__(
        self,
        member: wire.Member,
        timing: ControlTiming,
        voters_wanted: int,
        view: StateView,
        network: PeerNetwork,
        open_backend: Callable[[ServerSpec], BackendClient],
    ) -> None:
        self._member = member
        self._timing = timing
        self._voters_wanted = voters_wanted
        self._view = view
        self._network = network
        self._open_backend = open_backend
        self._mailbox: queue.Queue = queue.Queue(MAILBOX_EVENTS)
        self._addresses: dict[str, wire.Member] = {}
        self._proposals: dict[int, tuple[int, Proposal]] = {}
        self._backends: dict[str, tuple[ServerSpec, BackendClient]] = {}
        self._recorded: frozenset[str] = frozenset()
        self._voter_check_ms = 0.0
        self._expire_check_ms = 0.0
        self._configured_generation = -1
        self.leaving = False
        self.replica = Replica(member.node_id, timing)
        self.controller: OwnershipController | None = None
        self.nodes: dict[str, tuple[float, wire.NodeStatus]] = {}
        self._task: gevent.Greenlet | None = None

    # ---- interface for other tasks -------------------------------------------

    def start(self) -> None:
        """Start the task."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop the task at once."""
        if self._task is not None:
            self._task.kill()
        for _, backend in self._backends.values():
            backend.close()

    def post(self, event: Any) -> bool:
        """Put an event into the mailbox; false when it is full."""
        try:
            self._mailbox.put_nowait(event)
        except queue.Full:
            return False
        return True

    @property
    def leads(self) -> bool:
        """Tell whether this node is the cell's leader and may act."""
        return self.replica.is_leader and self.replica.has_lease(elapsed_ms())

    def commit(self, command: Command, timeout_s: float) -> ClaimResult | None:
        """Commit a command and return its result.

        :raises NotLeaderError: this node does not lead.
        :raises TimeoutError: it is unknown whether the command is committed.
        """
        proposal = Proposal(command)
        if not self.post(proposal):
            raise NotLeaderError("")
        try:
            result: ClaimResult | None = proposal.result.get(timeout=timeout_s)
        except gevent.Timeout as error:
            raise TimeoutError from error
        return result

    # ---- loop -----------------------------------------------------------------

    def _run(self) -> None:
        next_tick_ms = elapsed_ms()
        self._carry_out(self.replica.start(next_tick_ms))
        while True:
            wait_s = max(0.0, (next_tick_ms - elapsed_ms()) / 1000)
            try:
                event = self._mailbox.get(timeout=wait_s)
            except queue.Empty:
                event = None
            if event is not None:
                self._handle_batch(event)
            if elapsed_ms() >= next_tick_ms:
                next_tick_ms = elapsed_ms() + self._timing.tick_ms
                self._tick()

    def _handle_batch(self, event: Any) -> None:
        """Handle an event; proposals that wait behind it share one append."""
        proposals: list[Proposal] = []
        while event is not None:
            if isinstance(event, Proposal):
                proposals.append(event)
            else:
                self._handle(event)
            event = None if self._mailbox.empty() else self._mailbox.get_nowait()
        if proposals:
            self._propose(proposals)
        self._drive_ownership(elapsed_ms())

    def _handle(self, event: Any) -> None:
        now_ms = elapsed_ms()
        match event:
            case PeerMessage(sender, message):
                self._carry_out(self.replica.receive(sender, message, now_ms))
            case SyncEnded():
                self._on_sync_ended(event, now_ms)
            case StatusReceived(status):
                self._on_status(status, now_ms)
            case MachinesLeaving(servers):
                if self.controller is not None:
                    self.controller.machines_leaving(servers)
            case CellRecorded(voter_ids):
                self._recorded = voter_ids
            case FoundCell(membership, survived):
                self._on_found_cell(membership, survived, now_ms)
            case EpochLost():
                self._begin_anew()
            case StepAside():
                self._carry_out(self.replica.transfer_leadership(now_ms))

    def _tick(self) -> None:
        now_ms = elapsed_ms()
        self._carry_out(self.replica.tick(now_ms))
        self._drive_ownership(now_ms)
        if not self.replica.is_leader:
            return
        if now_ms >= self._voter_check_ms:
            self._voter_check_ms = now_ms + VOTER_CHECK_MS
            self._look_after_voters(now_ms)
        if now_ms >= self._expire_check_ms:
            self._expire_check_ms = now_ms + EXPIRE_CHECK_MS
            self._expire_records(now_ms)

    # ---- events ---------------------------------------------------------------

    def _propose(self, proposals: list[Proposal]) -> None:
        now_ms = elapsed_ms()
        try:
            indices, actions = self.replica.propose([item.command for item in proposals], now_ms)
        except NotLeaderError as error:
            for proposal in proposals:
                proposal.result.set_exception(error)
            return
        for index, proposal in zip(indices, proposals, strict=True):
            self._proposals[index] = (self.replica.term, proposal)
        self._carry_out(actions)

    def _on_sync_ended(self, event: SyncEnded, now_ms: float) -> None:
        if event.controller is not self.controller:
            return
        if event.reply is None:
            self.controller.failed(event.server, event.request, now_ms)
        else:
            self.controller.replied(event.server, event.request, event.reply, now_ms)

    def _on_status(self, status: wire.NodeStatus, now_ms: float) -> None:
        node_id = status.member.node_id
        self._addresses[node_id] = status.member
        self.nodes[node_id] = (now_ms, status)
        if self.controller is not None:
            loads = NodeLoads(
                reported_ms=now_ms,
                slices=from_columns(status.slices),
                keys=from_columns(status.keys),
            )
            self.controller.report_load(node_id, loads)

    def _on_found_cell(
        self, membership: wire.MembershipChange, survived: bool, now_ms: float
    ) -> None:
        self._recorded = frozenset(item.node_id for item in membership.voters)
        LOG.info("Cell founded.", epoch=membership.epoch, survived=survived)
        if survived:
            self._carry_out(self.replica.refound(membership, now_ms))
            return
        self._begin_anew()
        self._carry_out(self.replica.bootstrap(membership, now_ms))

    def _begin_anew(self) -> None:
        """Leave the old epoch: no vote, no log, no leadership of it remains."""
        self.controller = None
        self._proposals.clear()
        self.replica = Replica(self._member.node_id, self._timing)

    # ---- leadership -----------------------------------------------------------

    def _drive_ownership(self, now_ms: float) -> None:
        if not self.replica.is_leader:
            return
        if self.controller is None:
            if not self.replica.ready():
                return
            self._begin_leadership(now_ms)
        controller = self.controller
        assert controller is not None
        self._configure(controller, now_ms)
        for action in controller.tick(now_ms, self.replica.has_lease(now_ms)):
            match action:
                case CallServer():
                    self._call_server(controller, action)
                case ProposeAssignment(change):
                    self._propose([Proposal(change)])

    def _begin_leadership(self, now_ms: float) -> None:
        LOG.info("Leading.", term=self.replica.term, index=self.replica.state.index)
        self.controller = OwnershipController(
            self._timing, self.replica.term, self.replica.state, now_ms
        )
        self._configured_generation = -1

    def _configure(self, controller: OwnershipController, now_ms: float) -> None:
        generation = self.replica.state.configuration.generation
        if generation != self._configured_generation:
            self._configured_generation = generation
            controller.configure(self._view.policy, self._view.servers, now_ms)

    def _call_server(self, controller: OwnershipController, action: CallServer) -> None:
        gevent.spawn(self._call_server_task, controller, action)

    def _call_server_task(self, controller: OwnershipController, action: CallServer) -> None:
        reply = None
        backend = self._backend(action.server)
        if backend is not None:
            try:
                reply = backend.sync(action.request, action.timeout_ms / 1000)
            except (ConnectionError, ValueError, KeyError):
                reply = None
        self.post(SyncEnded(controller, action.server, action.request, reply))

    def _backend(self, server: str) -> BackendClient | None:
        spec = self._view.servers.get(server)
        known = self._backends.get(server)
        if spec is None:
            return known[1] if known else None
        if known is None or (known[0].host, known[0].port) != (spec.host, spec.port):
            if known is not None:
                known[1].close()
            known = (spec, self._open_backend(spec))
            self._backends[server] = known
        return known[1]

    def _look_after_voters(self, now_ms: float) -> None:
        replica = self.replica
        if not replica.membership_settled() or not replica.ready():
            return
        fresh = {
            node_id: Candidate(status.member, status.leaving)
            for node_id, (heard_ms, status) in self.nodes.items()
            if now_ms - heard_ms < NODE_FRESH_MS
        }
        lost = frozenset(
            node_id
            for node_id in replica.voters
            if node_id != self._member.node_id
            and replica.silent_for_ms(node_id, now_ms) > self._timing.voter_loss_ms
        )
        for node_id in replica.learner_ids:
            if node_id not in fresh:
                replica.drop_learner(node_id)
        view = VoterView(
            leader_id=self._member.node_id,
            wanted=self._voters_wanted,
            voters=replica.voters,
            nodes=fresh,
            lost=lost,
            learners=frozenset(replica.learner_ids),
            caught_up=frozenset(item.node_id for item in replica.caught_up_learners()),
            recorded=self._recorded,
        )
        match choose_voters(view):
            case AddLearner(member):
                self._addresses[member.node_id] = member
                self._carry_out(replica.add_learner(member, now_ms))
            case ChangeVoters(voters):
                LOG.info("Voters change.", voters=",".join(item.node_id for item in voters))
                _, actions = replica.propose_membership(list(voters), now_ms)
                self._carry_out(actions)

    def _expire_records(self, now_ms: float) -> None:
        before_ms = self.replica.state.clock_ms - self._timing.record_retention_ms
        oldest = next(iter(self.replica.state.records.records.values()), None)
        if oldest is not None and oldest.claimed_ms < before_ms:
            self._propose([Proposal(wire.RecordExpire(before_ms=int(before_ms)))])

    # ---- actions --------------------------------------------------------------

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send(recipient, message):
                    self._send(recipient, message)
                case Applied(entry, result):
                    self._on_applied(entry, result)
                case Restored():
                    self._share_state()
                case RoleChanged(leading, term):
                    self._on_role_changed(leading, term)

    def _send(self, recipient: str, message: Any) -> None:
        member = self._find_member(recipient)
        if member is not None:
            self._network.send((member.host, member.port), recipient, message)

    def _find_member(self, node_id: str) -> wire.Member | None:
        """Find a node's address; a new learner knows voters from its view only."""
        known = self.replica.voters.get(node_id) or self._addresses.get(node_id)
        if known is not None:
            return known
        voters = self._view.state.membership.voters
        return next((item for item in voters if item.node_id == node_id), None)

    def _share_state(self) -> bool:
        """Let the view use the replica's state, once it is as new.

        A learner that catches up is behind the view, which must not go back.
        """
        mine, shown = self.replica.state, self._view.state
        if shown is mine:
            return True
        if (mine.epoch, mine.index) < (shown.epoch, shown.index):
            return False
        self._view.adopt(mine)
        return True

    def _on_applied(self, entry: wire.LogEntry, result: ClaimResult | None) -> None:
        if self._share_state():
            self._view.published(entry)
        waiting = self._proposals.pop(entry.index, None)
        if waiting is not None:
            term, proposal = waiting
            if term == entry.term:
                proposal.result.set(result)
            else:
                proposal.result.set_exception(NotLeaderError(self.replica.leader_id))
        if self.controller is not None and entry.kind == ASSIGNMENT_KIND:
            command = decode_command(entry)
            assert isinstance(command, wire.AssignmentChange)
            self.controller.applied(command, entry.index, elapsed_ms())

    def _on_role_changed(self, leading: bool, term: int) -> None:
        self.controller = None
        if leading:
            now_ms = elapsed_ms()
            self._voter_check_ms = now_ms + VOTER_CHECK_MS
            return
        LOG.info("Not leading any more.", term=term)
        # Open proposals may still be committed by the next leader: their
        # callers time out and learn that the result is unknown.
        self._proposals.clear()
