"""Standbys: who may be granted a range while the store takes no new map. Pure.

A map in the store names a standby for each range and reserves a token for it, and another
one for the holder itself. While the store is away, the leader promotes the standby of a
holder that is gone, at that token: every later leader knows from the stored map which servers
an earlier one may have promoted, has them release the range at a higher token, and only then
grants it to anyone.
"""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import replace

from ploverhatch.sharding.keymap import Holder, KeyMap, KeyRange, Standby

_Grant = tuple[Holder, int]  # neighbours of one grant have one standby, so that they can be joined


def assign_standbys(keymap: KeyMap, stored: KeyMap, candidates: Sequence[Holder]) -> KeyMap:
    """Return the map with a standby for each range, at tokens that no grant has.

    Standbys that are replaced stay listed in the next map: until that one is surely stored,
    the leader may promote them by the map before it.

    :param stored: the map that the store surely has.
    :param candidates: servers that may hold keys.
    """
    usable = set(candidates)
    reserved = {standby for item in stored.ranges for standby in item.standbys}
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
        replaced = tuple(old for old in item.standbys if old in reserved and old not in in_force)
        ranges.append(replace(item, standbys=(*in_force, *replaced)))
    return replace(keymap, ranges=tuple(ranges), token=token)


def _in_force(item: KeyRange, usable: Collection[Holder]) -> tuple[Standby, ...] | None:
    """Return the standbys of a range that need not be replaced."""
    renewal, standby = item.renewal, item.standby
    if renewal is None or standby is None or standby.holder not in usable:
        return None
    return renewal, standby


def _choose(item: KeyRange, candidates: Sequence[Holder], number: int) -> tuple[Holder, ...]:
    """Return a server for one more grant, if there is one; successive grants differ."""
    others = [holder for holder in candidates if holder != item.holder]
    return (others[number % len(others)],) if others else ()


def promote(keymap: KeyMap, tokens: Collection[int]) -> KeyMap:
    """Return the map with the standbys of some tokens as the holders of their ranges.

    A range that has moved on at a higher token stays there; its move waits for the standby.
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
    """Return an earlier leader's map: it may have promoted any of the standbys."""
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


def _without(holder: Holder, others: Iterable[Holder]) -> tuple[Holder, ...]:
    return tuple(dict.fromkeys(other for other in others if other != holder))
