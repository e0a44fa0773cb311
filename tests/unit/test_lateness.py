"""The recent lateness of a process."""

from ploverhatch.admission.lateness import INITIAL_LATENESS_MS, MAX_LATENESS_MS, RecentLateness

TICKS_PER_S = 40


def test_a_process_in_time_soon_waits_no_longer_than_usual():
    lateness = RecentLateness()
    assert lateness.ms == INITIAL_LATENESS_MS
    for _ in range(2 * TICKS_PER_S):
        lateness.note_tick(0.0)
    assert lateness.ms < 0.1


def test_the_greatest_recent_delay_counts():
    lateness = RecentLateness()
    for late_ms in (80.0, 1.0, 0.0):
        lateness.note_tick(late_ms)
    assert 60.0 < lateness.ms < 80.0


def test_a_suspension_prolongs_no_wait_beyond_the_bound():
    lateness = RecentLateness()
    lateness.note_tick(60_000.0)
    assert lateness.ms == MAX_LATENESS_MS
