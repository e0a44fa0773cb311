"""The leader's state of each server as a holder of keys.

This module does no I/O and reads no clock. Times are milliseconds of the elapsed clock.
"""

from collections.abc import Collection
from dataclasses import dataclass, field

from ploverhatch.sharding.keymap import Holder
from ploverhatch.sharding.messages import RangeId

LEASE_MS = 4000.0  # duration of a lease, unless the servers allow less
RENEW_FRACTION = 0.3  # part of a lease's duration after which it is renewed
RETRY_MS = 250.0
LATE_RENEWAL_MS = 100.0  # an unanswered renewal delays the other renewals no longer than this
MAX_LATE_CALLS = 4  # unanswered renewals in flight to a server that answers none of them
LOSSY_MS = 5000.0  # time for which a server counts as lossy after a call was lost
LOSSY_RETRY_MS = 200.0
MAX_CALLS = 24  # renewals in flight to a lossy server
# Part of a lease's duration after which a grant that may still be in transit is discarded. What
# remains covers the process's and the kernel's delay in doing so.
DISCARD_FRACTION = 0.85
CLOCK_DRIFT = 1.02  # a server's clock may run 2% slow
EXPIRY_MARGIN_MS = 250.0
UNREACHABLE_MS = 1000.0
AVOID_MS = 4000.0  # time for which an unreachable server is assigned no keys


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Times that follow from the duration of a lease."""

    lease_ms: float = LEASE_MS

    @property
    def renew_ms(self) -> float:
        """Time between renewals."""
        return self.lease_ms * RENEW_FRACTION

    @property
    def discard_ms(self) -> float:
        """Time after which an unanswered grant is discarded, before its keys move elsewhere.

        A server counts the lease from the arrival of the grant, however late that is.
        """
        return self.lease_ms * DISCARD_FRACTION

    def expiry_ms(self, sent_ms: float) -> float:
        """Return the time by which a lease sent at ``sent_ms`` has certainly expired."""
        return sent_ms + self.lease_ms * CLOCK_DRIFT + EXPIRY_MARGIN_MS


@dataclass(frozen=True, slots=True)
class _Renewal:
    """A call in flight that renews the lease of a range."""

    name: RangeId
    sent_ms: float


@dataclass(slots=True)
class HolderLease:
    """The leases of one incarnation of a server.

    Its ranges are renewed one at a time. An unanswered call delays the others for
    ``LATE_RENEWAL_MS`` only. While the server is lossy, which means that it answers some calls
    and not others, all due ranges are renewed at once, and each is retried until a renewal of
    it is answered.
    """

    holder: Holder
    timing: LeaseTiming = LeaseTiming()
    held_until_ms: float = 0.0  # every lease sent to the server has expired by then
    failing_since_ms: float | None = None
    avoid_until_ms: float = 0.0
    last_new_range_ms: float = -1e12  # when it was last granted a range that it had not held
    unresponsive: bool = False  # requests of callers to it get no answer
    pause_until_ms: float = 0.0  # set by an unanswered call while the server is not lossy
    lossy_until_ms: float = -1e12
    # Times by range: when its last answered renewal was answered, when its last one was sent.
    renewed_ms: dict[RangeId, float] = field(default_factory=dict)
    tried_ms: dict[RangeId, float] = field(default_factory=dict)
    renewals_in_flight: list[_Renewal] = field(default_factory=list)
    probe_due: bool = False  # a renewal is to be sent at once, to see whether it is answered
    stopped: bool = False  # this incarnation of the server has certainly ended
    superseded: bool = False  # a later incarnation of the server runs at another address
    # Tokens of grants that were acknowledged before the connection closed. A later incarnation
    # may answer at the address, and would accept a renewal at an unchanged token.
    unproven_tokens: set[int] = field(default_factory=set)
    next_release_ms: float = 0.0  # earliest time of the next release while calls fail

    def may_release(self, now_ms: float) -> bool:
        """Whether a release may be sent now; if so, the next one is delayed.

        A holder that does not answer may have hundreds of ranges. Releases one at a time show
        equally well whether it answers again, and open one connection per ``RETRY_MS`` instead
        of hundreds.
        """
        if self.failing_since_ms is None:
            return True
        if now_ms < self.next_release_ms:
            return False
        self.next_release_ms = now_ms + RETRY_MS
        return True

    def note_grant_sent(self, now_ms: float) -> None:
        """Record that a grant is sent now."""
        self.stopped = self.superseded
        self.held_until_ms = max(self.held_until_ms, self.timing.expiry_ms(now_ms))

    def note_renewable(self, until_ms: float) -> None:
        """Record that other leaders may grant it keys until a time, unless it has stopped."""
        if not self.stopped:
            self.held_until_ms = max(self.held_until_ms, self.timing.expiry_ms(until_ms))

    def note_stopped(self) -> None:
        """Record that the server has stopped, so that it holds nothing."""
        self.stopped = True
        self.held_until_ms = 0.0

    def note_superseded(self) -> None:
        """Record that a later incarnation runs at another address; no call reaches this one."""
        self.superseded = True
        self.note_stopped()

    def note_answer(self, now_ms: float) -> None:
        """Record that the server answered a call."""
        if self.failing_since_ms is not None:
            self.lossy_until_ms = now_ms + LOSSY_MS
        self.failing_since_ms = None

    def note_no_answer(self, now_ms: float) -> None:
        """Record that the server did not answer a call.

        It is avoided after ``UNREACHABLE_MS``, or at once if requests of callers get no answer
        either.
        """
        if self.failing_since_ms is None:
            self.failing_since_ms = now_ms
        if self.unresponsive or now_ms - self.failing_since_ms >= UNREACHABLE_MS:
            self.avoid_until_ms = now_ms + AVOID_MS

    def note_unresponsive(self, unresponsive: bool, now_ms: float) -> None:
        """Record whether requests for the holder's busy keys got no answer at all lately.

        If so, its ranges are renewed at once, to see whether it answers control calls.
        """
        if unresponsive and not self.unresponsive:
            self.probe_due = True
            if self.failing_since_ms is not None:
                self.avoid_until_ms = now_ms + AVOID_MS
        self.unresponsive = unresponsive

    def is_avoided(self, now_ms: float) -> bool:
        """Whether the server should be assigned no keys now."""
        return now_ms < self.avoid_until_ms

    # ---- renewals -----------------------------------------------------------------------

    def due_renewals(self, names: Collection[RangeId], now_ms: float) -> list[RangeId]:
        """Return the ranges to renew now, and record that their renewals are sent.

        :param names: ranges that the server holds and that may be renewed.
        """
        if now_ms < self.pause_until_ms:
            return []
        lossy = now_ms < self.lossy_until_ms
        due = [name for name in names if self._is_due(name, lossy, now_ms)]
        due.sort(
            key=lambda name: (self.renewed_ms.get(name, -1e12), self.tried_ms.get(name, -1e12))
        )
        chosen = due[: self._renewal_capacity(lossy, now_ms)]
        for name in chosen:
            self.tried_ms[name] = now_ms
            self.renewals_in_flight.append(_Renewal(name, now_ms))
        if chosen:
            self.probe_due = False
        return chosen

    def _is_due(self, name: RangeId, lossy: bool, now_ms: float) -> bool:
        if self.probe_due:
            return True
        renewed_ms, tried_ms = self.renewed_ms.get(name, -1e12), self.tried_ms.get(name, -1e12)
        if lossy:
            soon = now_ms - renewed_ms >= self.timing.renew_ms / 2
            return soon and now_ms - tried_ms >= LOSSY_RETRY_MS
        is_late = now_ms - tried_ms >= LATE_RENEWAL_MS
        return is_late and now_ms - renewed_ms >= self.timing.renew_ms

    def _renewal_capacity(self, lossy: bool, now_ms: float) -> int:
        """Return how many more renewals may be sent."""
        if lossy:
            return max(0, MAX_CALLS - len(self.renewals_in_flight))
        late = sum(now_ms - call.sent_ms >= LATE_RENEWAL_MS for call in self.renewals_in_flight)
        return int(late == len(self.renewals_in_flight) and late < MAX_LATE_CALLS)

    def note_renewal_ended(self, name: RangeId, now_ms: float, acknowledged: bool) -> None:
        """Record the end of a renewal.

        :param acknowledged: whether the server acknowledged it.
        """
        call = next((call for call in self.renewals_in_flight if call.name == name), None)
        if call is None:
            return
        self.renewals_in_flight.remove(call)
        if acknowledged:
            self.renewed_ms[name] = now_ms
            # A slow server answers in order, so an older call without an answer was lost.
            if any(
                other.sent_ms <= call.sent_ms - LATE_RENEWAL_MS for other in self.renewals_in_flight
            ):
                self.lossy_until_ms = now_ms + LOSSY_MS
        elif now_ms >= self.lossy_until_ms:
            self.pause_until_ms = now_ms + RETRY_MS

    def note_granted(self, name: RangeId, now_ms: float) -> None:
        """Record that the server acknowledged a range that it had not held."""
        self.last_new_range_ms = now_ms
        self.renewed_ms[name] = now_ms

    def keep_only(self, names: Collection[RangeId]) -> None:
        """Drop the renewal times of all other ranges."""
        for known in (self.renewed_ms, self.tried_ms):
            for name in [name for name in known if name not in names]:
                del known[name]
