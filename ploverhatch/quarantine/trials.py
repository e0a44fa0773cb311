"""Permits for trials: single copies of a suspect request that are sent to a server.

The leader grants the permits, so that all nodes together send one copy of a request at a time.
Times are elapsed milliseconds of the leader. This module does no I/O and reads no clock.
"""

from collections.abc import Hashable
from dataclasses import dataclass

# A request that crashes its server does so sooner, so that trials of it don't overlap. For a
# request that runs longer a further copy is sent each time a permit expires, and a node that
# dies with a permit delays the others no longer than this.
PERMIT_MS = 500.0


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission to send one copy."""

    requester: Hashable
    until_ms: float


class Trials:
    """Permits by request digest, at most one each."""

    def __init__(self) -> None:
        self._permits: dict[bytes, Permit] = {}

    def __len__(self) -> int:
        return len(self._permits)

    def acquire(self, request_digest: bytes, requester: Hashable, now_ms: float) -> float:
        """Return after how many milliseconds to ask again; 0 if the copy may be sent.

        The permit of a requester that holds one already is renewed for its whole time.
        """
        self._expire(now_ms)
        permit = self._permits.get(request_digest)
        if permit is not None and permit.requester != requester:
            return permit.until_ms - now_ms
        self._permits[request_digest] = Permit(requester, now_ms + PERMIT_MS)
        return 0.0

    def release(self, request_digest: bytes, requester: Hashable) -> None:
        """Release the permit of a copy that has ended, if its requester still holds it."""
        permit = self._permits.get(request_digest)
        if permit is not None and permit.requester == requester:
            del self._permits[request_digest]

    def _expire(self, now_ms: float) -> None:
        expired = [digest for digest, held in self._permits.items() if held.until_ms <= now_ms]
        for request_digest in expired:
            del self._permits[request_digest]
