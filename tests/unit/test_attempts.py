"""Decisions after a failed attempt."""

import pytest

from ploverhatch.backend.interface import Refusal
from ploverhatch.common import results
from ploverhatch.routing.router_attempts import (
    AttemptEnd,
    GiveUp,
    RequestState,
    Retry,
    after_attempt,
)

NONE = Refusal.NONE
TABLE = [
    # once, end, refusal, now, budget, expected
    (True, AttemptEnd.LOST, NONE, 10, True, results.ANSWER_LOST),
    (True, AttemptEnd.TIMED_OUT, NONE, 10, True, results.DEADLINE_IN_FLIGHT),
    (True, AttemptEnd.CANCELLED, NONE, 10, True, None),
    (True, AttemptEnd.NOT_SENT, NONE, 10, True, None),
    (True, AttemptEnd.REFUSED, Refusal.STALE_TOKEN, 10, True, None),
    (True, AttemptEnd.REFUSED, Refusal.STALE_TOKEN, 900, True, results.SERVER_REFUSED),
    (True, AttemptEnd.REFUSED, Refusal.BUSY, 10, False, results.RETRY_BUDGET_SPENT),
    (False, AttemptEnd.LOST, NONE, 10, True, None),
    (False, AttemptEnd.LOST, NONE, 10, False, results.ANSWER_LOST),
    (False, AttemptEnd.LOST, NONE, 1001, True, results.DEADLINE_IN_FLIGHT),
    (False, AttemptEnd.NOT_SENT, NONE, 900, True, results.SERVER_UNREACHABLE),
    (False, AttemptEnd.REFUSED, Refusal.BUSY, 1001, True, results.DEADLINE_PASSED),
]


@pytest.mark.parametrize(("once", "end", "refusal", "now_ms", "budget", "expected"), TABLE)
def test_decision(once, end, refusal, now_ms, budget, expected):
    state = RequestState(once=once, deadline_ms=1000, give_up_ms=800)
    decision = after_attempt(state, end, refusal, now_ms, budget)
    if expected is None:
        assert isinstance(decision, Retry)
        assert decision.pause_ms <= 1000 - now_ms
    else:
        assert decision == GiveUp(expected)


@pytest.mark.parametrize("end", list(AttemptEnd))
@pytest.mark.parametrize("now_ms", [10, 850, 1001])
def test_never_answers_not_run_after_an_attempt_that_may_have_run(end, now_ms):
    state = RequestState(once=False, deadline_ms=1000, give_up_ms=800, may_have_run=True)
    decision = after_attempt(state, end, Refusal.BUSY, now_ms, budget_left=False)
    if isinstance(decision, GiveUp):
        assert decision.result.outcome is not results.Outcome.NOT_RUN


def test_attempts_are_bounded():
    state = RequestState(once=False, deadline_ms=1e9, give_up_ms=1e9, max_attempts=3)
    for _ in range(2):
        state = after_attempt(state, AttemptEnd.REFUSED, Refusal.BUSY, 0, True).state
    decision = after_attempt(state, AttemptEnd.REFUSED, Refusal.BUSY, 0, True)
    assert decision == GiveUp(results.SERVER_REFUSED)
