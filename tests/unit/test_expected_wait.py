"""The expected wait for a slot, with servers that are silent and servers that aren't."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ploverhatch.admission.expected_wait import ServerPace, WaitForecast

PACES = st.lists(
    st.builds(ServerPace, st.floats(0.0, 1e5), st.floats(1e-4, 1.0)), min_size=1, max_size=8
)


def expected_wait_ms(paces, ahead):
    return WaitForecast.of(paces).wait_ms(ahead)


@pytest.mark.parametrize(
    ("paces", "ahead", "wait_ms"),
    [
        ([], 0, math.inf),
        ([ServerPace(0.0, 0.0)], 0, math.inf),  # has a rate limit of 0
        ([ServerPace(0.0, 0.1)], 0, 10.0),
        ([ServerPace(0.0, 0.1)], 4, 50.0),
        ([ServerPace(40.0, 0.1)], 0, 50.0),
        ([ServerPace(2000.0, 0.1)], 0, 2010.0),
        # A silent server counts once it is expected to answer again.
        ([ServerPace(40.0, 0.1), ServerPace(0.0, 0.1)], 0, 10.0),
        ([ServerPace(40.0, 0.1), ServerPace(0.0, 0.1)], 5, 50.0),
        ([ServerPace(2000.0, 0.1), ServerPace(0.0, 0.1)], 5, 60.0),
        ([ServerPace(40.0, 0.1), ServerPace(60.0, 0.1)], 3, 70.0),
    ],
)
def test_expected_wait(paces, ahead, wait_ms):
    assert expected_wait_ms(paces, ahead) == pytest.approx(wait_ms)


@given(PACES, st.integers(0, 100))
def test_the_wait_is_no_longer_with_another_server_and_no_shorter_with_more_ahead(paces, ahead):
    wait_ms = expected_wait_ms(paces, ahead)
    assert wait_ms <= expected_wait_ms(paces[1:], ahead) * (1 + 1e-9)
    assert wait_ms < expected_wait_ms(paces, ahead + 1)
    assert wait_ms >= min(pace.silence_ms for pace in paces)


@given(PACES, st.integers(0, 100))
def test_the_servers_complete_that_many_requests_in_the_expected_wait(paces, ahead):
    wait_ms = expected_wait_ms(paces, ahead)
    completed = sum(pace.per_ms * max(0.0, wait_ms - pace.silence_ms) for pace in paces)
    assert completed == pytest.approx(ahead + 1, rel=1e-6)
