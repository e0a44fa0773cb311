"""Completion records of requests that run at most once.

A claim is committed to the log before the request is sent, so that no two
routers can both send it. A repeat of a request whose record has no completion
is answered with "unknown". Records expire by the replicated clock, which never
runs ahead of elapsed time.
"""

from dataclasses import dataclass, field
from enum import IntEnum

from ploverhatch.transport import wire


class RecordPhase(IntEnum):
    """Progress of the run of a recorded request, as far as it is known."""

    CLAIMED = 1
    COMPLETED = 2


class ClaimResult(IntEnum):
    """Result of a command on records, from the record table or from the leader."""

    CLAIMED = 1
    HELD = 2
    COMPLETED = 3
    MISMATCH = 4
    ABSENT = 5
    NOT_LEADER = 6
    LOST = 7  # the record of an earlier run may have been lost with the last epoch


@dataclass
class RecordTable:
    """Completion records by idempotency key, in the order of their claims."""

    records: dict[str, wire.RecordState] = field(default_factory=dict)
    refuse_until_ms: int = 0  # on the replicated clock

    def claim(self, command: wire.RecordClaim, clock_ms: int) -> ClaimResult:
        """Claim the run of a request; a repeat of the same claim succeeds again.

        :param clock_ms: the replicated clock at this log entry.
        """
        record = self.records.get(command.record_id)
        if record is None and clock_ms < self.refuse_until_ms:
            return ClaimResult.LOST
        if record is None:
            self.records[command.record_id] = wire.RecordState(
                record_id=command.record_id,
                claim_id=command.claim_id,
                fingerprint=command.fingerprint,
                phase=RecordPhase.CLAIMED,
                claimed_ms=clock_ms,
            )
            return ClaimResult.CLAIMED
        if record.fingerprint != command.fingerprint:
            return ClaimResult.MISMATCH
        if record.phase == RecordPhase.COMPLETED:
            return ClaimResult.COMPLETED
        own_claim = record.claim_id == command.claim_id
        return ClaimResult.CLAIMED if own_claim else ClaimResult.HELD

    def complete(self, command: wire.RecordComplete) -> ClaimResult:
        """Store the answer of a claimed run."""
        record = self.records.get(command.record_id)
        if record is None or record.claim_id != command.claim_id:
            return ClaimResult.ABSENT
        self.records[command.record_id] = wire.RecordState(
            record_id=record.record_id,
            claim_id=record.claim_id,
            fingerprint=record.fingerprint,
            phase=RecordPhase.COMPLETED,
            claimed_ms=record.claimed_ms,
            status=command.status,
            content_type=command.content_type,
            body=command.body,
            body_kept=command.body_kept,
        )
        return ClaimResult.COMPLETED

    def release(self, command: wire.RecordRelease) -> ClaimResult:
        """Release the claim of a request that certainly did not run."""
        record = self.records.get(command.record_id)
        if record is None or record.claim_id != command.claim_id:
            return ClaimResult.ABSENT
        if record.phase == RecordPhase.COMPLETED:
            return ClaimResult.COMPLETED
        del self.records[command.record_id]
        return ClaimResult.ABSENT

    def expire(self, before_ms: int) -> int:
        """Drop records claimed before a time of the replicated clock; return how many."""
        expired = []
        for record in self.records.values():
            if record.claimed_ms >= before_ms:
                break
            expired.append(record.record_id)
        for record_id in expired:
            del self.records[record_id]
        return len(expired)
