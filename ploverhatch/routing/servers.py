"""The servers a node knows of, and which of them may be used. Pure.

A store that was down may have dropped the records of servers that still run;
a record that vanishes soon after a failure of the store is therefore kept for
a while.
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
    cold_remaining_ms: float = 0.0


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
        record = self.records.get(server_id)
        if record is None:
            return
        suspect = now_ms - self.store_failed_ms < STORE_FAILURE_MEMORY_MS
        if suspect and not record.draining:
            self.vanished.setdefault(server_id, now_ms)
        else:
            self._drop(server_id)

    def replace_all(self, records: list[ServerRecord], now_ms: float) -> None:
        """Take a whole listing."""
        listed = {record.server_id for record in records}
        for server_id in [known for known in self.records if known not in listed]:
            self.remove(server_id, now_ms)
        for record in records:
            self.put(record, now_ms)

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
