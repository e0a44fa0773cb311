"""Tasks that keep the directory up to date: one per kind of object.

A task lists its kind and watches it. While the leader tells all changes of the
kind and shows that its view is current, the task takes these and leaves the
store alone; when that ends, it goes on from the last change that it was told.
At the start, and where changes were missed, the leader is asked for the whole
kind before the store is.
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

REBASE_MS = 5000.0  # a watch goes on from an older revision no longer: history is dropped
STALLED_WATCH_MS = 1000.0  # before history is dropped, watches may hear nothing for so long
UNKNOWN_CONTENT = msgspec.Raw(msgspec.msgpack.encode(None))
RELIST_INTERVAL_MS = 500.0  # listings less far apart are followed by a pause
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 2.0  # a node that leads: half of it, since it tells the others
OUTAGE_PAUSE_S = 4.0  # while another task of this node asks whether the store answers again


@dataclass(frozen=True, slots=True)
class Pauses:
    """Pauses after a watch has reported, so that more comes with one call."""

    after_new_s: float = 0.0
    after_known_s: float = 0.0


def whole_change(change: ObjectChange) -> RelayedChange | None:
    """Return a change as it is told: the whole object."""
    item = change.object
    return RelayedChange(item.name, item.revision, item.spec, item.status, change.gone)


@dataclass(frozen=True, slots=True)
class Feed:
    """What to do with the objects of one kind."""

    kind: str
    replace_all: Callable[[tuple[VersionedObject, ...]], None]
    apply: Callable[[ObjectChange], bool]  # true when it told something new
    pauses: Pauses = Pauses()
    encode: Callable[[ObjectChange], RelayedChange | None] = whole_change
    # Takes a told change; false when it does not join what is known.
    apply_relayed: Callable[[RelayedChange], bool] | None = None
    repeatable: bool = False  # a change may be taken again by itself
    confirmed: Callable[[float], None] = lambda current_ms: None
    # All objects, where the node keeps them in another form than the store's.
    items: Callable[[], list[SnapshotItem]] | None = None


class FeedRelay(Protocol):
    """What a feed needs of the relay between nodes."""

    first_wait_s: float  # after the first listing: a leader may tell of changes by then

    @property
    def leads(self) -> bool:
        """Whether this node tells the others."""

    @property
    def store_unavailable(self) -> bool:
        """Whether the store is asked elsewhere, with cheaper calls, until it answers again.

        Then the feeds are nudged.
        """

    def watch_wait_s(self, kind: str) -> float:
        """Return how long a watch waits at the store; short where its answers are proofs."""

    def covered_until_ms(self, kind: str, cursor: int) -> float:
        """Return until when the store need not be asked for a kind."""

    def publish_changes(
        self, kind: str, base: int, reached: int, changes: list[RelayedChange]
    ) -> None:
        """All changes of a kind between two revisions were read from the store."""

    def await_leader(self) -> None:
        """Wait a little until it is known who leads."""

    def should_ask_leader(self, kind: str, cursor: int) -> bool:
        """Whether the leader is to be asked for a kind."""

    def fetch(self, kind: str) -> Snapshot | None:
        """Return all objects of a kind from the leader, or ``None``."""

    def valid_until_ms(self, current_ms: float) -> float:
        """Return until when a view may be relied on that was surely current at a time."""


class FeedTask:
    """Follows one kind."""

    def __init__(
        self, store: ObjectStore, feed: Feed, relay: FeedRelay, failed: Callable[[], None]
    ) -> None:
        self._store = store
        self._feed = feed
        self._relay = relay
        self._failed = failed
        self._cursor = Cursor()
        self._must_list = True
        self._items: dict[str, SnapshotItem] = {}  # the objects that are known
        self._valid_until_ms = -1e12  # on what the leader told as a whole
        self._current_ms = -1e12  # the view was surely current then
        self._moved_ms = -1e12  # when the cursor moved last
        self._dropped_ms = -1e12  # when history was found dropped last
        self._nudged = Signal()
        self._pause_s = FIRST_PAUSE_S
        self._lost_ms = 0.0

    @property
    def kind(self) -> str:
        """Kind of objects that is followed."""
        return self._feed.kind

    @property
    def view(self) -> FeedView:
        """How far and how current the view of the kind is.

        It grows old while the kind has to be listed again. Were it withdrawn at once,
        all nodes would ask the store for what this one lists in a tenth of a second.
        """
        return FeedView(self._cursor.revision, self._current_ms)

    @property
    def items(self) -> list[SnapshotItem]:
        """All objects, as other nodes are told them."""
        return self._feed.items() if self._feed.items else list(self._items.values())

    @property
    def cursor(self) -> int:
        """Revision up to which all changes are known; below 0: none."""
        return self._cursor.revision

    # ---- from others ------------------------------------------------------------------

    def wake(self) -> None:
        """Look again whether the store has to be asked."""
        self._nudged.raise_()

    def apply_update(self, told: RelayedUpdate) -> None:
        """Take changes that the leader tells, if they join what is known."""
        if not coverage.follows(self._cursor, told, self._feed.repeatable):
            return
        if all(self._take_change(change) for change in told.changes):
            self._cursor = coverage.advanced(self._cursor, told)

    def _take_change(self, change: RelayedChange) -> bool:
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
        """Follow forever."""
        self._relay.await_leader()
        while True:
            if self._wait_while_covered() or self._ask_leader():
                continue
            try:
                if self._must_list:
                    first = self._cursor.revision < 0
                    self._list()
                    if first:
                        self._nudged.wait(self._relay.first_wait_s)
                        continue
                self._watch()
                self._recovered()
            except HistoryDroppedError:
                LOG.info("History dropped, listing again.", kind=self.kind)
                self._current_ms = min(self._current_ms, elapsed_ms() - STALLED_WATCH_MS)
                self._must_list = True
                if elapsed_ms() - self._dropped_ms < RELIST_INTERVAL_MS:
                    self._nudged.wait(FIRST_PAUSE_S)
                self._dropped_ms = elapsed_ms()
            except WatchInterruptedError:
                self._must_list = True
            except StoreCallError as error:
                # What a watch missed meanwhile is told at once by a listing, while
                # a watch that is asked again may hear nothing for a while.
                self._must_list = True
                self._note_failure(error)
                self._pause()

    def _pause(self) -> None:
        """Wait before the store is asked again; a leader less, since it tells the others.

        In an outage the elector asks for all feeds. A wake then ends the wait only
        when the store answers, or when the leader's word helps.
        """
        pause_s = self._pause_s / 2 if self._relay.leads else self._pause_s
        self._pause_s = min(self._pause_s * 2, LONGEST_PAUSE_S)
        if self._relay.leads or not self._relay.store_unavailable:
            self._nudged.wait(pause_s)
            return
        until_ms = elapsed_ms() + OUTAGE_PAUSE_S * 1000
        while self._nudged.wait((until_ms - elapsed_ms()) / 1000):
            if not self._relay.store_unavailable or self._leader_helps:
                return

    @property
    def _leader_helps(self) -> bool:
        revision = self._cursor.revision
        covered_ms = self._relay.covered_until_ms(self.kind, revision)
        return covered_ms > elapsed_ms() or self._relay.should_ask_leader(self.kind, revision)

    def _wait_while_covered(self) -> bool:
        until_ms = self._relay.covered_until_ms(self.kind, self._cursor.revision)
        left_ms = max(until_ms, self._valid_until_ms) - elapsed_ms()
        if left_ms <= 0:
            return False
        self._nudged.wait(left_ms / 1000)
        return True

    def _ask_leader(self) -> bool:
        """Take the whole kind from the leader; true if it can be relied on."""
        if not self._relay.should_ask_leader(self.kind, self._cursor.revision):
            return False
        sent_ms = elapsed_ms()
        snapshot = self._relay.fetch(self.kind)
        if snapshot is None or snapshot.through_revision < self._cursor.revision:
            return False
        # Its age counts from when it was answered, which was after it was asked for.
        current_ms = sent_ms - snapshot.age_ms
        try:
            items = packing.unpack(snapshot.packed, list[SnapshotItem])
        except ValueError as error:
            LOG.error("What the leader told is not understood.", kind=self.kind, cause=error)
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
            self._tell_listing(base, listing, gone)
        else:
            LOG.warning(
                "Listing is older than what is known.",
                kind=self.kind,
                revision=listing.revision,
                known=self._cursor.revision,
            )
        self._note_current(sent_ms)
        self._must_list = False
        self._recovered()

    def _tell_listing(self, base: int, listing: Listing, gone: list[str]) -> None:
        """Tell what a listing shows to have changed since the last revision known."""
        if base < 0:
            return
        newer = [ObjectChange(item, gone=False) for item in listing.items if item.revision > base]
        told = [item for change in newer if (item := self._feed.encode(change))]
        told += [RelayedChange(name, listing.revision, None, gone=True) for name in gone]
        self._relay.publish_changes(self.kind, base, listing.revision, told)

    def _keep(self, item: VersionedObject, gone: bool) -> None:
        """Keep an object in the form in which other nodes are told it."""
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
            return  # the leader told more meanwhile
        self._note_current(current_ms)
        news = [change for change in batch.changes if self._feed.apply(change)]
        for change in batch.changes:
            self._keep(change.object, change.gone)
        self._move_to(max(batch.revision, self._cursor.revision))
        told = [item for change in batch.changes if (item := self._feed.encode(change))]
        self._relay.publish_changes(self.kind, base, batch.revision, told)
        if not empty:
            gevent.sleep(self._feed.pauses.after_new_s if news else self._feed.pauses.after_known_s)

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
    """Return an object of a snapshot as the store would."""
    spec = msgspec.msgpack.decode(item.spec)
    return VersionedObject(item.name, item.revision, spec, msgspec.msgpack.decode(item.status))
