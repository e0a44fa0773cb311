"""What the leader tells, and what it may claim. Pure.

A claim rests on an answer of the store alone: a watch that returned, with
changes or after its whole wait without any. A watch that still waits proves
nothing, since a connection may have died without a word.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ploverhatch.relay.messages import Beacon, Claim, RelayedChange, RelayedUpdate


def confirmed_ms(sent_ms: float, answered_ms: float, wait_ms: float, empty: bool) -> float:
    """Return when a view was surely current, after a watch was answered.

    An answer that was read late, by a process that stood still, may be as old
    as the earliest time at which the store can have given it.

    :param wait_ms: how long the watch asked the store to wait.
    :param empty: whether the answer held no changes.
    """
    waited = empty and answered_ms - sent_ms >= wait_ms
    return sent_ms + wait_ms if waited else sent_ms


@dataclass(frozen=True, slots=True)
class FeedView:
    """A kind as the leader can speak for it."""

    through_revision: int  # revision up to which all changes were told
    current_ms: float


@dataclass(frozen=True, slots=True)
class Term:
    """A term of leadership: its lease's revision, and when the last renewal was sent."""

    lease_revision: int
    renewed_ms: float


def beacon(term: Term, views: Mapping[str, FeedView], now_ms: float, address: str = "") -> Beacon:
    """Return the claims for all kinds that can be spoken for."""
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
    sized: Iterable[tuple[RelayedChange, int]],
    most: int,
) -> list[RelayedUpdate]:
    """Divide changes into messages of at most ``most`` bytes of changes each.

    :param sized: changes in order, each with its size in bytes.
    :returns: the messages; none when one change alone is too long, so that
        nodes notice the gap and ask the store.
    """
    groups: list[list[RelayedChange]] = [[]]
    filled = 0
    for change, size in sized:
        if size > most:
            return []
        if filled + size > most:
            groups.append([])
            filled = 0
        groups[-1].append(change)
        filled += size
    return [
        RelayedUpdate(kind, base, through_revision, group, part, len(groups))
        for part, group in enumerate(groups)
    ]
