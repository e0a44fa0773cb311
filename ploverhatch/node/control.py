"""Control task: owns the control core and executes its actions.

Other tasks put typed events into its mailbox. Each call to a back end runs in a task of
its own, which reports the result by an event.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import gevent
from gevent import queue
from gevent.event import AsyncResult

from ploverhatch.backend.interface import BackendClient
from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.common.timing import ControlTiming
from ploverhatch.consensus.actions import NotLeaderError, Send
from ploverhatch.consensus.replica import Replica
from ploverhatch.control.core import (
    ControlCore,
    CoreAction,
    EntryApplied,
    LeadershipChanged,
    Proposal,
    ProposalCommitted,
    ProposalRejected,
    SendSyncCall,
    StateReplaced,
    VotersChanged,
)
from ploverhatch.node.columns import from_columns
from ploverhatch.node.view import StateView
from ploverhatch.ownership.controller import OwnershipController
from ploverhatch.ownership.messages import SyncReply, SyncRequest
from ploverhatch.ownership.sessions import NodeLoads
from ploverhatch.state.commands import Command
from ploverhatch.state.configuration import ServerSpec
from ploverhatch.state.records import ClaimResult
from ploverhatch.transport import wire
from ploverhatch.transport.peers import PeerNetwork

LOG = PartLogger("control")

MAILBOX_EVENTS = 10_000


@dataclass(frozen=True)
class PeerMessage:
    """A consensus message of another node."""

    sender: str
    message: Any


@dataclass(frozen=True)
class SyncEnded:
    """A call to a back end ended; ``reply`` is ``None`` when it failed."""

    leadership: OwnershipController
    server: str
    request: SyncRequest
    reply: SyncReply | None


@dataclass(frozen=True)
class StatusReceived:
    """A status report of a node."""

    status: wire.NodeStatus


@dataclass(frozen=True)
class MachinesLeaving:
    """The back ends that the machine list of the platform shows as leaving."""

    servers: tuple[str, ...]


@dataclass(frozen=True)
class CellRecorded:
    """The voters that the cell object of the platform names."""

    voter_ids: frozenset[str]


@dataclass(frozen=True)
class FoundCell:
    """This node won an epoch, of which it is the only voter.

    ``survived`` tells whether it was a voter of the last epoch, whose log it keeps.
    """

    membership: wire.MembershipChange
    survived: bool


@dataclass(frozen=True)
class EpochReplaced:
    """The cell object of the platform names a newer epoch than that of this node."""


@dataclass(frozen=True)
class HandOverLeadership:
    """Request to transfer the leadership, because the node stops."""


class ControlTask:
    """Runs the control core with a mailbox, a clock and sockets."""

    def __init__(
        self,
        member: wire.Member,
        timing: ControlTiming,
        voters_wanted: int,
        view: StateView,
        network: PeerNetwork,
        open_backend: Callable[[ServerSpec], BackendClient],
    ) -> None:
        self._view = view
        self._network = network
        self._open_backend = open_backend
        self._mailbox: queue.Queue = queue.Queue(MAILBOX_EVENTS)
        self._backends: dict[str, tuple[ServerSpec, BackendClient]] = {}
        self._task: gevent.Greenlet | None = None
        self.core = ControlCore(member, timing, voters_wanted)

    # ---- interface for other tasks -------------------------------------------------

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
        """Put an event into the mailbox; return false if it is full."""
        try:
            self._mailbox.put_nowait(event)
        except queue.Full:
            return False
        return True

    @property
    def replica(self) -> Replica:
        """The replica of the log."""
        return self.core.replica

    @property
    def leads(self) -> bool:
        """Whether this node leads the cell and holds the leader lease."""
        return self.replica.is_leader and self.replica.has_lease(elapsed_ms())

    def commit(self, command: Command, timeout_s: float) -> ClaimResult | None:
        """Commit a command and return its result.

        :raises NotLeaderError: this node does not lead.
        :raises TimeoutError: no result came within ``timeout_s``; the command may be committed.
        """
        waiter = AsyncResult()
        if not self.post(Proposal(command, waiter)):
            raise NotLeaderError("")
        try:
            result: ClaimResult | None = waiter.get(timeout=timeout_s)
        except gevent.Timeout as error:
            raise TimeoutError from error
        return result

    # ---- loop ----------------------------------------------------------------------

    def _run(self) -> None:
        next_tick_ms = elapsed_ms()
        self._execute(self.core.start(next_tick_ms))
        while True:
            wait_s = max(0.0, (next_tick_ms - elapsed_ms()) / 1000)
            try:
                event = self._mailbox.get(timeout=wait_s)
            except queue.Empty:
                event = None
            if event is not None:
                self._handle_batch(event)
            if elapsed_ms() >= next_tick_ms:
                next_tick_ms = elapsed_ms() + self.core.next_tick_ms()
                self._execute(self.core.tick(elapsed_ms()))

    def _handle_batch(self, event: Any) -> None:
        """Handle all waiting events; proposals among them are appended together."""
        proposals: list[Proposal] = []
        while event is not None:
            if isinstance(event, Proposal):
                proposals.append(event)
            else:
                self._execute(self._handle(event))
            event = None if self._mailbox.empty() else self._mailbox.get_nowait()
        if proposals:
            self._execute(self.core.propose(proposals, elapsed_ms()))

    def _handle(self, event: Any) -> list[CoreAction]:
        now_ms = elapsed_ms()
        core = self.core
        match event:
            case PeerMessage(sender, message):
                return core.handle_peer_message(sender, message, now_ms)
            case SyncEnded(leadership, server, request, reply):
                return core.handle_sync_result(leadership, server, request, reply, now_ms)
            case StatusReceived(status):
                return core.note_node_status(status, _loads(status, now_ms), now_ms)
            case MachinesLeaving(servers):
                return core.note_machines_leaving(servers)
            case CellRecorded(voter_ids):
                return core.note_recorded_voters(voter_ids)
            case FoundCell(membership, survived):
                LOG.info("Cell founded.", epoch=membership.epoch, survived=survived)
                return core.found_cell(membership, survived, now_ms)
            case EpochReplaced():
                return core.leave_epoch()
            case HandOverLeadership():
                return core.hand_over_leadership(now_ms)
        raise TypeError(f"unknown event {type(event).__name__}")

    # ---- actions -------------------------------------------------------------------

    def _execute(self, actions: list[CoreAction]) -> None:
        for action in actions:
            match action:
                case Send(recipient, message):
                    self._send(recipient, message)
                case SendSyncCall(leadership, call):
                    gevent.spawn(self._call_backend, leadership, call.server, call)
                case EntryApplied(entry):
                    if self._share_state():
                        self._view.note_applied(entry)
                case StateReplaced():
                    self._share_state()
                case ProposalCommitted() | ProposalRejected():
                    _resolve_waiter(action)
                case LeadershipChanged() | VotersChanged():
                    _log_change(action)

    def _send(self, recipient: str, message: Any) -> None:
        member = self._find_member(recipient)
        if member is not None:
            self._network.send((member.host, member.port), recipient, message)

    def _find_member(self, node_id: str) -> wire.Member | None:
        """Return a node's member entry.

        A new learner has no voters in its log yet, so the view is searched as well.
        """
        known = self.replica.voters.get(node_id) or self.core.addresses.get(node_id)
        if known is not None:
            return known
        voters = self._view.state.membership.voters
        return next((item for item in voters if item.node_id == node_id), None)

    def _share_state(self) -> bool:
        """Make the view use the state of the replica, unless that state is older.

        The log of a learner may be behind the view, whose state must never become older.

        :returns: whether the view uses the state of the replica.
        """
        mine, shown = self.replica.state, self._view.state
        if shown is mine:
            return True
        if (mine.epoch, mine.index) < (shown.epoch, shown.index):
            return False
        self._view.adopt(mine)
        return True

    def _call_backend(self, leadership: OwnershipController, server: str, call: Any) -> None:
        reply = None
        backend = self._backend(server)
        if backend is not None:
            try:
                reply = backend.sync(call.request, call.timeout_ms / 1000)
            except (ConnectionError, ValueError, KeyError):
                reply = None
        self.post(SyncEnded(leadership, server, call.request, reply))

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


def _loads(status: wire.NodeStatus, now_ms: float) -> NodeLoads:
    return NodeLoads(now_ms, from_columns(status.slices), from_columns(status.keys))


def _resolve_waiter(action: ProposalCommitted | ProposalRejected) -> None:
    """Pass the result of a proposal to the task that waits for it."""
    waiter = action.proposal.reply_to
    if waiter is None:
        return
    if isinstance(action, ProposalCommitted):
        waiter.set(action.result)
    else:
        waiter.set_exception(NotLeaderError(action.leader_id))


def _log_change(action: LeadershipChanged | VotersChanged) -> None:
    if isinstance(action, VotersChanged):
        LOG.info("Change of the voters proposed.", voters=",".join(action.voters))
    else:
        LOG.info(
            "Node leads the cell." if action.leading else "Node no longer leads the cell.",
            term=action.term,
        )
