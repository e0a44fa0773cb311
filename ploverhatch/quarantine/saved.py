"""Quarantined requests as the leader saves them, for the case that all nodes are lost at once.

Saved ages are those of the time of saving: a loaded request is quarantined for longer than it
was, by the time between saving and loading. This module does no I/O and reads no clock.
"""

from ploverhatch.quarantine import messages
from ploverhatch.quarantine.ledger import CrashLedger
from ploverhatch.quarantine.messages import CrashRecordEntry
from ploverhatch.quarantine.record import CRASHES_TO_QUARANTINE, CrashRecord

MAX_SAVED_RECORDS = 64  # 30 KB


def quarantined_records(ledger: CrashLedger, now_ms: float) -> list[CrashRecordEntry]:
    """Return the crashes that the quarantine decisions rest on, ordered by request digest.

    Of more than ``MAX_SAVED_RECORDS`` requests those quarantined for longest are returned.
    """
    found = []
    for request_digest, _ in ledger:
        decisions = ledger.decisions(request_digest)
        if decisions:
            longest = max(decisions, key=lambda decision: decision.until_ms)
            crashes = longest.crashes[-(CRASHES_TO_QUARANTINE + longest.excess_crashes) :]
            found.append(
                (longest.until_ms, messages.encode(request_digest, CrashRecord(crashes), now_ms))
            )
    latest = sorted(found, key=lambda item: item[0])[-MAX_SAVED_RECORDS:]
    return sorted((record for _, record in latest), key=lambda record: record.request_digest)


def load(ledger: CrashLedger, records: list[CrashRecordEntry], now_ms: float) -> list[bytes]:
    """Merge saved records into the ledger; return the request digests whose record changed."""
    return [
        record.request_digest
        for record in records
        if ledger.merge(record.request_digest, messages.decode(record, now_ms))
    ]
