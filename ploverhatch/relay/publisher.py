"""What the leader tells, and what it may claim. Pure.

A claim rests on two facts: the leader's watch has been waiting at the store,
and the store answered a call of the leader after that watch had been sent. A
change would have ended the watch.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from ploverhatch.relay.messages import Beacon, Claim, Told, ToldChange


@dataclass(frozen=True, slots=True)
class Proof:
    """When a node's own view of a kind was surely current; elapsed milliseconds."""

    current_ms: float = -1e12
    watching_since_ms: float | None = None  # when the watch that waits was sent


def watch_sent(proof: Proof, now_ms: float) -> Proof:
    """A watch leaves right now."""
    return replace(proof, watching_since_ms=now_ms)


def watch_over(proof: Proof) -> Proof:
    """No watch waits any more."""
    return replace(proof, watching_since_ms=None)


def read(proof: Proof, sent_ms: float) -> Proof:
    """A watch or a listing that was sent at ``sent_ms`` was answered."""
    return Proof(max(proof.current_ms, sent_ms))


def store_answered(proof: Proof, sent_ms: float) -> Proof:
    """The store answered another call, sent at ``sent_ms``, while a watch waits or not."""
    if proof.watching_since_ms is None or sent_ms < proof.watching_since_ms:
        return proof
    return replace(proof, current_ms=max(proof.current_ms, sent_ms))


@dataclass(frozen=True, slots=True)
class FeedView:
    """A kind as the leader can speak for it."""

    reached: int  # revision up to which all changes were told
    current_ms: float


@dataclass(frozen=True, slots=True)
class Term:
    """A term of leadership: its lease's revision, and when the last renewal was sent."""

    lease_revision: int
    renewed_ms: float


def beacon(term: Term, views: Mapping[str, FeedView], now_ms: float) -> Beacon:
    """Return the claims for all kinds that can be spoken for."""
    claims = {
        kind: Claim(view.reached, max(0.0, now_ms - view.current_ms))
        for kind, view in views.items()
        if view.reached >= 0
    }
    return Beacon(term.lease_revision, now_ms - term.renewed_ms, claims)


def in_parts(
    kind: str, base: int, reached: int, sized: Iterable[tuple[ToldChange, int]], most: int
) -> list[Told]:
    """Divide changes into messages of at most ``most`` bytes of changes each.

    :param sized: changes in order, each with its size in bytes.
    :returns: the messages; none when one change alone is too long, so that
        nodes notice the gap and ask the store.
    """
    groups: list[list[ToldChange]] = [[]]
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
        Told(kind, base, reached, group, part, len(groups)) for part, group in enumerate(groups)
    ]
