"""Monotonic revisions of a store that may be restored from a snapshot.

Each answer of the store states its era, the number of restores so far. A combined revision has
the era in its upper bits, so that every revision of a later era compares as greater. This module
does no I/O and reads no clock.
"""

STORE_BITS = 40  # for the store's own revision: 1,000 changes per second for 34 years
_STORE_MASK = (1 << STORE_BITS) - 1


def combine(era: int, revision: int) -> int:
    """Combine an era with the store's own revision in it."""
    return (era << STORE_BITS) | (revision & _STORE_MASK)


def era_of(revision: int) -> int:
    """Return the era of a combined revision."""
    return split(revision)[0]


def same_era(revision: int, other: int) -> bool:
    """Return whether two combined revisions are of the same era: no restore lies between them."""
    return era_of(revision) == era_of(other)


def split(revision: int) -> tuple[int, int]:
    """Return the era of a combined revision, and the store's own revision in it.

    A negative revision belongs to no era; it is returned unchanged, with era 0.
    """
    if revision < 0:
        return 0, revision
    return revision >> STORE_BITS, revision & _STORE_MASK
