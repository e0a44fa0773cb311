"""Held requests as the leader saves them, for when all nodes are lost at once. Pure.

Ages are those of the time of saving: a request that is loaded again is held for longer than it
was, by the time in between.
"""

from ploverhatch.quarantine import messages
from ploverhatch.quarantine.ledger import CrashLedger
from ploverhatch.quarantine.messages import ToldRecord
from ploverhatch.quarantine.record import ENDS_TO_HOLD, CrashRecord

MOST_SAVED = 64  # contents: 30 KB


def held_records(ledger: CrashLedger, now_ms: float) -> list[ToldRecord]:
    """Return the ends from which the holds follow, in the order of their contents."""
    found = []
    for content, _ in ledger:
        holds = ledger.holds(content)
        if holds:
            hold = max(holds, key=lambda one: one.until_ms)
            ends = hold.ends[-(ENDS_TO_HOLD + hold.over) :]
            found.append((hold.until_ms, messages.encode(content, CrashRecord(ends), now_ms)))
    latest = sorted(found, key=lambda item: item[0])[-MOST_SAVED:]
    return sorted((record for _, record in latest), key=lambda record: record.content)


def load(ledger: CrashLedger, records: list[ToldRecord], now_ms: float) -> list[bytes]:
    """Take saved records; return the contents of which something is new."""
    return [
        record.content
        for record in records
        if ledger.merge(record.content, messages.decode(record, now_ms))
    ]
