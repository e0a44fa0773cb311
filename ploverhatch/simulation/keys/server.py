"""A simulated server that holds keys under leases, and a record of its holds.

Only a sample of the keys is recorded, since every call concerns a whole range of keys.
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
    """A period in which one incarnation of a server held a key."""

    incarnation: str
    key: int
    token: int
    since_ms: float
    until_ms: float  # extended as the lease is renewed, shortened by a release
    late: bool  # whether it began with a grant that the server applied late
    held_up: bool  # whether it began with a grant that arrived late
    proven_until_ms: float = 0.0  # like until_ms, without late renewals
    starts_ms: list[float] = field(default_factory=list)

    def end(self, now_ms: float) -> None:
        """End the hold now, unless it ended earlier."""
        self.until_ms = min(self.until_ms, now_ms)
        self.proven_until_ms = min(self.proven_until_ms, now_ms)


@dataclass
class Journal:
    """The holds of all servers, for the check of exclusive ownership."""

    holds: list[Hold] = field(default_factory=list)


class SimKeyServer:
    """One incarnation of a server at an address."""

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
        self.recorded = True  # whether the entry in the store is that of this incarnation
        self._seen: dict[int, int] = {}
        self._held: dict[int, Hold] = {}
        self._running: dict[int, int] = {}

    def crash(self) -> None:
        """End the process, and with it all holds."""
        self.up = False
        for hold in self._held.values():
            hold.end(self.world.now_ms)
        self._held.clear()

    def grant(
        self,
        first: int,
        last: int,
        token: int,
        hold_ms: float,
        late: bool = False,
        held_up: bool = False,
    ) -> CallOutcome:
        """Accept a grant of keys, or refuse it if a higher token was seen for one of them.

        :param late: whether the server applies it late, for a reason of its own.
        :param held_up: whether a link held it up; the lease counts from its arrival.
        """
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
                hold.proven_until_ms = hold.proven_until_ms if late or held_up else until_ms
                continue
            if hold is not None:
                hold.end(now_ms)
            fresh = Hold(self.incarnation, key, token, now_ms, until_ms, late, held_up, until_ms)
            self._held[key] = fresh
            self.journal.holds.append(fresh)
        return CallOutcome.DONE

    def release(self, first: int, last: int, token: int, answer: Callable[[], None]) -> None:
        """Refuse new requests on keys; answer when the running ones have ended."""
        keys = [key for key in SAMPLE_KEYS if first <= key <= last]
        for key in keys:
            # Keeps the highest token, as the servers of the platform do.
            self._seen[key] = max(self._seen.get(key, 0), token)
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
        """Return the current hold of a key, or ``None``."""
        hold = self._held.get(key)
        if not self.up or hold is None or hold.until_ms <= self.world.now_ms:
            return None
        return hold

    def request(self, key: int) -> bool:
        """Start a request if the key is held; false if it isn't."""
        hold = self.holding(key)
        if hold is None:
            return False
        hold.starts_ms.append(self.world.now_ms)
        self._running[key] = self._running.get(key, 0) + 1
        self.world.after(self.world.random.uniform(*SERVICE_MS), lambda: self._ended(key))
        return True

    def _ended(self, key: int) -> None:
        self._running[key] -= 1
