"""Whether servers answer at all, from the reports of all nodes."""

from ploverhatch.sharding.load import SILENT_MS, AnswerTimes


def times():
    made = AnswerTimes()
    made.add("s0", [100, 120], 1000.0)
    return made


def test_a_busy_server_that_answers_nobody_is_silent():
    assert times().is_silent("s0", rate=20.0, now_ms=1000.0 + SILENT_MS)


def test_a_server_that_is_asked_little_is_not_called_silent():
    assert not times().is_silent("s0", rate=2.0, now_ms=2500.0)


def test_reports_take_a_while_to_come():
    assert not times().is_silent("s0", rate=500.0, now_ms=1000.0 + SILENT_MS - 1)


def test_nothing_is_said_of_a_server_that_never_answered():
    assert not times().is_silent("s1", rate=500.0, now_ms=90_000.0)
