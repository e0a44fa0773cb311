"""A short soak over real gateway processes; longer ones: ``python -m tests.soak``."""

import pytest

from tests.soak import soak


@pytest.mark.parametrize("seed", [1, 2])
def test_soak(seed):
    found, load, faults, site = soak(10.0, seed)
    try:
        assert found == []
        assert sum(status == 200 for status, _ in load.answers.values()) > 300
        assert sum(faults.seen.values()) >= 3
    finally:
        site.close()
