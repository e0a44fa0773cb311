"""Faults that the simulation found, each as its shortest sequence of events."""

from ploverhatch.leadership import election
from ploverhatch.leadership.election import AUTHORITY_MS, ElectionState, LeaseObject


def lead(name, incarnation, seen, now_ms):
    """Claim a lease that was not renewed; return the leader's state, its lease and the time."""
    state = election.observe(ElectionState(name, incarnation), seen, now_ms)
    now_ms += election.TAKEOVER_MS
    assert election.may_claim(state, now_ms)
    lease = election.lease_to_write(state, "", now_ms)
    return election.acquired(state, lease, now_ms), lease, now_ms


def test_a_third_leader_waits_for_the_first_one_too():
    """The second leader was killed and restarted at once (seeds 4582 and 5084)."""
    first_renewed_ms = 0.0
    first = LeaseObject(1, "a", "1")
    _, lease, now_ms = lead("b", "1", first, first_renewed_ms)
    assert lease.earlier_ms > 0
    again = election.observe(
        ElectionState("b", "2"), LeaseObject(2, "b", "1", earlier_ms=lease.earlier_ms), now_ms
    )
    assert election.may_claim(again, now_ms)
    until_ms = now_ms + election.earlier_authority_ms(again, now_ms)
    assert until_ms >= first_renewed_ms + AUTHORITY_MS


def test_the_released_lease_of_a_leader_covers_the_leader_before_it():
    state, _, now_ms = lead("b", "1", LeaseObject(1, "a", "1"), 0.0)
    released = election.lease_to_write(state, "", now_ms + 100, released=True)
    third = election.observe(
        ElectionState("c", "1"), LeaseObject(3, "b", "1", "", True, released.earlier_ms), now_ms
    )
    assert election.earlier_authority_ms(third, now_ms) >= AUTHORITY_MS - now_ms - 100
