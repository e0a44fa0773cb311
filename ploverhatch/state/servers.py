"""The servers that a node knows, and their state.

A server is *leaving* when it drains, when it announced so, or while its zone is
evacuated: it receives no new requests, and its keys move to other servers. Servers
of a zone that is no longer evacuated are treated as cold, since they may have lost
their caches in the meantime.

A store that was down may have dropped the records of most servers although they
still run. Records that vanish soon after a failure of the store are therefore kept
for a grace period, but only when most records of a service vanished. The removal of
a single record takes effect at once, since a server may leave without announcing it.

This module does no I/O and reads no clock.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field, replace

from ploverhatch.state.incarnations import registered_name
from ploverhatch.state.server_notices import (
    LEAVING_MEMORY_MS,
    NO_NOTICE,
    RateLimit,
    ServerNotice,
    ServerNotices,
)

VANISH_GRACE_MS = 3000.0
STORE_FAILURE_MEMORY_MS = 4000.0
# After the store was restored, each server rewrites its record in its own time. Until then the
# record may be outdated: a server that was draining still is, and a server that has left isn't
# added again.
STALE_AFTER_RESTORE_MS = 5000.0
DEPARTED_MEMORY_MS = 30_000.0  # the store is restored from copies that are seconds old


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """One incarnation of a server, as it registered itself.

    ``server_id`` identifies the incarnation.
    """

    server_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    draining: bool
    warmup_ms: float = 0.0  # remaining cold time when the record was written
    evacuated: bool = False  # whether its zone is being evacuated
    announced_leaving: bool = False  # announced in its answers, whatever the record says
    region: str = ""  # the region of its zone

    def in_regions(self, regions: Collection[str]) -> bool:
        """Return whether it is in one of some regions; an empty collection means all regions."""
        return not regions or self.region in regions

    @property
    def leaving(self) -> bool:
        """Whether it is to receive no new requests."""
        return self.draining or self.evacuated or self.announced_leaving


@dataclass
class ServerSet:
    """Servers by incarnation id; times are milliseconds of the elapsed clock."""

    regions: Mapping[str, str] = field(default_factory=dict)  # zone -> region
    records: dict[str, ServerRecord] = field(default_factory=dict)
    vanished: dict[str, float] = field(default_factory=dict)  # id -> time of the removal
    leaving_since: dict[str, float] = field(default_factory=dict)  # id -> when known
    cold_until_ms: dict[str, float] = field(default_factory=dict)  # id -> end of the cold time
    evacuated: frozenset[str] = frozenset()  # the zones being evacuated
    notices: ServerNotices = field(default_factory=ServerNotices)
    _incarnation_by_name: dict[str, str] = field(default_factory=dict)  # incarnation ids
    store_failed_ms: float = -1e12
    store_restored_ms: float = -1e12  # when a restore of the store was detected
    _departed: dict[str, float] = field(default_factory=dict)  # drained servers, id -> removal time

    def is_cold(self, server_id: str, now_ms: float) -> bool:
        """Return whether a server is cold, so that it sustains few requests for now."""
        return self.cold_until_ms.get(server_id, -1e12) > now_ms

    def count_cold(self, now_ms: float) -> int:
        """Return the number of cold servers."""
        return sum(until_ms > now_ms for until_ms in self.cold_until_ms.values())

    def note_store_failure(self, now_ms: float) -> None:
        """Note that the store did not answer: records may vanish while their servers still run."""
        self.store_failed_ms = now_ms

    def note_store_restored(self, now_ms: float) -> None:
        """Note that the store was restored from a snapshot: its records may be outdated."""
        self.store_restored_ms = now_ms

    def put(self, record: ServerRecord, now_ms: float) -> str:
        """Apply a record that was added or changed.

        A record of another incarnation of the same server shows that the previous one has
        ended. The record was written some time ago, so the server is cold for slightly less
        time than assumed here; an unchanged record in a listing doesn't extend that time.

        :returns: the id of the ended incarnation; empty without one.
        """
        region = self.regions.get(record.zone, "")
        record = replace(record, evacuated=record.zone in self.evacuated, region=region)
        name = registered_name(record.server_id)
        previous = self._incarnation_by_name.get(name, record.server_id)
        restored = now_ms - self.store_restored_ms < STALE_AFTER_RESTORE_MS
        if restored and record.server_id in self._departed:
            return ""
        earlier = self.records.get(record.server_id)
        if restored and earlier is not None and earlier.draining:
            record = replace(record, draining=True)
        if previous != record.server_id:
            self._drop(previous)
        self._incarnation_by_name[name] = record.server_id
        known = self.records.get(record.server_id)
        if record.warmup_ms > 0 and (known is None or known.warmup_ms != record.warmup_ms):
            self.note_cold(record.server_id, now_ms + record.warmup_ms)
        self.vanished.pop(record.server_id, None)
        self._set_record(record, now_ms)
        return previous if previous != record.server_id else ""

    def _set_record(self, record: ServerRecord, now_ms: float) -> None:
        announced = self.notices.is_leaving(record.server_id)
        record = replace(record, announced_leaving=announced)
        self.records[record.server_id] = record
        if record.leaving:
            self.leaving_since.setdefault(record.server_id, now_ms)
        else:
            self.leaving_since.pop(record.server_id, None)

    def apply_notice(
        self, server_id: str, notice: ServerNotice, now_ms: float, sent_ms: float | None = None
    ) -> ServerNotice:
        """Apply the notice in an answer of a server; return the parts of it that are new.

        :param sent_ms: when the request was sent; ``now_ms`` where that is unknown.
        """
        record = self.records.get(server_id)
        if record is None:
            return NO_NOTICE
        news = self.notices.note(server_id, notice, now_ms, sent_ms)
        if news.leaving:
            self._set_record(record, now_ms)
        return news

    def note_reported_leaving(self, server_id: str, since_ms: float, now_ms: float) -> bool:
        """Apply another node's report that a server announced its leaving.

        :param since_ms: when the server announced it.
        :returns: whether that is new.
        """
        record = self.records.get(server_id)
        if record is None or now_ms - since_ms > LEAVING_MEMORY_MS:
            return False
        news = self.notices.note_leaving(server_id, since_ms)
        if news:
            self._set_record(record, now_ms)
        return news

    def note_reported_limit(self, server_id: str, limit: RateLimit) -> bool:
        """Apply another node's report of a server's rate limit; return whether it is new."""
        if server_id not in self.records:
            return False
        return self.notices.note_reported_limit(server_id, limit)

    def note_cold(self, server_id: str, until_ms: float) -> None:
        """Note that a server is cold until a time; a known later time stays."""
        known_ms = self.cold_until_ms.get(server_id, -1e12)
        self.cold_until_ms[server_id] = max(known_ms, until_ms)

    def set_evacuated(self, zones: Collection[str], now_ms: float) -> list[ServerRecord]:
        """Replace the set of zones that are being evacuated.

        :returns: the servers of the zones that are no longer evacuated.
        """
        previous, self.evacuated = self.evacuated, frozenset(zones)
        for record in list(self.records.values()):
            if record.zone in previous ^ self.evacuated:
                self._set_record(replace(record, evacuated=record.zone in self.evacuated), now_ms)
        returned = previous - self.evacuated
        return [record for record in self.records.values() if record.zone in returned]

    def remove(self, name: str, now_ms: float) -> None:
        """Remove the record of a server, by its registered name."""
        self._remove_all({self._incarnation_by_name.get(name, name)}, now_ms)

    def replace_all(self, records: list[ServerRecord], now_ms: float) -> None:
        """Apply a complete listing of the records."""
        listed = {registered_name(record.server_id) for record in records}
        gone = {known for known in self.records if registered_name(known) not in listed}
        self._remove_all(gone, now_ms)
        for record in records:
            self.put(record, now_ms)

    def _remove_all(self, server_ids: set[str], now_ms: float) -> None:
        suspect = now_ms - self.store_failed_ms < STORE_FAILURE_MEMORY_MS
        for server_id in server_ids & self.records.keys():
            record = self.records[server_id]
            if suspect and not record.draining and self._most_vanish(record, server_ids):
                self.vanished.setdefault(server_id, now_ms)
            else:
                if record.draining:
                    self._departed[server_id] = now_ms
                self._drop(server_id)

    def _most_vanish(self, record: ServerRecord, server_ids: set[str]) -> bool:
        """Return whether most records of a record's service vanish now or have vanished."""
        same = [known for known in self.records.values() if known.service == record.service]
        gone = sum(
            known.server_id in server_ids or known.server_id in self.vanished for known in same
        )
        return len(same) > 1 and gone * 2 > len(same)

    def expire(self, now_ms: float) -> bool:
        """Drop vanished records after their grace period, and old notices.

        :returns: whether a record was dropped or a server is no longer leaving.
        """
        self._departed = {
            name: ms for name, ms in self._departed.items() if now_ms - ms < DEPARTED_MEMORY_MS
        }
        no_longer_leaving = self.notices.expire(now_ms)
        for server_id in no_longer_leaving:
            self._set_record(self.records[server_id], now_ms)
        overdue = [
            server_id
            for server_id, since_ms in self.vanished.items()
            if now_ms - since_ms > VANISH_GRACE_MS
        ]
        for server_id in overdue:
            self._drop(server_id)
        return bool(overdue or no_longer_leaving)

    def _drop(self, server_id: str) -> None:
        self.records.pop(server_id, None)
        name = registered_name(server_id)
        if self._incarnation_by_name.get(name) == server_id:
            del self._incarnation_by_name[name]
        self.vanished.pop(server_id, None)
        self.leaving_since.pop(server_id, None)
        self.cold_until_ms.pop(server_id, None)
        self.notices.forget({server_id})

    def forget_address(self, server_id: str) -> None:
        """Drop a server whose address was found to belong to another server."""
        self._drop(server_id)

    def of_service(self, service: str) -> list[ServerRecord]:
        """Return the records of a service, ordered by server id."""
        found = [record for record in self.records.values() if record.service == service]
        return sorted(found, key=lambda record: record.server_id)
