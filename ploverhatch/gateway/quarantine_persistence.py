"""Saves quarantined requests in the store while this node leads.

So the quarantine survives the simultaneous loss of all nodes.
"""

from collections.abc import Callable

import gevent
import msgspec

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.logs import PartLogger
from ploverhatch.gateway.quarantine import Quarantine
from ploverhatch.quarantine.messages import CrashRecordEntry
from ploverhatch.store import kinds
from ploverhatch.store.objects import (
    ObjectStore,
    RevisionConflictError,
    StoreCallError,
    VersionedObject,
)

LOG = PartLogger("quarantine")

POLL_S = 0.25  # The interval of checks whether this node leads.
SAVE_MS = 2000.0  # The least time between two writes.


class QuarantinePersistence:
    """Loads what the last leader saved, then saves the quarantined requests when they change.

    :param leads: returns whether this node leads.
    """

    def __init__(self, store: ObjectStore, quarantine: Quarantine, leads: Callable[[], bool]):
        self._store = store
        self._quarantine = quarantine
        self._leads = leads
        self._stored: VersionedObject | None = None
        self._loaded = False
        # Digests with their number of crashes.
        self._saved: frozenset[tuple[bytes, int]] = frozenset()
        self._saved_ms = -1e12

    def run(self) -> None:
        """Load and save forever, while this node leads."""
        while True:
            gevent.sleep(POLL_S)
            if not self._leads():
                self._loaded = False
                continue
            try:
                if not self._loaded:
                    self._load()
                elif elapsed_ms() - self._saved_ms >= SAVE_MS:
                    self._save()
            except StoreCallError as error:
                LOG.warning("Quarantined requests not read or saved.", cause=error)
                self._saved_ms = elapsed_ms()
            except RevisionConflictError as error:
                # Written by an earlier leader, or the answer to a write was lost.
                self._stored = error.current

    def _load(self) -> None:
        self._stored = self._store.get(kinds.QUARANTINE, kinds.QUARANTINED_REQUESTS)
        self._loaded = True
        if self._stored is None:
            return
        try:
            records = msgspec.convert(self._stored.spec, list[CrashRecordEntry])
        except ValueError as error:
            LOG.error("Saved quarantined requests are malformed.", cause=error)
            return
        self._saved = _summary(records)
        self._quarantine.load(records)

    def _save(self) -> None:
        records = self._quarantine.quarantined_records()
        if _summary(records) == self._saved:
            return
        self._saved_ms = elapsed_ms()
        content = msgspec.to_builtins(records)
        known = self._stored
        name = kinds.QUARANTINED_REQUESTS
        if known is None:
            self._stored = self._store.create(kinds.QUARANTINE, name, content)
        else:
            self._stored = self._store.replace(kinds.QUARANTINE, name, content, known.revision)
        self._saved = _summary(records)


def _summary(records: list[CrashRecordEntry]) -> frozenset[tuple[bytes, int]]:
    return frozenset((record.request_digest, len(record.crashes)) for record in records)
