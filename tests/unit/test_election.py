"""The leader's lease: at most one node may begin moves, whichever answers get lost."""

from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from ploverhatch.leadership import election
from ploverhatch.leadership.election import (
    AUTHORITY_MS,
    TAKEOVER_MS,
    ElectionState,
    LeaseObject,
)

NAMES = ("a", "b", "c")


class ElectionMachine(RuleBasedStateMachine):
    """Nodes that write the lease to a store by compare-and-set; its answers may be lost."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.stored = LeaseObject()
        self.states = {name: ElectionState(name, "1") for name in NAMES}

    def _write(self, name, revision):
        if revision != self.stored.revision:
            return False
        lease = election.lease_to_write(self.states[name], "", self.now_ms)
        self.stored = replace(lease, revision=revision + 1)
        return True

    @rule(pause_ms=st.integers(1, 4000))
    def wait(self, pause_ms):
        self.now_ms += pause_ms

    @rule(name=st.sampled_from(NAMES))
    def read_lease(self, name):
        self.states[name] = election.observe(self.states[name], self.stored, self.now_ms)

    @rule(name=st.sampled_from(NAMES), lost=st.booleans(), took_ms=st.integers(0, 1500))
    def claim(self, name, lost, took_ms):
        state = election.observe(self.states[name], self.stored, self.now_ms)
        self.states[name] = state
        if not election.may_claim(state, self.now_ms):
            return
        if self._write(name, state.seen.revision) and not lost:
            self._acquired(name, took_ms)

    @rule(name=st.sampled_from(NAMES), lost=st.booleans(), took_ms=st.integers(0, 1500))
    def renew(self, name, lost, took_ms):
        state = self.states[name]
        if not state.leading:
            return
        if self._write(name, state.seen.revision):
            if not lost:
                self._acquired(name, took_ms)
        else:
            state = election.observe(state, self.stored, self.now_ms)
            self.states[name] = election.stepped_down(state)

    def _acquired(self, name, took_ms):
        sent_ms = self.now_ms
        self.now_ms += took_ms
        self.states[name] = election.acquired(self.states[name], self.stored, sent_ms)

    @rule(name=st.sampled_from(NAMES))
    def resign(self, name):
        state = self.states[name]
        if state.leading and state.seen.revision == self.stored.revision:
            lease = election.lease_to_write(state, "", self.now_ms, released=True)
            self.stored = replace(lease, revision=self.stored.revision + 1)
        self.states[name] = election.stepped_down(state)

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        incarnation = str(int(self.states[name].incarnation) + 1)
        self.states[name] = ElectionState(name, incarnation)

    @invariant()
    def one_at_most_may_change(self):
        able = [n for n, state in self.states.items() if election.may_change(state, self.now_ms)]
        assert len(able) <= 1, able

    @invariant()
    def a_leader_knows_how_long_its_predecessor_may_act(self):
        leaders = [n for n, s in self.states.items() if election.may_change(s, self.now_ms)]
        for name in leaders:
            for other, state in self.states.items():
                if other == name or not election.has_authority(state, self.now_ms):
                    continue
                ends_ms = state.renewed_ms + AUTHORITY_MS
                assert ends_ms <= self.states[name].inherited_until_ms + 1e-6


TestElection = ElectionMachine.TestCase
TestElection.settings = settings(max_examples=300, stateful_step_count=40, deadline=None)


def test_a_leader_that_stops_renewing_is_replaced_and_an_active_one_is_not():
    state = ElectionState("a", "1")
    state = election.observe(state, LeaseObject(5, "b", "1"), 1000.0)
    assert not election.may_claim(state, 1000.0 + TAKEOVER_MS - 1)
    assert election.may_claim(state, 1000.0 + TAKEOVER_MS)
    state = election.observe(state, LeaseObject(6, "b", "1"), 2000.0)
    assert not election.may_claim(state, 1000.0 + TAKEOVER_MS)


def test_a_stale_read_changes_nothing():
    state = election.observe(ElectionState("a", "1"), LeaseObject(6, "b", "1"), 2000.0)
    assert election.observe(state, LeaseObject(5, "c", "1"), 3000.0) == state


def test_a_released_lease_and_one_of_an_earlier_incarnation_are_free():
    released = election.observe(
        ElectionState("a", "2"), LeaseObject(6, "b", "1", released=True), 0.0
    )
    own = election.observe(ElectionState("a", "2"), LeaseObject(6, "a", "1"), 0.0)
    for state in (released, own):
        assert election.may_claim(state, 1.0)
        assert election.earlier_authority_ms(state, 1.0) == 0.0


def test_authority_counts_from_when_the_renewal_was_sent():
    state = election.acquired(ElectionState("a", "1"), LeaseObject(1, "a", "1"), 500.0)
    assert election.has_authority(state, 500.0 + AUTHORITY_MS - 1)
    assert not election.has_authority(state, 500.0 + AUTHORITY_MS)
    assert not election.may_change(state, 500.0 + TAKEOVER_MS)
    lost = election.observe(state, LeaseObject(2, "b", "1"), 600.0)
    assert not election.has_authority(lost, 601.0)
    assert not election.has_authority(replace(state, leading=False), 501.0)


def test_a_leader_whose_beacons_arrive_keeps_its_lease():
    state = election.observe(ElectionState("n2", "l2"), LeaseObject(5, "n1", "l1", "a"), 0.0)
    renewed = election.observe_renewal(state, 9, 4000.0)
    assert election.may_claim(state, 4100.0)
    assert not election.may_claim(renewed, 4100.0)
    assert election.may_claim(renewed, 4000.0 + election.TAKEOVER_MS)
    assert election.earlier_authority_ms(renewed, 5000.0) == election.AUTHORITY_MS - 1000.0


def test_a_lease_that_was_relayed_counts_from_its_renewal():
    state = election.observe_renewal(ElectionState("n2", "l2"), 9, 1000.0)
    state = election.observe(state, LeaseObject(9, "n1", "l1", "a"), 3500.0)
    assert election.may_claim(state, 1000.0 + election.TAKEOVER_MS)
    newer = election.observe(state, LeaseObject(10, "n1", "l1", "a"), 3600.0)
    assert not election.may_claim(newer, 3600.0 + election.TAKEOVER_MS - 1)


def test_a_beacon_of_an_earlier_leader_changes_nothing():
    state = election.observe_renewal(ElectionState("n2", "l2"), 9, 1000.0)
    assert election.observe_renewal(state, 8, 5000.0) is state


def test_a_leader_that_learns_of_a_later_lease_stops():
    state = election.acquired(ElectionState("a", "1"), LeaseObject(5, "a", "1", "here"), 500.0)
    assert election.has_authority(election.observe_renewal(state, 4, 400.0, "there"), 600.0)
    replaced = election.observe_renewal(state, 6, 600.0, "there")
    assert not election.has_authority(replaced, 601.0)
    assert replaced.leader_address == "there"


def test_the_latest_known_leader_gets_the_reports():
    state = election.observe(ElectionState("a", "1"), LeaseObject(5, "b", "1", "old"), 0.0)
    assert state.leader_address == "old"
    state = election.observe_renewal(state, 7, 10.0, "new")
    assert state.leader_address == "new"
    state = election.observe(state, LeaseObject(8, "c", "1", "newest"), 20.0)
    assert state.leader_address == "newest"


def test_an_announced_release_is_unread_until_the_lease_is_read_or_another_node_leads():
    state = election.observe(ElectionState("a", "1"), LeaseObject(5, "b", "1"), 0.0)
    state = election.observe_release(election.observe_renewal(state, 6, 400.0), 7)
    assert state.release_is_unread
    assert not election.may_claim(state, 500.0)
    assert election.observe(state, LeaseObject(6, "b", "1"), 500.0).release_is_unread
    read = election.observe(state, LeaseObject(7, "b", "1", released=True), 500.0)
    assert not read.release_is_unread
    assert election.may_claim(read, 500.0)
    assert not election.observe_renewal(state, 9, 600.0, "next").release_is_unread
    assert not election.observe_release(read, 4).release_is_unread


def test_a_released_lease_is_read_by_the_strongest_nodes_at_different_times():
    strong = replace(ElectionState("s", "1"), strongest_count=4)
    assert election.released_read_delay_ms(strong, 0.0) == 0.0
    assert election.released_read_delay_ms(strong, 1.0) == 4 * election.SPREAD_PER_NODE_MS
    many = replace(strong, strongest_count=300)
    assert election.released_read_delay_ms(many, 1.0) == election.READ_INTERVAL_MS
    assert election.released_read_delay_ms(weak(), 0.0) == election.READ_INTERVAL_MS


def test_a_node_that_is_cut_off_claims_no_lease():
    free = election.observe(
        ElectionState("a", "1"), LeaseObject(6, "b", "1", released=True), 1000.0
    )
    held = election.observe(ElectionState("a", "1"), LeaseObject(6, "b", "1"), 1000.0)
    absent = ElectionState("a", "1")
    for state in (free, held, absent):
        later_ms = 1000.0 + TAKEOVER_MS
        assert election.may_claim(state, later_ms)
        assert not election.may_claim(replace(state, cut_off=True), later_ms)


# ---- strong and weak machines ---------------------------------------------------------------


def weak(lease=None, now_ms=0.0, strongest=1.0):
    state = ElectionState("w", "1", strength=0.2, strongest=strongest)
    return election.observe(state, lease, now_ms) if lease else state


def test_weak_machines_leave_a_claim_to_strong_ones():
    latest_read_ms = 12 * election.SPREAD_PER_NODE_MS + 250.0  # by a node that missed a beacon
    assert election.claim_delay_ms(weak()) > latest_read_ms
    assert election.claim_delay_ms(ElectionState("s", "1")) == 0.0


def test_where_all_machines_are_weak_none_delays_its_claim():
    assert election.claim_delay_ms(weak(strongest=0.2)) == 0.0


def test_the_strongest_nodes_read_the_lease_as_soon_as_they_may_claim_it():
    state = election.observe(ElectionState("s", "1"), LeaseObject(5, "b", "1"), 0.0)
    assert election.read_interval_ms(state, 100.0, 0.5) == election.READ_INTERVAL_MS
    now_ms = TAKEOVER_MS - 400.0
    assert election.read_interval_ms(state, now_ms, 0.0) == 400.0
    assert election.read_interval_ms(state, now_ms, 1.0) == 400.0 + election.SPREAD_PER_NODE_MS
    many = replace(state, strongest_count=300)
    assert election.read_interval_ms(many, now_ms, 1.0) == 400.0 + election.READ_INTERVAL_MS
    assert (
        election.read_interval_ms(weak(state.seen, 0.0), now_ms, 0.0) == election.READ_INTERVAL_MS
    )


def test_a_weak_leader_hands_over_after_a_while_and_a_strong_one_does_not():
    led_ms = election.MIN_LEAD_MS
    leading = replace(weak(), leading=True)
    assert election.should_hand_over(leading, 1.0, led_ms)
    assert not election.should_hand_over(leading, 1.0, led_ms - 1)
    assert not election.should_hand_over(leading, 0.4, led_ms)
    assert not election.should_hand_over(leading, 0.0, led_ms)
    assert not election.should_hand_over(weak(), 1.0, led_ms)
    assert not election.should_hand_over(ElectionState("s", "1", leading=True), 1.0, led_ms)


def test_the_lease_has_the_strength_of_its_holder():
    lease = election.lease_to_write(weak(), "", 0.0)
    assert lease.strength == 0.2
    state = election.observe(ElectionState("s", "1"), replace(lease, revision=5), 0.0)
    assert state.leader_is_weak
    assert not election.observe(state, LeaseObject(6, "b", "1"), 1.0).leader_is_weak


def test_in_an_outage_weak_machines_ask_less_and_less_often():
    """At a constant interval, 79 nodes asked the store 190 times per second for 8 s."""
    pauses = [election.outage_retry_ms(weak(), failures, 0.0) for failures in range(1, 8)]
    assert pauses == sorted(pauses)
    asked = sum(sum(pauses[:count]) < 8000.0 for count in range(len(pauses)))
    assert asked <= 6
    assert pauses[-1] == election.MAX_OUTAGE_RETRY_MS


def test_in_an_outage_nodes_that_may_lead_next_ask_at_a_constant_interval():
    for state in (ElectionState("s", "1"), replace(weak(), leading=True), weak(strongest=0.2)):
        assert election.outage_retry_ms(state, 20, 0.0) == election.OUTAGE_RETRY_MS


# ---- a store that was restored from a snapshot -----------------------------------------------


def test_a_lease_of_an_earlier_term_at_a_later_revision_changes_no_leader():
    state = election.observe(ElectionState("s", "1"), LeaseObject(8, "w", "1", "w:1", term=4), 0.0)
    seen = election.observe(state, LeaseObject(9, "b", "1", "b:1", term=3), 500.0)
    assert (seen.seen.node, seen.seen.revision, seen.leader_address) == ("w", 9, "w:1")
    assert seen.seen_since_ms == 0.0


def test_the_leader_keeps_leading_after_a_lease_of_an_earlier_term():
    state = election.acquired(ElectionState("s", "1"), LeaseObject(8, "s", "1", term=4), 0.0)
    kept = election.observe(state, LeaseObject(9, "b", "1", term=3), 500.0)
    assert kept.leading
    assert kept.seen.revision == 9
    assert not election.observe(state, LeaseObject(9, "b", "1", term=5), 500.0).leading


def test_a_lease_without_a_term_is_ordered_by_its_revision():
    state = election.observe(ElectionState("s", "1"), LeaseObject(8, "w", "1", term=4), 0.0)
    assert election.observe(state, LeaseObject(9, "b", "1"), 1.0).seen.node == "b"


def test_each_claim_raises_the_term_and_renewals_keep_it():
    state = election.observe(ElectionState("s", "1"), LeaseObject(8, "w", "1", term=4), 0.0)
    claim = election.lease_to_write(state, "s:1", 5000.0)
    assert claim.term == 5
    led = election.acquired(state, claim, 5000.0)
    assert election.lease_to_write(led, "s:1", 5500.0).term == 5
