"""One range on its way from its previous holders to its new one. Pure.

The new holder gets its grant only after each previous one has released the
range or its lease has surely lapsed. A release names the new, higher token, so
that an old grant that is still under way is refused when it arrives.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from ploverhatch.sharding import view
from ploverhatch.sharding.holders import RETRY_MS, HolderLease
from ploverhatch.sharding.keymap import Holder, KeyRange
from ploverhatch.sharding.messages import RangeId, SendGrant, SendRelease


@dataclass(slots=True)
class Transfer:
    """A moving range; times are elapsed milliseconds."""

    range_id: RangeId
    target: Holder
    waiting: dict[str, Holder]  # previous holders that may still hold it
    expiries_ms: dict[str, float]
    # They hardly ever held the range: what they hand over says nothing of it.
    former_standbys: frozenset[str] = frozenset()
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
        """Begin with the leases as they are; none is renewed from here on.

        A holder that does not release is also waited for until no node sends it
        requests any more: a late grant may revive its lease.

        :param now_ms: the map that says that the range moves is in the store by then.
        """
        waiting = {
            holder.server_id: holder
            for holder in (*item.previous, *item.former_standbys)
            if not (holder.server_id in leases and leases[holder.server_id].superseded)
        }
        unused_ms = view.unused_from_ms(now_ms)
        lapses = {
            server_id: max(leases[server_id].held_until_ms, unused_ms)
            if server_id in leases
            else unused_ms
            for server_id in waiting
        }
        former = frozenset(holder.server_id for holder in item.former_standbys)
        return cls(name, item.holder, waiting, lapses, former)

    def calls(
        self, now_ms: float, may_release: Callable[[str], bool] = lambda server_id: True
    ) -> list[SendGrant | SendRelease]:
        """Return the calls that are due.

        :param may_release: whether a release may be sent to a server now.
        """
        if self.done:
            return []
        for server_id in list(self.waiting):
            if now_ms >= self.expiries_ms[server_id]:
                del self.waiting[server_id]
        releases = [
            SendRelease(holder, self.range_id)
            for server_id, holder in self.waiting.items()
            if self._due(server_id, now_ms)
            and server_id not in self.releasing
            and may_release(server_id)
        ]
        self.releasing.update(call.holder.server_id for call in releases)
        if self.waiting:
            return list(releases)
        if self.granting or not self._due(self.target.server_id, now_ms):
            return []
        self.granting = True
        return [SendGrant(self.target, self.range_id, self.handover, renewal=False)]

    def _due(self, server_id: str, now_ms: float) -> bool:
        return now_ms >= self.retry_ms.get(server_id, 0.0)

    def released(self, server_id: str, handover: str) -> None:
        """A previous holder gave the range back."""
        self.releasing.discard(server_id)
        self.waiting.pop(server_id, None)
        if server_id not in self.former_standbys:
            self.handover = handover or self.handover

    def holder_ended(self, server_id: str) -> None:
        """A previous holder has ended."""
        self.released(server_id, "")

    def holder_not_listening(self, server_id: str, now_ms: float) -> None:
        """No process has the port of a server that may hold the range.

        A holder that is about to end may still work on open connections: its lease has to
        lapse. A standby is promoted only while it takes new ones, so it has ended.
        """
        if server_id in self.former_standbys:
            self.released(server_id, "")
        else:
            self.release_failed(server_id, now_ms)

    def release_failed(self, server_id: str, now_ms: float) -> None:
        """No answer to a release."""
        self.releasing.discard(server_id)
        self.retry_ms[server_id] = now_ms + RETRY_MS

    def grant_ended(self, done: bool, now_ms: float) -> None:
        """The grant to the new holder was answered, or not."""
        self.granting = False
        if done and self.done_ms is None:
            self.done_ms = now_ms
        self.retry_ms[self.target.server_id] = now_ms + RETRY_MS
