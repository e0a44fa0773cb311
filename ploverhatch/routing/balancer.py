"""Choice of a server for a request that any server of a service may run. Pure.

The estimate of a server's answer time is its mean answer time, weighed by what
this node has under way there. Servers of the node's own zone are preferred
while they are about as good, since bytes between zones cost money.
"""

from collections.abc import Iterable
from dataclasses import dataclass

OTHER_ZONE_FACTOR = 1.6
COLD_FACTOR = 2.0
FAILURE_FACTOR = 8.0


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """What a node knows of one server when it chooses."""

    server_id: str
    slots: int
    in_flight: int
    mean_ms: float
    oldest_ms: float  # age of the oldest request under way
    same_zone: bool
    cold: bool
    failing: bool


def cost(load: ServerLoad) -> float:
    """Return the expected answer time, in milliseconds, with preferences."""
    estimate = max(load.mean_ms, load.oldest_ms * 0.5)
    queue_factor = 1.0 + load.in_flight / load.slots
    factor = 1.0 if load.same_zone else OTHER_ZONE_FACTOR
    factor *= COLD_FACTOR if load.cold else 1.0
    factor *= FAILURE_FACTOR if load.failing else 1.0
    return estimate * queue_factor * factor


def choose(loads: Iterable[ServerLoad], jitter: dict[str, float]) -> str | None:
    """Return the cheapest server's id, or ``None`` without servers.

    :param jitter: a factor near 1 per server, so that nodes differ.
    """
    best = min(
        loads,
        key=lambda load: cost(load) * jitter.get(load.server_id, 1.0),
        default=None,
    )
    return best.server_id if best else None
