"""Standbys: the servers that may be granted a range while the store accepts no new map.

A map in the store names a standby for each range and reserves a token for it, and another token
for the holder itself. While the store is unavailable, the leader promotes the standby of a
holder that is gone: it moves the range to the standby at the reserved token. A later leader knows
from the stored map which servers an earlier one may have promoted. It asks them to release the
range at a higher token before it grants the range to anyone.

This module does no I/O and reads no clock.
"""

from bisect import bisect_left
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import replace

from ploverhatch.sharding.keymap import Holder, KeyMap, KeyRange, Standby

# Ranges of one grant share their standbys, so that they can be merged.
_Grant = tuple[Holder, int]


def assign_standbys(keymap: KeyMap, stored: KeyMap, candidates: Sequence[Holder]) -> KeyMap:
    """Return the map with a standby for each range, at tokens that no grant has.

    Replaced standbys stay listed in the next map, since the leader may promote them by the
    stored map until the next one is known to be stored. Those that the stored map itself had
    replaced can't be promoted any more.

    :param stored: the map that is known to be in the store.
    :param candidates: servers that may hold keys.
    """
    usable = set(candidates)
    ends = [item.last for item in stored.ranges]
    chosen: dict[_Grant, tuple[Standby, ...]] = {}
    token = keymap.token
    ranges = []
    for item in keymap.ranges:
        grant = (item.holder, item.token)
        in_force = _in_force(item, usable) or chosen.get(grant)
        if in_force is None:
            holders = (item.holder, *_choose(item, candidates, len(chosen)))
            in_force = tuple(
                Standby(holder, token + number) for number, holder in enumerate(holders, 1)
            )
            token += len(in_force)
            chosen[grant] = in_force
        reserved = promotable(_overlapping(stored, ends, item))
        replaced = tuple(old for old in item.standbys if old in reserved and old not in in_force)
        ranges.append(replace(item, standbys=(*in_force, *replaced)))
    return replace(keymap, ranges=tuple(ranges), token=token)


def promotable(stored: Iterable[KeyRange]) -> set[Standby]:
    """Return the standbys that a leader may promote by ranges of a map that it stored."""
    pairs = ((item.renewal, item.standby) for item in stored)
    return {standby for pair in pairs for standby in pair if standby is not None}


def _in_force(item: KeyRange, usable: Collection[Holder]) -> tuple[Standby, ...] | None:
    """Return the current standbys of a range, or ``None`` if they have to be replaced."""
    renewal, standby = item.renewal, item.standby
    if renewal is None or standby is None or standby.holder not in usable:
        return None
    return renewal, standby


def _choose(item: KeyRange, candidates: Sequence[Holder], number: int) -> tuple[Holder, ...]:
    """Return another server as the standby, if there is one; successive numbers differ."""
    others = [holder for holder in candidates if holder != item.holder]
    return (others[number % len(others)],) if others else ()


def promote(keymap: KeyMap, tokens: Collection[int]) -> KeyMap:
    """Return the map with the standbys of some tokens as the holders of their ranges.

    A range that has since moved at a higher token stays with its new holder. Its standby becomes
    a previous holder, which the move waits for.
    """
    if not tokens or not any(
        standby.token in tokens for item in keymap.ranges for standby in item.standbys
    ):
        return keymap
    return replace(keymap, ranges=tuple(_promoted(item, tokens) for item in keymap.ranges))


def _promoted(item: KeyRange, tokens: Collection[int]) -> KeyRange:
    for standby in sorted(item.standbys, key=lambda standby: standby.token):
        if standby.token not in tokens:
            continue
        if standby.token > item.token:
            item = replace(
                item,
                holder=standby.holder,
                token=standby.token,
                settled=False,
                previous=_without(standby.holder, (*item.previous, item.holder)),
                former_standbys=_without(standby.holder, item.former_standbys),
                standbys=tuple(other for other in item.standbys if other != standby),
            )
        elif not item.settled:
            previous = _without(item.holder, (*item.previous, standby.holder))
            item = replace(item, previous=previous)
    return item


def inherited(keymap: KeyMap) -> KeyMap:
    """Return an earlier leader's map with all standbys as former ones.

    The earlier leader may have promoted any of them.
    """
    ranges = tuple(
        replace(
            item,
            standbys=(),
            former_standbys=_without(
                item.holder,
                (*item.former_standbys, *(standby.holder for standby in item.standbys)),
            ),
        )
        for item in keymap.ranges
    )
    return replace(keymap, ranges=ranges)


def with_known_holders(
    keymap: KeyMap, known: KeyMap, has_ended: Callable[[KeyRange, Holder], bool]
) -> KeyMap:
    """Return a map with the possible holders of the one that it replaces as former standbys.

    The writer of the map may not have known of all of them. Where ranges were split or joined,
    those of each overlapping range count.

    :param known: the map that is replaced.
    :param has_ended: returns whether a server certainly holds a range of ``known`` no more.
    """
    ends = [item.last for item in known.ranges]
    ranges = []
    for item in keymap.ranges:
        holders = (
            holder
            for other in _overlapping(known, ends, item)
            for holder in other.possible_holders
            if holder not in item.previous and not has_ended(other, holder)
        )
        former = _without(item.holder, (*item.former_standbys, *holders))
        ranges.append(replace(item, former_standbys=former))
    return replace(keymap, ranges=tuple(ranges))


def _overlapping(known: KeyMap, ends: Sequence[int], item: KeyRange) -> Iterable[KeyRange]:
    """Yield the ranges of a map that share keys with a range; ``ends`` are their last keys."""
    for other in known.ranges[bisect_left(ends, item.first) :]:
        if other.first > item.last:
            return
        yield other


def _without(holder: Holder, others: Iterable[Holder]) -> tuple[Holder, ...]:
    return tuple(dict.fromkeys(other for other in others if other != holder))
