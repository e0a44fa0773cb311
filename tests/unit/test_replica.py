"""Tests of consensus by a hypothesis state machine with reordering, loss and pauses."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from ploverhatch.common.timing import ControlTiming
from ploverhatch.consensus.actions import Applied, NotLeaderError, Send
from ploverhatch.consensus.replica import Replica
from ploverhatch.transport import wire

TIMING = ControlTiming()
VOTERS = 3
MAX_IN_FLIGHT = 60


class ConsensusMachine(RuleBasedStateMachine):
    """Three voters whose messages are delivered in any order, more than once or never."""

    @initialize()
    def start(self):
        members = [wire.Member(node_id=f"r{n}", zone=f"z{n}") for n in range(VOTERS)]
        self.now_ms = {member.node_id: 0.0 for member in members}
        self.replicas = {}
        self.in_flight = []
        self.committed = {}
        self.leaders = {}
        self.acknowledged = {}
        for member in members:
            replica = Replica(member.node_id, TIMING)
            membership = wire.MembershipChange(epoch=1, voters=members)
            replica.state.membership = membership
            replica._reset(replica.state)
            self.replicas[member.node_id] = replica
            self.handle(member.node_id, replica.start(0.0))

    def handle(self, node_id, actions):
        for action in actions:
            if isinstance(action, Send) and len(self.in_flight) < MAX_IN_FLIGHT:
                self.in_flight.append((node_id, action.recipient, action.message))
            elif isinstance(action, Applied):
                self.note_committed(action.entry)
        replica = self.replicas[node_id]
        if replica.is_leader:
            known = self.leaders.setdefault(replica.term, node_id)
            assert known == node_id, "two leaders in one term"

    def note_committed(self, entry):
        value = (entry.term, entry.kind, entry.payload)
        assert self.committed.setdefault(entry.index, value) == value, "committed entries differ"

    @rule(pick=st.integers(0, MAX_IN_FLIGHT), twice=st.booleans())
    def deliver(self, pick, twice):
        if not self.in_flight:
            return
        sender, recipient, message = self.in_flight[pick % len(self.in_flight)]
        if not twice:
            del self.in_flight[pick % len(self.in_flight)]
        replica = self.replicas[recipient]
        self.handle(recipient, replica.receive(sender, message, self.now_ms[recipient]))

    @rule(count=st.integers(1, 12))
    def deliver_in_order(self, count):
        for _ in range(count):
            self.deliver(0, False)

    @rule()
    def lose_all(self):
        self.in_flight.clear()

    @rule(node=st.integers(0, VOTERS - 1), step_ms=st.sampled_from([20, 120, 600, 1100]))
    def let_time_pass(self, node, step_ms):
        node_id = f"r{node}"
        self.now_ms[node_id] += step_ms
        self.handle(node_id, self.replicas[node_id].tick(self.now_ms[node_id]))

    @rule(node=st.integers(0, VOTERS - 1), number=st.integers(0, 99))
    def propose(self, node, number):
        node_id = f"r{node}"
        command = wire.RecordClaim(record_id=f"c{number}", claim_id="x")
        try:
            _, actions = self.replicas[node_id].propose([command], self.now_ms[node_id])
        except NotLeaderError:
            return
        self.handle(node_id, actions)

    @rule(node=st.integers(0, VOTERS - 1))
    def hand_over(self, node):
        node_id = f"r{node}"
        self.handle(node_id, self.replicas[node_id].transfer_leadership(self.now_ms[node_id]))

    @invariant()
    def committed_entries_are_on_a_majority(self):
        for index, (term, _, _) in getattr(self, "committed", {}).items():
            holders = sum(
                replica.log.base_index >= index or replica.log.term_at(index) == term
                for replica in self.replicas.values()
            )
            assert holders >= 2, "a committed entry is on no majority"


ConsensusMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=80, derandomize=True, database=None, deadline=None
)
TestConsensus = ConsensusMachine.TestCase
