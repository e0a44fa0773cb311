"""Revisions that rise for good, of a store whose own ones go back after a drill. Pure.

The store tells in each answer how often it came back from a copy: its era. A joined revision
has the era in its upper bits, so that whatever is of a later era compares as later.
"""

STORE_BITS = 40  # of the store's own revision: a thousand changes a second for 34 years
_STORE_MASK = (1 << STORE_BITS) - 1


def joined(era: int, revision: int) -> int:
    """Return the revision of the product that stands for the store's in an era."""
    return (era << STORE_BITS) | (revision & _STORE_MASK)


def same_era(revision: int, other: int) -> bool:
    """Whether the store didn't come back from a copy between two revisions."""
    return divided(revision)[0] == divided(other)[0]


def divided(revision: int) -> tuple[int, int]:
    """Return the era, and the store's own revision in it; below 0 stays as it is."""
    if revision < 0:
        return 0, revision
    return revision >> STORE_BITS, revision & _STORE_MASK
