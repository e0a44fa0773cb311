"""All that a node knows of the requests under which servers crashed.

The ledger is bounded whatever callers send: if it has too many records, the one with the fewest
successive crashes is dropped first. This module does no I/O and reads no clock.
"""

from collections.abc import Iterator
from dataclasses import replace
from zlib import crc32

from ploverhatch.quarantine.fingerprint import SHORT_DIGEST_BYTES, Fingerprint
from ploverhatch.quarantine.record import (
    CRASHES_TO_QUARANTINE,
    CrashEvent,
    CrashRecord,
    QuarantineDecision,
    quarantine_ms,
    successive,
)

MAX_RECORDS = 512
# A request that crashes servers does so soon after it is sent; others have run for longer.
MUCH_LONGER_FACTOR = 3.0
# A request that runs this long is under way at many crashes with other causes, each of which
# occurs once.
LONG_DURATION_MS = 200.0
# From this many crashes on, neither requests that arrived shortly before nor earlier suspects
# explain the crashes of a request: each further crash costs a server, and few are allowed.
CRASHES_IF_AMBIGUOUS = CRASHES_TO_QUARANTINE + 1
MIN_SHARED_CRASHES = 2  # at a single crash, which of two requests ran longer is chance
# The longest quarantine after no more crashes than a decision needs. It is four times as long
# after each further crash.
AMBIGUOUS_QUARANTINE_MS = 3000.0


class CrashLedger:
    """Crash records by request digest; times are milliseconds of this node's elapsed clock."""

    def __init__(self) -> None:
        self._records: dict[bytes, CrashRecord] = {}
        self._short_digests: dict[bytes, int] = {}  # number of records with each
        self._checksum: int | None = None

    @property
    def is_empty(self) -> bool:
        """Whether there are no records, so that no request needs to be looked up."""
        return not self._records

    def may_contain(self, short_digest: bytes) -> bool:
        """Return whether there may be a record of a request with that short digest."""
        return short_digest in self._short_digests

    @property
    def checksum(self) -> int:
        """A number that is equal for nodes with equal records, apart from their times."""
        if self._checksum is None:
            self._checksum = sum(map(_record_checksum, self._records.items())) & 0xFFFFFFFF
        return self._checksum

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[tuple[bytes, CrashRecord]]:
        return iter(list(self._records.items()))

    def get(self, request_digest: bytes) -> CrashRecord | None:
        """Return the record of a request."""
        return self._records.get(request_digest)

    def decide(self, request: Fingerprint) -> QuarantineDecision | None:
        """Return the decision on a request, which may have expired; ``None`` if there is none.

        A harmless request may be under way at each crash that another one causes, because it
        has the same key or runs for long. Another request explains a crash if it was under way
        at more than one crash, and ran for a far shorter time on average until then; or if it
        qualifies for a quarantine, and was under way at all of these crashes and at more. If a
        request that qualifies was under way at exactly these crashes, either may be the cause,
        and both are quarantined for a short time, after which a trial shows the cause. The same
        applies to a decision by many callers if another request was under way at all of its
        crashes.
        """
        record = self._records.get(request.request_digest)
        decision = record.decide(request.caller_digest) if record else None
        if record is None or decision is None:
            return None
        if decision.by_many_callers and record.mean_duration_ms >= LONG_DURATION_MS:
            return None
        if any(crash.frozen for crash in decision.crashes):
            # The server may have frozen by itself; the time that a copy ran then says nothing.
            ambiguous_ms = AMBIGUOUS_QUARANTINE_MS * 4.0**decision.excess_crashes
            return replace(
                decision,
                until_ms=min(decision.until_ms, decision.last.crashed_ms + ambiguous_ms),
            )
        servers = {crash.server_id for crash in decision.crashes}
        explained = self._servers_with_recent_arrivals(request.request_digest, record, decision)
        explained |= self._servers_of_earlier_suspects(request.request_digest, decision)
        ambiguous = False
        for request_digest, other in self._records.items():
            if request_digest == request.request_digest or not other.has_successive_crashes:
                continue
            other_servers = {crash.server_id for crash in other.uncleared_crashes}
            sooner = _crashed_much_sooner(other, record)
            if sooner or (servers < other_servers and other.has_decision):
                explained |= other_servers
            same_crashes = servers == other_servers and other.has_decision
            ambiguous = (
                ambiguous or same_crashes or (decision.by_many_callers and servers <= other_servers)
            )
        left = tuple(crash for crash in decision.crashes if crash.server_id not in explained)
        excess = decision.excess_crashes - (len(decision.crashes) - len(left))
        if excess < 0:
            return None
        until_ms = left[-1].crashed_ms + quarantine_ms(excess)
        if ambiguous:
            until_ms = min(until_ms, left[-1].crashed_ms + AMBIGUOUS_QUARANTINE_MS * 4.0**excess)
        return replace(decision, until_ms=until_ms, crashes=left, excess_crashes=excess)

    def _servers_with_recent_arrivals(
        self, request_digest: bytes, record: CrashRecord, decision: QuarantineDecision
    ) -> set[str]:
        """Return the servers that may have crashed under other requests sent shortly before.

        This applies only to a request that runs so long that it is likely there by chance. A
        request that crashes its servers late looks the same, so that after one crash more the
        other requests no longer explain its crashes.
        """
        if (
            record.mean_duration_ms < LONG_DURATION_MS
            or len(decision.crashes) >= CRASHES_IF_AMBIGUOUS
        ):
            return set()
        most_ms = {
            crash.server_id: crash.duration_ms / MUCH_LONGER_FACTOR for crash in decision.crashes
        }
        return {
            crash.server_id
            for other, known in self._records.items()
            if other != request_digest
            for crash in known.crashes
            if crash.duration_ms <= most_ms.get(crash.server_id, -1.0)
        }

    def _servers_of_earlier_suspects(
        self, request_digest: bytes, decision: QuarantineDecision
    ) -> set[str]:
        """Return the servers that crashed under requests that qualified before this one.

        This applies only if other requests were under way at the remaining crashes too: a
        request that was alone at a crash is the cause of that one, and so of all. It no longer
        applies after one crash more, since either of two requests that crash servers may be the
        first to qualify.
        """
        if len(decision.crashes) >= CRASHES_IF_AMBIGUOUS:
            return set()
        others = {known: item for known, item in self._records.items() if known != request_digest}
        reached_ms = decision.crashes[:CRASHES_TO_QUARANTINE][-1].crashed_ms
        earlier = {
            crash.server_id
            for other in others.values()
            if other.has_decision and other.threshold_reached_ms < reached_ms
            for crash in other.uncleared_crashes
        }
        accompanied = {crash.server_id for other in others.values() for crash in other.crashes}
        left = {crash.server_id for crash in decision.crashes} - earlier
        return earlier if left <= accompanied else set()

    def is_suspect(self, request_digest: bytes) -> bool:
        """Return whether servers crashed under a request since any caller was answered."""
        record = self._records.get(request_digest)
        return record is not None and bool(record.crashes_since_any_answer)

    def decisions(self, request_digest: bytes) -> list[QuarantineDecision]:
        """Return the decisions on a request, for the callers under which servers crashed."""
        record = self._records.get(request_digest)
        callers = sorted({crash.caller for crash in record.crashes}) if record else []
        found = [self.decide(Fingerprint(request_digest, caller)) for caller in callers]
        return [decision for decision in found if decision is not None]

    def quarantined_count(self, now_ms: float) -> int:
        """Return how many requests are quarantined for any caller."""
        return sum(
            any(now_ms < decision.until_ms for decision in self.decisions(request_digest))
            for request_digest in self._records
        )

    # ---- changes: each returns whether the record changed ------------------------------------

    def note_crash(self, request_digest: bytes, crash: CrashEvent) -> bool:
        """Record that a server has crashed under a request."""
        return self.merge(request_digest, CrashRecord((crash,)))

    def note_answer(self, request: Fingerprint, now_ms: float) -> bool:
        """Record that a server has answered a request, if there is a record of it."""
        record = self._records.get(request.request_digest)
        if record is None or not record.is_changed_by_answer(request.caller_digest):
            return False
        self._put(request.request_digest, record.with_answer(request.caller_digest, now_ms))
        return True

    def merge(self, request_digest: bytes, received: CrashRecord) -> bool:
        """Merge another node's record of a request."""
        known = self._records.get(request_digest, CrashRecord())
        merged = known.merged(received)
        if merged == known:
            return False
        self._put(request_digest, merged)
        return True

    def expire(self, now_ms: float) -> None:
        """Drop expired records."""
        for request_digest, record in self:
            if record.expires_ms <= now_ms:
                self._drop(request_digest)

    def _put(self, request_digest: bytes, record: CrashRecord) -> None:
        if request_digest not in self._records:
            short_digest = request_digest[:SHORT_DIGEST_BYTES]
            self._short_digests[short_digest] = self._short_digests.get(short_digest, 0) + 1
        self._records[request_digest] = record
        self._checksum = None
        if len(self._records) > MAX_RECORDS:
            self._drop(min(self._records, key=self._weight))

    def _drop(self, request_digest: bytes) -> None:
        del self._records[request_digest]
        self._checksum = None
        short_digest = request_digest[:SHORT_DIGEST_BYTES]
        self._short_digests[short_digest] -= 1
        if not self._short_digests[short_digest]:
            del self._short_digests[short_digest]

    def _weight(self, request_digest: bytes) -> tuple[int, float]:
        record = self._records[request_digest]
        return len(successive(record.uncleared_crashes)), record.newest_ms


def _crashed_much_sooner(other: CrashRecord, record: CrashRecord) -> bool:
    """Return whether another request ran for a far shorter time until its crashes, on average.

    The averages are over all crashes of each request, or over those that they share: a request
    that crashes servers may wait in a queue first, and a harmless one may have just arrived at some
    of its other crashes.
    """
    if other.mean_duration_ms * MUCH_LONGER_FACTOR <= record.mean_duration_ms:
        return True
    other_ms = {crash.server_id: crash.duration_ms for crash in other.uncleared_crashes}
    shared = [
        (other_ms[crash.server_id], crash.duration_ms)
        for crash in record.uncleared_crashes
        if crash.server_id in other_ms
    ]
    if len(shared) < MIN_SHARED_CRASHES:
        return False
    others_sum_ms, own_sum_ms = (sum(times) for times in zip(*shared, strict=True))
    return others_sum_ms * MUCH_LONGER_FACTOR <= own_sum_ms


def _record_checksum(item: tuple[bytes, CrashRecord]) -> int:
    """Return a checksum of a record without its times, which differ between nodes."""
    request_digest, record = item
    servers = sorted(
        b"%b%b%d" % (crash.server_id.encode(), crash.caller, crash.frozen)
        for crash in record.crashes
    )
    return crc32(b"".join([request_digest, *servers, *sorted(record.answered_ms)]))
