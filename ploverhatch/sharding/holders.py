"""What the leader knows of each server as a holder of keys. Pure; milliseconds."""

from collections.abc import Collection
from dataclasses import dataclass, field

from ploverhatch.sharding.keymap import Holder
from ploverhatch.sharding.messages import RangeId

LEASE_MS = 4000.0  # of a lease, where the servers allow as much
RENEW_PART = 0.3  # of a lease's time: then it is renewed
RETRY_MS = 250.0
LATE_MS = 100.0  # a renewal that is not answered by then holds no other one up
MOST_LATE_CALLS = 4  # to a server that answers nothing else
LOSSY_MS = 5000.0  # after the last sign that some calls are not answered
LOSSY_RETRY_MS = 200.0
MOST_CALLS = 24  # renewals under way to a server that answers some of them
CLOCK_DRIFT = 1.02  # a server's clock may run 2% slow
EXPIRY_MARGIN_MS = 250.0
UNREACHABLE_MS = 1000.0
AVOID_MS = 4000.0  # how long a server that could not be reached gets no keys


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Times that follow from how long a lease is held."""

    lease_ms: float = LEASE_MS

    @property
    def renew_ms(self) -> float:
        """Time between renewals."""
        return self.lease_ms * RENEW_PART

    def expiry_ms(self, sent_ms: float) -> float:
        """Return when a lease sent at ``sent_ms`` has surely lapsed."""
        return sent_ms + self.lease_ms * CLOCK_DRIFT + EXPIRY_MARGIN_MS


@dataclass(frozen=True, slots=True)
class _Renewal:
    """A call that renews a range."""

    name: RangeId
    sent_ms: float


@dataclass(slots=True)
class HolderLease:
    """One server.

    Its ranges are renewed one after the other. A call without an answer holds the others up for
    ``LATE_MS`` only, and while some calls are answered and others are not, all that is due is
    renewed at once, each range again and again until it is answered.
    """

    holder: Holder
    timing: LeaseTiming = LeaseTiming()
    held_until_ms: float = 0.0  # by then every lease sent to it has surely lapsed
    failing_since_ms: float | None = None
    avoid_until_ms: float = 0.0
    last_new_range_ms: float = -1e12  # when it got keys that it had not held
    silent: bool = False  # callers' requests to it are not answered
    pause_until_ms: float = 0.0  # after a call that was not answered, where no other was
    lossy_until_ms: float = -1e12  # some calls were answered lately and others not
    # When renewals were answered last, and when they were sent last, by range.
    renewed_ms: dict[RangeId, float] = field(default_factory=dict)
    tried_ms: dict[RangeId, float] = field(default_factory=dict)
    under_way: list[_Renewal] = field(default_factory=list)
    probe_due: bool = False  # callers' requests to it are not answered: does it renew?
    superseded: bool = False  # the server runs elsewhere by now, as another life
    # Tokens of grants that were acknowledged before its connection broke: another life may
    # answer by now, and would take a renewal at a token that did not rise.
    unproven_tokens: set[int] = field(default_factory=set)
    release_at_ms: float = 0.0  # of a holder that does not answer: when one is sent again

    def may_release(self, now_ms: float) -> bool:
        """Whether a release may be sent now.

        A holder that does not answer may have hundreds of ranges. One release after
        the other shows as well whether it answers again, and costs one connection
        in ``RETRY_MS`` instead of hundreds.
        """
        if self.failing_since_ms is None:
            return True
        if now_ms < self.release_at_ms:
            return False
        self.release_at_ms = now_ms + RETRY_MS
        return True

    def sent(self, now_ms: float) -> None:
        """A grant is being sent right now."""
        self.held_until_ms = max(self.held_until_ms, self.timing.expiry_ms(now_ms))

    def ended(self) -> None:
        """The server has ended: it holds nothing."""
        self.held_until_ms = 0.0

    def note_superseded(self) -> None:
        """A later life of the server is known at another address: nothing reaches this one."""
        self.superseded = True
        self.ended()

    def answered(self, now_ms: float) -> None:
        """The server answered a call."""
        if self.failing_since_ms is not None:
            self.lossy_until_ms = now_ms + LOSSY_MS
        self.failing_since_ms = None

    def failed(self, now_ms: float) -> None:
        """No answer to a call; callers' requests that it left unanswered speak against it too."""
        if self.failing_since_ms is None:
            self.failing_since_ms = now_ms
        if self.silent or now_ms - self.failing_since_ms >= UNREACHABLE_MS:
            self.avoid_until_ms = now_ms + AVOID_MS

    def note_unresponsive(self, silent: bool, now_ms: float) -> None:
        """Whether busy keys of the holder got no answer at all lately: ask it at once."""
        if silent and not self.silent:
            self.probe_due = True
            if self.failing_since_ms is not None:
                self.avoid_until_ms = now_ms + AVOID_MS
        self.silent = silent

    def avoided(self, now_ms: float) -> bool:
        """Whether the server should get no keys now."""
        return now_ms < self.avoid_until_ms

    # ---- renewals -----------------------------------------------------------------------

    def due_renewals(self, names: Collection[RangeId], now_ms: float) -> list[RangeId]:
        """Return the ranges to renew now.

        :param names: ranges that the server holds and that may be renewed.
        """
        if now_ms < self.pause_until_ms:
            return []
        lossy = now_ms < self.lossy_until_ms
        due = [name for name in names if self._is_due(name, lossy, now_ms)]
        due.sort(
            key=lambda name: (self.renewed_ms.get(name, -1e12), self.tried_ms.get(name, -1e12))
        )
        chosen = due[: self._most_renewals(lossy, now_ms)]
        for name in chosen:
            self.tried_ms[name] = now_ms
            self.under_way.append(_Renewal(name, now_ms))
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
        is_late = now_ms - tried_ms >= LATE_MS
        return is_late and now_ms - renewed_ms >= self.timing.renew_ms

    def _most_renewals(self, lossy: bool, now_ms: float) -> int:
        """Return how many more calls may be under way."""
        if lossy:
            return max(0, MOST_CALLS - len(self.under_way))
        late = sum(now_ms - call.sent_ms >= LATE_MS for call in self.under_way)
        return int(late == len(self.under_way) and late < MOST_LATE_CALLS)

    def renewal_ended(self, name: RangeId, now_ms: float, well: bool) -> None:
        """A renewal was answered, or not."""
        call = next((one for one in self.under_way if one.name == name), None)
        if call is None:
            return
        self.under_way.remove(call)
        if well:
            self.renewed_ms[name] = now_ms
            # A slow server answers in order.
            if any(other.sent_ms <= call.sent_ms - LATE_MS for other in self.under_way):
                self.lossy_until_ms = now_ms + LOSSY_MS
        elif now_ms >= self.lossy_until_ms:
            self.pause_until_ms = now_ms + RETRY_MS

    def granted(self, name: RangeId, now_ms: float) -> None:
        """The server was granted a range that it had not held."""
        self.last_new_range_ms = now_ms
        self.renewed_ms[name] = now_ms

    def keep_only(self, names: Collection[RangeId]) -> None:
        """Forget the renewals of other ranges."""
        for known in (self.renewed_ms, self.tried_ms):
            for name in [name for name in known if name not in names]:
                del known[name]
