"""State that a control leader keeps about servers, moves and load since its election."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from ploverhatch.common.keyspace import SliceRange
from ploverhatch.ownership.messages import SyncRequest


@dataclass
class ServerSession:
    """State of one server since the election of the leader.

    ``lease_until_ms`` is the latest time at which the lease of the server may still be
    valid. ``grants`` and ``revokes`` are those not yet acknowledged, and ``call`` is the
    call in flight. ``needs_full`` requires a call that replaces all grants.
    """

    lease_until_ms: float
    boot_id: str = ""
    clock_ms: float = 0.0
    clock_read_ms: float = float("-inf")
    replied_ms: float = float("-inf")
    due_ms: float = float("-inf")
    failures: int = 0
    needs_full: bool = True
    full_above_sequence: int = 0  # only a full call with a higher sequence clears ``needs_full``
    draining: bool = False
    call: SyncRequest | None = None
    grants: dict[SliceRange, int] = field(default_factory=dict)
    revokes: set[SliceRange] = field(default_factory=set)


@dataclass
class Move:
    """An incomplete change of the owner of one range."""

    target: str
    source: str
    reason: str
    proposed: bool = False


@dataclass
class NodeLoads:
    """Load report of one node, in requests per second.

    Slices are keyed by (group, first hash) and keys by (group, hash).
    """

    reported_ms: float
    slices: dict[tuple[str, int], float]
    keys: dict[tuple[str, int], float]


def drop_pending(session: ServerSession, span: SliceRange) -> None:
    """Remove a range from the undelivered grants of a session."""
    kept: dict[SliceRange, int] = {}
    for pending, token in session.grants.items():
        for part in subtract(pending, [span]):
            kept[part] = token
    session.grants = kept


def subtract(span: SliceRange, holes: Iterable[SliceRange]) -> list[SliceRange]:
    """Return the parts of a range that lie outside all holes."""
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
