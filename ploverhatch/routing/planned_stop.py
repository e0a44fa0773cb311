"""When a process that was told to stop still takes requests, and when it ends.

Callers learn of a stop late, and an ingress may hand over new connections as long
as the process takes any. So a stop states beforehand which requests it still takes:
after the last call, only those that end before the process does. Times are elapsed
milliseconds. They follow each other: begun, last call, end of listening, last answer,
end of the process, kill.
"""

from dataclasses import dataclass

# Until no new connections come after readiness ends: two missed checks, one a
# second, and what the second one takes (the platform's pages).
READINESS_DETECTION_MS = 2600.0
MAX_UNREADY_FRACTION = 0.5  # of the grace time: the rest is for what is under way
# How long new connections are taken where they keep coming, as they do while most
# nodes of a zone are unready. An earlier end leaves their callers a dead port just then:
# with the last call as the end, 1236 tries of eight days of rolling restarts found no
# connection; with this one 843, and as many were served.
LISTENING_FRACTION = 0.8  # of the grace time
END_MARGIN_FRACTION = 0.1  # of the grace time, before the platform kills the process
IDLE_MARGIN_MS = 250.0  # for a request that a caller sends at the last moment to arrive
ANSWER_MARGIN_MS = 100.0  # for a last answer to leave a busy process before it ends


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """The plan of one stop."""

    begun_ms: float
    grace_ms: float  # from the signal until the platform kills the process

    @classmethod
    def after_suspension(cls, now_ms: float, ran_until_ms: float, grace_ms: float) -> "PlannedStop":
        """Plan a stop whose signal came while the process may have stood still.

        The platform's time began when it sent the signal: at the earliest when the process
        was last seen to run. What is under way is answered in any case.
        """
        least_ms = grace_ms * END_MARGIN_FRACTION
        latest_ms = now_ms - grace_ms * (1 - END_MARGIN_FRACTION) + least_ms
        return cls(max(min(ran_until_ms, now_ms), latest_ms), grace_ms)

    @property
    def admission_cutoff_ms(self) -> float:
        """When callers have learned of the stop: an empty process ends from here on."""
        unready_ms = min(READINESS_DETECTION_MS, self.grace_ms * MAX_UNREADY_FRACTION)
        return self.begun_ms + unready_ms

    @property
    def listening_until_ms(self) -> float:
        """When new connections are no longer taken."""
        return self.begun_ms + self.grace_ms * LISTENING_FRACTION

    @property
    def end_ms(self) -> float:
        """When the process ends whatever is under way."""
        return self.begun_ms + self.grace_ms * (1 - END_MARGIN_FRACTION)

    @property
    def answered_by_ms(self) -> float:
        """When the last request has to have its answer."""
        return self.end_ms - ANSWER_MARGIN_MS

    def admits(self, now_ms: float, deadline_ms: float) -> bool:
        """Whether a request with that deadline is taken.

        Before the last call all are: few come with deadlines after the end, and
        most of these are answered in time.
        """
        return now_ms < self.admission_cutoff_ms or deadline_ms <= self.answered_by_ms

    def answer_deadline_ms(self, deadline_ms: float) -> float:
        """Return the time by which a request that is taken has its answer."""
        return min(deadline_ms, self.answered_by_ms)


def caller_idle_timeout_s(grace_ms: float) -> int:
    """Return how long callers may rest on a connection before they use it again.

    Once a stop has begun, each answer closes its connection. What is still kept at the
    last call has been at rest since before the stop; where its caller was told a shorter
    time, closing it crosses no request. 0: less than a second.
    """
    stop = PlannedStop(0.0, grace_ms)
    return int(max(0.0, stop.admission_cutoff_ms - IDLE_MARGIN_MS) / 1000)
