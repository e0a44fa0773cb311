"""Copies of one content under suspicion: one at a time, whoever asks."""

from hypothesis import given
from hypothesis import strategies as st

from ploverhatch.quarantine.trials import PERMIT_MS, Trials

CONTENT = b"content"


def test_one_copy_at_a_time_until_it_ends():
    trials = Trials()
    assert trials.acquire(CONTENT, "a", 0.0) == 0.0
    assert trials.acquire(CONTENT, "b", 100.0) == PERMIT_MS - 100.0
    assert trials.acquire(b"another", "b", 100.0) == 0.0
    trials.release(CONTENT, "a")
    assert trials.acquire(CONTENT, "b", 101.0) == 0.0


def test_a_permit_whose_node_died_is_over_by_itself():
    trials = Trials()
    trials.acquire(CONTENT, "a", 0.0)
    assert trials.acquire(CONTENT, "b", PERMIT_MS - 1.0) > 0
    assert trials.acquire(CONTENT, "b", PERMIT_MS) == 0.0
    trials.acquire(b"another", "b", 3 * PERMIT_MS)
    assert len(trials) == 1


def test_a_question_that_is_repeated_is_answered_the_same():
    trials = Trials()
    assert trials.acquire(CONTENT, "a", 0.0) == trials.acquire(CONTENT, "a", 20.0) == 0.0
    assert trials.acquire(CONTENT, "b", 30.0) == PERMIT_MS - 10.0  # its time begins anew


def test_an_end_that_is_told_late_takes_nobody_elses_permit():
    trials = Trials()
    trials.acquire(CONTENT, "a", 0.0)
    trials.acquire(CONTENT, "b", PERMIT_MS)
    trials.release(CONTENT, "a")
    assert trials.acquire(CONTENT, "c", PERMIT_MS + 1.0) > 0


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(["ask", "end"]),
        st.sampled_from("abc"),
        st.sampled_from([CONTENT, b"another"]),
        st.floats(0.0, 400.0),
    ),
    max_size=40,
)


@given(EVENTS)
def test_two_never_have_a_permit_at_once(events):
    trials, now_ms, held = Trials(), 0.0, {}
    for kind, asker, content, after_ms in events:
        now_ms += after_ms
        if kind == "end":
            trials.release(content, asker)
            if held.get(content, ("", 0.0))[0] == asker:
                del held[content]
            continue
        wait_ms = trials.acquire(content, asker, now_ms)
        other, until_ms = held.get(content, (asker, 0.0))
        assert (wait_ms > 0) == (other != asker and now_ms < until_ms)
        if wait_ms == 0:
            held[content] = asker, now_ms + PERMIT_MS
