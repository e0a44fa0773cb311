"""Messages that the leader sends, and the conditions for its claims.

A claim is based on an answer of the store only: a watch that has returned, with changes or without
any after its whole wait. A watch that still waits proves nothing, since its connection may be
dead without a sign.

This module does no I/O and reads no clock. Times are milliseconds of the elapsed clock.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ploverhatch.relay.messages import Beacon, Claim, RelayedChange, RelayedUpdate


def confirmed_ms(sent_ms: float, answered_ms: float, wait_ms: float, empty: bool) -> float:
    """Return when a view was last known to be current, after a watch was answered.

    A process that was suspended reads an answer late. The answer then proves only that the view
    was current at the earliest time at which the store can have sent it.

    :param wait_ms: how long the watch asked the store to wait.
    :param empty: whether the answer had no changes.
    """
    waited = empty and answered_ms - sent_ms >= wait_ms
    return sent_ms + wait_ms if waited else sent_ms


@dataclass(frozen=True, slots=True)
class FeedView:
    """The leader's view of a kind of stored objects."""

    through_revision: int  # revision up to which all changes were relayed; below 0 if unknown
    current_ms: float  # when the view was last known to be current


@dataclass(frozen=True, slots=True)
class Term:
    """A term of leadership: the revision of its lease, and when its last renewal was sent."""

    lease_revision: int
    renewed_ms: float


def beacon(term: Term, views: Mapping[str, FeedView], now_ms: float, address: str = "") -> Beacon:
    """Return a beacon with claims for all kinds whose changes the leader knows."""
    claims = {
        kind: Claim(view.through_revision, max(0.0, now_ms - view.current_ms))
        for kind, view in views.items()
        if view.through_revision >= 0
    }
    return Beacon(term.lease_revision, now_ms - term.renewed_ms, claims, address=address)


def split_changes(
    kind: str,
    base: int,
    through_revision: int,
    sized_changes: Iterable[tuple[RelayedChange, int]],
    max_bytes: int,
) -> list[RelayedUpdate]:
    """Divide changes into updates of at most ``max_bytes`` bytes of changes each.

    :param sized_changes: changes in order, each with its size in bytes.
    :returns: the updates; none if a single change is too long, so that nodes notice the gap and
        ask the store.
    """
    groups: list[list[RelayedChange]] = [[]]
    filled = 0
    for change, size in sized_changes:
        if size > max_bytes:
            return []
        if filled + size > max_bytes:
            groups.append([])
            filled = 0
        groups[-1].append(change)
        filled += size
    return [
        RelayedUpdate(kind, base, through_revision, group, part, len(groups))
        for part, group in enumerate(groups)
    ]
