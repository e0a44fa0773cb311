"""What may be sent to a server, by all that is known of it. Pure; elapsed milliseconds."""

from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum

from ploverhatch.state.servers import ServerRecord, ServerSet

DRAINING_HOLDER_MS = 700.0  # how long a draining server still gets its keys' requests
# Of the time until a server that says that it leaves gets nothing from the node that heard
# it: how long its keys' requests still go there. The rest is for those already on their way.
LEAVING_HOLDER_FRACTION = 0.6
# Of the time until an evacuated zone gets nothing: how long its servers still get their
# keys' requests while these wait for a new holder. Another part goes by until this node
# hears of the evacuation, and a request that was sent may take a while to arrive.
EVACUATED_HOLDER_FRACTION = 0.3


class Exclusion(Enum):
    """Why a request may not be sent to a server now."""

    GONE = "gone"  # it has no record
    REGION = "region"  # the route is not served there
    LEAVES = "leaves"
    RESTS = "rests"  # it asked this node for a rest


@dataclass(frozen=True, slots=True)
class HolderGracePeriods:
    """For how long a holder that leaves still gets its keys' requests, while these move."""

    announced_ms: float  # after the first word of it in an answer
    evacuated_ms: float
    draining_ms: float = DRAINING_HOLDER_MS

    @classmethod
    def of(cls, drain_ms: float, evacuate_ms: float) -> "HolderGracePeriods":
        """Return the times that follow from bounds.

        :param drain_ms: until a server that said to this node that it leaves gets nothing.
        :param evacuate_ms: until an evacuated zone gets nothing.
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
    """Return why a request may not be sent to a server now; ``None``: it may.

    :param keyed: whether only this server may run the request.
    :param regions: whose servers may run it; all where none is named.
    """
    record = servers.records.get(server_id)
    if record is None:
        return Exclusion.GONE
    if not record.in_regions(regions):
        return Exclusion.REGION
    if servers.notices.backoff_left_ms(server_id, now_ms) > 0:
        return Exclusion.RESTS
    if record.leaving and (not keyed or _left_long_ago(servers, record, times, now_ms)):
        return Exclusion.LEAVES
    return None


def _left_long_ago(
    servers: ServerSet, record: ServerRecord, times: HolderGracePeriods, now_ms: float
) -> bool:
    """Whether a server is leaving for so long that its keys' requests go there no more."""
    said_ms = servers.notices.leaving_ms.get(record.server_id)
    if said_ms is not None and now_ms - said_ms > times.announced_ms:
        return True
    since_ms = servers.leaving_since.get(record.server_id)
    if since_ms is None or not (record.draining or record.evacuated):
        return False
    limit_ms = times.draining_ms if record.draining else times.evacuated_ms
    return now_ms - since_ms > limit_ms
