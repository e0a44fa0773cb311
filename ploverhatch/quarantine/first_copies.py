"""Admission of the first copy of a request that no server has answered yet, at one node.

Many callers may send a request that crashes servers at the same time. Until the first server
has crashed, such a request can't be told from a new and popular one. So the first copy is sent,
and the others wait for its answer, but only for a moment: a request that takes longer is sent
as if nothing was known of it. Requests are compared by their short digests only, since every
request passes this check. This module does no I/O and reads no clock.
"""

import math
from collections.abc import Hashable
from dataclasses import dataclass

# Most requests that crash their server do so within some tens of milliseconds.
MAX_WAIT_MS = 60.0
MAX_PROVEN = 1024  # the digests answered last; those of popular requests stay among them


@dataclass(frozen=True, slots=True)
class _FirstCopy:
    """The copy that is sent while the others wait."""

    requester: Hashable
    until_ms: float


class FirstCopies:
    """First copies under way, and requests answered before; times are elapsed milliseconds."""

    def __init__(self) -> None:
        self._first: dict[bytes, _FirstCopy] = {}
        self._awaited: set[bytes] = set()  # short digests of which other copies wait
        self._proven: dict[bytes, float] = {}  # time of the last answer, oldest first

    def __len__(self) -> int:
        return len(self._first)

    def admit(self, short_digest: bytes, requester: Hashable, now_ms: float) -> float:
        """Return for how many milliseconds a copy waits at most; 0 if it may be sent."""
        if short_digest in self._proven:
            return 0.0
        first = self._first.get(short_digest)
        if first is None:
            self._first[short_digest] = _FirstCopy(requester, now_ms + MAX_WAIT_MS)
            return 0.0
        if first.requester is requester or now_ms >= first.until_ms:
            return 0.0
        self._awaited.add(short_digest)
        return min(MAX_WAIT_MS, first.until_ms - now_ms)  # rounding may exceed the limit

    def note_answer(self, short_digest: bytes, now_ms: float) -> None:
        """Record that a server has answered a copy."""
        self._proven.pop(short_digest, None)
        self._proven[short_digest] = now_ms
        if len(self._proven) > MAX_PROVEN:
            del self._proven[next(iter(self._proven))]

    def answered_since(self, short_digest: bytes, sent_ms: float) -> bool:
        """Return whether a copy was answered at this node at or after a time."""
        return self._proven.get(short_digest, -math.inf) >= sent_ms

    def finish(self, short_digest: bytes, requester: Hashable) -> bool:
        """Forget a request that has ended; return whether other copies waited for it."""
        first = self._first.get(short_digest)
        if first is None or first.requester is not requester:
            return False
        del self._first[short_digest]
        awaited = short_digest in self._awaited
        self._awaited.discard(short_digest)
        return awaited
