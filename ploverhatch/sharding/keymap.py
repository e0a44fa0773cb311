"""The key map: which server holds which range of keys.

A key map covers all keys with ranges in order. A server *holds* a range while it has a lease on
it, and then runs requests for its keys; no other server does. A range is *settled* once its
holder has acknowledged the grant. While the range moves, ``previous`` names the servers that may
still hold it. Each grant has a fencing token. Tokens rise within a map and are never reused, since
every change of the map is a compare-and-set in the store.

This module does no I/O and reads no clock.
"""

from bisect import bisect_right
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from functools import cached_property

KEY_COUNT = 65_536
LAST_KEY = KEY_COUNT - 1


@dataclass(frozen=True, slots=True)
class Holder:
    """A server that holds or may hold keys, with its address.

    ``server_id`` names one incarnation of the server.
    """

    server_id: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Standby:
    """A server that may be granted a range without a new map, at a reserved token.

    It may be the holder of the range, which is then granted the range again at that token.
    """

    holder: Holder
    token: int


@dataclass(frozen=True, slots=True)
class KeyRange:
    """The keys ``first`` to ``last``, inclusive, and their holder.

    ``former_standbys`` are servers to which an earlier leader may have granted the range.
    """

    first: int
    last: int
    holder: Holder
    token: int
    settled: bool
    previous: tuple[Holder, ...] = ()
    standbys: tuple[Standby, ...] = ()  # the current ones, then the ones they replaced
    former_standbys: tuple[Holder, ...] = ()

    @property
    def renewal(self) -> Standby | None:
        """The holder as a standby, with the token at which it may be granted the range again."""
        return next((standby for standby in self._usable if standby.holder == self.holder), None)

    @property
    def standby(self) -> Standby | None:
        """The server other than the holder that may be granted the range next."""
        return next((standby for standby in self._usable if standby.holder != self.holder), None)

    @property
    def _usable(self) -> tuple[Standby, ...]:
        return tuple(standby for standby in self.standbys if standby.token > self.token)

    @property
    def possible_holders(self) -> tuple[Holder, ...]:
        """All servers that may hold the range now, with repetitions."""
        standbys = (standby.holder for standby in self.standbys)
        return (self.holder, *self.previous, *self.former_standbys, *standbys)

    @property
    def width(self) -> int:
        """Number of keys."""
        return self.last - self.first + 1


@dataclass(frozen=True)
class KeyMap:
    """All ranges of one service, in order and without gaps."""

    service: str
    ranges: tuple[KeyRange, ...] = ()
    token: int = 0  # highest token assigned so far
    revision: int = 0  # revision of the object in the store; 0 means not stored yet
    writer: str = ""  # the term of leadership in which the map was written; empty: not known

    @cached_property
    def _starts(self) -> list[int]:
        return [item.first for item in self.ranges]

    def find(self, key: int) -> KeyRange | None:
        """Return the range that contains a key, or ``None`` before the first assignment."""
        index = bisect_right(self._starts, key) - 1
        if index < 0 or key > self.ranges[index].last:
            return None
        return self.ranges[index]

    def held_by(self, server_id: str) -> list[KeyRange]:
        """Return the ranges whose holder is ``server_id``."""
        return [item for item in self.ranges if item.holder.server_id == server_id]

    @property
    def moving(self) -> list[KeyRange]:
        """Ranges that are not settled."""
        return [item for item in self.ranges if not item.settled]


@dataclass(frozen=True, slots=True)
class Move:
    """The assignment of the keys ``first`` to ``last``, inclusive, to ``target``."""

    first: int
    last: int
    target: Holder


def _split_at(ranges: Iterable[KeyRange], at: int) -> list[KeyRange]:
    """Split the range that contains ``at``, so that a range starts there."""
    result = []
    for item in ranges:
        if item.first < at <= item.last:
            result.append(replace(item, last=at - 1))
            result.append(replace(item, first=at))
        else:
            result.append(item)
    return result


def begin_moves(keymap: KeyMap, moves: Iterable[Move]) -> KeyMap:
    """Return the map with the ranges of ``moves`` unsettled at their targets, at new tokens."""
    ranges = list(keymap.ranges)
    token = keymap.token
    for move in moves:
        ranges = _split_at(_split_at(ranges, move.first), move.last + 1)
        token += 1
        ranges = [
            _retarget(item, move.target, token)
            if move.first <= item.first and item.last <= move.last
            else item
            for item in ranges
        ]
    return replace(keymap, ranges=_merged(ranges), token=token)


def _retarget(item: KeyRange, target: Holder, token: int) -> KeyRange:
    earlier = {holder.server_id: holder for holder in item.previous}
    earlier[item.holder.server_id] = item.holder
    earlier.pop(target.server_id, None)
    return replace(
        item,
        holder=target,
        token=token,
        settled=False,
        previous=tuple(earlier.values()),
        former_standbys=tuple(holder for holder in item.former_standbys if holder != target),
    )


def first_assignment(keymap: KeyMap, pieces: Iterable[Move]) -> KeyMap:
    """Return the first map, whose ranges are ``pieces``; these must cover all keys in order."""
    token = keymap.token + 1
    ranges = tuple(
        KeyRange(piece.first, piece.last, piece.target, token, settled=False) for piece in pieces
    )
    return replace(keymap, ranges=ranges, token=token)


def settle(keymap: KeyMap, done: Callable[[KeyRange], bool]) -> KeyMap:
    """Return the map with those moving ranges settled for which ``done`` is true."""
    ranges = tuple(
        replace(item, settled=True, previous=(), former_standbys=())
        if not item.settled and done(item)
        else item
        for item in keymap.ranges
    )
    return replace(keymap, ranges=ranges)


def merge_neighbours(keymap: KeyMap) -> KeyMap:
    """Return the map with adjacent ranges merged that differ only in their keys."""
    return replace(keymap, ranges=_merged(keymap.ranges))


def changed_ranges(before: KeyMap, after: KeyMap) -> tuple[KeyRange, ...]:
    """Return the ranges of ``after`` that ``before`` does not contain unchanged."""
    known = set(before.ranges)
    return tuple(item for item in after.ranges if item not in known)


def patched(before: KeyMap, changes: KeyMap) -> KeyMap | None:
    """Return ``before`` with the ranges of ``changes`` in place of the ranges they overlap.

    :returns: ``None`` if the resulting ranges do not cover each key exactly once.
    """
    first = {item.first: item for item in changes.ranges}
    starts = sorted(first)
    kept = [item for item in before.ranges if not _overlaps_any(item, starts, first)]
    ranges = tuple(sorted([*kept, *changes.ranges], key=lambda item: item.first))
    ends = [item.last + 1 for item in ranges]
    if [item.first for item in ranges] != [0, *ends[:-1]] or ends[-1:] != [KEY_COUNT]:
        return None
    return replace(changes, ranges=ranges)


def _overlaps_any(item: KeyRange, starts: list[int], first: dict[int, KeyRange]) -> bool:
    """Whether a range overlaps one of the ranges in ``first``, which has them by first key."""
    index = bisect_right(starts, item.last) - 1
    return index >= 0 and first[starts[index]].last >= item.first


def _merged(ranges: Iterable[KeyRange]) -> tuple[KeyRange, ...]:
    """Merge adjacent ranges that differ only in their keys, since one grant covers them."""
    merged: list[KeyRange] = []
    for item in ranges:
        if merged and merged[-1] == replace(item, first=merged[-1].first, last=merged[-1].last):
            merged[-1] = replace(merged[-1], last=item.last)
        else:
            merged.append(item)
    return tuple(merged)
