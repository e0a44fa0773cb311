"""A simulated server that holds keys under leases, and a record of what it did.

Keys are followed at sample points, since every call is about a whole range.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from ploverhatch.sharding.keymap import KEY_COUNT
from ploverhatch.sharding.messages import CallOutcome
from ploverhatch.simulation.world import World

SAMPLE_KEYS = tuple(range(0, KEY_COUNT, KEY_COUNT // 48))
SERVICE_MS = (20.0, 250.0)


@dataclass
class Hold:
    """One span of time in which a server's life held a key."""

    incarnation: str
    key: int
    token: int
    since_ms: float
    until_ms: float  # moves as the lease is renewed, and ends early on a release
    late: bool  # taken from an order that was carried out late
    proven_until_ms: float = 0.0  # the same without renewals that were carried out late
    starts_ms: list[float] = field(default_factory=list)

    def end(self, now_ms: float) -> None:
        """The hold ends, at the latest now."""
        self.until_ms = min(self.until_ms, now_ms)
        self.proven_until_ms = min(self.proven_until_ms, now_ms)


@dataclass
class Journal:
    """What all servers did, for the checker."""

    holds: list[Hold] = field(default_factory=list)


class SimKeyServer:
    """One life of a server at an address."""

    def __init__(
        self, world: World, journal: Journal, incarnation: str, port: int, drift: float
    ) -> None:
        self.world = world
        self.journal = journal
        self.incarnation = incarnation
        self.port = port
        self.drift = drift
        self.up = True
        self.draining = False
        self.recorded = True  # whether its entry is that of this life
        self._seen: dict[int, int] = {}
        self._held: dict[int, Hold] = {}
        self._running: dict[int, int] = {}

    def crash(self) -> None:
        """End at once."""
        self.up = False
        for hold in self._held.values():
            hold.end(self.world.now_ms)
        self._held.clear()

    def grant(
        self, first: int, last: int, token: int, hold_ms: float, late: bool = False
    ) -> CallOutcome:
        """Take keys, or refuse when a higher token was seen."""
        keys = [key for key in SAMPLE_KEYS if first <= key <= last]
        if any(self._seen.get(key, 0) > token for key in keys):
            return CallOutcome.REFUSED
        now_ms = self.world.now_ms
        until_ms = now_ms + hold_ms * self.drift
        for key in keys:
            self._seen[key] = token
            hold = self._held.get(key)
            if hold is not None and hold.token == token and hold.until_ms >= now_ms:
                hold.until_ms = until_ms
                hold.proven_until_ms = hold.proven_until_ms if late else until_ms
                continue
            if hold is not None:
                hold.end(now_ms)
            fresh = Hold(self.incarnation, key, token, now_ms, until_ms, late, until_ms)
            self._held[key] = fresh
            self.journal.holds.append(fresh)
        return CallOutcome.DONE

    def release(self, first: int, last: int, token: int, answer: Callable[[], None]) -> None:
        """Stop new work on keys; answer when what runs on them has ended."""
        keys = [key for key in SAMPLE_KEYS if first <= key <= last]
        for key in keys:
            self._seen[key] = max(self._seen.get(key, 0), token)  # as measured, see docs
            hold = self._held.pop(key, None)
            if hold is not None:
                hold.end(self.world.now_ms)
        self._answer_when_idle(keys, answer)

    def _answer_when_idle(self, keys: list[int], answer: Callable[[], None]) -> None:
        if any(self._running.get(key) for key in keys):
            self.world.after(10.0, lambda: self._answer_when_idle(keys, answer))
        elif self.up:
            answer()

    def holding(self, key: int) -> Hold | None:
        """Return the present hold of a key, or ``None``."""
        hold = self._held.get(key)
        if not self.up or hold is None or hold.until_ms <= self.world.now_ms:
            return None
        return hold

    def request(self, key: int) -> bool:
        """Run a request if the key is held; false when it is not."""
        hold = self.holding(key)
        if hold is None:
            return False
        hold.starts_ms.append(self.world.now_ms)
        self._running[key] = self._running.get(key, 0) + 1
        self.world.after(self.world.random.uniform(*SERVICE_MS), lambda: self._ended(key))
        return True

    def _ended(self, key: int) -> None:
        self._running[key] -= 1
