"""How long a node may send requests by a key map that it can't confirm.

A server may accept a grant seconds after it was sent without an answer. If it could not be
reached with a release, it then holds keys that another server has been granted meanwhile. So no
node may send it requests any more by then: a node trusts its map for ``MAP_TRUST_MS`` after the
map was last known to be current, and a leader that moves keys away from an unresponsive server
waits at least as long before it grants them to another one.

This module does no I/O and reads no clock. Times are milliseconds of each node's elapsed clock.
"""

MAP_TRUST_MS = 3000.0
IN_FLIGHT_MARGIN_MS = 300.0  # covers requests in flight and clock drift


def map_is_trusted(current_ms: float, now_ms: float) -> bool:
    """Whether requests may still be sent by a map.

    :param current_ms: when the map was last known to be current.
    """
    return now_ms - current_ms < MAP_TRUST_MS


def unused_from_ms(changed_ms: float) -> float:
    """Return the time from which no node sends requests by maps older than a change."""
    return changed_ms + MAP_TRUST_MS + IN_FLIGHT_MARGIN_MS
