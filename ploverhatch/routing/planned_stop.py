"""Schedule of a graceful shutdown: which requests are still admitted, and when the process ends.

Callers learn of a shutdown late, and an ingress may forward new connections for as long
as the process accepts any. The schedule therefore fixes in advance which requests are still
admitted: after the admission cutoff, only those whose deadline is before the end of the
process. Times are milliseconds of the elapsed clock. Their order is: begin, admission cutoff,
end of listening, last answer, end of the process, kill by the platform.
"""

from dataclasses import dataclass

# Time from the end of readiness until no new connections arrive: the platform needs two
# failed checks, at one check per second, and the duration of the second one.
READINESS_DETECTION_MS = 2600.0
MAX_UNREADY_FRACTION = 0.5  # of the grace time; the rest is left for requests in flight
# How long new connections are accepted while they keep arriving, as they do while most
# nodes of a zone are unready. If listening ends earlier, these callers are refused a
# connection: over eight days of rolling restarts, 1236 attempts found no connection when
# listening ended at the admission cutoff and 843 with this fraction, with as many requests served.
LISTENING_FRACTION = 0.8  # of the grace time
END_MARGIN_FRACTION = 0.1  # of the grace time, before the platform kills the process
IDLE_MARGIN_MS = 250.0  # for the transit of a request that a caller sends at the last moment
ANSWER_MARGIN_MS = 100.0  # for a busy process to send its last answer before it ends


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """Schedule of one graceful shutdown."""

    begun_ms: float
    grace_ms: float  # from the signal until the platform kills the process

    @classmethod
    def after_suspension(cls, now_ms: float, ran_until_ms: float, grace_ms: float) -> "PlannedStop":
        """Plan a stop whose signal may have arrived while the process was suspended.

        The platform measures the grace time from its signal, which it sent at the earliest
        when the process was last known to run. The schedule always leaves some time to
        answer requests in flight.

        :param ran_until_ms: when the process was last known to run before the suspension.
        """
        least_ms = grace_ms * END_MARGIN_FRACTION
        latest_ms = now_ms - grace_ms * (1 - END_MARGIN_FRACTION) + least_ms
        return cls(max(min(ran_until_ms, now_ms), latest_ms), grace_ms)

    @property
    def admission_cutoff_ms(self) -> float:
        """The time by which callers have learned of the stop; from then on an idle process ends."""
        unready_ms = min(READINESS_DETECTION_MS, self.grace_ms * MAX_UNREADY_FRACTION)
        return self.begun_ms + unready_ms

    @property
    def listening_until_ms(self) -> float:
        """The time at which the process stops accepting connections."""
        return self.begun_ms + self.grace_ms * LISTENING_FRACTION

    @property
    def end_ms(self) -> float:
        """The time at which the process ends, even with requests in flight."""
        return self.begun_ms + self.grace_ms * (1 - END_MARGIN_FRACTION)

    @property
    def answered_by_ms(self) -> float:
        """The time by which the last request must be answered."""
        return self.end_ms - ANSWER_MARGIN_MS

    def admits(self, now_ms: float, deadline_ms: float) -> bool:
        """Return whether a request with this deadline is admitted.

        Before the admission cutoff all requests are: few have a deadline after the end of
        the process, and most of these are answered in time.
        """
        return now_ms < self.admission_cutoff_ms or deadline_ms <= self.answered_by_ms

    def answer_deadline_ms(self, deadline_ms: float) -> float:
        """Return the time by which an admitted request must be answered."""
        return min(deadline_ms, self.answered_by_ms)


def caller_idle_timeout_s(grace_ms: float) -> int:
    """Return for how many seconds callers may reuse an idle connection.

    Once a stop has begun, each answer closes its connection. A connection still open at the
    admission cutoff has been idle since before the stop began. If its caller was told a
    shorter idle timeout, closing it can't collide with a new request. The result is 0 where
    the timeout would be below a second.
    """
    stop = PlannedStop(0.0, grace_ms)
    return int(max(0.0, stop.admission_cutoff_ms - IDLE_MARGIN_MS) / 1000)
