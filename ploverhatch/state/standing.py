"""What servers say of themselves in their answers. Pure; times in elapsed milliseconds.

A server that leaves says so in each answer, whether or not its entry in the store says it
yet. A server that turns a request away may ask the node that sent it for a rest: it wants
nothing more from that node for so long. What one life of a server said binds no other one.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

# A server states what it wants; a slip there, as hours in place of seconds, must not keep it
# without requests until somebody looks. Servers are restarted or repaired in minutes.
LONGEST_REST_MS = 300_000.0
# A server that leaves is gone in seconds, or in tens of them where the store is away. One
# that is there for so long without a word of it in its entry stays: it is asked again.
LEAVING_MS = 300_000.0


@dataclass(frozen=True, slots=True)
class ServerNotice:
    """What one answer says of its server; ``rest_ms`` is 0 where it asks for none."""

    leaving: bool = False
    rest_ms: float = 0.0


NOTHING = ServerNotice()


@dataclass(slots=True)
class Standings:
    """What the servers said to this node, and of leaving also to others; by server."""

    _leaving_ms: dict[str, float] = field(default_factory=dict)  # when it was heard first
    _rest_until_ms: dict[str, float] = field(default_factory=dict)

    @property
    def leaving_ms(self) -> Mapping[str, float]:
        """Servers that said that they leave, and when that was heard first."""
        return self._leaving_ms

    def leaves(self, server_id: str) -> bool:
        """Whether a server said that it leaves."""
        return server_id in self._leaving_ms

    def rest_left_ms(self, server_id: str, now_ms: float) -> float:
        """Return for how much longer a server wants nothing from this node; 0: it rests not."""
        return max(0.0, self._rest_until_ms.get(server_id, now_ms) - now_ms)

    def resting(self, now_ms: float) -> dict[str, float]:
        """Return the servers that rest, and for how much longer."""
        left = {name: until_ms - now_ms for name, until_ms in self._rest_until_ms.items()}
        return {name: left_ms for name, left_ms in left.items() if left_ms > 0}

    def note(self, server_id: str, notice: ServerNotice, now_ms: float) -> ServerNotice:
        """Take what an answer says; return what of it is new.

        The longest of several rests counts. It is new where the server did not rest.
        """
        leaving = notice.leaving and self.note_leaving(server_id, now_ms)
        rest_ms = min(notice.rest_ms, LONGEST_REST_MS)
        if rest_ms <= 0:
            return ServerNotice(leaving)
        rested = self.rest_left_ms(server_id, now_ms) > 0
        until_ms = self._rest_until_ms.get(server_id, now_ms)
        self._rest_until_ms[server_id] = max(until_ms, now_ms + rest_ms)
        return ServerNotice(leaving, 0.0 if rested else rest_ms)

    def note_leaving(self, server_id: str, since_ms: float) -> bool:
        """A server said at a time that it leaves; true if that is new."""
        known_ms = self._leaving_ms.get(server_id)
        if known_ms is not None and known_ms <= since_ms:
            return False
        self._leaving_ms[server_id] = since_ms
        return known_ms is None

    def expire(self, now_ms: float) -> list[str]:
        """Forget rests that are over and old words; return the servers that stayed."""
        for name in [name for name, end in self._rest_until_ms.items() if end <= now_ms]:
            del self._rest_until_ms[name]
        old = [name for name, ms in self._leaving_ms.items() if now_ms - ms > LEAVING_MS]
        for name in old:
            del self._leaving_ms[name]
        return old

    def forget(self, server_ids: Collection[str]) -> None:
        """Forget servers that are gone."""
        for name in server_ids:
            self._leaving_ms.pop(name, None)
            self._rest_until_ms.pop(name, None)
