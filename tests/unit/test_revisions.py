"""Revisions of a store that is restored from a snapshot."""

from hypothesis import given
from hypothesis import strategies as st

from ploverhatch.store.revisions import STORE_BITS, combine, same_era, split

ERAS = st.integers(0, 999_999)
REVISIONS = st.integers(0, (1 << STORE_BITS) - 1)


@given(ERAS, REVISIONS)
def test_era_and_revision_are_found_again(era, revision):
    assert split(combine(era, revision)) == (era, revision)


@given(ERAS, REVISIONS, REVISIONS)
def test_whatever_is_of_a_later_era_is_later(era, before, after):
    assert combine(era + 1, after) > combine(era, before)


@given(ERAS, REVISIONS, REVISIONS)
def test_revisions_of_one_era_are_told_from_others(era, before, after):
    assert same_era(combine(era, before), combine(era, after))
    assert not same_era(combine(era, before), combine(era + 1, after))


def test_without_an_era_revisions_are_the_stores_own():
    assert combine(0, 4711) == 4711
    assert split(-1) == (0, -1)
