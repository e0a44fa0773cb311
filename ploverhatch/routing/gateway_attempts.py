"""Outcome of an attempt to send a request to a server, and the decision that follows.

This module does no I/O and reads no clock.
"""

from dataclasses import dataclass
from enum import Enum


class AttemptResult(Enum):
    """How one attempt ended."""

    ANSWERED = "answered"  # a complete answer; the request counts as run
    SERVER_ERROR = "server-error"  # a complete answer with status 5xx; counts as run
    NOT_CONNECTED = "not-connected"  # no byte was sent
    WITHHELD = "withheld"  # no byte was sent: the server was excluded during the wait for a slot
    DECLINED = "declined"  # the server stated that it did not run the request
    NOT_HOLDER = "not-holder"  # not run: the server does not hold the key
    WRONG_INSTANCE = "wrong-instance"  # not run: the address belongs to another server
    LOST = "lost"  # sent; unknown whether the request ran
    TIMED_OUT = "timed-out"  # sent; no answer before the timeout


NOT_RUN = frozenset(
    {
        AttemptResult.NOT_CONNECTED,
        AttemptResult.WITHHELD,
        AttemptResult.DECLINED,
        AttemptResult.NOT_HOLDER,
        AttemptResult.WRONG_INSTANCE,
    }
)
# These attempts never reached a server, so they don't count against the number of attempts.
UNSENT = frozenset({AttemptResult.NOT_CONNECTED, AttemptResult.WITHHELD})


class NextStep(Enum):
    """What to do after an attempt that yielded no answer for the caller."""

    RETRY = "retry"
    REFUSE = "refuse"  # answer "not run", with a time after which to retry
    FAIL = "fail"  # answer that the request may have run


@dataclass(frozen=True, slots=True)
class AttemptHistory:
    """Summary of the attempts made for a request so far."""

    arrivals: int = 0  # attempts that may have reached a server
    may_have_run: bool = False

    def after(self, result: AttemptResult) -> "AttemptHistory":
        """Return the history with one more attempt."""
        return AttemptHistory(
            arrivals=self.arrivals + (result not in UNSENT),
            may_have_run=self.may_have_run or result not in NOT_RUN,
        )


def next_step(
    history: AttemptHistory,
    result: AttemptResult,
    repeatable: bool,
    max_attempts: int,
    time_left_ms: float,
    needed_ms: float,
) -> NextStep:
    """Decide how to continue after an attempt.

    :param history: all attempts, including the latest one.
    :param result: the result of the latest attempt.
    :param repeatable: whether the request may run more than once.
    :param time_left_ms: time until the request's deadline or the route's timeout.
    :param needed_ms: the least time left with which another attempt is useful.
    """
    may_attempt = time_left_ms > needed_ms and history.arrivals < max_attempts
    if result in NOT_RUN and may_attempt and (repeatable or not history.may_have_run):
        return NextStep.RETRY
    if result in {AttemptResult.LOST, AttemptResult.SERVER_ERROR} and repeatable and may_attempt:
        return NextStep.RETRY
    if history.may_have_run:
        return NextStep.FAIL
    return NextStep.REFUSE
