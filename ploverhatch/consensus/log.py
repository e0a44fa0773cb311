"""The in-memory log: the entries after a compacted prefix."""

from collections.abc import Sequence

from ploverhatch.state.commands import MEMBERSHIP_KIND, decode_command
from ploverhatch.transport import wire


class MemoryLog:
    """Log entries with an index above ``base_index``; earlier ones are compacted."""

    def __init__(self, base_index: int = 0, base_term: int = 0) -> None:
        self.base_index = base_index
        self.base_term = base_term
        self._entries: list[wire.LogEntry] = []

    @property
    def last_index(self) -> int:
        """Index of the newest entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the newest entry."""
        return self._entries[-1].term if self._entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or ``None`` when it is compacted or absent."""
        if index == self.base_index:
            return self.base_term
        if index < self.base_index or index > self.last_index:
            return None
        return int(self._entries[index - self.base_index - 1].term)

    def slice(self, first: int, count: int) -> list[wire.LogEntry]:
        """Return up to ``count`` entries from index ``first`` on."""
        start = first - self.base_index - 1
        return self._entries[start : start + count]

    def append(self, entry: wire.LogEntry) -> None:
        """Append the entry that follows the newest one."""
        self._entries.append(entry)

    def merge(self, entries: Sequence[wire.LogEntry]) -> bool:
        """Store entries of a leader and drop own entries that conflict with them.

        :returns: whether entries were dropped.
        """
        dropped = False
        for entry in entries:
            if entry.index <= self.base_index:
                continue
            stored_term = self.term_at(entry.index)
            if stored_term == entry.term:
                continue
            if stored_term is not None:
                del self._entries[entry.index - self.base_index - 1 :]
                dropped = True
            self._entries.append(entry)
        return dropped

    def compact(self, through: int) -> None:
        """Drop entries up to and including index ``through``."""
        term = self.term_at(through)
        if term is None or through <= self.base_index:
            return
        del self._entries[: through - self.base_index]
        self.base_index = through
        self.base_term = term

    def newest_membership(self) -> tuple[int, wire.MembershipChange] | None:
        """Return the index and command of the newest membership entry, if there is one."""
        for entry in reversed(self._entries):
            if entry.kind == MEMBERSHIP_KIND:
                command = decode_command(entry)
                assert isinstance(command, wire.MembershipChange)
                return entry.index, command
        return None
