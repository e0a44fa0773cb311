"""The map from ranges of keys to the servers that hold them. Pure.

A map covers all keys with ranges in order. A range is *settled* when its
holder acknowledged the grant; while it moves, ``previous`` names the servers
that may still hold it. Fencing tokens rise within a map and are never reused,
since every change of the map is a compare-and-set in the store.
"""

from bisect import bisect_right
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from functools import cached_property

KEY_COUNT = 65_536
LAST_KEY = KEY_COUNT - 1


@dataclass(frozen=True, slots=True)
class Holder:
    """A server that holds or may hold keys, and where it is."""

    server_id: str
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Standby:
    """A server that may be granted a range without a new map, at a token reserved for that.

    It may be the range's holder: then it is granted the range anew.
    """

    holder: Holder
    token: int


@dataclass(frozen=True, slots=True)
class KeyRange:
    """Keys ``first`` to ``last``, both inside, and who holds them.

    ``former_standbys`` are servers that an earlier leader may have promoted.
    """

    first: int
    last: int
    holder: Holder
    token: int
    settled: bool
    previous: tuple[Holder, ...] = ()
    standbys: tuple[Standby, ...] = ()  # those in force, then those that they replaced
    former_standbys: tuple[Holder, ...] = ()

    @property
    def renewal(self) -> Standby | None:
        """The holder itself, at the token at which it may be granted the range anew."""
        return next((standby for standby in self._usable if standby.holder == self.holder), None)

    @property
    def standby(self) -> Standby | None:
        """The other server that may be granted the range next."""
        return next((standby for standby in self._usable if standby.holder != self.holder), None)

    @property
    def _usable(self) -> tuple[Standby, ...]:
        return tuple(standby for standby in self.standbys if standby.token > self.token)

    @property
    def possible_holders(self) -> tuple[Holder, ...]:
        """All servers that may hold the range now."""
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
    token: int = 0  # highest token ever given out
    revision: int = 0  # of the object in the store; 0: not stored yet

    @cached_property
    def _starts(self) -> list[int]:
        return [item.first for item in self.ranges]

    def find(self, key: int) -> KeyRange | None:
        """Return the range of a key, or ``None`` before the first assignment."""
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
    """A wish to give the keys ``first`` to ``last`` to ``target``."""

    first: int
    last: int
    target: Holder


def _split_at(ranges: Iterable[KeyRange], at: int) -> list[KeyRange]:
    """Split the range that ``at`` lies inside of, so that one starts there."""
    result = []
    for item in ranges:
        if item.first < at <= item.last:
            result.append(replace(item, last=at - 1))
            result.append(replace(item, first=at))
        else:
            result.append(item)
    return result


def begin_moves(keymap: KeyMap, moves: Iterable[Move]) -> KeyMap:
    """Return the map with ranges under way to new holders, at new tokens."""
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
    """Return a map that deals all keys out for the first time."""
    token = keymap.token + 1
    ranges = tuple(
        KeyRange(piece.first, piece.last, piece.target, token, settled=False) for piece in pieces
    )
    return replace(keymap, ranges=ranges, token=token)


def settle(keymap: KeyMap, done: Callable[[KeyRange], bool]) -> KeyMap:
    """Return the map with the moving ranges that ``done`` accepts settled."""
    ranges = tuple(
        replace(item, settled=True, previous=(), former_standbys=())
        if not item.settled and done(item)
        else item
        for item in keymap.ranges
    )
    return replace(keymap, ranges=ranges)


def merge_neighbours(keymap: KeyMap) -> KeyMap:
    """Return the map with neighbours merged that differ in their keys only."""
    return replace(keymap, ranges=_merged(keymap.ranges))


def changed_ranges(before: KeyMap, after: KeyMap) -> tuple[KeyRange, ...]:
    """Return the ranges of ``after`` that are not the same in ``before``."""
    known = set(before.ranges)
    return tuple(item for item in after.ranges if item not in known)


def patched(before: KeyMap, changes: KeyMap) -> KeyMap | None:
    """Return ``before`` with the ranges of ``changes`` in place of what they overlap.

    :returns: ``None`` when the ranges then do not cover all keys just once.
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
    """Whether a range shares keys with one of those that are told by their first keys."""
    index = bisect_right(starts, item.last) - 1
    return index >= 0 and first[starts[index]].last >= item.first


def _merged(ranges: Iterable[KeyRange]) -> tuple[KeyRange, ...]:
    """Join neighbours of one holder, token and state: one grant covers them."""
    merged: list[KeyRange] = []
    for item in ranges:
        if merged and merged[-1] == replace(item, first=merged[-1].first, last=merged[-1].last):
            merged[-1] = replace(merged[-1], last=item.last)
        else:
            merged.append(item)
    return tuple(merged)
