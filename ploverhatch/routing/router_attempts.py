"""Decision after a failed attempt to run a request.

A request is sent again only when it certainly did not run, or when it is
repeatable. The outcome "not-run" is answered only when no attempt can have run.
The router of the node program uses this module, and the gateway uses
:mod:`ploverhatch.routing.gateway_attempts`. The *owner* of a key is the only back
end that may run requests for it; the gateway's modules call it the holder.

This module does no I/O and reads no clock.
"""

from dataclasses import dataclass
from enum import Enum

from ploverhatch.backend.interface import Refusal
from ploverhatch.common import results
from ploverhatch.common.results import Result

MIN_PAUSE_MS = 5.0
MAX_PAUSE_MS = 100.0

OWNERSHIP_REFUSALS = frozenset({Refusal.NOT_OWNER, Refusal.STALE_TOKEN, Refusal.LAPSED})


class AttemptEnd(Enum):
    """What is known of whether an attempt ran."""

    REFUSED = "refused"  # the server stated that it did not run the request
    NOT_SENT = "not-sent"
    CANCELLED = "cancelled"  # sent, then cancelled with proof that it did not run
    LOST = "lost"  # sent, without a complete answer
    TIMED_OUT = "timed-out"  # sent, the deadline passed


_MAY_HAVE_RUN = frozenset({AttemptEnd.LOST, AttemptEnd.TIMED_OUT})


@dataclass(frozen=True)
class RequestState:
    """A request between two attempts; times are milliseconds of the elapsed clock."""

    once: bool
    deadline_ms: float
    give_up_ms: float  # end of the wait for an owner or a slot
    attempts: int = 0
    max_attempts: int = 8
    may_have_run: bool = False


@dataclass(frozen=True)
class Retry:
    """Send the request again after a pause.

    With ``await_owner``, a change of the key's owner ends the pause early.
    """

    state: RequestState
    pause_ms: float
    await_owner: bool


@dataclass(frozen=True)
class GiveUp:
    """Answer the caller now."""

    result: Result


Decision = Retry | GiveUp


def after_attempt(
    state: RequestState,
    end: AttemptEnd,
    refusal: Refusal,
    now_ms: float,
    budget_left: bool,
) -> Decision:
    """Decide how to continue after a failed attempt.

    :param end: how the attempt ended.
    :param refusal: the reason that the server gave, if any.
    :param budget_left: whether the retry budget allows another attempt.
    """
    may_have_run = state.may_have_run or end in _MAY_HAVE_RUN
    state = RequestState(
        once=state.once,
        deadline_ms=state.deadline_ms,
        give_up_ms=state.give_up_ms,
        attempts=state.attempts + 1,
        max_attempts=state.max_attempts,
        may_have_run=may_have_run,
    )
    if may_have_run and state.once:
        timed_out = end is AttemptEnd.TIMED_OUT
        return GiveUp(results.DEADLINE_IN_FLIGHT if timed_out else results.ANSWER_LOST)
    stop = _stop_result(state, end, refusal, now_ms, budget_left)
    if stop is not None:
        return GiveUp(_result_after_all_attempts(stop, state))
    pause_ms = min(MIN_PAUSE_MS * 2 ** (state.attempts - 1), MAX_PAUSE_MS)
    await_owner = refusal in OWNERSHIP_REFUSALS or end is AttemptEnd.NOT_SENT
    return Retry(state, min(pause_ms, state.deadline_ms - now_ms), await_owner)


def _stop_result(
    state: RequestState, end: AttemptEnd, refusal: Refusal, now_ms: float, budget_left: bool
) -> Result | None:
    if now_ms >= state.deadline_ms:
        return results.DEADLINE_PASSED
    unreachable = end in {AttemptEnd.NOT_SENT, AttemptEnd.LOST}
    cause = results.SERVER_UNREACHABLE if unreachable else results.SERVER_REFUSED
    # A request that waits for a change of owner isn't counted as a retry: its wait is
    # bounded by the caller's, and it costs no back end any work.
    if refusal in OWNERSHIP_REFUSALS or end is AttemptEnd.NOT_SENT:
        return cause if now_ms >= state.give_up_ms else None
    if state.attempts >= state.max_attempts or now_ms >= state.give_up_ms:
        return cause
    return None if budget_left else results.RETRY_BUDGET_SPENT


def _result_after_all_attempts(result: Result, state: RequestState) -> Result:
    """Replace a "not-run" result by an "unknown" one when an earlier attempt may have run."""
    if not state.may_have_run:
        return result
    if result is results.DEADLINE_PASSED:
        return results.DEADLINE_IN_FLIGHT
    return results.ANSWER_LOST
