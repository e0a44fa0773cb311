"""Who may send a request under suspicion, one copy at a time. Pure.

Kept by the node that leads, so that all nodes together have one copy under way. Times
are milliseconds of that node's elapsed clock.
"""

from collections.abc import Hashable
from dataclasses import dataclass

# A request that ends its server does so sooner, so that its copies don't overlap. One that
# works for longer gets a further copy each time it is over, and a node that dies with a
# permit holds the others up no longer than that.
PERMIT_MS = 500.0


@dataclass(frozen=True, slots=True)
class Permit:
    """A copy that may be under way."""

    requester: Hashable
    until_ms: float


class Trials:
    """Permits by content; at most one of each."""

    def __init__(self) -> None:
        self._permits: dict[bytes, Permit] = {}

    def __len__(self) -> int:
        return len(self._permits)

    def acquire(self, content: bytes, asker: Hashable, now_ms: float) -> float:
        """Return after how many milliseconds to ask again; 0: the copy may be sent.

        One that has the permit already gets it for the whole time again.
        """
        self._expire(now_ms)
        held = self._permits.get(content)
        if held is not None and held.requester != asker:
            return held.until_ms - now_ms
        self._permits[content] = Permit(asker, now_ms + PERMIT_MS)
        return 0.0

    def release(self, content: bytes, asker: Hashable) -> None:
        """A copy has ended; an end that is told late changes nothing for another one."""
        held = self._permits.get(content)
        if held is not None and held.requester == asker:
            del self._permits[content]

    def _expire(self, now_ms: float) -> None:
        over = [content for content, held in self._permits.items() if held.until_ms <= now_ms]
        for content in over:
            del self._permits[content]
