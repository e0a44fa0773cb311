"""What servers say of themselves in their answers. Pure; times in elapsed milliseconds.

A server that leaves says so in each answer, whether or not its entry in the store says it
yet. A server that turns a request away may ask the node that sent it for a rest: it wants
nothing more from that node for so long. One in need names a limit: how many requests a second
it takes from all nodes together, for as long as its answers name it. What one life of a
server said binds no other one.
"""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

# A server states what it wants; a slip there, as hours in place of seconds, must not keep it
# without requests until somebody looks. Servers are restarted or repaired in minutes.
MAX_BACKOFF_MS = 300_000.0
# A server that leaves is gone in seconds, or in tens of them where the store is away. One
# that is there for so long without a word of it in its entry stays: it is asked again.
LEAVING_MEMORY_MS = 300_000.0
# A server of which nothing was heard for so long is asked as any other, and says it again.
LIMIT_MEMORY_MS = 300_000.0
NO_LIMIT = math.inf  # requests a second
# A server that takes none is sent a request now and then: only its answers tell when it does.
MIN_LIMIT_PER_S = 0.2
RELAY_DELAY_MS = 250.0  # a word that another node tells again is younger by the way of messages


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """What one answer says of its server; ``backoff_ms`` is 0 where it asks for none.

    ``limit_per_s`` is how many requests a second it takes from all nodes together,
    :data:`NO_LIMIT` where it surely names no limit, ``None`` where the answer tells neither.
    """

    leaving: bool = False
    backoff_ms: float = 0.0
    limit_per_s: float | None = None


NO_NOTICE = ServerNotice()


@dataclass(frozen=True, slots=True)
class RateLimit:
    """What a server said of its limit, and when.

    ``announced_ms`` is when an answer that names one was read. Of an answer that names none it is
    when its request was sent: it may have been on its way while others were told of a limit.
    """

    per_s: float
    announced_ms: float


@dataclass(slots=True)
class ServerNotices:
    """What the servers said to this node, and of leaving also to others; by server."""

    _leaving_ms: dict[str, float] = field(default_factory=dict)  # when it was heard first
    _backoff_until_ms: dict[str, float] = field(default_factory=dict)
    _limits: dict[str, RateLimit] = field(default_factory=dict)
    _limit_per_s: dict[str, float] = field(default_factory=dict)  # of those that name one

    @property
    def limits(self) -> Mapping[str, RateLimit]:
        """The latest word of each server that named a limit."""
        return self._limits

    @property
    def limit_per_s(self) -> Mapping[str, float]:
        """How many requests a second the servers that name a limit take from all nodes."""
        return self._limit_per_s

    @property
    def leaving_ms(self) -> Mapping[str, float]:
        """Servers that said that they leave, and when that was heard first."""
        return self._leaving_ms

    def is_leaving(self, server_id: str) -> bool:
        """Whether a server said that it leaves."""
        return server_id in self._leaving_ms

    def backoff_left_ms(self, server_id: str, now_ms: float) -> float:
        """Return for how much longer a server wants nothing from this node; 0: it rests not."""
        return max(0.0, self._backoff_until_ms.get(server_id, now_ms) - now_ms)

    def backing_off(self, now_ms: float) -> dict[str, float]:
        """Return the servers that rest, and for how much longer."""
        left = {name: until_ms - now_ms for name, until_ms in self._backoff_until_ms.items()}
        return {name: left_ms for name, left_ms in left.items() if left_ms > 0}

    def note(
        self, server_id: str, notice: ServerNotice, now_ms: float, asked_ms: float | None = None
    ) -> ServerNotice:
        """Take what an answer says; return what of it is new.

        The longest of several rests counts. It is new where the server did not rest.

        :param asked_ms: when the request was sent; now where that is not known.
        """
        leaving = notice.leaving and self.note_leaving(server_id, now_ms)
        limit_per_s = notice.limit_per_s
        if limit_per_s is not None:
            announced_ms = now_ms
            if limit_per_s == NO_LIMIT and asked_ms is not None:
                announced_ms = asked_ms
            if not self.note_limit(server_id, RateLimit(limit_per_s, announced_ms)):
                limit_per_s = None
        backoff_ms = min(notice.backoff_ms, MAX_BACKOFF_MS)
        if backoff_ms <= 0:
            return ServerNotice(leaving, limit_per_s=limit_per_s)
        rested = self.backoff_left_ms(server_id, now_ms) > 0
        until_ms = self._backoff_until_ms.get(server_id, now_ms)
        self._backoff_until_ms[server_id] = max(until_ms, now_ms + backoff_ms)
        return ServerNotice(leaving, 0.0 if rested else backoff_ms, limit_per_s)

    def note_limit(self, server_id: str, word: RateLimit) -> bool:
        """Take a word on a server's limit unless a later one is known; true if it is new.

        Nothing is kept of a server that never named a limit.
        """
        known = self._limits.get(server_id)
        if known is None and word.per_s == NO_LIMIT:
            return False
        if known is not None and word.announced_ms <= known.announced_ms:
            return False
        self._limits[server_id] = word
        self._show_limit(server_id, word.per_s)
        return known is None or known.per_s != word.per_s

    def _show_limit(self, server_id: str, per_s: float) -> None:
        if per_s < NO_LIMIT:
            self._limit_per_s[server_id] = per_s
        else:
            self._limit_per_s.pop(server_id, None)

    def note_reported_limit(self, server_id: str, word: RateLimit) -> bool:
        """Another node tells a server's word; true if it is new.

        The way of a message makes it look younger than it is, so that nodes which tell each
        other of one word would keep it young for ever.
        """
        known = self._limits.get(server_id)
        if known is not None and known.per_s == word.per_s:
            younger_ms = word.announced_ms - known.announced_ms
            return younger_ms >= RELAY_DELAY_MS and self.note_limit(server_id, word)
        return self.note_limit(server_id, word)

    def note_leaving(self, server_id: str, since_ms: float) -> bool:
        """A server said at a time that it leaves; true if that is new."""
        known_ms = self._leaving_ms.get(server_id)
        if known_ms is not None and known_ms <= since_ms:
            return False
        self._leaving_ms[server_id] = since_ms
        return known_ms is None

    def expire(self, now_ms: float) -> list[str]:
        """Forget rests that are over and old words; return the servers that stayed."""
        silent = [
            name
            for name, word in self._limits.items()
            if now_ms - word.announced_ms > LIMIT_MEMORY_MS
        ]
        for name in silent:
            del self._limits[name]
            self._show_limit(name, NO_LIMIT)
        for name in [name for name, end in self._backoff_until_ms.items() if end <= now_ms]:
            del self._backoff_until_ms[name]
        old = [name for name, ms in self._leaving_ms.items() if now_ms - ms > LEAVING_MEMORY_MS]
        for name in old:
            del self._leaving_ms[name]
        return old

    def forget(self, server_ids: Collection[str]) -> None:
        """Forget servers that are gone."""
        for name in server_ids:
            self._leaving_ms.pop(name, None)
            self._backoff_until_ms.pop(name, None)
            self._limits.pop(name, None)
            self._show_limit(name, NO_LIMIT)
