"""Grants as a back end holds them, checked when a request starts to execute.

This module does no I/O and reads no clock: the back end passes readings of its own
elapsed clock in milliseconds.
"""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from ploverhatch.common.keyspace import SliceRange
from ploverhatch.ownership.messages import SyncReply, SyncRequest
from ploverhatch.state.assignment import AssignmentTable, Slice

THIS_SERVER = "self"


class Verdict(Enum):
    """Whether a request may start to execute, or why not."""

    EXECUTE = "execute"
    LAPSED = "lapsed"
    NOT_OWNER = "not-owner"
    STALE_TOKEN = "stale-token"
    TOO_LATE = "too-late"


@dataclass
class GrantBook:
    """Grants and lease of one server process, named by its ``boot_id``.

    ``expires_ms`` is the end of the lease on the clock of the server.
    """

    boot_id: str
    draining: bool = False
    expires_ms: float = float("-inf")
    _leader: tuple[int, int] = (0, 0)
    _sequence: int = 0
    _held: AssignmentTable = field(default_factory=AssignmentTable)
    _executing: Counter[tuple[str, int]] = field(default_factory=Counter)

    def sync(self, request: SyncRequest, now_ms: float) -> SyncReply:
        """Apply a call of the control leader and return the reply."""
        if not self._admits(request):
            return self._reply(False, now_ms)
        self._leader = (request.epoch, request.term)
        self._sequence = request.sequence
        self.expires_ms = max(self.expires_ms, request.expires_clock_ms)
        if request.full:
            self._held = AssignmentTable()
        for span in request.revokes:
            self._held.put(Slice(span, "", 0))
        for grant in request.grants:
            self._held.put(Slice(grant.range, THIS_SERVER, grant.token))
        busy = tuple(span for span in request.revokes if self._is_busy(span))
        return self._reply(True, now_ms, busy)

    def _admits(self, request: SyncRequest) -> bool:
        leader = (request.epoch, request.term)
        if request.boot_id != self.boot_id or leader < self._leader:
            return False
        if leader > self._leader:
            return request.full
        return request.sequence > self._sequence

    def _reply(self, accepted: bool, now_ms: float, busy: tuple[SliceRange, ...] = ()) -> SyncReply:
        return SyncReply(accepted, self.boot_id, now_ms, busy, self.draining)

    def _is_busy(self, span: SliceRange) -> bool:
        return any(
            group == span.group and span.contains(key_hash) for group, key_hash in self._executing
        )

    def check_start(
        self, group: str, key_hash: int, token: int, now_ms: float, not_after_ms: float
    ) -> Verdict:
        """Decide whether a request may start to execute now.

        :param not_after_ms: latest start on the clock of this server.
        """
        if now_ms >= self.expires_ms:
            return Verdict.LAPSED
        if now_ms > not_after_ms:
            return Verdict.TOO_LATE
        held = self._held.find(group, key_hash)
        if held is None or held.server != THIS_SERVER:
            return Verdict.NOT_OWNER
        return Verdict.EXECUTE if held.token == token else Verdict.STALE_TOKEN

    def begin(self, group: str, key_hash: int) -> None:
        """Note that a request for a key began to execute."""
        self._executing[(group, key_hash)] += 1

    def end(self, group: str, key_hash: int) -> None:
        """Note that a request for a key finished."""
        identity = (group, key_hash)
        self._executing[identity] -= 1
        if self._executing[identity] <= 0:
            del self._executing[identity]
