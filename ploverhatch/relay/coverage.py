"""When a node may rely on the leader's word instead of asking the store. Pure.

A node relies on it for a kind while the leader has shown that its own view was
current less than ``limit_ms`` ago, and the node has taken all that was told.
Otherwise the node asks the store itself. So nothing depends on the leader but
the number of calls to the store. Times are milliseconds of the node's own
elapsed clock; how old the leader's view is comes as an age, not as a time.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from ploverhatch.relay.messages import Beacon, RelayedChange, RelayedUpdate


@dataclass(frozen=True, slots=True)
class KindCoverage:
    """What the leader last claimed for a kind."""

    through_revision: int  # revision of the store
    fresh_until_ms: float


@dataclass(frozen=True, slots=True)
class Coverage:
    """What a node was told of the leader's view."""

    limit_ms: float
    lease_revision: int = 0
    kinds: Mapping[str, KindCoverage] = field(default_factory=dict)


def apply_beacon(state: Coverage, beacon: Beacon) -> Coverage:
    """Take a beacon; one of an earlier leader, or an overtaken one, changes nothing."""
    if beacon.lease_revision < state.lease_revision:
        return state
    kinds = {
        kind: KindCoverage(claim.through_revision, beacon.sent_ms - claim.age_ms + state.limit_ms)
        for kind, claim in beacon.claims.items()
    }
    return replace(state, lease_revision=beacon.lease_revision, kinds=kinds)


def covered_until_ms(state: Coverage, kind: str, cursor: int) -> float:
    """Return until when the store need not be asked; ``-inf``: ask now.

    :param cursor: revision up to which the node knows all changes of the kind.
    """
    known = state.kinds.get(kind)
    if known is None or cursor < known.through_revision:
        return float("-inf")
    return known.fresh_until_ms


def is_behind(state: Coverage, kind: str, cursor: int, now_ms: float) -> bool:
    """Whether the leader, with a current view, knows changes that the node does not."""
    known = state.kinds.get(kind)
    return known is not None and cursor < known.through_revision and now_ms < known.fresh_until_ms


def current_ms(state: Coverage, kind: str, cursor: int) -> float:
    """Return when a node's view of a kind was surely current, by the leader's word."""
    return covered_until_ms(state, kind, cursor) - state.limit_ms


@dataclass(frozen=True, slots=True)
class Cursor:
    """Up to which revision a node knows all changes of a kind; below 0: it knows none."""

    revision: int = -1
    pending: RelayedUpdate | None = None  # last taken part of changes that are not whole yet


def follows(cursor: Cursor, told: RelayedUpdate, repeatable: bool = False) -> bool:
    """Whether a message's changes join what is known without a gap.

    Changes that are known already may be among them (:func:`is_known`).

    :param repeatable: whether a change may also be taken again by itself.
    """
    if cursor.revision < 0 or told.base > cursor.revision:
        return False
    if told.through_revision <= cursor.revision and not repeatable:
        return False
    if told.part == 0:
        return True
    last = cursor.pending
    if last is None or (last.base, last.through_revision) != (told.base, told.through_revision):
        return False
    return last.part == told.part - 1


def is_known(cursor: Cursor, change: RelayedChange, known: int | None) -> bool:
    """Whether a change is known, or an object is known in a later version.

    Changes that are told in parts begin before the cursor. Where the last part gets lost, what
    was taken again of them would stay in place of what came after it.

    :param known: revision of the object as it is known; ``None`` where it isn't there.
    """
    if known is not None and known > change.revision:
        return True
    # A removal bears the revision of the object that is gone.
    return not change.gone and change.revision <= cursor.revision


def advanced(cursor: Cursor, told: RelayedUpdate) -> Cursor:
    """Return the cursor after the changes of a message that follows were taken."""
    if told.part == told.parts - 1:
        return Cursor(max(cursor.revision, told.through_revision))
    return replace(cursor, pending=told)
