"""Tasks that keep the directory up to date, one for each kind of object in the store.

A task (feed) lists the objects of its kind and then watches them. While the leader relays all
changes of the kind and proves that its view is current, the task applies these and makes no
calls to the store. When that ends, it watches from the last change that was relayed. At the
start, and where changes were missed, it asks the leader for all objects of the kind before
it asks the store.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

import gevent
import msgspec

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.common.signal import Signal
from ploverhatch.relay import coverage, packing, publisher
from ploverhatch.relay.coverage import Cursor
from ploverhatch.relay.messages import RelayedChange, RelayedUpdate, Snapshot, SnapshotItem
from ploverhatch.relay.publisher import FeedView
from ploverhatch.store.objects import (
    HistoryDroppedError,
    Listing,
    ObjectChange,
    ObjectStore,
    StoreCallError,
    VersionedObject,
    WatchInterruptedError,
)

LOG = PartLogger("feed")

# A watch starts from one revision for no longer than this; the store drops older history.
REBASE_MS = 5000.0
# Watches may report nothing for this long before the store announces that history is dropped.
STALLED_WATCH_MS = 1000.0
UNKNOWN_CONTENT = msgspec.Raw(msgspec.msgpack.encode(None))
RELIST_INTERVAL_MS = 500.0  # a pause follows listings at shorter intervals
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 2.0  # the leader waits half of it, since the other nodes depend on it
OUTAGE_PAUSE_S = 4.0  # while the elector asks the store whether it answers again


@dataclass(frozen=True, slots=True)
class Pauses:
    """Pauses after a watch has reported changes, so that one call reports more of them.

    ``after_new_s`` follows changes that were new, ``after_known_s`` changes that were all known.
    """

    after_new_s: float = 0.0
    after_known_s: float = 0.0


def whole_object_change(change: ObjectChange) -> RelayedChange | None:
    """Return a change in the form that is relayed: the whole object."""
    item = change.object
    return RelayedChange(item.name, item.revision, item.spec, item.status, change.gone)


@dataclass(frozen=True, slots=True)
class Feed:
    """How the objects of one kind are applied and relayed.

    ``replace_all`` receives all objects of the kind, ``apply`` one change of the store.
    ``encode`` returns the form of a change that is relayed, ``None`` where nothing is.
    ``confirmed`` receives the time at which the view was last known to be current.
    """

    kind: str
    replace_all: Callable[[tuple[VersionedObject, ...]], None]
    apply: Callable[[ObjectChange], bool]  # true when the change was new
    pauses: Pauses = Pauses()
    encode: Callable[[ObjectChange], RelayedChange | None] = whole_object_change
    # Applies a relayed change; false when it does not follow from the known objects.
    apply_relayed: Callable[[RelayedChange], bool] | None = None
    repeatable: bool = False  # a change may be applied again
    confirmed: Callable[[float], None] = lambda current_ms: None
    # Returns all objects, for kinds that the node keeps in another form than the store's.
    items: Callable[[], list[SnapshotItem]] | None = None


class FeedRelay(Protocol):
    """Interface of the relay between nodes that a feed uses."""

    first_wait_s: float  # after the first listing, in which the leader may begin to relay

    @property
    def leads(self) -> bool:
        """Whether this node leads and relays changes to the others."""

    @property
    def store_unavailable(self) -> bool:
        """Whether the store does not answer, and the elector polls it with cheaper calls.

        The feeds are woken when it answers again.
        """

    def watch_wait_s(self, kind: str) -> float:
        """Return how long a watch waits at the store; short where its answers serve as proofs."""

    def covered_until_ms(self, kind: str, cursor: int) -> float:
        """Return until when the store need not be asked for a kind.

        :param cursor: revision up to which all changes are known.
        """

    def publish_changes(
        self, kind: str, base: int, through_revision: int, changes: list[RelayedChange]
    ) -> None:
        """Relay all changes between two revisions that were read from the store."""

    def await_leader(self) -> None:
        """Wait for a limited time until the leader is known."""

    def should_ask_leader(self, kind: str, cursor: int) -> bool:
        """Whether the leader should be asked for all objects of a kind."""

    def fetch(self, kind: str) -> Snapshot | None:
        """Return all objects of a kind from the leader, or ``None``."""

    def valid_until_ms(self, current_ms: float) -> float:
        """Return until when a view may be used that was known to be current at a time."""


class FeedTask:
    """Keeps the objects of one kind up to date.

    :param failed: called after each call that the store does not answer.
    """

    def __init__(
        self, store: ObjectStore, feed: Feed, relay: FeedRelay, failed: Callable[[], None]
    ) -> None:
        self._store = store
        self._feed = feed
        self._relay = relay
        self._failed = failed
        self._cursor = Cursor()
        self._must_list = True
        self._items: dict[str, SnapshotItem] = {}  # the known objects, by name
        self._valid_until_ms = -1e12  # until when the last snapshot of the leader may be used
        self._current_ms = -1e12  # when the view was last known to be current
        self._moved_ms = -1e12  # when the cursor last moved
        self._dropped_ms = -1e12  # when the store last answered that history is dropped
        self._woken = Signal()
        self._pause_s = FIRST_PAUSE_S
        self._lost_ms = 0.0

    @property
    def kind(self) -> str:
        """Kind of the objects."""
        return self._feed.kind

    @property
    def view(self) -> FeedView:
        """Revision that the view of the kind has reached, and when it was current.

        The view is kept while the kind is listed again. If it were withdrawn at once, all nodes
        would ask the store for what this node lists in a tenth of a second.
        """
        return FeedView(self._cursor.revision, self._current_ms)

    @property
    def items(self) -> list[SnapshotItem]:
        """All objects, in the form that is sent to other nodes."""
        return self._feed.items() if self._feed.items else list(self._items.values())

    @property
    def cursor(self) -> int:
        """Revision up to which all changes are known; negative where none is."""
        return self._cursor.revision

    # ---- from the leader --------------------------------------------------------------

    def wake(self) -> None:
        """End a wait, and check again whether the store has to be asked."""
        self._woken.raise_()

    def apply_update(self, update: RelayedUpdate) -> None:
        """Apply changes that the leader relayed, if they follow without a gap."""
        if not coverage.follows(self._cursor, update, self._feed.repeatable):
            return
        if all(self._apply_change(change) for change in update.changes):
            self._cursor = coverage.advanced(self._cursor, update)

    def _apply_change(self, change: RelayedChange) -> bool:
        known = self._items.get(change.name)
        revision = None if known is None else known.revision
        if not self._feed.repeatable and coverage.is_known(self._cursor, change, revision):
            return True
        item = VersionedObject(change.name, change.revision, change.spec, change.status)
        self._keep(item, change.gone)
        if self._feed.apply_relayed is not None:
            return self._feed.apply_relayed(change)
        self._feed.apply(ObjectChange(item, change.gone))
        return True

    # ---- the task ---------------------------------------------------------------------

    def run(self) -> None:
        """Keep the objects up to date forever."""
        self._relay.await_leader()
        while True:
            if self._wait_while_covered() or self._ask_leader():
                continue
            try:
                if self._must_list:
                    first = self._cursor.revision < 0
                    self._list()
                    if first:
                        self._woken.wait(self._relay.first_wait_s)
                        continue
                self._watch()
                self._recovered()
            except HistoryDroppedError:
                LOG.info("History dropped, listing again.", kind=self.kind)
                self._current_ms = min(self._current_ms, elapsed_ms() - STALLED_WATCH_MS)
                self._must_list = True
                if elapsed_ms() - self._dropped_ms < RELIST_INTERVAL_MS:
                    self._woken.wait(FIRST_PAUSE_S)
                self._dropped_ms = elapsed_ms()
            except WatchInterruptedError:
                self._must_list = True
            except StoreCallError as error:
                # A listing shows at once what a watch has missed, while a watch that is
                # repeated may report nothing for a while.
                self._must_list = True
                self._note_failure(error)
                self._pause()

    def _pause(self) -> None:
        """Wait before the store is asked again.

        The wait of a leader is shorter, since the other nodes depend on its view. In an outage
        the elector polls the store on behalf of all feeds. A wake then ends the wait only when
        the store answers, or when the leader can serve this node instead.
        """
        pause_s = self._pause_s / 2 if self._relay.leads else self._pause_s
        self._pause_s = min(self._pause_s * 2, MAX_PAUSE_S)
        if self._relay.leads or not self._relay.store_unavailable:
            self._woken.wait(pause_s)
            return
        until_ms = elapsed_ms() + OUTAGE_PAUSE_S * 1000
        while self._woken.wait((until_ms - elapsed_ms()) / 1000):
            if not self._relay.store_unavailable or self._leader_can_serve:
                return

    @property
    def _leader_can_serve(self) -> bool:
        revision = self._cursor.revision
        covered_ms = self._relay.covered_until_ms(self.kind, revision)
        return covered_ms > elapsed_ms() or self._relay.should_ask_leader(self.kind, revision)

    def _wait_while_covered(self) -> bool:
        until_ms = self._relay.covered_until_ms(self.kind, self._cursor.revision)
        left_ms = max(until_ms, self._valid_until_ms) - elapsed_ms()
        if left_ms <= 0:
            return False
        self._woken.wait(left_ms / 1000)
        return True

    def _ask_leader(self) -> bool:
        """Replace all objects by the leader's snapshot; true if it may be used for a while."""
        if not self._relay.should_ask_leader(self.kind, self._cursor.revision):
            return False
        sent_ms = elapsed_ms()
        snapshot = self._relay.fetch(self.kind)
        if snapshot is None or snapshot.through_revision < self._cursor.revision:
            return False
        # The age is as of the answer, which the leader sent after the request left.
        current_ms = sent_ms - snapshot.age_ms
        try:
            items = packing.unpack(snapshot.packed, list[SnapshotItem])
        except ValueError as error:
            LOG.error("Snapshot of the leader is malformed.", kind=self.kind, cause=error)
            return False
        self._replace_all(tuple(_typed(item) for item in items))
        self._move_to(snapshot.through_revision)
        self._note_current(current_ms)
        self._must_list = False
        self._valid_until_ms = self._relay.valid_until_ms(current_ms)
        return elapsed_ms() < self._valid_until_ms

    def _replace_all(self, items: tuple[VersionedObject, ...]) -> None:
        self._feed.replace_all(items)
        self._items.clear()
        for item in items:
            self._keep(item, gone=False)

    def _list(self) -> None:
        sent_ms = elapsed_ms()
        listing = self._store.list_all(self.kind)
        if listing.revision >= self._cursor.revision:
            base = self._cursor.revision
            known = self._items.keys()
            gone = sorted(known - {item.name for item in listing.items})
            self._replace_all(listing.items)
            self._move_to(listing.revision)
            self._publish_listing(base, listing, gone)
        else:
            LOG.warning(
                "Listing is older than the known objects.",
                kind=self.kind,
                revision=listing.revision,
                known=self._cursor.revision,
            )
        self._note_current(sent_ms)
        self._must_list = False
        self._recovered()

    def _publish_listing(self, base: int, listing: Listing, gone: list[str]) -> None:
        """Relay the changes since the last known revision that a listing shows."""
        if base < 0:
            return
        newer = [ObjectChange(item, gone=False) for item in listing.items if item.revision > base]
        changes = [item for change in newer if (item := self._feed.encode(change))]
        changes += [RelayedChange(name, listing.revision, None, gone=True) for name in gone]
        self._relay.publish_changes(self.kind, base, listing.revision, changes)

    def _keep(self, item: VersionedObject, gone: bool) -> None:
        """Keep an object in the form that is sent to other nodes."""
        if gone:
            self._items.pop(item.name, None)
        elif self._feed.items is not None:
            self._items[item.name] = SnapshotItem(
                item.name, item.revision, UNKNOWN_CONTENT, UNKNOWN_CONTENT
            )
        else:
            spec = msgspec.Raw(msgspec.msgpack.encode(item.spec))
            status = msgspec.Raw(msgspec.msgpack.encode(item.status))
            self._items[item.name] = SnapshotItem(item.name, item.revision, spec, status)

    def _watch(self) -> None:
        base = self._cursor.revision
        wait_s = self._relay.watch_wait_s(self.kind)
        sent_ms = elapsed_ms()
        batch = self._store.watch(self.kind, base, wait_s)
        empty = not batch.changes
        current_ms = publisher.confirmed_ms(sent_ms, elapsed_ms(), wait_s * 1000, empty)
        if empty and elapsed_ms() - self._moved_ms < REBASE_MS:
            self._note_current(current_ms)
            return
        if batch.revision < self._cursor.revision and not self._feed.repeatable:
            return  # the leader has relayed later changes meanwhile
        self._note_current(current_ms)
        new = [change for change in batch.changes if self._feed.apply(change)]
        for change in batch.changes:
            self._keep(change.object, change.gone)
        self._move_to(max(batch.revision, self._cursor.revision))
        changes = [item for change in batch.changes if (item := self._feed.encode(change))]
        self._relay.publish_changes(self.kind, base, batch.revision, changes)
        if not empty:
            gevent.sleep(self._feed.pauses.after_new_s if new else self._feed.pauses.after_known_s)

    def _note_current(self, current_ms: float) -> None:
        self._current_ms = max(self._current_ms, current_ms)
        self._feed.confirmed(self._current_ms)

    def _move_to(self, revision: int) -> None:
        self._cursor = Cursor(revision)
        self._moved_ms = elapsed_ms()

    def _note_failure(self, error: StoreCallError) -> None:
        if not self._lost_ms:
            self._lost_ms = elapsed_ms()
            LOG.warning("Store lost.", kind=self.kind, cause=error)
        self._failed()

    def _recovered(self) -> None:
        self._pause_s = FIRST_PAUSE_S
        if self._lost_ms:
            away_ms = int(elapsed_ms() - self._lost_ms)
            LOG.info("Store regained.", kind=self.kind, away_ms=away_ms)
            self._lost_ms = 0.0


def _typed(item: SnapshotItem) -> VersionedObject:
    """Return an object of a snapshot in the form that the store returns."""
    spec = msgspec.msgpack.decode(item.spec)
    return VersionedObject(item.name, item.revision, spec, msgspec.msgpack.decode(item.status))
