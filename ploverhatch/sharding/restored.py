"""Key maps after a restore of the store from a snapshot, in which later maps were lost.

This module does no I/O and reads no clock.
"""

from collections.abc import Iterable
from dataclasses import replace

from ploverhatch.sharding.keymap import Holder, KeyMap, merge_neighbours

# An era is the time between two restores of the store. In the era of the remaining map, lost maps
# issue fewer than TOKEN_GAP tokens. Each later era begins at a multiple of TOKENS_PER_ERA, which
# is above the tokens of all earlier eras, also where the store is restored more than once.
TOKEN_GAP = 100_000
TOKENS_PER_ERA = 1 << 24


def token_above_lost(token: int, restores: int) -> int:
    """Return a token above all tokens that maps lost in restores may have issued.

    :param token: the highest token of the remaining map.
    :param restores: the number of restores of the store so far.
    """
    return max(token + TOKEN_GAP, restores * TOKENS_PER_ERA)


def possible_holders(keymap: KeyMap, servers: Iterable[Holder]) -> tuple[Holder, ...]:
    """Return all servers that may hold any of a map's keys, also by lost maps.

    :param servers: the present servers.
    """
    holders = {
        holder.server_id: holder for item in keymap.ranges for holder in item.possible_holders
    }
    for holder in servers:
        holders.setdefault(holder.server_id, holder)
    return tuple(holders.values())


def revoked_everywhere(keymap: KeyMap, holders: Iterable[Holder], restores: int) -> KeyMap:
    """Return the map with each range moving from every possible holder to its holder.

    :param holders: all servers that may hold any key.
    :param restores: the number of restores of the store so far.
    """
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
