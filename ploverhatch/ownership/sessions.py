"""What a control leader knows of servers, moves and load since it was elected."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ploverhatch.common.keyspace import SliceRange
from ploverhatch.ownership.messages import SyncRequest


@dataclass
class ServerSession:
    """What the leader knows of one server since it was elected."""

    lease_until_ms: float
    boot_id: str = ""
    clock_ms: float = 0.0
    clock_read_ms: float = float("-inf")
    replied_ms: float = float("-inf")
    due_ms: float = float("-inf")
    failures: int = 0
    needs_full: bool = True
    full_above_sequence: int = 0  # only a full call with a higher sequence will do
    draining: bool = False
    call: SyncRequest | None = None
    grants: dict[SliceRange, int] = field(default_factory=dict)
    revokes: set[SliceRange] = field(default_factory=set)


@dataclass
class Move:
    """A planned change of one range's owner."""

    target: str
    source: str
    reason: str
    proposed: bool = False


@dataclass
class NodeLoads:
    """Load report of one router."""

    reported_ms: float
    slices: dict[tuple[str, int], float]
    keys: dict[tuple[str, int], float]


def drop_pending(session: ServerSession, span: SliceRange) -> None:
    """Take a range out of the grants that wait to be delivered."""
    kept: dict[SliceRange, int] = {}
    for pending, token in session.grants.items():
        for part in subtract(pending, [span]):
            kept[part] = token
    session.grants = kept


def subtract(span: SliceRange, holes: Iterable[SliceRange]) -> list[SliceRange]:
    """Return the parts of a range outside all holes."""
    parts = [span]
    for hole in holes:
        if hole.group != span.group:
            continue
        remaining = []
        for part in parts:
            if hole.last < part.first or hole.first > part.last:
                remaining.append(part)
                continue
            if part.first < hole.first:
                remaining.append(SliceRange(part.group, part.first, hole.first - 1))
            if part.last > hole.last:
                remaining.append(SliceRange(part.group, hole.last + 1, part.last))
        parts = remaining
    return parts
