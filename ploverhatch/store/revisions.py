"""Monotonic revisions of a store that may be restored from a snapshot. Pure.

Each answer of the store has its era, the number of restores so far. A joined revision has the
era in its upper bits, so that any revision of a later era compares as later.
"""

STORE_BITS = 40  # of the store's own revision: a thousand changes a second for 34 years
_STORE_MASK = (1 << STORE_BITS) - 1


def combine(era: int, revision: int) -> int:
    """Return the revision of the product that stands for the store's in an era."""
    return (era << STORE_BITS) | (revision & _STORE_MASK)


def era_of(revision: int) -> int:
    """Return the era of a joined revision."""
    return split(revision)[0]


def same_era(revision: int, other: int) -> bool:
    """Whether the store wasn't restored from a snapshot between two revisions."""
    return era_of(revision) == era_of(other)


def split(revision: int) -> tuple[int, int]:
    """Return the era, and the store's own revision in it; below 0 stays as it is."""
    if revision < 0:
        return 0, revision
    return revision >> STORE_BITS, revision & _STORE_MASK
