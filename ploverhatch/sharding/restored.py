"""Key maps after a restore of the store from a snapshot, in which later maps were lost. Pure."""

from collections.abc import Iterable
from dataclasses import replace

from ploverhatch.sharding.keymap import Holder, KeyMap, merge_neighbours

# Above the tokens that maps lost in a restore may have issued: in the era of the map that is
# left, and in each of those since, where the store was restored more than once.
TOKEN_GAP = 100_000
TOKENS_PER_ERA = 1 << 24


def token_above_lost(token: int, restores: int) -> int:
    """Return a token above all that maps lost in restores may have issued.

    :param token: the highest one of a map that is left.
    :param restores: how often the store was restored so far.
    """
    return max(token + TOKEN_GAP, restores * TOKENS_PER_ERA)


def possible_holders(keymap: KeyMap, servers: Iterable[Holder]) -> tuple[Holder, ...]:
    """Return all that may hold any of a map's keys, by lost maps as well.

    :param servers: those that are there now.
    """
    holders = {
        holder.server_id: holder for item in keymap.ranges for holder in item.possible_holders
    }
    for holder in servers:
        holders.setdefault(holder.server_id, holder)
    return tuple(holders.values())


def revoked_everywhere(keymap: KeyMap, holders: Iterable[Holder], restores: int) -> KeyMap:
    """Return the map with each range moving from every possible holder to its own."""
    token = token_above_lost(keymap.token, restores)
    ranges = tuple(
        replace(
            item,
            token=token,
            settled=False,
            previous=tuple(other for other in holders if other != item.holder),
            standbys=(),
            former_standbys=(),
        )
        for item in keymap.ranges
    )
    return merge_neighbours(replace(keymap, ranges=ranges, token=token))
