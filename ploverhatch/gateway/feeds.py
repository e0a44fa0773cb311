"""Tasks that keep the directory up to date: one watch per kind of object."""

from collections.abc import Callable
from dataclasses import dataclass

import gevent

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.store.objects import (
    HistoryDroppedError,
    ObjectChange,
    ObjectStore,
    StoreCallError,
    VersionedObject,
    WatchInterruptedError,
)

LOG = PartLogger("feed")

WAIT_S = 25.0
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.5


@dataclass(frozen=True, slots=True)
class Pauses:
    """Pauses after a watch has reported, so that more comes with one call."""

    news_s: float = 0.0
    known_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Feed:
    """What to do with the objects of one kind."""

    kind: str
    replace_all: Callable[[tuple[VersionedObject, ...]], None]
    apply: Callable[[ObjectChange], bool]  # true when it told something new
    pauses: Pauses = Pauses()


class FeedTask:
    """Lists a kind, then follows its changes; lists again when history was dropped."""

    def __init__(self, store: ObjectStore, feed: Feed, failed: Callable[[], None]) -> None:
        self._store = store
        self._feed = feed
        self._failed = failed
        self._revision = -1
        self._pause_s = FIRST_PAUSE_S
        self._lost_ms = 0.0

    def run(self) -> None:
        """Follow forever."""
        while True:
            try:
                if self._revision < 0:
                    self._list()
                self._watch()
                self._recovered()
            except HistoryDroppedError:
                LOG.info("History dropped, listing again.", kind=self._feed.kind)
                self._revision = -1
            except WatchInterruptedError:
                self._revision = -1
            except StoreCallError as error:
                # What a watch missed meanwhile is told at once by a listing, while
                # a watch that is asked again may hear nothing for a while.
                self._revision = -1
                self._note_failure(error)
                gevent.sleep(self._pause_s)
                self._pause_s = min(self._pause_s * 2, LONGEST_PAUSE_S)

    def _list(self) -> None:
        listing = self._store.list_all(self._feed.kind)
        self._feed.replace_all(listing.items)
        self._revision = listing.revision
        self._recovered()

    def _watch(self) -> None:
        batch = self._store.watch(self._feed.kind, self._revision, WAIT_S)
        news = [change for change in batch.changes if self._feed.apply(change)]
        self._revision = batch.revision
        if batch.changes:
            gevent.sleep(self._feed.pauses.news_s if news else self._feed.pauses.known_s)

    def _note_failure(self, error: StoreCallError) -> None:
        if not self._lost_ms:
            self._lost_ms = elapsed_ms()
            LOG.warning("Store lost.", kind=self._feed.kind, cause=error)
        self._failed()

    def _recovered(self) -> None:
        self._pause_s = FIRST_PAUSE_S
        if self._lost_ms:
            away_ms = int(elapsed_ms() - self._lost_ms)
            LOG.info("Store regained.", kind=self._feed.kind, away_ms=away_ms)
            self._lost_ms = 0.0
