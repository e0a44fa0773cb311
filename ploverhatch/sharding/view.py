"""How long a node may send requests by a key map that it can't confirm. Pure.

A grant without an answer may be taken seconds later. If its server could not
be told to release the keys, it then holds them again while another server has
been granted them. So no node may still send it requests: a node trusts its map
for ``MAP_TRUST_MS`` after it was surely current, and a leader that moves keys away
from a silent server lets so much time pass before it grants them elsewhere.
Times are milliseconds of each node's own elapsed clock.
"""

MAP_TRUST_MS = 3000.0
SPREAD_MARGIN_MS = 300.0  # for requests on their way, and clocks that drift


def map_is_trusted(current_ms: float, now_ms: float) -> bool:
    """Whether a map may still guide requests.

    :param current_ms: when the map was surely current.
    """
    return now_ms - current_ms < MAP_TRUST_MS


def unused_from_ms(changed_ms: float) -> float:
    """Return from when no node sends requests by maps before a change."""
    return changed_ms + MAP_TRUST_MS + SPREAD_MARGIN_MS
