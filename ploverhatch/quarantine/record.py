"""Record of the crashes of servers under one request, and the quarantine decision from it.

A record covers all copies of a request: all sendings with the same request digest, whoever the
caller. A server that froze, that is, stopped answering, counts as crashed, except where a rule
says otherwise.

A request is *quarantined*, that is, sent to no server, once three servers have crashed under it
in succession. Two crashes are successive if the request was sent to the second server after the
first had crashed: copies that ran on many servers when these went down together count once. An
answer shows that the request does not crash servers: earlier crashes under the same caller no
longer count, and from then on more crashes are needed.

A quarantine applies to one caller. If the crashes occurred under several callers, and no caller
was answered since the first of them, the content of the request is the cause, and the quarantine
applies to all callers. Two crashes are enough for that if copies of three callers ran on the
crashed servers: a popular request that is harmless is answered somewhere in between.

When its quarantine is over, a request is tried at one server. If that one crashes too, the next
quarantine is twice as long. Times are milliseconds of this node's elapsed clock. This module does
no I/O and reads no clock.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

# Two servers may crash by chance under a request that is sent again after the first crash.
CRASHES_TO_QUARANTINE = 3
# Where servers go down every few seconds, a harmless request that is sent often or runs for long
# is under way at successive crashes. In most cases it was answered before.
CRASHES_AFTER_ANSWER = 6
QUARANTINE_MS = 60_000.0  # a server that a request can crash is repaired in minutes, not seconds
# A popular, harmless request gets this far without an answer only if the second server crashes
# before its first answer. Waiting for a third crash would cost as many copies again: 5 to 8 in
# test runs in which requests for the keys of a crashed holder wait for the next holder.
CALLERS_TO_QUARANTINE = 3  # distinct callers whose copies ran on the crashed servers
CRASHES_WITH_MANY_CALLERS = 2  # successive crashes that are enough then
MAX_DOUBLINGS = 4  # the longest quarantine is 16 minutes
RETENTION_MS = 300_000.0  # how long a record is kept beyond its last quarantine, crash or answer
MAX_CRASHES = 8  # kept per request; enough for the longest quarantine
MAX_ANSWERED_CALLERS = 8  # callers whose last answers are kept


@dataclass(frozen=True, slots=True)
class CrashEvent:
    """A server crashed under a request, or froze: it answered no request any more."""

    server_id: str
    caller: bytes  # digest
    witness: str  # the node that sent the request
    sent_ms: float
    crashed_ms: float
    frozen: bool = False

    @property
    def cleared_after_ms(self) -> float:
        """Time after which an answer to another copy clears this crash.

        The time at which a server froze is unknown; it was not before the copy was sent.
        """
        return self.sent_ms if self.frozen else self.crashed_ms

    @property
    def duration_ms(self) -> float:
        """Time from the sending of the request to the crash."""
        return self.crashed_ms - self.sent_ms


@dataclass(frozen=True, slots=True)
class QuarantineDecision:
    """The decision to quarantine a request until a time, after which it is sent on trial only."""

    until_ms: float
    crashes: tuple[CrashEvent, ...]  # successive
    excess_crashes: int = 0  # beyond the number that leads to a quarantine
    by_many_callers: bool = False  # fewer crashes were enough, since copies of many callers ran

    @property
    def last(self) -> CrashEvent:
        """The latest of the crashes."""
        return self.crashes[-1]


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """Crashes under one request in order of time, and the last answer to each caller."""

    crashes: tuple[CrashEvent, ...] = ()
    answered_ms: Mapping[bytes, float] = field(default_factory=dict)
    last_answer_ms: float = -math.inf  # to any caller

    @property
    def newest_ms(self) -> float:
        """Time of the latest crash; that of the last answer if there is none."""
        return max((crash.crashed_ms for crash in self.crashes), default=self.last_answer_ms)

    @property
    def uncleared_crashes(self) -> tuple[CrashEvent, ...]:
        """Crashes whose caller was not answered since."""
        return tuple(
            crash
            for crash in self.crashes
            if crash.cleared_after_ms > self.answered_ms.get(crash.caller, -math.inf)
        )

    @property
    def crashes_since_any_answer(self) -> tuple[CrashEvent, ...]:
        """Uncleared crashes since which no caller was answered."""
        return tuple(
            crash
            for crash in self.uncleared_crashes
            if crash.cleared_after_ms > self.last_answer_ms
        )

    @property
    def expires_ms(self) -> float:
        """Time from which the record may be dropped."""
        excess = len(successive(self.uncleared_crashes)) - CRASHES_TO_QUARANTINE
        quarantined_ms = quarantine_ms(excess) if excess >= 0 else 0.0
        return max(self.newest_ms, self.last_answer_ms) + quarantined_ms + RETENTION_MS

    def with_crash(self, crash: CrashEvent) -> "CrashRecord":
        """Return the record with a crash added."""
        return self.merged(CrashRecord((crash,)))

    def is_changed_by_answer(self, caller: bytes) -> bool:
        """Return whether an answer to a caller would clear any crash."""
        uncleared = any(crash.caller == caller for crash in self.uncleared_crashes)
        return uncleared or any(
            crash.cleared_after_ms > self.last_answer_ms for crash in self.crashes
        )

    def with_answer(self, caller: bytes, now_ms: float) -> "CrashRecord":
        """Return the record with an answer to a caller added."""
        return self.merged(CrashRecord((), {caller: now_ms}, now_ms))

    def merged(self, other: "CrashRecord") -> "CrashRecord":
        """Return the record with that of another node merged in.

        The result does not depend on the order or number of merges. Of the same crash in
        several reports the earliest time counts, since a delayed report makes it look later
        than it was. A report of a crash takes precedence over one that the server froze.
        """
        answered = dict(self.answered_ms)
        for caller, at_ms in other.answered_ms.items():
            answered[caller] = max(at_ms, answered.get(caller, -math.inf))
        newest = sorted(answered.items(), key=lambda item: item[1])[-MAX_ANSWERED_CALLERS:]
        crashes: dict[tuple[str, bytes], CrashEvent] = {}
        for crash in (*self.crashes, *other.crashes):
            known = crashes.get((crash.server_id, crash.caller))
            if known is None or (crash.frozen, _order(crash)) < (known.frozen, _order(known)):
                crashes[crash.server_id, crash.caller] = crash
        retained = _retained(crashes.values())
        last_ms = max(self.last_answer_ms, other.last_answer_ms)
        return CrashRecord(retained, dict(newest), last_ms)

    def decide(self, caller: bytes) -> QuarantineDecision | None:
        """Return the decision on a caller's request, which may have expired; ``None`` if none."""
        own = successive(crash for crash in self.uncleared_crashes if crash.caller == caller)
        unanswered = self.crashes_since_any_answer
        several = len({crash.caller for crash in unanswered}) > 1
        of_all = successive(unanswered) if several else ()
        excess_own = len(own) - _crashes_needed(caller in self.answered_ms)
        excess_all = len(of_all) - _crashes_needed(self.last_answer_ms > -math.inf)
        if max(excess_own, excess_all) < 0:
            return self._decide_by_many_callers(unanswered)
        excess, crashes = max((excess_own, own), (excess_all, of_all), key=lambda found: found[0])
        return QuarantineDecision(crashes[-1].crashed_ms + quarantine_ms(excess), crashes, excess)

    def _decide_by_many_callers(
        self, unanswered: tuple[CrashEvent, ...]
    ) -> QuarantineDecision | None:
        """Return the decision that follows from copies of several callers at few servers.

        There is none if any caller was answered, or if too few servers crashed without freezing.
        """
        if self.last_answer_ms > -math.inf:
            return None
        # Copies of a popular request are under way at each server that freezes by itself.
        unanswered = tuple(crash for crash in unanswered if not crash.frozen)
        crashes = successive(unanswered)
        servers = {crash.server_id for crash in crashes}
        callers = {crash.caller for crash in unanswered if crash.server_id in servers}
        if len(crashes) < CRASHES_WITH_MANY_CALLERS or len(callers) < CALLERS_TO_QUARANTINE:
            return None
        return QuarantineDecision(
            crashes[-1].crashed_ms + quarantine_ms(0), crashes, by_many_callers=True
        )

    @property
    def mean_duration_ms(self) -> float:
        """Mean time from sending to crash, of the uncleared crashes; infinite without any."""
        times = [crash.duration_ms for crash in self.uncleared_crashes]
        return sum(times) / len(times) if times else math.inf

    @property
    def has_successive_crashes(self) -> bool:
        """Whether two or more uncleared crashes are successive."""
        return len(successive(self.uncleared_crashes)) > 1

    @property
    def threshold_reached_ms(self) -> float:
        """Time of the crash that completed the number for a quarantine; infinite before it."""
        crashes = successive(self.uncleared_crashes)
        return (
            crashes[CRASHES_TO_QUARANTINE - 1].crashed_ms
            if len(crashes) >= CRASHES_TO_QUARANTINE
            else math.inf
        )

    @property
    def has_decision(self) -> bool:
        """Whether there is a decision, perhaps an expired one, for any caller."""
        return any(
            self.decide(caller) for caller in {crash.caller for crash in self.uncleared_crashes}
        )


def _retained(crashes: Iterable[CrashEvent]) -> tuple[CrashEvent, ...]:
    """Return at most ``MAX_CRASHES`` crashes in order, preferably those that decisions rest on.

    A decision rests on successive crashes, and then on copies at the same servers. Otherwise many
    copies at one server, or at many servers that crashed together, would displace them: three
    crashes would look like one, and the request would be let through between two crashes. Of
    the rest, crashes of further servers come before further copies at one.
    """
    ordered = sorted(crashes, key=_order)
    row = successive(ordered)
    servers = {crash.server_id for crash in row}
    by_server: dict[str, list[CrashEvent]] = {}
    for crash in ordered:
        by_server.setdefault(crash.server_id, []).append(crash)

    def rank(copy: int, crash: CrashEvent) -> tuple[bool, bool, int, tuple[object, ...]]:
        counts = crash.server_id in servers and copy < CALLERS_TO_QUARANTINE
        return crash in row, counts, -copy, _order(crash)

    ranked = [
        (rank(copy, crash), crash)
        for copies in by_server.values()
        for copy, crash in enumerate(copies)
    ]
    ranked.sort(key=lambda item: item[0])
    return tuple(sorted((crash for _, crash in ranked[-MAX_CRASHES:]), key=_order))


def quarantine_ms(excess_crashes: int) -> float:
    """Return the length of a quarantine after so many crashes beyond the number needed."""
    return QUARANTINE_MS * 2.0 ** min(excess_crashes, MAX_DOUBLINGS)


def _crashes_needed(answered: bool) -> int:
    """Return how many successive crashes lead to a quarantine."""
    return CRASHES_AFTER_ANSWER if answered else CRASHES_TO_QUARANTINE


def successive(crashes: Iterable[CrashEvent]) -> tuple[CrashEvent, ...]:
    """Return crashes of distinct servers, each under a request sent after the crash before."""
    found: list[CrashEvent] = []
    for crash in sorted(crashes, key=_order):
        after = not found or crash.sent_ms >= found[-1].crashed_ms
        if after and crash.server_id not in {known.server_id for known in found}:
            found.append(crash)
    return tuple(found)


def _order(crash: CrashEvent) -> tuple[float, float, str, bytes, str]:
    return crash.crashed_ms, crash.sent_ms, crash.server_id, crash.caller, crash.witness
