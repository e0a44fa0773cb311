"""Notices that servers send about themselves in their answers.

A leaving server announces so in each answer, whether or not its entry in the store shows it
yet. A server that rejects a request may ask the node that sent it to back off: for that time
it wants no further requests from this node. An overloaded server may announce a rate limit:
the requests per second that it accepts from all nodes together, in force as long as its
answers name it. A notice applies to one incarnation of the server only.

This module does no I/O and reads no clock; times are milliseconds of the elapsed clock.
"""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

# Bounds an erroneous request for backoff, for example in hours in place of seconds, which would
# keep the server without requests until an operator acts. Servers are restarted or repaired
# within minutes.
MAX_BACKOFF_MS = 300_000.0
# A leaving server is gone within seconds, or tens of seconds while the store is unavailable. If
# it still runs after this time and its entry doesn't show that it drains, it hasn't left, and it
# receives requests again.
LEAVING_MEMORY_MS = 300_000.0
# After this time without a notice, a server is used without a limit; its answers then name the
# limit again if it is still in force.
LIMIT_MEMORY_MS = 300_000.0
NO_LIMIT = math.inf  # requests per second
# A server whose limit is 0 still receives a request from time to time, since only its answers
# show when it accepts requests again.
MIN_LIMIT_PER_S = 0.2
RELAY_DELAY_MS = 250.0  # transit time by which a repeated report looks more recent


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """Notice in one answer of a server; ``backoff_ms`` is 0 where it asks for no backoff.

    ``limit_per_s`` is the number of requests per second that the server accepts from all nodes
    together. It is :data:`NO_LIMIT` where the server certainly names no limit, and ``None``
    where the answer shows neither. ``pace`` is how long work takes on the server's machine at the
    time, in percent of the usual, and ``None`` where the answer doesn't tell it.
    """

    leaving: bool = False
    backoff_ms: float = 0.0
    limit_per_s: float | None = None
    pace: float | None = None


NO_NOTICE = ServerNotice()


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Rate limit that a server announced, and the time of the announcement.

    For an answer that names a limit, ``announced_ms`` is the time at which it was read. For an
    answer without a limit it is the time at which its request was sent, since the answer may
    have been in transit while other answers named a limit.
    """

    per_s: float
    announced_ms: float


@dataclass(slots=True)
class ServerNotices:
    """Notices in force, by server.

    Backoffs are those asked of this node. Leaving and limits include other nodes' reports.
    """

    _leaving_ms: dict[str, float] = field(default_factory=dict)  # first announcement
    _backoff_until_ms: dict[str, float] = field(default_factory=dict)
    _limits: dict[str, RateLimit] = field(default_factory=dict)
    _limit_per_s: dict[str, float] = field(default_factory=dict)  # of servers that name one

    @property
    def limits(self) -> Mapping[str, RateLimit]:
        """The latest announcement of each server that named a limit."""
        return self._limits

    @property
    def limit_per_s(self) -> Mapping[str, float]:
        """Requests per second that the servers with a limit accept from all nodes together."""
        return self._limit_per_s

    @property
    def leaving_ms(self) -> Mapping[str, float]:
        """Servers that announced their leaving, with the time of the first announcement."""
        return self._leaving_ms

    def is_leaving(self, server_id: str) -> bool:
        """Return whether a server announced its leaving."""
        return server_id in self._leaving_ms

    def backoff_left_ms(self, server_id: str, now_ms: float) -> float:
        """Return the remaining backoff that a server asked of this node; 0 without one."""
        left_ms = self._backoff_until_ms.get(server_id, now_ms) - now_ms
        # The end of a backoff is a rounded sum, so the difference may exceed the bound slightly.
        return min(max(0.0, left_ms), MAX_BACKOFF_MS)

    def backing_off(self, now_ms: float) -> dict[str, float]:
        """Return the servers that asked this node to back off, with the remaining time."""
        left = {name: self.backoff_left_ms(name, now_ms) for name in self._backoff_until_ms}
        return {name: left_ms for name, left_ms in left.items() if left_ms > 0}

    def note(
        self, server_id: str, notice: ServerNotice, now_ms: float, sent_ms: float | None = None
    ) -> ServerNotice:
        """Apply the notice in an answer; return the parts of it that are new.

        The longest of several backoffs counts. A backoff is new if none was in force.

        :param sent_ms: when the request was sent; ``now_ms`` where that is unknown.
        """
        leaving = notice.leaving and self.note_leaving(server_id, now_ms)
        limit_per_s = notice.limit_per_s
        if limit_per_s is not None:
            announced_ms = now_ms
            if limit_per_s == NO_LIMIT and sent_ms is not None:
                announced_ms = sent_ms
            if not self.note_limit(server_id, RateLimit(limit_per_s, announced_ms)):
                limit_per_s = None
        backoff_ms = min(notice.backoff_ms, MAX_BACKOFF_MS)
        if backoff_ms <= 0:
            return ServerNotice(leaving, limit_per_s=limit_per_s)
        was_backing_off = self.backoff_left_ms(server_id, now_ms) > 0
        until_ms = self._backoff_until_ms.get(server_id, now_ms)
        self._backoff_until_ms[server_id] = max(until_ms, now_ms + backoff_ms)
        return ServerNotice(leaving, 0.0 if was_backing_off else backoff_ms, limit_per_s)

    def note_limit(self, server_id: str, limit: RateLimit) -> bool:
        """Apply an announced limit unless a later one is known; return whether it is new.

        Nothing is kept for a server that never named a limit.
        """
        known = self._limits.get(server_id)
        if known is None and limit.per_s == NO_LIMIT:
            return False
        if known is not None and limit.announced_ms <= known.announced_ms:
            return False
        self._limits[server_id] = limit
        self._set_limit(server_id, limit.per_s)
        return known is None or known.per_s != limit.per_s

    def _set_limit(self, server_id: str, per_s: float) -> None:
        if per_s < NO_LIMIT:
            self._limit_per_s[server_id] = per_s
        else:
            self._limit_per_s.pop(server_id, None)

    def note_reported_limit(self, server_id: str, limit: RateLimit) -> bool:
        """Apply another node's report of an announced limit; return whether it is new.

        The transit time makes a reported announcement look more recent than it is. Nodes that
        report one announcement to each other would otherwise renew it for ever.
        """
        known = self._limits.get(server_id)
        if known is not None and known.per_s == limit.per_s:
            newer_by_ms = limit.announced_ms - known.announced_ms
            return newer_by_ms >= RELAY_DELAY_MS and self.note_limit(server_id, limit)
        return self.note_limit(server_id, limit)

    def note_leaving(self, server_id: str, since_ms: float) -> bool:
        """Note that a server announced its leaving at a time; return whether that is new."""
        known_ms = self._leaving_ms.get(server_id)
        if known_ms is not None and known_ms <= since_ms:
            return False
        self._leaving_ms[server_id] = since_ms
        return known_ms is None

    def expire(self, now_ms: float) -> list[str]:
        """Drop backoffs that are over and old notices; return the servers that did not leave."""
        outdated = [
            name
            for name, limit in self._limits.items()
            if now_ms - limit.announced_ms > LIMIT_MEMORY_MS
        ]
        for name in outdated:
            del self._limits[name]
            self._set_limit(name, NO_LIMIT)
        for name in [name for name, end in self._backoff_until_ms.items() if end <= now_ms]:
            del self._backoff_until_ms[name]
        old = [name for name, ms in self._leaving_ms.items() if now_ms - ms > LEAVING_MEMORY_MS]
        for name in old:
            del self._leaving_ms[name]
        return old

    def forget(self, server_ids: Collection[str]) -> None:
        """Drop the notices of servers that are gone."""
        for name in server_ids:
            self._leaving_ms.pop(name, None)
            self._backoff_until_ms.pop(name, None)
            self._limits.pop(name, None)
            self._set_limit(name, NO_LIMIT)
