"""Assignment table: the owner of each slice and the owner's fencing token.

Lookup is a binary search over the slice bounds of one group, so its cost
does not depend on the number of servers. The *owner* of a slice is the only
server that may run requests for its keys; the gateway's modules call it the
holder.
"""

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from ploverhatch.common.keyspace import MAX_HASH, SliceRange

EPOCH_SHIFT = 48


def make_token(epoch: int, index: int) -> int:
    """Return the fencing token of a log entry.

    Tokens increase with the epoch and, within an epoch, with the index.
    """
    return (epoch << EPOCH_SHIFT) | index


@dataclass(frozen=True)
class Slice:
    """A range of key hashes, its owner (empty without one) and the owner's fencing token."""

    range: SliceRange
    server: str
    token: int


class _GroupSlices:
    """Slices of one group, ordered by their first hash."""

    __slots__ = ("firsts", "slices")

    def __init__(self) -> None:
        self.firsts: list[int] = []
        self.slices: list[Slice] = []

    def find(self, key_hash: int) -> Slice | None:
        position = bisect_right(self.firsts, key_hash) - 1
        if position < 0:
            return None
        found = self.slices[position]
        return found if key_hash <= found.range.last else None

    def overlap(self, span: SliceRange) -> tuple[int, int]:
        """Return the positions [start, stop) of the slices that overlap ``span``."""
        start = max(bisect_right(self.firsts, span.first) - 1, 0)
        if start < len(self.slices) and self.slices[start].range.last < span.first:
            start += 1
        stop = bisect_right(self.firsts, span.last)
        return start, max(start, stop)

    def put(self, new: Slice) -> None:
        start, stop = self.overlap(new.range)
        pieces = list(_trim(self.slices[start:stop], new.range))
        left = [piece for piece in pieces if piece.range.first < new.range.first]
        right = [piece for piece in pieces if piece.range.first > new.range.last]
        self.slices[start:stop] = [*left, new, *right]
        self.firsts[start:stop] = [piece.range.first for piece in [*left, new, *right]]


def _trim(slices: Iterable[Slice], hole: SliceRange) -> Iterator[Slice]:
    """Yield the parts of ``slices`` outside ``hole``, with their owners and tokens."""
    for old in slices:
        span = old.range
        if span.first < hole.first:
            left = SliceRange(span.group, span.first, hole.first - 1)
            yield Slice(left, old.server, old.token)
        if span.last > hole.last:
            right = SliceRange(span.group, hole.last + 1, span.last)
            yield Slice(right, old.server, old.token)


class AssignmentTable:
    """Slices of all groups; it changes only when log entries are applied."""

    def __init__(self) -> None:
        self._groups: dict[str, _GroupSlices] = {}

    def put(self, new: Slice) -> None:
        """Assign a range; slices that overlap it are trimmed."""
        self._groups.setdefault(new.range.group, _GroupSlices()).put(new)

    def find(self, group: str, key_hash: int) -> Slice | None:
        """Return the slice that contains a hash, or ``None``."""
        slices = self._groups.get(group)
        return slices.find(key_hash) if slices else None

    def overlapping(self, span: SliceRange) -> list[Slice]:
        """Return the slices that overlap a range."""
        slices = self._groups.get(span.group)
        if slices is None:
            return []
        start, stop = slices.overlap(span)
        return slices.slices[start:stop]

    def group(self, group: str) -> list[Slice]:
        """Return all slices of a group, ordered by hash."""
        slices = self._groups.get(group)
        return list(slices.slices) if slices else []

    def groups(self) -> list[str]:
        """Return the names of the groups that have slices."""
        return list(self._groups)

    def __iter__(self) -> Iterator[Slice]:
        for slices in self._groups.values():
            yield from slices.slices

    def owned_by(self, server: str) -> list[Slice]:
        """Return the slices that a server owns."""
        return [item for item in self if item.server == server]

    def covers_whole_space(self, group: str) -> bool:
        """Return whether the slices of a group cover all hashes without a gap; used by checkers."""
        expected = 0
        for item in self.group(group):
            if item.range.first != expected:
                return False
            expected = item.range.last + 1
        return expected == MAX_HASH + 1
