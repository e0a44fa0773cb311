"""The hashed key space: 64-bit hashes of (group, key), split into ranges.

A slice is an inclusive range ``[first, last]`` of the hashes of one group. A hot
key may have a slice of its own (``first == last``).
"""

from dataclasses import dataclass

import xxhash

HASH_BITS = 64
MAX_HASH = (1 << HASH_BITS) - 1


@dataclass(frozen=True, order=True)
class SliceRange:
    """A range of hashes of one group, both ends included."""

    group: str
    first: int
    last: int

    def contains(self, key_hash: int) -> bool:
        """Return whether a hash lies in this range."""
        return self.first <= key_hash <= self.last


def hash_key(group: str, key: str) -> int:
    """Return the 64-bit hash of a key within its group."""
    return int(xxhash.xxh3_64_intdigest(f"{group}\0{key}".encode()))


def even_ranges(group: str, count: int) -> list[SliceRange]:
    """Split the whole hash space of a group into ``count`` ranges of equal size."""
    bounds = [(MAX_HASH + 1) * position // count for position in range(count + 1)]
    return [
        SliceRange(group, first, following - 1)
        for first, following in zip(bounds, bounds[1:], strict=False)
    ]
