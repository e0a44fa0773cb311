"""Assignment table, compared with a simple model."""

from hypothesis import given, settings
from hypothesis import strategies as st

from ploverhatch.common.keyspace import MAX_HASH, SliceRange, even_ranges
from ploverhatch.state.assignment import AssignmentTable, Slice, make_token

SPACE = 64
spans = st.tuples(st.integers(0, SPACE - 1), st.integers(0, SPACE - 1)).map(sorted)


@settings(max_examples=150, derandomize=True, database=None, deadline=None)
@given(st.lists(st.tuples(spans, st.sampled_from(["a", "b", "c"])), max_size=25))
def test_lookup_equals_a_plain_array(puts):
    table = AssignmentTable()
    model = [None] * SPACE
    for token, ((first, last), server) in enumerate(puts, 1):
        table.put(Slice(SliceRange("g", first, last), server, token))
        model[first : last + 1] = [(server, token)] * (last - first + 1)
    for key_hash, expected in enumerate(model):
        found = table.find("g", key_hash)
        assert (found and (found.server, found.token)) == expected
    firsts = [item.range.first for item in table.group("g")]
    assert firsts == sorted(set(firsts))


def test_even_ranges_cover_the_space():
    for count in (1, 2, 3, 7, 64):
        table = AssignmentTable()
        for span in even_ranges("g", count):
            table.put(Slice(span, "s", 1))
        assert table.covers_whole_space("g")
        assert table.find("g", MAX_HASH).range.last == MAX_HASH


def test_token_grows_with_epoch_before_index():
    assert make_token(2, 1) > make_token(1, 1 << 40)
