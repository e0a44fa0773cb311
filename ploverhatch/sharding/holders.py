"""What the leader knows of each server as a holder of keys. Pure; milliseconds."""

from dataclasses import dataclass, field

from ploverhatch.sharding.keymap import Holder
from ploverhatch.sharding.messages import RangeId

HOLD_MS = 4000.0  # of a lease, where the servers allow as much
RENEW_PART = 0.3  # of a lease's time: then it is renewed
RETRY_MS = 250.0
CLOCK_DRIFT = 1.02  # a server's clock may run 2% slow
LAPSE_MARGIN_MS = 250.0
UNREACHABLE_MS = 1000.0
AVOID_MS = 4000.0  # how long a server that could not be reached gets no keys


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Times that follow from how long a lease is held."""

    hold_ms: float = HOLD_MS

    @property
    def renew_ms(self) -> float:
        """Time between renewals."""
        return self.hold_ms * RENEW_PART

    def lapse_ms(self, sent_ms: float) -> float:
        """Return when a lease sent at ``sent_ms`` has surely lapsed."""
        return sent_ms + self.hold_ms * CLOCK_DRIFT + LAPSE_MARGIN_MS


@dataclass(slots=True)
class HolderLease:
    """One server; at most one renewal is under way to it."""

    holder: Holder
    timing: LeaseTiming = LeaseTiming()
    held_until_ms: float = 0.0  # by then every lease sent to it has surely lapsed
    failing_since_ms: float | None = None
    avoid_until_ms: float = 0.0
    gained_ms: float = -1e12  # when it got keys that it had not held
    silent: bool = False  # callers' requests to it are not answered
    renew_at_ms: float = 0.0
    to_renew: list[RangeId] = field(default_factory=list)
    renewing: bool = False
    is_over: bool = False  # the server runs elsewhere by now, as another life
    # Tokens of grants that were acknowledged before its connection broke: another life may
    # answer by now, and would take a renewal at a token that did not rise.
    doubtful: set[int] = field(default_factory=set)
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
        self.held_until_ms = max(self.held_until_ms, self.timing.lapse_ms(now_ms))

    def ended(self) -> None:
        """The server has ended: it holds nothing."""
        self.held_until_ms = 0.0

    def life_over(self) -> None:
        """A later life of the server is known at another address: nothing reaches this one."""
        self.is_over = True
        self.ended()

    def answered(self) -> None:
        """The server answered a call."""
        self.failing_since_ms = None

    def failed(self, now_ms: float) -> None:
        """No answer to a call; callers' requests that it left unanswered speak against it too."""
        if self.failing_since_ms is None:
            self.failing_since_ms = now_ms
        if self.silent or now_ms - self.failing_since_ms >= UNREACHABLE_MS:
            self.avoid_until_ms = now_ms + AVOID_MS

    def note_silent(self, silent: bool, now_ms: float) -> None:
        """Whether busy keys of the holder got no answer at all lately: ask it at once."""
        if silent and not self.silent:
            self.renew_at_ms = min(self.renew_at_ms, now_ms)
            if self.failing_since_ms is not None:
                self.avoid_until_ms = now_ms + AVOID_MS
        self.silent = silent

    def avoided(self, now_ms: float) -> bool:
        """Whether the server should get no keys now."""
        return now_ms < self.avoid_until_ms

    def renewal_over(self, now_ms: float, well: bool) -> None:
        """A round of renewals has ended, or broke off."""
        self.renewing = False
        self.to_renew.clear()
        self.renew_at_ms = now_ms + (self.timing.renew_ms if well else RETRY_MS)
