"""Permits for copies of a suspect request: one at a time over all requesters."""

from hypothesis import given
from hypothesis import strategies as st

from ploverhatch.quarantine.trials import PERMIT_MS, Trials

DIGEST = b"content"


def test_one_copy_at_a_time_until_it_ends():
    trials = Trials()
    assert trials.acquire(DIGEST, "a", 0.0) == 0.0
    assert trials.acquire(DIGEST, "b", 100.0) == PERMIT_MS - 100.0
    assert trials.acquire(b"another", "b", 100.0) == 0.0
    trials.release(DIGEST, "a")
    assert trials.acquire(DIGEST, "b", 101.0) == 0.0


def test_a_permit_whose_node_died_expires():
    trials = Trials()
    trials.acquire(DIGEST, "a", 0.0)
    assert trials.acquire(DIGEST, "b", PERMIT_MS - 1.0) > 0
    assert trials.acquire(DIGEST, "b", PERMIT_MS) == 0.0
    trials.acquire(b"another", "b", 3 * PERMIT_MS)
    assert len(trials) == 1


def test_a_repeated_request_renews_the_permit():
    trials = Trials()
    assert trials.acquire(DIGEST, "a", 0.0) == trials.acquire(DIGEST, "a", 20.0) == 0.0
    assert trials.acquire(DIGEST, "b", 30.0) == PERMIT_MS - 10.0  # renewed for its whole time


def test_a_late_release_does_not_end_the_permit_of_another_requester():
    trials = Trials()
    trials.acquire(DIGEST, "a", 0.0)
    trials.acquire(DIGEST, "b", PERMIT_MS)
    trials.release(DIGEST, "a")
    assert trials.acquire(DIGEST, "c", PERMIT_MS + 1.0) > 0


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["ask", "end"]),
        st.sampled_from("abc"),
        st.sampled_from([DIGEST, b"another"]),
        st.floats(0.0, 400.0),
    ),
    max_size=40,
)


@given(EVENTS)
def test_two_requesters_never_have_a_permit_at_once(events):
    trials, now_ms, held = Trials(), 0.0, {}
    for kind, requester, digest, after_ms in events:
        now_ms += after_ms
        if kind == "end":
            trials.release(digest, requester)
            if held.get(digest, ("", 0.0))[0] == requester:
                del held[digest]
            continue
        wait_ms = trials.acquire(digest, requester, now_ms)
        other, until_ms = held.get(digest, (requester, 0.0))
        assert (wait_ms > 0) == (other != requester and now_ms < until_ms)
        if wait_ms == 0:
            held[digest] = requester, now_ms + PERMIT_MS
