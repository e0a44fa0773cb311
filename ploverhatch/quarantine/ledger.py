"""All that a node knows of requests under which servers ended. Pure.

Bounded whatever callers send: where there are too many contents, the one that has least
against it goes first.
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
MUCH_LONGER_FACTOR = (
    3.0  # times: a request that ends servers does so soon, others are there by chance
)
# Work of so long is under way at many an end that others bring about, each of them once.
LONG_DURATION_MS = 200.0
# Where others may explain the ends of a request, one more of them speaks against it all the
# same: each further one costs a server, and few are allowed.
CRASHES_IF_AMBIGUOUS = CRASHES_TO_QUARANTINE + 1
MIN_SHARED_CRASHES = 2  # ends: what two contents show at a single one is chance
AMBIGUOUS_QUARANTINE_MS = 3000.0  # after three ends; four times as long after each further one


class CrashLedger:
    """Records by content; times are milliseconds of this node's elapsed clock."""

    def __init__(self) -> None:
        self._records: dict[bytes, CrashRecord] = {}
        self._hints: dict[bytes, int] = {}  # of the contents: how many have it
        self._summary: int | None = None

    @property
    def is_empty(self) -> bool:
        """Whether nothing is known, so that no request needs to be looked up."""
        return not self._records

    def may_contain(self, hint: bytes) -> bool:
        """Whether anything may be known of a request with that hint."""
        return hint in self._hints

    @property
    def checksum(self) -> int:
        """A number that is the same for nodes that know the same."""
        if self._summary is None:
            self._summary = sum(map(_record_checksum, self._records.items())) & 0xFFFFFFFF
        return self._summary

    def __len__(self) -> int:
        return len(self._records)

    def __iter__(self) -> Iterator[tuple[bytes, CrashRecord]]:
        return iter(list(self._records.items()))

    def get(self, content: bytes) -> CrashRecord | None:
        """Return what is known of a content."""
        return self._records.get(content)

    def decide(self, request: Fingerprint) -> QuarantineDecision | None:
        """Return the hold of a request, which may be over; ``None`` when there is none.

        A request of the same key as one that ends servers, or one that works for long, may
        be under way at each of these ends. An end is explained by another content that was
        at more than one end itself, and there for a far shorter time on average; or by one
        that is enough of a suspect to be held, and was at all of these ends and at more.
        Where another such one was at just these ends, either may be the cause: they are held
        for a short time, after which a trial tells. So is what two ends hold by its many copies,
        where another content was at both.
        """
        record = self._records.get(request.request_digest)
        hold = record.decide(request.caller_digest) if record else None
        if record is None or hold is None:
            return None
        if hold.by_many_callers and record.mean_duration_ms >= LONG_DURATION_MS:
            return None
        if any(end.frozen for end in hold.crashes):
            # A server may have frozen by itself, and how long a copy was there tells nothing.
            unclear_ms = AMBIGUOUS_QUARANTINE_MS * 4.0**hold.excess_crashes
            return replace(hold, until_ms=min(hold.until_ms, hold.last.crashed_ms + unclear_ms))
        servers = {end.server_id for end in hold.crashes}
        explained = self._servers_with_recent_arrivals(request.request_digest, record, hold)
        explained |= self._servers_of_earlier_suspects(request.request_digest, hold)
        unclear = False
        for content, other in self._records.items():
            if content == request.request_digest or not other.has_successive_crashes:
                continue
            theirs = {end.server_id for end in other.uncleared_crashes}
            sooner = _arrived_later(other, record)
            if sooner or (servers < theirs and other.has_decision):
                explained |= theirs
            as_often = servers == theirs and other.has_decision
            unclear = unclear or as_often or (hold.by_many_callers and servers <= theirs)
        left = tuple(end for end in hold.crashes if end.server_id not in explained)
        over = hold.excess_crashes - (len(hold.crashes) - len(left))
        if over < 0:
            return None
        until_ms = left[-1].crashed_ms + quarantine_ms(over)
        if unclear:
            until_ms = min(until_ms, left[-1].crashed_ms + AMBIGUOUS_QUARANTINE_MS * 4.0**over)
        return replace(hold, until_ms=until_ms, crashes=left, excess_crashes=over)

    def _servers_with_recent_arrivals(
        self, content: bytes, record: CrashRecord, hold: QuarantineDecision
    ) -> set[str]:
        """Return the servers that may have ended under others that had just come, each once.

        Only for work of so long that it is there by chance. Requests beside one that ends
        its servers late look the same: after one more end they speak for it no more.
        """
        if record.mean_duration_ms < LONG_DURATION_MS or len(hold.crashes) >= CRASHES_IF_AMBIGUOUS:
            return set()
        most_ms = {end.server_id: end.duration_ms / MUCH_LONGER_FACTOR for end in hold.crashes}
        return {
            end.server_id
            for other, known in self._records.items()
            if other != content
            for end in known.crashes
            if end.duration_ms <= most_ms.get(end.server_id, -1.0)
        }

    def _servers_of_earlier_suspects(self, content: bytes, hold: QuarantineDecision) -> set[str]:
        """Return the servers that ended under others which were held before this one.

        Only where something else was under way at the remaining ends too: one that was alone
        at an end is the cause of that one, and so of all. And not from one more end on, as of
        two that end servers both one may be held first.
        """
        if len(hold.crashes) >= CRASHES_IF_AMBIGUOUS:
            return set()
        others = {known: item for known, item in self._records.items() if known != content}
        suspect_ms = hold.crashes[:CRASHES_TO_QUARANTINE][-1].crashed_ms
        earlier = {
            end.server_id
            for other in others.values()
            if other.has_decision and other.threshold_reached_ms < suspect_ms
            for end in other.uncleared_crashes
        }
        accompanied = {end.server_id for other in others.values() for end in other.crashes}
        left = {end.server_id for end in hold.crashes} - earlier
        return earlier if left <= accompanied else set()

    def is_suspect(self, content: bytes) -> bool:
        """Whether servers ended under a content since anybody was answered."""
        record = self._records.get(content)
        return record is not None and bool(record.crashes_since_any_answer)

    def decisions(self, content: bytes) -> list[QuarantineDecision]:
        """Return the holds of a content, by the callers under whose requests servers ended."""
        record = self._records.get(content)
        callers = sorted({end.caller for end in record.crashes}) if record else []
        found = [self.decide(Fingerprint(content, caller)) for caller in callers]
        return [hold for hold in found if hold is not None]

    def quarantined_count(self, now_ms: float) -> int:
        """Return how many contents are held for some caller."""
        return sum(
            any(now_ms < hold.until_ms for hold in self.decisions(content))
            for content in self._records
        )

    # ---- changes: each returns whether it told something new ---------------------------------

    def note_crash(self, content: bytes, end: CrashEvent) -> bool:
        """A server has ended under a request."""
        return self.merge(content, CrashRecord((end,)))

    def note_answer(self, request: Fingerprint, now_ms: float) -> bool:
        """A server has answered a request whose content is known."""
        record = self._records.get(request.request_digest)
        if record is None or not record.is_changed_by_answer(request.caller_digest):
            return False
        self._put(request.request_digest, record.with_answer(request.caller_digest, now_ms))
        return True

    def merge(self, content: bytes, told: CrashRecord) -> bool:
        """Take what another node knows of a content."""
        known = self._records.get(content, CrashRecord())
        merged = known.merged(told)
        if merged == known:
            return False
        self._put(content, merged)
        return True

    def expire(self, now_ms: float) -> None:
        """Forget what is old."""
        for content, record in self:
            if record.expires_ms <= now_ms:
                self._drop(content)

    def _put(self, content: bytes, record: CrashRecord) -> None:
        if content not in self._records:
            hint = content[:SHORT_DIGEST_BYTES]
            self._hints[hint] = self._hints.get(hint, 0) + 1
        self._records[content] = record
        self._summary = None
        if len(self._records) > MAX_RECORDS:
            self._drop(min(self._records, key=self._weight))

    def _drop(self, content: bytes) -> None:
        del self._records[content]
        self._summary = None
        hint = content[:SHORT_DIGEST_BYTES]
        self._hints[hint] -= 1
        if not self._hints[hint]:
            del self._hints[hint]

    def _weight(self, content: bytes) -> tuple[int, float]:
        record = self._records[content]
        return len(successive(record.uncleared_crashes)), record.newest_ms


def _arrived_later(other: CrashRecord, record: CrashRecord) -> bool:
    """Whether another content had been under way for a far shorter time, on average.

    Over all ends of each, or over those that they share: one that ends servers waits in a
    queue at times, and one that is there by chance had just come at some of its other ends.
    """
    if other.mean_duration_ms * MUCH_LONGER_FACTOR <= record.mean_duration_ms:
        return True
    theirs = {end.server_id: end.duration_ms for end in other.uncleared_crashes}
    shared = [
        (theirs[e.server_id], e.duration_ms)
        for e in record.uncleared_crashes
        if e.server_id in theirs
    ]
    if len(shared) < MIN_SHARED_CRASHES:
        return False
    others_ms, own_ms = (sum(times) for times in zip(*shared, strict=True))
    return others_ms * MUCH_LONGER_FACTOR <= own_ms


def _record_checksum(item: tuple[bytes, CrashRecord]) -> int:
    """Return a number for what is known of a content, but for its times, which differ."""
    content, record = item
    servers = sorted(
        b"%b%b%d" % (end.server_id.encode(), end.caller, end.frozen) for end in record.crashes
    )
    return crc32(b"".join([content, *servers, *sorted(record.answered_ms)]))
