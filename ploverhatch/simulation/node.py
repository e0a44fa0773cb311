"""A simulated node: the control core in virtual time, with the periodic tasks of a node."""

from typing import TYPE_CHECKING, Any

from ploverhatch.common.timing import ControlTiming
from ploverhatch.consensus.actions import Send
from ploverhatch.control.core import (
    ControlCore,
    CoreAction,
    EntryApplied,
    LeadershipChanged,
    Proposal,
    ProposalCommitted,
    ProposalRejected,
    SendSyncCall,
)
from ploverhatch.membership.recovery import CellRecord, Evidence, RecoveryWatch
from ploverhatch.ownership.messages import SyncReply
from ploverhatch.ownership.placement import PlacementLimits
from ploverhatch.ownership.sessions import NodeLoads
from ploverhatch.simulation.world import Process, World
from ploverhatch.state.commands import CONFIGURATION_KIND
from ploverhatch.state.records import ClaimResult
from ploverhatch.transport import wire

if TYPE_CHECKING:
    from ploverhatch.simulation.cluster import Cluster

TICK_MS = 25.0
STATUS_MS = 500.0
PLATFORM_MS = 200.0
LEADERLESS_MS = 3000.0


class SimulatedNode(Process):
    """One incarnation of a node process."""

    def __init__(
        self,
        world: World,
        name: str,
        zone: str,
        incarnation: int,
        cluster: "Cluster",
        timing: ControlTiming,
        limits: PlacementLimits,
        rate_error: float,
    ) -> None:
        super().__init__(world, zone, rate_error)
        self.name = name
        self.node_id = f"{name}/{incarnation}"
        self.cluster = cluster
        self.member = wire.Member(node_id=self.node_id, zone=zone, host=name, port=1)
        self.core = ControlCore(self.member, timing, 3, limits)
        self._watch: RecoveryWatch | None = None
        self._leader_known_ms = self.clock.read()
        self.act(self.core.start(self.clock.read()))
        self.later(world.random.random() * TICK_MS, self._tick)
        self.later(world.random.random() * STATUS_MS, self._report)
        self.later(world.random.random() * PLATFORM_MS, self._poll_platform)

    # ---- periodic work ---------------------------------------------------------------

    def _tick(self) -> None:
        self.later(TICK_MS, self._tick)
        self.act(self.core.tick(self.clock.read()))
        if self.core.replica.leader_id:
            self._leader_known_ms = self.clock.read()

    def _report(self) -> None:
        self.later(STATUS_MS, self._report)
        status = wire.NodeStatus(member=self.member, applied_index=self.core.replica.state.index)
        for node in self.cluster.nodes.values():
            self._transmit(node, lambda node=node: node.handle_status(status))

    def handle_status(self, status: wire.NodeStatus) -> None:
        """Handle a status report of a node."""
        now_ms = self.clock.read()
        self.core.note_node_status(status, NodeLoads(now_ms, {}, {}), now_ms)

    def _poll_platform(self) -> None:
        self.later(PLATFORM_MS, self._poll_platform)
        if not self.cluster.platform_reachable(self.zone):
            return
        if self.leads():
            self._propose_configuration()
            self._record_voters()
        else:
            self._consider_founding()

    def leads(self) -> bool:
        """Return whether this node leads and may act as the leader."""
        return self.core.replica.has_lease(self.clock.read())

    def _propose_configuration(self) -> None:
        platform = self.cluster.platform
        if platform.generation > self.core.replica.state.configuration.generation:
            change = wire.ConfigurationChange(
                generation=platform.generation, objects=platform.objects(), replace=True
            )
            self.act(self.core.propose([Proposal(change)], self.clock.read()))

    def _record_voters(self) -> None:
        platform, membership = self.cluster.platform, self.core.replica.state.membership
        if platform.epoch > membership.epoch:
            self.act(self.core.leave_epoch())
            return
        voter_ids = tuple(item.node_id for item in membership.voters)
        if platform.record_voters(membership.epoch, voter_ids):
            self.core.note_recorded_voters(frozenset(voter_ids))

    # ---- start of an epoch ---------------------------------------------------------------

    def _consider_founding(self) -> None:
        now_ms = self.clock.read()
        platform = self.cluster.platform
        record = CellRecord(platform.cell_version, platform.epoch, platform.voter_ids)
        if self._watch is None or self._watch.record != record:
            self._watch = RecoveryWatch(self.node_id, record)
        if now_ms - self._leader_known_ms < LEADERLESS_MS and record.version:
            return
        known = tuple(self.core.replica.voters)
        evidence = {
            voter: self._evidence(voter)
            for voter in dict.fromkeys((*record.voter_ids, *known))
            if voter != self.node_id
        }
        if self._watch.observe(evidence, known, now_ms) and platform.found_epoch(
            record.version, self.node_id
        ):
            survived = self.node_id in record.voter_ids
            membership = wire.MembershipChange(epoch=record.epoch + 1, voters=[self.member])
            self.act(self.core.found_cell(membership, survived, now_ms))

    def _evidence(self, node_id: str) -> Evidence:
        current = self.cluster.nodes.get(node_id.split("/", maxsplit=1)[0])
        blocked = self.world.faults.blocked_links
        if current is None:
            return Evidence.REFUSED
        if (self.zone, current.zone) in blocked or (current.zone, self.zone) in blocked:
            return Evidence.SILENT
        if current.node_id == node_id:
            return Evidence.SILENT if current.frozen else self._compare_logs(current)
        return Evidence.REPLACED

    def _compare_logs(self, other: "SimulatedNode") -> Evidence:
        mine, theirs = self.core.replica.log, other.core.replica.log
        ahead = (theirs.last_term, theirs.last_index) > (mine.last_term, mine.last_index)
        if ahead:
            return Evidence.ALIVE_AHEAD
        same = set(self.core.replica.voters) == set(other.core.replica.voters)
        return Evidence.ALIVE_SAME if same else Evidence.ALIVE

    # ---- messages and actions ----------------------------------------------------------

    def handle_message(self, sender: str, message: Any) -> None:
        """Handle a consensus message."""
        self.act(self.core.handle_peer_message(sender, message, self.clock.read()))

    def submit(self, proposal: Proposal) -> None:
        """Propose a command of a router."""
        self.act(self.core.propose([proposal], self.clock.read()))

    def act(self, actions: list[CoreAction]) -> None:
        """Execute the actions of the core."""
        for action in actions:
            match action:
                case Send(recipient, message):
                    self._send(recipient, message)
                case SendSyncCall():
                    self._call_backend(action)
                case EntryApplied(entry):
                    self._published(entry)
                case ProposalCommitted(proposal, result):
                    _answer(proposal, result)
                case ProposalRejected(proposal, _):
                    _answer(proposal, None)
                case LeadershipChanged(True, term):
                    epoch = self.core.replica.state.epoch
                    self.cluster.checker.leading(self.node_id, epoch, term, self.world.now_ms)

    def _published(self, entry: wire.LogEntry) -> None:
        state = self.core.replica.state
        checker, now_ms = self.cluster.checker, self.world.now_ms
        checker.committed(self.node_id, state.epoch, entry, now_ms)
        if entry.kind == CONFIGURATION_KIND:
            checker.configured(self.node_id, state.configuration.generation, now_ms)

    def _transmit(self, target: Process, task: Any) -> None:
        self.world.transmit(self.zone, target.zone, lambda: target.do(task))

    def _send(self, recipient: str, message: Any) -> None:
        target = self.cluster.nodes.get(recipient.split("/", maxsplit=1)[0])
        if target is not None and target.node_id == recipient:
            self._transmit(target, lambda: target.handle_message(self.node_id, message))

    def _call_backend(self, action: SendSyncCall) -> None:
        call, pending = action.call, [True]

        def end(reply: SyncReply | None) -> None:
            if pending:
                pending.clear()
                actions = self.core.handle_sync_result(
                    action.leadership, call.server, call.request, reply, self.clock.read()
                )
                self.act(actions)

        server = self.cluster.servers.get(call.server)
        if server is not None:

            def answer(reply: SyncReply) -> None:
                self.world.transmit(server.zone, self.zone, lambda: self.do(lambda: end(reply)))

            self._transmit(server, lambda: server.sync(call.request, answer))
        self.later(call.timeout_ms, lambda: end(None))


def _answer(proposal: Proposal, result: ClaimResult | None) -> None:
    if proposal.reply_to is not None:
        proposal.reply_to(result)
