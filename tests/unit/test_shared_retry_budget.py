"""The shared retry budget holds over all nodes, without messages between them."""

from hypothesis import given, settings
from hypothesis import strategies as st

from ploverhatch.routing.shared_retry_budget import SharedRetryBudget

RATIO, SLACK, WINDOW_S = 0.2, 56.0, 10.0
EVENTS = st.lists(
    st.tuples(st.integers(0, 400), st.integers(0, 7), st.booleans()), min_size=50, max_size=600
)


@settings(max_examples=60, deadline=None)
@given(events=EVENTS, nodes=st.integers(1, 8))
def test_retries_of_all_nodes_stay_within_the_budget(events, nodes):
    budgets = [SharedRetryBudget(RATIO, SLACK, WINDOW_S, nodes) for _ in range(nodes)]
    now_ms = 0.0
    requests, retries = [], []
    for pause_ms, number, eager in events:
        now_ms += pause_ms
        budget = budgets[number % nodes]
        budget.earn("svc", now_ms)
        requests.append(now_ms)
        while eager and budget.spend("svc", now_ms):
            retries.append(now_ms)
    for end_ms in retries:
        start_ms = end_ms - WINDOW_S * 1000
        spent = sum(start_ms <= moment <= end_ms for moment in retries)
        asked = sum(start_ms <= moment <= end_ms for moment in requests)
        assert spent <= RATIO * asked + SLACK


def test_each_of_many_nodes_starts_with_its_share_only():
    nodes = 300
    budgets = [SharedRetryBudget(RATIO, SLACK, WINDOW_S, nodes) for _ in range(nodes)]
    assert not any(budget.spend("svc", 0.0) for budget in budgets)
    assert not any(budget.spend("svc", 9000.0) for budget in budgets)


def test_services_have_separate_budgets():
    budget = SharedRetryBudget(RATIO, SLACK, WINDOW_S)
    while budget.spend("a", 0.0):
        pass
    assert budget.spend("b", 0.0)
