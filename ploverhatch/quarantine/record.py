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
ENDS_TO_HOLD = 3
# A request that is sent often, or works for long, is under way at one end after the other
# where servers go down every few seconds. It was answered before, mostly.
ENDS_AFTER_ANSWER = 6
HOLD_MS = 60_000.0  # a server that a request can end is repaired in minutes, not seconds
# What is popular and ends no servers gets so far without an answer only where the second
# server ends within the time of its first answer. A third server would end under as many
# copies again: 5 to 8 on days of our own, where keys of an ended holder wait for the next.
COPIES_TO_HOLD = 3  # of as many callers
ENDS_OF_COPIES = 2  # at servers that ended one after the other
MOST_DOUBLINGS = 4  # the longest hold is 16 minutes
REMEMBER_MS = 300_000.0  # ends, and answers, that nothing was added to for so long are forgotten
MOST_ENDS = 8  # kept of one content: enough for the longest hold
MOST_ANSWERED = 8  # callers whose last answers are kept


@dataclass(frozen=True, slots=True)
class ServerEnd:
    """One server's end under a request, or that it froze: it answered nobody any more."""

    server_id: str
    caller: bytes  # digest
    witness: str  # the node that sent the request
    sent_ms: float
    ended_ms: float
    frozen: bool = False

    @property
    def judged_ms(self) -> float:
        """Until when an answer to another copy tells nothing of this one.

        When a server froze is not known, but that its copy had been sent by then.
        """
        return self.sent_ms if self.frozen else self.ended_ms

    @property
    def took_ms(self) -> float:
        """How long the request was under way there."""
        return self.ended_ms - self.sent_ms


@dataclass(frozen=True, slots=True)
class Hold:
    """Why a request is kept from servers, and for how long; or on trial, when that is over."""

    until_ms: float
    ends: tuple[ServerEnd, ...]  # one after the other
    over: int = 0  # how many of these are more than it takes
    by_copies: bool = False  # fewer ends hold it, since copies of many callers were there

    @property
    def last(self) -> ServerEnd:
        """The end that the hold follows from."""
        return self.ends[-1]


@dataclass(frozen=True, slots=True)
class CrashRecord:
    """Ends under one content by time, and when it was answered last, by caller."""

    ends: tuple[ServerEnd, ...] = ()
    answered_ms: Mapping[bytes, float] = field(default_factory=dict)
    last_answer_ms: float = -math.inf  # of any caller

    @property
    def newest_ms(self) -> float:
        """When something was last added."""
        return max((end.ended_ms for end in self.ends), default=self.last_answer_ms)

    @property
    def standing(self) -> tuple[ServerEnd, ...]:
        """Ends since which the caller was not answered."""
        return tuple(
            end for end in self.ends if end.judged_ms > self.answered_ms.get(end.caller, -math.inf)
        )

    @property
    def unanswered(self) -> tuple[ServerEnd, ...]:
        """Ends since which nobody was answered, whoever asked."""
        return tuple(end for end in self.standing if end.judged_ms > self.last_answer_ms)

    @property
    def expires_ms(self) -> float:
        """When all of it may be forgotten."""
        over = len(one_after_the_other(self.standing)) - ENDS_TO_HOLD
        held_ms = hold_ms(over) if over >= 0 else 0.0
        return max(self.newest_ms, self.last_answer_ms) + held_ms + REMEMBER_MS

    def with_end(self, end: ServerEnd) -> "CrashRecord":
        """Add an end."""
        return self.merged(CrashRecord((end,)))

    def tells_of(self, caller: bytes) -> bool:
        """Whether an answer to a caller would change what follows from the record."""
        standing = any(end.caller == caller for end in self.standing)
        return standing or any(end.judged_ms > self.last_answer_ms for end in self.ends)

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
        newest = sorted(answered.items(), key=lambda item: item[1])[-MOST_ANSWERED:]
        ends: dict[tuple[str, bytes], ServerEnd] = {}
        for end in (*self.ends, *other.ends):
            known = ends.get((end.server_id, end.caller))
            if known is None or (end.frozen, _order(end)) < (known.frozen, _order(known)):
                ends[end.server_id, end.caller] = end
        kept = _kept(ends.values())
        last_ms = max(self.last_answer_ms, other.last_answer_ms)
        return CrashRecord(kept, dict(newest), last_ms)

    def hold(self, caller: bytes) -> Hold | None:
        """Return the hold of a caller's request, which may be over; ``None``: there is none."""
        own = one_after_the_other(end for end in self.standing if end.caller == caller)
        unanswered = self.unanswered
        several = len({end.caller for end in unanswered}) > 1
        of_all = one_after_the_other(unanswered) if several else ()
        over_own = len(own) - _needed(caller in self.answered_ms)
        over_all = len(of_all) - _needed(self.last_answer_ms > -math.inf)
        if max(over_own, over_all) < 0:
            return self._hold_of_copies(unanswered)
        over, ends = max((over_own, own), (over_all, of_all), key=lambda found: found[0])
        return Hold(ends[-1].ended_ms + hold_ms(over), ends, over)

    def _hold_of_copies(self, unanswered: tuple[ServerEnd, ...]) -> Hold | None:
        """Return the hold that follows from copies of several callers at few servers."""
        if self.last_answer_ms > -math.inf:
            return None
        # Copies of what is popular are under way at each server that freezes by itself.
        unanswered = tuple(end for end in unanswered if not end.frozen)
        ends = one_after_the_other(unanswered)
        servers = {end.server_id for end in ends}
        callers = {end.caller for end in unanswered if end.server_id in servers}
        if len(ends) < ENDS_OF_COPIES or len(callers) < COPIES_TO_HOLD:
            return None
        return Hold(ends[-1].ended_ms + hold_ms(0), ends, by_copies=True)

    @property
    def mean_ms(self) -> float:
        """How long its requests were under way, on average, when their servers ended."""
        times = [end.took_ms for end in self.standing]
        return sum(times) / len(times) if times else math.inf

    @property
    def comes_back(self) -> bool:
        """Whether servers ended under it more than once, one after the other."""
        return len(one_after_the_other(self.standing)) > 1

    @property
    def suspect_ms(self) -> float:
        """When it became enough of a suspect to be held; infinite while it is not."""
        ends = one_after_the_other(self.standing)
        return ends[ENDS_TO_HOLD - 1].ended_ms if len(ends) >= ENDS_TO_HOLD else math.inf

    @property
    def holds_somebody(self) -> bool:
        """Whether the content is enough of a suspect to be held, for some caller."""
        return any(self.hold(caller) for caller in {end.caller for end in self.standing})


def _kept(ends: Iterable[ServerEnd]) -> tuple[ServerEnd, ...]:
    """Return the ends to keep, in order: of many, those first from which a hold follows.

    These are ends that came one after the other, and then copies at the same servers. Many
    copies at one server, or at many servers that ended at one time, would else push them out:
    three ends would look like one, and the request would be let through in the middle of the
    row. Of the rest, ends of other servers go before copies at one.
    """
    ordered = sorted(ends, key=_order)
    row = one_after_the_other(ordered)
    servers = {end.server_id for end in row}
    by_server: dict[str, list[ServerEnd]] = {}
    for end in ordered:
        by_server.setdefault(end.server_id, []).append(end)

    def rank(copy: int, end: ServerEnd) -> tuple[bool, bool, int, tuple[object, ...]]:
        counts = end.server_id in servers and copy < COPIES_TO_HOLD
        return end in row, counts, -copy, _order(end)

    ranked = [
        (rank(copy, end), end) for copies in by_server.values() for copy, end in enumerate(copies)
    ]
    ranked.sort(key=lambda item: item[0])
    return tuple(sorted((end for _, end in ranked[-MOST_ENDS:]), key=_order))


def hold_ms(over: int) -> float:
    """Return for how long a request is held after so many ends more than it takes."""
    return HOLD_MS * 2.0 ** min(over, MOST_DOUBLINGS)


def _needed(answered: bool) -> int:
    """Return how many ends one after the other hold a request."""
    return ENDS_AFTER_ANSWER if answered else ENDS_TO_HOLD


def one_after_the_other(ends: Iterable[ServerEnd]) -> tuple[ServerEnd, ...]:
    """Return ends of different servers, each one's request sent after the one before."""
    found: list[ServerEnd] = []
    for end in sorted(ends, key=_order):
        after = not found or end.sent_ms >= found[-1].ended_ms
        if after and end.server_id not in {known.server_id for known in found}:
            found.append(end)
    return tuple(found)


def _order(end: ServerEnd) -> tuple[float, float, str, bytes, str]:
    return end.ended_ms, end.sent_ms, end.server_id, end.caller, end.witness
