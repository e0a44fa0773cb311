"""The servers a node knows of, and which of them may be used. Pure.

A server is *leaving* when it drains, or while its zone is evacuated: it gets no
new requests, and its keys go to others. Servers that come back from an evacuation
are taken to be cold, since their caches may have been lost meanwhile.

A store that was down may have dropped the records of most servers though they
still run. Records that vanish soon after a failure of the store are therefore
kept for a while, but only when most of a service vanished: a single record
that goes is taken at its word, since a server that leaves may not announce it.
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
# After a restore of the store each server rewrites its record at its own pace. Until then its
# record may be outdated: a draining server stays so, and one that has left stays away.
STALE_AFTER_RESTORE_MS = 5000.0
DEPARTED_MEMORY_MS = 30_000.0  # copies are seconds old


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """One life of a server, as it registered itself; ``server_id`` names the life."""

    server_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    draining: bool
    warmup_ms: float = 0.0  # how much longer it was cold when it wrote the record
    evacuated: bool = False  # its zone is being evacuated
    announced_leaving: bool = False  # in its answers, whatever its record says
    region: str = ""  # that its zone lies in

    def in_regions(self, regions: Collection[str]) -> bool:
        """Whether it is in one of some regions; all are meant where none is named."""
        return not regions or self.region in regions

    @property
    def leaving(self) -> bool:
        """Whether it gets no new requests."""
        return self.draining or self.evacuated or self.announced_leaving


@dataclass
class ServerSet:
    """Servers by id; times are milliseconds of the elapsed clock."""

    regions: Mapping[str, str] = field(default_factory=dict)  # by zone
    records: dict[str, ServerRecord] = field(default_factory=dict)
    vanished: dict[str, float] = field(default_factory=dict)  # id -> when
    leaving_since: dict[str, float] = field(default_factory=dict)  # id -> when heard
    cold_until_ms: dict[str, float] = field(default_factory=dict)  # of servers that were cold
    evacuated: frozenset[str] = frozenset()  # zones
    notices: ServerNotices = field(default_factory=ServerNotices)
    _incarnation_by_name: dict[str, str] = field(default_factory=dict)  # by registered name
    store_failed_ms: float = -1e12
    store_restored_ms: float = -1e12  # when a restore of the store was detected
    _departed: dict[str, float] = field(default_factory=dict)  # drained servers that went, and when

    def is_cold(self, server_id: str, now_ms: float) -> bool:
        """Whether a server sustains few requests for now."""
        return self.cold_until_ms.get(server_id, -1e12) > now_ms

    def count_cold(self, now_ms: float) -> int:
        """Return how many servers are cold."""
        return sum(until_ms > now_ms for until_ms in self.cold_until_ms.values())

    def note_store_failure(self, now_ms: float) -> None:
        """The store did not answer: records may vanish without reason."""
        self.store_failed_ms = now_ms

    def note_store_restored(self, now_ms: float) -> None:
        """The store was restored from a snapshot: its records may be outdated."""
        self.store_restored_ms = now_ms

    def put(self, record: ServerRecord, now_ms: float) -> str:
        """Take a record that was added or changed.

        The record of another life of the same server shows that the one before is over.
        It was written a while ago, so a server is cold for a little less than is
        assumed here. The same record again, in a listing, tells nothing new of that.

        :returns: the life that is over; empty where there is none.
        """
        region = self.regions.get(record.zone, "")
        record = replace(record, evacuated=record.zone in self.evacuated, region=region)
        name = registered_name(record.server_id)
        before = self._incarnation_by_name.get(name, record.server_id)
        restored = now_ms - self.store_restored_ms < STALE_AFTER_RESTORE_MS
        if restored and record.server_id in self._departed:
            return ""
        earlier = self.records.get(record.server_id)
        if restored and earlier is not None and earlier.draining:
            record = replace(record, draining=True)
        if before != record.server_id:
            self._drop(before)
        self._incarnation_by_name[name] = record.server_id
        known = self.records.get(record.server_id)
        if record.warmup_ms > 0 and (known is None or known.warmup_ms != record.warmup_ms):
            self.note_cold(record.server_id, now_ms + record.warmup_ms)
        self.vanished.pop(record.server_id, None)
        self._show(record, now_ms)
        return before if before != record.server_id else ""

    def _show(self, record: ServerRecord, now_ms: float) -> None:
        said = self.notices.is_leaving(record.server_id)
        record = replace(record, announced_leaving=said)
        self.records[record.server_id] = record
        if record.leaving:
            self.leaving_since.setdefault(record.server_id, now_ms)
        else:
            self.leaving_since.pop(record.server_id, None)

    def apply_notice(
        self, server_id: str, notice: ServerNotice, now_ms: float, asked_ms: float | None = None
    ) -> ServerNotice:
        """Take what an answer of a server says of it; return what of it is new.

        :param asked_ms: when the request was sent; now where that is not known.
        """
        record = self.records.get(server_id)
        if record is None:
            return NO_NOTICE
        news = self.notices.note(server_id, notice, now_ms, asked_ms)
        if news.leaving:
            self._show(record, now_ms)
        return news

    def note_reported_leaving(self, server_id: str, since_ms: float, now_ms: float) -> bool:
        """Another node tells that a server said it leaves; true if that is new."""
        record = self.records.get(server_id)
        if record is None or now_ms - since_ms > LEAVING_MEMORY_MS:
            return False
        news = self.notices.note_leaving(server_id, since_ms)
        if news:
            self._show(record, now_ms)
        return news

    def note_reported_limit(self, server_id: str, word: RateLimit) -> bool:
        """Another node tells what a server said of its limit; true if that is new."""
        if server_id not in self.records:
            return False
        return self.notices.note_reported_limit(server_id, word)

    def note_cold(self, server_id: str, until_ms: float) -> None:
        """A server is cold until a time, or for longer if that was known."""
        known_ms = self.cold_until_ms.get(server_id, -1e12)
        self.cold_until_ms[server_id] = max(known_ms, until_ms)

    def set_evacuated(self, zones: Collection[str], now_ms: float) -> list[ServerRecord]:
        """Take the zones that are being evacuated now.

        :returns: the servers whose zones were taken back.
        """
        before, self.evacuated = self.evacuated, frozenset(zones)
        for record in list(self.records.values()):
            if record.zone in before ^ self.evacuated:
                self._show(replace(record, evacuated=record.zone in self.evacuated), now_ms)
        back = before - self.evacuated
        return [record for record in self.records.values() if record.zone in back]

    def remove(self, name: str, now_ms: float) -> None:
        """Take note that the record of a server is gone, by its registered name."""
        self._remove_all({self._incarnation_by_name.get(name, name)}, now_ms)

    def replace_all(self, records: list[ServerRecord], now_ms: float) -> None:
        """Take a whole listing."""
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
        """Whether most records of a record's service are vanishing or vanished."""
        same = [known for known in self.records.values() if known.service == record.service]
        gone = sum(
            known.server_id in server_ids or known.server_id in self.vanished for known in same
        )
        return len(same) > 1 and gone * 2 > len(same)

    def expire(self, now_ms: float) -> bool:
        """Drop vanished records whose grace is over, and old words; true if any was."""
        self._departed = {
            name: ms for name, ms in self._departed.items() if now_ms - ms < DEPARTED_MEMORY_MS
        }
        stayed = self.notices.expire(now_ms)
        for server_id in stayed:
            self._show(self.records[server_id], now_ms)
        overdue = [
            server_id
            for server_id, since_ms in self.vanished.items()
            if now_ms - since_ms > VANISH_GRACE_MS
        ]
        for server_id in overdue:
            self._drop(server_id)
        return bool(overdue or stayed)

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
        """Drop a server whose address was seen to belong to another one."""
        self._drop(server_id)

    def of_service(self, service: str) -> list[ServerRecord]:
        """Return the records of one service, ordered by id."""
        found = [record for record in self.records.values() if record.service == service]
        return sorted(found, key=lambda record: record.server_id)
