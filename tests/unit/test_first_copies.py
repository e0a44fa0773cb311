"""Of copies of a request that no server has answered yet, one is sent and the others wait."""

from hypothesis import example, given
from hypothesis import strategies as st

from ploverhatch.quarantine.first_copies import MAX_PROVEN, MAX_WAIT_MS, FirstCopies

SHORT_DIGEST, OTHER = b"hint", b"othe"


def test_the_first_copy_is_sent_and_others_wait_for_a_limited_time():
    copies = FirstCopies()
    assert copies.admit(SHORT_DIGEST, "a", 0.0) == 0.0
    assert copies.admit(SHORT_DIGEST, "b", 10.0) == MAX_WAIT_MS - 10.0
    assert copies.admit(SHORT_DIGEST, "a", 10.0) == 0.0  # the next attempt of the same request
    assert copies.admit(OTHER, "b", 10.0) == 0.0
    assert copies.admit(SHORT_DIGEST, "b", MAX_WAIT_MS) == 0.0


def test_no_copy_waits_once_one_was_answered():
    copies = FirstCopies()
    copies.admit(SHORT_DIGEST, "a", 0.0)
    copies.note_answer(SHORT_DIGEST, 0.0)
    assert copies.admit(SHORT_DIGEST, "b", 1.0) == 0.0
    copies.finish(SHORT_DIGEST, "a")
    for requester in "cde":
        assert copies.admit(SHORT_DIGEST, requester, 2.0) == 0.0
    assert len(copies) == 0


def test_after_a_copy_without_an_answer_the_next_one_is_sent():
    copies = FirstCopies()
    copies.admit(SHORT_DIGEST, "a", 0.0)
    copies.admit(SHORT_DIGEST, "b", 1.0)
    assert copies.finish(SHORT_DIGEST, "a")
    assert copies.admit(SHORT_DIGEST, "b", 2.0) == 0.0
    assert copies.admit(SHORT_DIGEST, "c", 2.0) > 0


def test_only_the_end_of_a_copy_that_others_wait_for_is_reported():
    copies = FirstCopies()
    copies.admit(SHORT_DIGEST, "a", 0.0)
    assert not copies.finish(SHORT_DIGEST, "a")
    copies.admit(SHORT_DIGEST, "a", 0.0)
    copies.admit(SHORT_DIGEST, "b", 1.0)
    assert not copies.finish(SHORT_DIGEST, "b")
    assert copies.finish(SHORT_DIGEST, "a")
    assert not copies.finish(SHORT_DIGEST, "a")


def test_a_popular_request_stays_known_among_many_others():
    copies = FirstCopies()
    for number in range(3 * MAX_PROVEN):
        copies.note_answer(SHORT_DIGEST, 0.0)
        copies.note_answer(b"%d" % number, 0.0)
    assert copies.admit(SHORT_DIGEST, "a", 0.0) == 0.0
    assert copies.admit(SHORT_DIGEST, "b", 0.0) == 0.0
    assert len(copies._proven) == MAX_PROVEN


EVENTS = st.lists(
    st.tuples(st.sampled_from(["ask", "answer", "over"]), st.integers(0, 3), st.floats(0.0, 40.0)),
    max_size=40,
)


@given(EVENTS)
@example([("ask", 0, 4.452043429804655), ("ask", 1, 0.0)])  # rounding gave 60.00000000000001 ms
def test_copies_wait_only_while_a_first_copy_runs_and_no_longer_than_the_limit(events):
    copies, now_ms = FirstCopies(), 0.0
    for kind, requester, after_ms in events:
        now_ms += after_ms
        if kind == "ask":
            wait_ms = copies.admit(SHORT_DIGEST, requester, now_ms)
            assert 0.0 <= wait_ms <= MAX_WAIT_MS
            assert wait_ms == 0.0 or len(copies) == 1
        elif kind == "answer":
            copies.note_answer(SHORT_DIGEST, 0.0)
            assert copies.admit(SHORT_DIGEST, requester, now_ms) == 0.0
        else:
            copies.finish(SHORT_DIGEST, requester)
