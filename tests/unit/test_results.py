"""The table of results, against what its statuses promise to callers."""

import pytest

from ploverhatch.common.results import NOT_RUN_STATUSES, RESULTS, Outcome


# Callers take 503 for "has not run", and two results said it of what may have run.
@pytest.mark.parametrize("result", RESULTS.values(), ids=lambda result: result.name)
def test_only_what_has_not_run_has_a_status_that_promises_it(result):
    if result.status in NOT_RUN_STATUSES:
        assert result.outcome is Outcome.NOT_RUN
