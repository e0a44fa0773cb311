"""Of copies of what nobody was answered yet one goes ahead, for a moment."""

from hypothesis import example, given
from hypothesis import strategies as st

from ploverhatch.quarantine.first_copies import MAX_PROVEN, MAX_WAIT_MS, FirstCopies

HINT, OTHER = b"hint", b"othe"


def test_the_first_copy_goes_ahead_and_others_wait_until_its_time_is_over():
    copies = FirstCopies()
    assert copies.admit(HINT, "a", 0.0) == 0.0
    assert copies.admit(HINT, "b", 10.0) == MAX_WAIT_MS - 10.0
    assert copies.admit(HINT, "a", 10.0) == 0.0  # its own next attempt
    assert copies.admit(OTHER, "b", 10.0) == 0.0
    assert copies.admit(HINT, "b", MAX_WAIT_MS) == 0.0


def test_once_one_was_answered_none_waits():
    copies = FirstCopies()
    copies.admit(HINT, "a", 0.0)
    copies.note_answer(HINT, 0.0)
    assert copies.admit(HINT, "b", 1.0) == 0.0
    copies.finish(HINT, "a")
    for asker in "cde":
        assert copies.admit(HINT, asker, 2.0) == 0.0
    assert len(copies) == 0


def test_after_one_that_was_not_answered_the_next_one_goes_ahead():
    copies = FirstCopies()
    copies.admit(HINT, "a", 0.0)
    copies.admit(HINT, "b", 1.0)
    assert copies.finish(HINT, "a")
    assert copies.admit(HINT, "b", 2.0) == 0.0
    assert copies.admit(HINT, "c", 2.0) > 0


def test_only_the_end_of_one_for_which_others_wait_is_told_to_them():
    copies = FirstCopies()
    copies.admit(HINT, "a", 0.0)
    assert not copies.finish(HINT, "a")
    copies.admit(HINT, "a", 0.0)
    copies.admit(HINT, "b", 1.0)
    assert not copies.finish(HINT, "b")
    assert copies.finish(HINT, "a")
    assert not copies.finish(HINT, "a")


def test_what_is_popular_stays_known_among_many_others():
    copies = FirstCopies()
    for number in range(3 * MAX_PROVEN):
        copies.note_answer(HINT, 0.0)
        copies.note_answer(b"%d" % number, 0.0)
    assert copies.admit(HINT, "a", 0.0) == 0.0
    assert copies.admit(HINT, "b", 0.0) == 0.0
    assert len(copies._proven) == MAX_PROVEN


EVENTS = st.lists(
    st.tuples(st.sampled_from(["ask", "answer", "over"]), st.integers(0, 3), st.floats(0.0, 40.0)),
    max_size=40,
)


@given(EVENTS)
@example([("ask", 0, 4.452043429804655), ("ask", 1, 0.0)])  # 60.00000000000001 ms
def test_nobody_waits_longer_than_the_time_of_one_first_copy_or_for_nothing(events):
    copies, now_ms = FirstCopies(), 0.0
    for kind, asker, after_ms in events:
        now_ms += after_ms
        if kind == "ask":
            wait_ms = copies.admit(HINT, asker, now_ms)
            assert 0.0 <= wait_ms <= MAX_WAIT_MS
            assert wait_ms == 0.0 or len(copies) == 1
        elif kind == "answer":
            copies.note_answer(HINT, 0.0)
            assert copies.admit(HINT, asker, now_ms) == 0.0
        else:
            copies.finish(HINT, asker)
