"""Copies of what nobody was answered yet, at one node: the first one goes ahead. Pure.

What ends servers is asked for by many callers at a time, and until the first server has ended
nothing tells it from what is new and popular. So the others wait for the first one's answer,
for a moment only: what takes longer goes on as if nothing was known. Requests are told apart
by their hints alone, since all of them pass here.
"""

import math
from collections.abc import Hashable
from dataclasses import dataclass

# What ends its server mostly does so at once, within some tens of milliseconds.
MAX_WAIT_MS = 60.0
MAX_PROVEN = 1024  # hints that were answered last; what is popular stays among them


@dataclass(frozen=True, slots=True)
class _FirstCopy:
    """The copy that goes ahead."""

    requester: Hashable
    until_ms: float


class FirstCopies:
    """What goes ahead, and what was answered; times are milliseconds of the elapsed clock."""

    def __init__(self) -> None:
        self._first: dict[bytes, _FirstCopy] = {}
        self._awaited: set[bytes] = set()  # hints of which other copies were told to wait
        self._proven: dict[bytes, float] = {}  # when they were answered, in that order

    def __len__(self) -> int:
        return len(self._first)

    def admit(self, hint: bytes, asker: Hashable, now_ms: float) -> float:
        """Return for how many milliseconds a copy waits at most; 0: it may be sent."""
        if hint in self._proven:
            return 0.0
        first = self._first.get(hint)
        if first is None:
            self._first[hint] = _FirstCopy(asker, now_ms + MAX_WAIT_MS)
            return 0.0
        if first.requester is asker or now_ms >= first.until_ms:
            return 0.0
        self._awaited.add(hint)
        return min(MAX_WAIT_MS, first.until_ms - now_ms)  # a sum of floats may be off

    def note_answer(self, hint: bytes, now_ms: float) -> None:
        """A server has answered a copy."""
        self._proven.pop(hint, None)
        self._proven[hint] = now_ms
        if len(self._proven) > MAX_PROVEN:
            del self._proven[next(iter(self._proven))]

    def answered_since(self, hint: bytes, sent_ms: float) -> bool:
        """Whether a copy was answered here since a time."""
        return self._proven.get(hint, -math.inf) >= sent_ms

    def finish(self, hint: bytes, asker: Hashable) -> bool:
        """A request has ended; return whether others wait for it, as the one that went ahead."""
        first = self._first.get(hint)
        if first is None or first.requester is not asker:
            return False
        del self._first[hint]
        awaited = hint in self._awaited
        self._awaited.discard(hint)
        return awaited
