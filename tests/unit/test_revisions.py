"""Revisions of a store that comes back from a copy."""

from hypothesis import given
from hypothesis import strategies as st

from ploverhatch.store.revisions import STORE_BITS, divided, joined, same_era

ERAS = st.integers(0, 999_999)
REVISIONS = st.integers(0, (1 << STORE_BITS) - 1)


@given(ERAS, REVISIONS)
def test_era_and_revision_are_found_again(era, revision):
    assert divided(joined(era, revision)) == (era, revision)


@given(ERAS, REVISIONS, REVISIONS)
def test_whatever_is_of_a_later_era_is_later(era, before, after):
    assert joined(era + 1, after) > joined(era, before)


@given(ERAS, REVISIONS, REVISIONS)
def test_revisions_of_one_era_are_told_from_others(era, before, after):
    assert same_era(joined(era, before), joined(era, after))
    assert not same_era(joined(era, before), joined(era + 1, after))


def test_without_an_era_revisions_are_the_stores_own():
    assert joined(0, 4711) == 4711
    assert divided(-1) == (0, -1)
