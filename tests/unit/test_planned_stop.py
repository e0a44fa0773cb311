"""Schedule of a graceful shutdown: admitted requests end before the process does."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ploverhatch.routing.planned_stop import (
    END_MARGIN_FRACTION,
    IDLE_MARGIN_MS,
    READINESS_DETECTION_MS,
    PlannedStop,
    caller_idle_timeout_s,
)

GRACE_MS = st.floats(1000.0, 120_000.0)
TIMES_MS = st.floats(0.0, 1e9)
SPANS_MS = st.floats(0.0, 200_000.0)


@given(st.floats(0, 1e6), st.floats(0, 30_000), st.floats(500, 60_000))
def test_a_stop_after_a_suspension_begins_when_the_process_last_ran(now_ms, suspended_ms, grace_ms):
    stop = PlannedStop.after_suspension(now_ms, now_ms - suspended_ms, grace_ms)
    left_ms = stop.end_ms - now_ms
    assert left_ms >= grace_ms * END_MARGIN_FRACTION - 1e-6  # to answer requests in flight
    assert stop.begun_ms <= now_ms
    if left_ms > grace_ms * END_MARGIN_FRACTION + 1e-6:
        assert stop.begun_ms == pytest.approx(now_ms - suspended_ms)


@given(TIMES_MS, GRACE_MS)
def test_the_times_of_a_stop_are_in_order(begun_ms, grace_ms):
    stop = PlannedStop(begun_ms, grace_ms)
    times = [
        begun_ms,
        stop.admission_cutoff_ms,
        stop.listening_until_ms,
        stop.answered_by_ms,
        stop.end_ms,
        begun_ms + grace_ms,
    ]
    assert times == sorted(times)
    assert stop.admission_cutoff_ms < stop.listening_until_ms < stop.end_ms


@given(TIMES_MS, GRACE_MS, SPANS_MS, SPANS_MS)
def test_a_request_admitted_after_the_cutoff_ends_by_its_own_deadline(begun, grace, after, limit):
    stop = PlannedStop(begun, grace)
    now_ms = stop.admission_cutoff_ms + after
    if stop.admits(now_ms, now_ms + limit):
        assert stop.answer_deadline_ms(now_ms + limit) == now_ms + limit
        assert now_ms + limit < stop.end_ms


@given(TIMES_MS, GRACE_MS, SPANS_MS)
def test_no_admitted_request_outlives_the_process(begun, grace, limit):
    stop = PlannedStop(begun, grace)
    assert stop.admits(begun, begun + limit)
    assert stop.answer_deadline_ms(begun + limit) < stop.end_ms


def test_half_of_a_short_grace_time_is_left_for_requests_in_flight():
    assert PlannedStop(0.0, 2000.0).admission_cutoff_ms == 1000.0
    assert PlannedStop(0.0, 60_000.0).admission_cutoff_ms == READINESS_DETECTION_MS


@given(TIMES_MS, GRACE_MS)
def test_callers_are_told_to_reuse_no_connection_that_a_stop_may_close(begun, grace):
    """A stop closes only connections that have been idle for longer than the announced timeout."""
    stop = PlannedStop(begun, grace)
    timeout_s = caller_idle_timeout_s(grace)
    assert (
        timeout_s == 0
        or timeout_s * 1000 + IDLE_MARGIN_MS <= stop.admission_cutoff_ms - begun + 1e-3
    )
