"""Whether a request may be sent to a server, by all that is known of the server.

The holder of a key is the only server that may run requests for it. A leaving holder still
receives them for a grace period, while the key moves to another server.

This module does no I/O and reads no clock; times are milliseconds of the elapsed clock.
"""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from ploverhatch.state.servers import ServerRecord, ServerSet

DRAINING_HOLDER_MS = 700.0  # how long a draining holder still receives requests for its keys
# Once the drain time is over, a server that announced its leaving must receive nothing from a
# node that knows of it. For this fraction of the drain time the node still sends the server
# requests for its keys; the remainder is for requests already in transit.
LEAVING_HOLDER_FRACTION = 0.6
# Once the evacuation time is over, an evacuated zone must receive nothing. For this fraction of
# it, the zone's servers still receive requests for their keys, while the keys wait for a new
# holder. The remainder covers the delay until this node learns of the evacuation, and transit.
EVACUATED_HOLDER_FRACTION = 0.3


class Exclusion(Enum):
    """Why a request may not be sent to a server at this time."""

    GONE = "gone"  # the server has no record
    REGION = "region"  # the route is not served in the region of the server
    LEAVES = "leaves"  # the server is leaving
    RESTS = "rests"  # the server asked this node to back off


@dataclass(frozen=True, slots=True)
class HolderGracePeriods:
    """For how long a leaving holder still receives requests for its keys while these move."""

    announced_ms: float  # after the first answer that announced it
    evacuated_ms: float
    draining_ms: float = DRAINING_HOLDER_MS

    @classmethod
    def of(cls, drain_ms: float, evacuate_ms: float) -> "HolderGracePeriods":
        """Return the grace periods that keep to the configured bounds.

        :param drain_ms: the time after which a server that announced its leaving to this
            node must receive nothing.
        :param evacuate_ms: the time after which an evacuated zone must receive nothing.
        """
        return cls(drain_ms * LEAVING_HOLDER_FRACTION, evacuate_ms * EVACUATED_HOLDER_FRACTION)


def find_exclusion(
    servers: ServerSet,
    server_id: str,
    keyed: bool,
    regions: Collection[str],
    times: HolderGracePeriods,
    now_ms: float,
) -> Exclusion | None:
    """Return why a request may not be sent to a server now, or ``None`` if it may be.

    :param keyed: whether the request has a key, so that only this server may run it.
    :param regions: regions whose servers may run the request; empty: all.
    """
    record = servers.records.get(server_id)
    if record is None:
        return Exclusion.GONE
    if not record.in_regions(regions):
        return Exclusion.REGION
    if servers.notices.backoff_left_ms(server_id, now_ms) > 0:
        return Exclusion.RESTS
    if record.leaving and (not keyed or _grace_is_over(servers, record, times, now_ms)):
        return Exclusion.LEAVES
    return None


def _grace_is_over(
    servers: ServerSet, record: ServerRecord, times: HolderGracePeriods, now_ms: float
) -> bool:
    """Return whether a leaving server's grace period for its keys' requests is over."""
    announced_ms = servers.notices.leaving_ms.get(record.server_id)
    if announced_ms is not None and now_ms - announced_ms > times.announced_ms:
        return True
    since_ms = servers.leaving_since.get(record.server_id)
    if since_ms is None or not (record.draining or record.evacuated):
        return False
    limit_ms = times.draining_ms if record.draining else times.evacuated_ms
    return now_ms - since_ms > limit_ms
