"""Evaluation of a run from execution logs."""

from types import SimpleNamespace

from ploverhatch.bench.summary import unavailable_ms


def executions(key, moments):
    return [SimpleNamespace(group="g", key_hash=key, started_ms=moment) for moment in moments]


def test_the_longest_pause_beyond_the_usual_one():
    steady = [float(number * 10) for number in range(40)]
    broken = [*steady[:20], *(moment + 900.0 for moment in steady[20:])]
    assert unavailable_ms(executions(1, steady)) == [0.0]
    assert unavailable_ms(executions(2, broken)) == [910.0 - 50.0]


def test_rare_keys_say_nothing():
    assert unavailable_ms(executions(1, [0.0, 5000.0])) == []
