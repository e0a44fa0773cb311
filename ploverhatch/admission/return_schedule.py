"""When rejected callers of a group of servers may come back, and who of them kept to it.

A caller that is rejected is told when to come back, which is a promise of this dispatcher. Where
servers have room, each promise reserves the next slot that they complete after the queue, so that
returning callers are spread. While all slots go to new requests that can be in time, callers are
told the latest moment at which they come: RETURN_FRACTION of the time that they have left. They
have one more attempt in any case, and room is likeliest then.

A caller that comes back is recognized by its request's content and by the time at which its
deadline passes, which is the same for all its attempts. One that came when it was told to goes
before other requests that can't be in time. One that came earlier has no claim to an answer in
time and goes after them, so that repeating at once is no better than waiting.

What can't be known: returns of callers who state no deadline, change what they ask for, were
rejected by another dispatcher or by one that has restarted since, or come back after a failure
rather than a rejection; they count as new. A caller that overstates what it has left counts as a
new caller, and gets what such a one gets. Callers of one address that ask for the same at the
same moment may be taken for each other where they state different deadlines.

Times are elapsed milliseconds of the dispatcher. This module does no I/O and reads no clock.
"""

import math
from dataclasses import dataclass, field, replace

from ploverhatch.admission.slot_requests import CallerAttempt, SlotRequest, Standing

RETURN_FRACTION = 1 / 3  # The share of the time they have left after which callers come back.
MIN_RETRY_AFTER_MS = 50.0
MAX_RETRY_AFTER_MS = 2000.0
# The share of the servers' pace that arrivals which can be in time may take. With more, no slot is
# likely to be left for those who return.
FULL_SHARE = 0.9
# How far two estimates of one deadline differ: the way, rounding, and messages that are sent late.
SAME_DEADLINE_MS = 10.0
EARLY_TOLERANCE_MS = 10.0  # The same for the time at which a caller comes back.
MAX_PROMISES = 4096


@dataclass(frozen=True, slots=True)
class Outlook:
    """What to expect of a group's servers.

    :param wait_ms: the wait of a request behind those in the queue; may be infinite.
    :param pace_per_ms: requests that the servers complete per millisecond.
    :param arrivals_per_ms: arriving requests per millisecond that can be in time.
    """

    wait_ms: float
    pace_per_ms: float
    arrivals_per_ms: float

    @property
    def has_room(self) -> bool:
        """Whether slots are likely to be left beside the requests that can be in time."""
        return self.arrivals_per_ms < FULL_SHARE * self.pace_per_ms


@dataclass(frozen=True, slots=True)
class _Promise:
    """What a rejected caller was told."""

    attempt: CallerAttempt
    due_ms: float
    in_time_until_ms: float


_Key = tuple[int, int]


def _key(attempt: CallerAttempt, offset: int = 0) -> _Key:
    return attempt.content, math.floor(attempt.deadline_ms / SAME_DEADLINE_MS) + offset


@dataclass(slots=True)
class ReturnSchedule:
    """The promises of one group's dispatcher to the callers that it rejected."""

    # By content and deadline, in spans of SAME_DEADLINE_MS.
    _promises: dict[_Key, list[_Promise]] = field(default_factory=dict)
    _count: int = 0
    _reserved_until_ms: float = -math.inf  # The room until then is promised.

    @property
    def promises(self) -> int:
        """The number of promises to callers who haven't come back."""
        return self._count

    def admit(self, request: SlotRequest, now_ms: float) -> SlotRequest:
        """Return an arriving request with what is known of its caller's earlier attempts."""
        promise = self._find(request.attempt)
        if promise is None:
            return request
        if now_ms < promise.due_ms - EARLY_TOLERANCE_MS:
            return replace(request, standing=Standing.EARLY, in_time_until_ms=-math.inf)
        self._drop(promise)
        in_time_until_ms = min(request.in_time_until_ms, promise.in_time_until_ms)
        return replace(request, standing=Standing.KEPT, in_time_until_ms=in_time_until_ms)

    def retry_after_ms(self, request: SlotRequest, outlook: Outlook, now_ms: float) -> float:
        """Return when the caller of a rejected request may come back, in milliseconds from now.

        A caller that came early is told the time that it was told before.
        """
        known = self._find(request.attempt)
        if known is not None and known.due_ms > now_ms:
            return max(known.due_ms - now_ms, MIN_RETRY_AFTER_MS)
        attempt = request.attempt
        deadline_ms = attempt.deadline_ms if attempt else request.deadline_ms
        latest_ms = now_ms + min((deadline_ms - now_ms) * RETURN_FRACTION, MAX_RETRY_AFTER_MS)
        due_ms = math.inf
        if outlook.has_room:
            due_ms = (
                max(now_ms + outlook.wait_ms, self._reserved_until_ms) + 1 / outlook.pace_per_ms
            )
        if due_ms <= latest_ms:
            self._reserved_until_ms = due_ms
        due_ms = max(min(due_ms, latest_ms), now_ms + MIN_RETRY_AFTER_MS)
        if attempt is not None:
            self._add(_Promise(attempt, due_ms, request.in_time_until_ms), now_ms)
        return due_ms - now_ms

    # ---- promises -----------------------------------------------------------------------

    def _find(self, attempt: CallerAttempt | None) -> _Promise | None:
        """Return the promise to the caller of an attempt; the earliest of several."""
        if attempt is None:
            return None
        found = [
            promise
            for offset in (-1, 0, 1)
            for promise in self._promises.get(_key(attempt, offset), ())
            if abs(promise.attempt.deadline_ms - attempt.deadline_ms) <= SAME_DEADLINE_MS
            # A caller that comes back has less time left than it had before.
            and attempt.stated_ms < promise.attempt.stated_ms
        ]
        return min(found, key=lambda promise: promise.due_ms, default=None)

    def _add(self, promise: _Promise, now_ms: float) -> None:
        if self._count >= MAX_PROMISES:
            self._forget(now_ms)
        self._promises.setdefault(_key(promise.attempt), []).append(promise)
        self._count += 1

    def _drop(self, promise: _Promise) -> None:
        key = _key(promise.attempt)
        self._promises[key].remove(promise)
        self._count -= 1
        if not self._promises[key]:
            del self._promises[key]

    def _forget(self, now_ms: float) -> None:
        """Forget the promises to callers whose time is over, and at least the oldest half."""
        promises = [promise for known in self._promises.values() for promise in known]
        promises.sort(key=lambda promise: promise.due_ms)
        kept = [promise for promise in promises if promise.attempt.deadline_ms > now_ms]
        kept = kept[-(MAX_PROMISES // 2) :]
        self._promises, self._count = {}, len(kept)
        for promise in kept:
            self._promises.setdefault(_key(promise.attempt), []).append(promise)
