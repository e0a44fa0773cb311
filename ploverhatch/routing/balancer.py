"""Choice of a server for a request that any server of a service may run.

The expected answer time of a server is its mean answer time, scaled by the
number of requests that this node has in flight there. Servers in the node's
own zone are preferred while they are about as fast, since traffic between
zones costs money.

This module does no I/O and reads no clock.
"""

from collections.abc import Iterable
from dataclasses import dataclass

OTHER_ZONE_FACTOR = 1.6
COLD_FACTOR = 2.0
FAILURE_FACTOR = 8.0


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Load of one server as a node knows it when it chooses a server."""

    server_id: str
    slots: int
    in_flight: int
    mean_ms: float
    oldest_ms: float  # age of the oldest request in flight
    same_zone: bool
    cold: bool
    failing: bool


def cost(load: ServerLoad) -> float:
    """Return the expected answer time in milliseconds, scaled by the preferences for a server."""
    estimate = max(load.mean_ms, load.oldest_ms * 0.5)
    queue_factor = 1.0 + load.in_flight / load.slots
    factor = 1.0 if load.same_zone else OTHER_ZONE_FACTOR
    factor *= COLD_FACTOR if load.cold else 1.0
    factor *= FAILURE_FACTOR if load.failing else 1.0
    return estimate * queue_factor * factor


def choose(loads: Iterable[ServerLoad], jitter: dict[str, float]) -> str | None:
    """Return the id of the server with the lowest cost, or ``None`` without servers.

    :param jitter: a factor near 1 by server, so that nodes with equal loads choose differently.
    """
    best = min(
        loads,
        key=lambda load: cost(load) * jitter.get(load.server_id, 1.0),
        default=None,
    )
    return best.server_id if best else None
