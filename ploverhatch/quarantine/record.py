"""What is known of one content under which servers ended, and what follows from it. Pure.

A request is *held*, which means kept from all servers, once three servers have ended under
it one after the other. Two ends are one after the other where the request was sent to the
second server after the first had ended: copies that were under way at many servers when
these went down together count once. A server that answers it shows that the request ends
no servers: its caller's ends before count no more, and it takes more of them from then on.

It is held for its caller. Where the ends came under several callers, and nobody was
answered since the first of them, it is the content that ends servers: then it is held for
all callers. Two ends are enough for that where copies of three callers were under way at
them: what is popular and ends no servers is answered somewhere in between.

When its time is over a held request is tried at one server. If that one ends too, it is
held for twice as long as before. Times are milliseconds of this node's elapsed clock.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

# Two servers may end by chance under a request that is sent again after the first.
CRASHES_TO_QUARANTINE = 3
# A request that is sent often, or works for long, is under way at one end after the other
# where servers go down every few seconds. It was answered before, mostly.
CRASHES_AFTER_ANSWER = 6
QUARANTINE_MS = 60_000.0  # a server that a request can end is repaired in minutes, not seconds
# What is popular and ends no servers gets so far without an answer only where the second
# server ends within the time of its first answer. A third server would end under as many
# copies again: 5 to 8 on days of our own, where keys of an ended holder wait for the next.
CALLERS_TO_QUARANTINE = 3  # of as many callers
CRASHES_WITH_MANY_CALLERS = 2  # at servers that ended one after the other
MAX_DOUBLINGS = 4  # the longest hold is 16 minutes
RETENTION_MS = 300_000.0  # ends, and answers, that nothing was added to for so long are forgotten
MAX_CRASHES = 8  # kept of one content: enough for the longest hold
MAX_ANSWERED_CALLERS = 8  # callers whose last answers are kept


@dataclass(frozen=True, slots=True)
class CrashEvent:
    """One server's end under a request, or that it froze: it answered nobody any more."""

    server_id: str
    caller: bytes  # digest
    witness: str  # the node that sent the request
    sent_ms: float
    crashed_ms: float
    frozen: bool = False

    @property
    def cleared_after_ms(self) -> float:
        """Until when an answer to another copy tells nothing of this one.

        When a server froze is not known, but that its copy had been sent by then.
        """
        return self.sent_ms if self.frozen else self.crashed_ms

    @property
    def duration_ms(self) -> float:
        """How long the request was under way there."""
        return self.crashed_ms - self.sent_ms


@dataclass(frozen=True, slots=True)
class QuarantineDecision:
    """Why a request is kept from servers, and for how long; or on trial, when that is over."""

    until_ms: float
    crashes: tuple[CrashEvent, ...]  # one after the other
    excess_crashes: int = 0  # how many of these are more than it takes
    by_many_callers: bool = False  # fewer ends hold it, since copies of many callers were there

    @property
    def last(self) -> CrashEvent:
        """The end that the hold follows from."""
        return self.crashes[-1]


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """Ends under one content by time, and when it was answered last, by caller."""

    crashes: tuple[CrashEvent, ...] = ()
    answered_ms: Mapping[bytes, float] = field(default_factory=dict)
    last_answer_ms: float = -math.inf  # of any caller

    @property
    def newest_ms(self) -> float:
        """When something was last added."""
        return max((end.crashed_ms for end in self.crashes), default=self.last_answer_ms)

    @property
    def uncleared_crashes(self) -> tuple[CrashEvent, ...]:
        """Ends since which the caller was not answered."""
        return tuple(
            end
            for end in self.crashes
            if end.cleared_after_ms > self.answered_ms.get(end.caller, -math.inf)
        )

    @property
    def crashes_since_any_answer(self) -> tuple[CrashEvent, ...]:
        """Ends since which nobody was answered, whoever asked."""
        return tuple(
            end for end in self.uncleared_crashes if end.cleared_after_ms > self.last_answer_ms
        )

    @property
    def expires_ms(self) -> float:
        """When all of it may be forgotten."""
        over = len(successive(self.uncleared_crashes)) - CRASHES_TO_QUARANTINE
        held_ms = quarantine_ms(over) if over >= 0 else 0.0
        return max(self.newest_ms, self.last_answer_ms) + held_ms + RETENTION_MS

    def with_crash(self, end: CrashEvent) -> "CrashRecord":
        """Add an end."""
        return self.merged(CrashRecord((end,)))

    def is_changed_by_answer(self, caller: bytes) -> bool:
        """Whether an answer to a caller would change what follows from the record."""
        standing = any(end.caller == caller for end in self.uncleared_crashes)
        return standing or any(end.cleared_after_ms > self.last_answer_ms for end in self.crashes)

    def with_answer(self, caller: bytes, now_ms: float) -> "CrashRecord":
        """A server has answered a caller."""
        return self.merged(CrashRecord((), {caller: now_ms}, now_ms))

    def merged(self, other: "CrashRecord") -> "CrashRecord":
        """Add what another node knows.

        The same in whatever order it is told, and however often: of each end the earliest
        time counts, since a telling that was held up makes it look later than it was. That a
        server ended says more than that it froze.
        """
        answered = dict(self.answered_ms)
        for caller, at_ms in other.answered_ms.items():
            answered[caller] = max(at_ms, answered.get(caller, -math.inf))
        newest = sorted(answered.items(), key=lambda item: item[1])[-MAX_ANSWERED_CALLERS:]
        ends: dict[tuple[str, bytes], CrashEvent] = {}
        for end in (*self.crashes, *other.crashes):
            known = ends.get((end.server_id, end.caller))
            if known is None or (end.frozen, _order(end)) < (known.frozen, _order(known)):
                ends[end.server_id, end.caller] = end
        kept = _retained(ends.values())
        last_ms = max(self.last_answer_ms, other.last_answer_ms)
        return CrashRecord(kept, dict(newest), last_ms)

    def decide(self, caller: bytes) -> QuarantineDecision | None:
        """Return the hold of a caller's request, which may be over; ``None``: there is none."""
        own = successive(end for end in self.uncleared_crashes if end.caller == caller)
        unanswered = self.crashes_since_any_answer
        several = len({end.caller for end in unanswered}) > 1
        of_all = successive(unanswered) if several else ()
        over_own = len(own) - _crashes_needed(caller in self.answered_ms)
        over_all = len(of_all) - _crashes_needed(self.last_answer_ms > -math.inf)
        if max(over_own, over_all) < 0:
            return self._decide_by_many_callers(unanswered)
        over, ends = max((over_own, own), (over_all, of_all), key=lambda found: found[0])
        return QuarantineDecision(ends[-1].crashed_ms + quarantine_ms(over), ends, over)

    def _decide_by_many_callers(
        self, unanswered: tuple[CrashEvent, ...]
    ) -> QuarantineDecision | None:
        """Return the hold that follows from copies of several callers at few servers."""
        if self.last_answer_ms > -math.inf:
            return None
        # Copies of what is popular are under way at each server that freezes by itself.
        unanswered = tuple(end for end in unanswered if not end.frozen)
        ends = successive(unanswered)
        servers = {end.server_id for end in ends}
        callers = {end.caller for end in unanswered if end.server_id in servers}
        if len(ends) < CRASHES_WITH_MANY_CALLERS or len(callers) < CALLERS_TO_QUARANTINE:
            return None
        return QuarantineDecision(
            ends[-1].crashed_ms + quarantine_ms(0), ends, by_many_callers=True
        )

    @property
    def mean_duration_ms(self) -> float:
        """How long its requests were under way, on average, when their servers ended."""
        times = [end.duration_ms for end in self.uncleared_crashes]
        return sum(times) / len(times) if times else math.inf

    @property
    def has_successive_crashes(self) -> bool:
        """Whether servers ended under it more than once, one after the other."""
        return len(successive(self.uncleared_crashes)) > 1

    @property
    def threshold_reached_ms(self) -> float:
        """When it became enough of a suspect to be held; infinite while it is not."""
        ends = successive(self.uncleared_crashes)
        return (
            ends[CRASHES_TO_QUARANTINE - 1].crashed_ms
            if len(ends) >= CRASHES_TO_QUARANTINE
            else math.inf
        )

    @property
    def has_decision(self) -> bool:
        """Whether the content is enough of a suspect to be held, for some caller."""
        return any(self.decide(caller) for caller in {end.caller for end in self.uncleared_crashes})


def _retained(ends: Iterable[CrashEvent]) -> tuple[CrashEvent, ...]:
    """Return the ends to keep, in order: of many, those first from which a hold follows.

    These are ends that came one after the other, and then copies at the same servers. Many
    copies at one server, or at many servers that ended at one time, would else push them out:
    three ends would look like one, and the request would be let through in the middle of the
    row. Of the rest, ends of other servers go before copies at one.
    """
    ordered = sorted(ends, key=_order)
    row = successive(ordered)
    servers = {end.server_id for end in row}
    by_server: dict[str, list[CrashEvent]] = {}
    for end in ordered:
        by_server.setdefault(end.server_id, []).append(end)

    def rank(copy: int, end: CrashEvent) -> tuple[bool, bool, int, tuple[object, ...]]:
        counts = end.server_id in servers and copy < CALLERS_TO_QUARANTINE
        return end in row, counts, -copy, _order(end)

    ranked = [
        (rank(copy, end), end) for copies in by_server.values() for copy, end in enumerate(copies)
    ]
    ranked.sort(key=lambda item: item[0])
    return tuple(sorted((end for _, end in ranked[-MAX_CRASHES:]), key=_order))


def quarantine_ms(over: int) -> float:
    """Return for how long a request is held after so many ends more than it takes."""
    return QUARANTINE_MS * 2.0 ** min(over, MAX_DOUBLINGS)


def _crashes_needed(answered: bool) -> int:
    """Return how many ends one after the other hold a request."""
    return CRASHES_AFTER_ANSWER if answered else CRASHES_TO_QUARANTINE


def successive(ends: Iterable[CrashEvent]) -> tuple[CrashEvent, ...]:
    """Return ends of different servers, each one's request sent after the one before."""
    found: list[CrashEvent] = []
    for end in sorted(ends, key=_order):
        after = not found or end.sent_ms >= found[-1].crashed_ms
        if after and end.server_id not in {known.server_id for known in found}:
            found.append(end)
    return tuple(found)


def _order(end: CrashEvent) -> tuple[float, float, str, bytes, str]:
    return end.crashed_ms, end.sent_ms, end.server_id, end.caller, end.witness
