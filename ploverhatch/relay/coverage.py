"""Coverage: when a node may rely on the leader's relay instead of asking the store.

A node relies on the relay for a kind of objects while the leader has shown that its own view was
current less than ``limit_ms`` ago, and the node has applied all relayed changes. Otherwise the
node asks the store itself, so only the number of calls to the store depends on the leader.

This module does no I/O and reads no clock. Times are milliseconds of the node's elapsed clock.
Messages hold the age of the leader's view, since the clocks of nodes differ.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from ploverhatch.relay.messages import Beacon, RelayedChange, RelayedUpdate


@dataclass(frozen=True, slots=True)
class KindCoverage:
    """The leader's latest claim for a kind."""

    through_revision: int  # revision of the store up to which all changes were relayed
    fresh_until_ms: float


@dataclass(frozen=True, slots=True)
class Coverage:
    """A node's knowledge of the leader's view.

    :param limit_ms: age of the leader's view up to which the node relies on it.
    """

    limit_ms: float
    lease_revision: int = 0
    kinds: Mapping[str, KindCoverage] = field(default_factory=dict)


def apply_beacon(state: Coverage, beacon: Beacon) -> Coverage:
    """Return the coverage after a beacon; one with an earlier lease changes nothing."""
    if beacon.lease_revision < state.lease_revision:
        return state
    kinds = {
        kind: KindCoverage(claim.through_revision, beacon.sent_ms - claim.age_ms + state.limit_ms)
        for kind, claim in beacon.claims.items()
    }
    return replace(state, lease_revision=beacon.lease_revision, kinds=kinds)


def covered_until_ms(state: Coverage, kind: str, cursor: int) -> float:
    """Return the time until which the store need not be asked, or ``-inf`` to ask now.

    :param cursor: revision up to which the node knows all changes of the kind.
    """
    known = state.kinds.get(kind)
    if known is None or cursor < known.through_revision:
        return float("-inf")
    return known.fresh_until_ms


def is_behind(state: Coverage, kind: str, cursor: int, now_ms: float) -> bool:
    """Whether the leader has a current view, with changes that the node doesn't know."""
    known = state.kinds.get(kind)
    return known is not None and cursor < known.through_revision and now_ms < known.fresh_until_ms


def current_ms(state: Coverage, kind: str, cursor: int) -> float:
    """Return when a node's view of a kind was last known to be current, by the leader's relay."""
    return covered_until_ms(state, kind, cursor) - state.limit_ms


@dataclass(frozen=True, slots=True)
class Cursor:
    """The revision up to which a node knows all changes of a kind; below 0 if it knows none."""

    revision: int = -1
    pending: RelayedUpdate | None = None  # last applied part of an incomplete update


def follows(cursor: Cursor, update: RelayedUpdate, repeatable: bool = False) -> bool:
    """Whether an update follows the known changes without a gap.

    It may contain changes that are known already (:func:`is_known`).

    :param repeatable: whether an update without newer changes may be applied too.
    """
    if cursor.revision < 0 or update.base > cursor.revision:
        return False
    if update.through_revision <= cursor.revision and not repeatable:
        return False
    if update.part == 0:
        return True
    last = cursor.pending
    if last is None or (last.base, last.through_revision) != (update.base, update.through_revision):
        return False
    return last.part == update.part - 1


def is_known(cursor: Cursor, change: RelayedChange, known: int | None) -> bool:
    """Whether a change is known, or its object is known in a later version.

    An update in parts may begin before the cursor. If its last part gets lost, an old change that
    was applied again would stay in place of a later one.

    :param known: known revision of the object; ``None`` if the object is absent.
    """
    if known is not None and known > change.revision:
        return True
    # A removal has the revision of the removed object.
    return not change.gone and change.revision <= cursor.revision


def advanced(cursor: Cursor, update: RelayedUpdate) -> Cursor:
    """Return the cursor after an update that follows it was applied."""
    if update.part == update.parts - 1:
        return Cursor(max(cursor.revision, update.through_revision))
    return replace(cursor, pending=update)
