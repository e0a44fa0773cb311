"""Unresponsive servers and servers that fall behind, from the reports of all nodes."""

from ploverhatch.sharding.load import (
    BEHIND_MEMORY_MS,
    COMPLETION_WINDOW_MS,
    UNRESPONSIVE_MS,
    AnswerTimes,
)


def answered_times():
    times = AnswerTimes()
    times.add("s0", [100, 120], 1000.0)
    return times


def test_a_busy_server_that_answers_no_node_is_unresponsive():
    assert answered_times().is_unresponsive("s0", rate=20.0, now_ms=1000.0 + UNRESPONSIVE_MS)


def test_a_server_with_few_requests_is_not_unresponsive():
    assert not answered_times().is_unresponsive("s0", rate=2.0, now_ms=2500.0)


def test_a_server_is_not_unresponsive_before_reports_can_arrive():
    assert not answered_times().is_unresponsive(
        "s0", rate=500.0, now_ms=1000.0 + UNRESPONSIVE_MS - 1
    )


def test_a_server_that_never_answered_is_not_unresponsive():
    assert not answered_times().is_unresponsive("s1", rate=500.0, now_ms=90_000.0)


# ---- servers that fall behind --------------------------------------------------------------


def reported(per_report, reports=10, every_ms=300.0):
    """Return the answer times of a server, and the time of the last report.

    Each report has ``per_report`` answers; a report arrives every 0.3 s by default.
    """
    times = AnswerTimes()
    for number in range(reports):
        times.add("s0", [200] * per_report, number * every_ms)
    return times, (reports - 1) * every_ms


def test_completed_requests_of_a_server_that_falls_behind_give_its_service_time():
    times, now_ms = reported(per_report=1)
    service_ms = times.saturated_service_ms("s0", slots=3, rate=20.0, now_ms=now_ms)
    assert 700.0 <= service_ms <= 1000.0  # 3.3 per second with three slots


def test_a_server_that_completes_nothing_any_more_counts_as_very_slow():
    times, now_ms = reported(per_report=4)
    assert times.saturated_service_ms("s0", 3, rate=20.0, now_ms=now_ms + 2000.0) > 4000.0


def test_a_server_that_keeps_up_does_not_fall_behind_by_chance():
    times, now_ms = reported(per_report=4)  # 13.3 per second
    for rate in (10.0, 13.0, 18.0, 24.0):
        assert times.saturated_service_ms("s0", 3, rate=rate, now_ms=now_ms) is None


def test_too_few_requests_prove_nothing():
    times, now_ms = reported(per_report=0)
    assert times.saturated_service_ms("s0", 3, rate=3.0, now_ms=now_ms) is None


def test_a_server_known_for_a_short_time_does_not_fall_behind():
    times = AnswerTimes()
    times.add("s0", [200], 0.0)
    assert times.saturated_service_ms("s0", 3, rate=50.0, now_ms=COMPLETION_WINDOW_MS - 1) is None


# A server that had lost its busy keys counted as completing nothing, and got no keys any more.
def test_a_server_of_whose_keys_nobody_asks_does_not_fall_behind():
    times = AnswerTimes()
    times.add("s0", [10.0] * 20, 0.0)
    assert times.saturated_service_ms("s0", 4, 0.0, 60_000.0) is None
    service_ms = times.saturated_service_ms("s0", 4, 50.0, 60_000.0)
    assert service_ms is not None
    assert times.saturated_service_ms("s0", 4, 0.0, 60_000.0 + BEHIND_MEMORY_MS - 1) == service_ms
    assert times.saturated_service_ms("s0", 4, 0.0, 60_000.0 + BEHIND_MEMORY_MS) is None
