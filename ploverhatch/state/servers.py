"""The servers a node knows of, and which of them may be used. Pure.

A store that was down may have dropped the records of most servers though they
still run. Records that vanish soon after a failure of the store are therefore
kept for a while, but only when most of a service vanished: a single record
that goes is taken at its word, since a server that leaves may not announce it.
"""

from dataclasses import dataclass, field

VANISH_GRACE_MS = 3000.0
STORE_FAILURE_MEMORY_MS = 4000.0


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """One life of a server, as it registered itself."""

    server_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    draining: bool
    warmup_ms: float = 0.0


@dataclass
class ServerSet:
    """Servers by id; times are milliseconds of the elapsed clock."""

    records: dict[str, ServerRecord] = field(default_factory=dict)
    vanished: dict[str, float] = field(default_factory=dict)  # id -> when
    draining_since: dict[str, float] = field(default_factory=dict)  # id -> when heard
    store_failed_ms: float = -1e12

    def note_store_failure(self, now_ms: float) -> None:
        """The store did not answer: records may vanish without reason."""
        self.store_failed_ms = now_ms

    def put(self, record: ServerRecord, now_ms: float) -> None:
        """Take a record that was added or changed."""
        self.records[record.server_id] = record
        self.vanished.pop(record.server_id, None)
        if record.draining:
            self.draining_since.setdefault(record.server_id, now_ms)
        else:
            self.draining_since.pop(record.server_id, None)

    def remove(self, server_id: str, now_ms: float) -> None:
        """Take note that a record is gone."""
        self._remove_all({server_id}, now_ms)

    def replace_all(self, records: list[ServerRecord], now_ms: float) -> None:
        """Take a whole listing."""
        listed = {record.server_id for record in records}
        self._remove_all(self.records.keys() - listed, now_ms)
        for record in records:
            self.put(record, now_ms)

    def _remove_all(self, server_ids: set[str], now_ms: float) -> None:
        suspect = now_ms - self.store_failed_ms < STORE_FAILURE_MEMORY_MS
        for server_id in server_ids & self.records.keys():
            record = self.records[server_id]
            if suspect and not record.draining and self._most_vanish(record, server_ids):
                self.vanished.setdefault(server_id, now_ms)
            else:
                self._drop(server_id)

    def _most_vanish(self, record: ServerRecord, server_ids: set[str]) -> bool:
        """Whether most records of a record's service are vanishing or vanished."""
        same = [known for known in self.records.values() if known.service == record.service]
        gone = sum(
            known.server_id in server_ids or known.server_id in self.vanished for known in same
        )
        return len(same) > 1 and gone * 2 > len(same)

    def expire(self, now_ms: float) -> bool:
        """Drop vanished records whose grace is over; true if any was."""
        overdue = [
            server_id
            for server_id, since_ms in self.vanished.items()
            if now_ms - since_ms > VANISH_GRACE_MS
        ]
        for server_id in overdue:
            self._drop(server_id)
        return bool(overdue)

    def _drop(self, server_id: str) -> None:
        self.records.pop(server_id, None)
        self.vanished.pop(server_id, None)
        self.draining_since.pop(server_id, None)

    def forget_address(self, server_id: str) -> None:
        """Drop a server whose address was seen to belong to another one."""
        self._drop(server_id)

    def of_service(self, service: str) -> list[ServerRecord]:
        """Return the records of one service, ordered by id."""
        found = [record for record in self.records.values() if record.service == service]
        return sorted(found, key=lambda record: record.server_id)
