"""Regression tests for faults that the simulation found.

The schedule of a simulation seed depends on the list of simulated faults, which grows;
these tests do not depend on it.
"""

from ploverhatch.common.keyspace import MAX_HASH, SliceRange
from ploverhatch.common.timing import ControlTiming
from ploverhatch.consensus.replica import Replica
from ploverhatch.ownership.controller import OwnershipController, ProposeAssignment, SyncCall
from ploverhatch.ownership.messages import SyncReply
from ploverhatch.policy.compiler import compile_policy
from ploverhatch.state.assignment import Slice, make_token
from ploverhatch.state.configuration import ServerSpec
from ploverhatch.state.records import ClaimResult, RecordTable
from ploverhatch.state.replicated import ReplicatedState
from ploverhatch.transport import wire

TIMING = ControlTiming()
WHOLE = SliceRange("g", 0, MAX_HASH)
POLICY = compile_policy("group g { slices 1; draw share 1.0 from servers; }").table


class Leader:
    """A controller with two servers; the test supplies replies and commits."""

    def __init__(self, owner="a", founding=False):
        self.now_ms = 0.0
        self.index = 1
        self.state = ReplicatedState(membership=wire.MembershipChange(epoch=2))
        if owner:
            self.state.assignments.put(Slice(WHOLE, owner, make_token(2, 1)))
        self.controller = OwnershipController(TIMING, 1, self.state, 0.0, founding=founding)
        specs = {name: ServerSpec(name, "h", 1, "z", 4, 10, {}, False) for name in ("a", "b")}
        self.controller.configure(POLICY, specs, 0.0)

    def tick(self, step_ms=1.0):
        """Return the calls by server; proposals are committed immediately."""
        self.now_ms += step_ms
        calls = {}
        for action in self.controller.tick(self.now_ms, True):
            if isinstance(action, SyncCall):
                calls[action.server] = action.request
            elif isinstance(action, ProposeAssignment):
                self.commit(action.change)
        return calls

    def commit(self, change):
        self.index += 1
        for item in change.slices:
            span = SliceRange(item.group, item.first, item.last)
            token = make_token(2, self.index)
            self.state.assignments.put(Slice(span, item.server, token))
        self.controller.note_committed(change, self.index, self.now_ms)

    def answer(self, server, request):
        reply = SyncReply(True, f"boot-{server}", self.now_ms)
        self.controller.handle_reply(server, request, reply, self.now_ms)

    def answer_all(self, step_ms=1.0):
        for server, request in self.tick(step_ms).items():
            self.answer(server, request)

    def lose(self, server):
        """Fail all calls to a server until its slices have other owners."""
        while self.state.assignments.owned_by(server):
            for name, request in self.tick(100.0).items():
                if name == server:
                    self.controller.note_call_failed(name, request, self.now_ms)
                else:
                    self.answer(name, request)


def grants_of(request):
    return [(grant.range, grant.token) for grant in request.grants]


def test_undelivered_grant_does_not_follow_a_lost_slice():
    leader = Leader()
    for _ in range(3):
        leader.answer_all()
    leader.controller.sessions["a"].grants[WHOLE] = make_token(2, 1)  # an undelivered grant
    leader.lose("a")
    for _ in range(8):
        for name, request in leader.tick(100.0).items():
            if name == "a":
                assert grants_of(request) == []
            leader.answer(name, request)


def test_call_on_its_way_does_not_clear_the_need_to_replace_grants():
    leader = Leader()
    for _ in range(3):
        leader.answer_all()
    session = leader.controller.sessions["a"]
    pending = None
    while pending is None:
        pending = leader.tick(50.0).get("a")
    assert not pending.full
    leader.controller._forget_grants_of("a", WHOLE)
    leader.answer("a", pending)
    assert session.needs_full


def test_founding_leader_grants_nothing_until_every_lease_has_lapsed():
    leader = Leader(founding=True)
    while leader.now_ms < TIMING.lease_bound_ms - 60:
        for name, request in leader.tick(50.0).items():
            assert grants_of(request) == []
            leader.answer(name, request)
    for _ in range(6):
        for name, request in leader.tick(50.0).items():
            assert all(token > make_token(2, 1) for _, token in grants_of(request))
            leader.answer(name, request)
    assert leader.state.assignments.find("g", 5).token > make_token(2, 1)


def test_message_of_a_replaced_epoch_is_dropped():
    members = [wire.Member(node_id=name, zone=name) for name in ("a", "b", "c")]
    state = ReplicatedState(membership=wire.MembershipChange(epoch=2, voters=members))
    replica = Replica("a", TIMING, state)
    old = wire.VoteRequest(term=9, epoch=1, last_index=99, last_term=9)
    assert replica.receive("b", old, 0.0) == []
    assert replica.term == 0


def test_newer_epoch_takes_log_and_vote_of_the_old_one():
    members = [wire.Member(node_id=name, zone=name) for name in ("a", "b", "c")]
    state = ReplicatedState(
        index=7, term=3, membership=wire.MembershipChange(epoch=1, voters=members)
    )
    replica = Replica("a", TIMING, state)
    replica.receive("z", wire.AppendRequest(term=1, epoch=2), 0.0)
    assert (replica.epoch, replica.log.last_index, replica.is_voter) == (2, 0, False)


def test_claims_are_refused_while_an_earlier_run_may_be_forgotten():
    table = RecordTable(refuse_until_ms=1000)
    claim = wire.RecordClaim(record_id="r", claim_id="c")
    assert table.claim(claim, 999) is ClaimResult.LOST
    assert table.claim(claim, 1000) is ClaimResult.CLAIMED
