"""Held requests as the leader saves them, for when all nodes are lost at once. Pure.

Ages are those of the time of saving: a request that is loaded again is held for longer than it
was, by the time in between.
"""

from ploverhatch.quarantine import messages
from ploverhatch.quarantine.ledger import CrashLedger
from ploverhatch.quarantine.messages import CrashRecordEntry
from ploverhatch.quarantine.record import CRASHES_TO_QUARANTINE, CrashRecord

MAX_SAVED_RECORDS = 64  # contents: 30 KB


def quarantined_records(ledger: CrashLedger, now_ms: float) -> list[CrashRecordEntry]:
    """Return the ends from which the holds follow, in the order of their contents."""
    found = []
    for content, _ in ledger:
        holds = ledger.decisions(content)
        if holds:
            hold = max(holds, key=lambda one: one.until_ms)
            ends = hold.crashes[-(CRASHES_TO_QUARANTINE + hold.excess_crashes) :]
            found.append((hold.until_ms, messages.encode(content, CrashRecord(ends), now_ms)))
    latest = sorted(found, key=lambda item: item[0])[-MAX_SAVED_RECORDS:]
    return sorted((record for _, record in latest), key=lambda record: record.request_digest)


def load(ledger: CrashLedger, records: list[CrashRecordEntry], now_ms: float) -> list[bytes]:
    """Take saved records; return the contents of which something is new."""
    return [
        record.request_digest
        for record in records
        if ledger.merge(record.request_digest, messages.decode(record, now_ms))
    ]
