"""The move of one range from its previous holders to its new one.

The new holder is granted the range only after each previous one has released it or its lease has
certainly expired. A release names the new, higher token, so that the server refuses an old grant
that arrives later.

This module does no I/O and reads no clock.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from ploverhatch.sharding import view
from ploverhatch.sharding.holders import RETRY_MS, HolderLease
from ploverhatch.sharding.keymap import Holder, KeyRange
from ploverhatch.sharding.messages import HoldEnd, RangeId, SendGrant, SendRelease


@dataclass(slots=True)
class Transfer:
    """A range that moves. Times are milliseconds of the elapsed clock."""

    range_id: RangeId
    target: Holder
    pending: dict[str, Holder]  # previous holders that may still hold it
    expiries_ms: dict[str, float]
    # They rarely held the range, so their handover texts say nothing of it.
    former_standbys: frozenset[str] = frozenset()
    ended: dict[str, HoldEnd] = field(default_factory=dict)  # those that are no longer pending
    retry_ms: dict[str, float] = field(default_factory=dict)
    releasing: set[str] = field(default_factory=set)
    granting: bool = False
    handover: str = ""
    done_ms: float | None = None  # when the new holder acknowledged its grant

    @property
    def done(self) -> bool:
        """Whether the new holder has the range."""
        return self.done_ms is not None

    @classmethod
    def start(
        cls, name: RangeId, item: KeyRange, leases: dict[str, HolderLease], now_ms: float
    ) -> "Transfer":
        """Return a transfer that waits for the present leases; none is renewed from now on.

        A holder that does not release the range is also waited for until no node sends it
        requests any more, since a late grant may revive its lease.

        :param now_ms: a time at which the map with the move is in the store.
        """
        pending = {
            holder.server_id: holder
            for holder in (*item.previous, *item.former_standbys)
            if not (holder.server_id in leases and leases[holder.server_id].stopped)
        }
        unused_ms = view.unused_from_ms(now_ms)
        expiries = {
            server_id: max(leases[server_id].held_until_ms, unused_ms)
            if server_id in leases
            else unused_ms
            for server_id in pending
        }
        former = frozenset(holder.server_id for holder in item.former_standbys)
        return cls(name, item.holder, pending, expiries, former)

    def calls(
        self, now_ms: float, may_release: Callable[[str], bool] = lambda server_id: True
    ) -> list[SendGrant | SendRelease]:
        """Return the calls that are due.

        :param may_release: returns whether a release may be sent to a server now.
        """
        if self.done:
            return []
        for server_id in list(self.pending):
            if now_ms >= self.expiries_ms[server_id]:
                self._end(server_id, HoldEnd.EXPIRED)
        releases = [
            SendRelease(holder, self.range_id)
            for server_id, holder in self.pending.items()
            if self._due(server_id, now_ms)
            and server_id not in self.releasing
            and may_release(server_id)
        ]
        self.releasing.update(call.holder.server_id for call in releases)
        if self.pending:
            return list(releases)
        if self.granting or not self._due(self.target.server_id, now_ms):
            return []
        self.granting = True
        return [
            SendGrant(self.target, self.range_id, self.handover, renewal=False, ended=self.ended)
        ]

    def _due(self, server_id: str, now_ms: float) -> bool:
        return now_ms >= self.retry_ms.get(server_id, 0.0)

    def released(self, server_id: str, handover: str) -> None:
        """Record that a previous holder has released the range.

        :param handover: a text for the new holder.
        """
        self._end(server_id, HoldEnd.RELEASED)
        if server_id not in self.former_standbys:
            self.handover = handover or self.handover

    def holder_ended(self, server_id: str) -> None:
        """Record that a previous holder has stopped."""
        self._end(server_id, HoldEnd.STOPPED)

    def _end(self, server_id: str, reason: HoldEnd) -> None:
        self.releasing.discard(server_id)
        if self.pending.pop(server_id, None) is not None:
            self.ended[server_id] = reason

    def release_failed(self, server_id: str, now_ms: float) -> None:
        """Record a release without an answer; it is sent again after ``RETRY_MS``.

        A refused connection is no answer either: a link may refuse it while the server lives on
        and holds the range, and a server that is stopping may still run requests.
        """
        self.releasing.discard(server_id)
        self.retry_ms[server_id] = now_ms + RETRY_MS

    def grant_ended(self, done: bool, now_ms: float) -> None:
        """Record the end of a grant to the new holder.

        :param done: whether the holder acknowledged it.
        """
        self.granting = False
        if done and self.done_ms is None:
            self.done_ms = now_ms
        self.retry_ms[self.target.server_id] = now_ms + RETRY_MS
