"""What an attempt at a server proves, and what to do next. Pure."""

from dataclasses import dataclass
from enum import Enum


class AttemptResult(Enum):
    """How one attempt ended."""

    ANSWERED = "answered"  # a whole answer that counts as run
    SERVER_ERROR = "server-error"  # a whole answer with status 5xx that counts as run
    NOT_CONNECTED = "not-connected"  # no byte left
    WITHHELD = "withheld"  # no byte left: the server asked for that while a slot was waited for
    DECLINED = "declined"  # the server said that it did not run it
    NOT_HOLDER = "not-holder"  # not run: the key is not the server's
    WRONG_INSTANCE = "wrong-instance"  # not run: the address is another server's
    LOST = "lost"  # sent; whether it ran is unknown
    TIMED_OUT = "timed-out"  # sent; unanswered when its time was over


NOT_RUN = frozenset(
    {
        AttemptResult.NOT_CONNECTED,
        AttemptResult.WITHHELD,
        AttemptResult.DECLINED,
        AttemptResult.NOT_HOLDER,
        AttemptResult.WRONG_INSTANCE,
    }
)
# An attempt that never arrived costs no server anything.
UNSENT = frozenset({AttemptResult.NOT_CONNECTED, AttemptResult.WITHHELD})


class NextStep(Enum):
    """What to do after an attempt that gave no answer to pass on."""

    RETRY = "retry"
    REFUSE = "refuse"  # answer "not run", with a time to come back
    FAIL = "fail"  # answer that it may have run


@dataclass(frozen=True, slots=True)
class AttemptHistory:
    """What earlier attempts of the request left."""

    arrivals: int = 0  # attempts that may have reached a server
    may_have_run: bool = False

    def after(self, result: AttemptResult) -> "AttemptHistory":
        """Add one attempt."""
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
    """Decide after an attempt; ``history`` includes it.

    :param time_left_ms: until the request's deadline or the route's timeout.
    :param needed_ms: least time that makes another attempt useful.
    """
    worth_it = time_left_ms > needed_ms and history.arrivals < max_attempts
    if result in NOT_RUN and worth_it and (repeatable or not history.may_have_run):
        return NextStep.RETRY
    if result in {AttemptResult.LOST, AttemptResult.SERVER_ERROR} and repeatable and worth_it:
        return NextStep.RETRY
    if history.may_have_run:
        return NextStep.FAIL
    return NextStep.REFUSE
