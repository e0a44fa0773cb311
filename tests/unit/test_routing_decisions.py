"""Routing decisions: routes, weighted splits, sets of servers, server choice and retries."""

from collections import Counter

import pytest

from ploverhatch.routing.answer_time import AnswerTime
from ploverhatch.routing.balancer import ServerLoad, choose
from ploverhatch.routing.gateway_attempts import (
    AttemptHistory,
    AttemptResult,
    NextStep,
    next_step,
)
from ploverhatch.routing.route_table import Route, RouteTable, ServiceShare, ShareSplitter
from ploverhatch.sharding.load import MAX_SAMPLES, WINDOW_MS, AnswerTimes, KeyLoad
from ploverhatch.state.servers import VANISH_GRACE_MS, ServerRecord, ServerSet


def route(prefix, *shares):
    parts = shares or (ServiceShare("svc", 1.0),)
    return Route(prefix, prefix.encode(), parts, True, 1000.0, 500.0, 2, 0)


TABLE = RouteTable(1, {b"a.example": (route("/x/"), route("/x/y/"), route("/z/"))}, {})


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        (b"a.example", b"/x/1", "/x/"),
        (b"a.example", b"/x/y/1", "/x/y/"),
        (b"a.example", b"/x/yy", "/x/"),
        (b"a.example", b"/x", None),
        (b"a.example", b"/q/", None),
        (b"b.example", b"/x/1", None),
    ],
)
def test_longest_prefix_of_the_host(host, path, name):
    found = TABLE.match(host, path)
    assert (found.name if found else None) == name


def test_splits_are_exact_over_any_span():
    shares = (ServiceShare("a", 90), ServiceShare("b", 7), ServiceShare("c", 3))
    splitter = ShareSplitter()
    chosen = [splitter.choose(route("/x/", *shares)) for _ in range(200)]
    for start in (0, 37, 100):
        counts = Counter(chosen[start : start + 100])
        assert abs(counts["a"] - 90) <= 1
        assert abs(counts["b"] - 7) <= 1


def test_changed_weights_take_effect():
    splitter = ShareSplitter()
    for _ in range(50):
        splitter.choose(route("/x/", ServiceShare("a", 1), ServiceShare("b", 1)))
    later = [
        splitter.choose(route("/x/", ServiceShare("a", 0.0001), ServiceShare("c", 9)))
        for _ in range(50)
    ]
    assert Counter(later)["c"] >= 48


def record(name, service="svc", draining=False):
    return ServerRecord(name, service, "10.0.0.1", 80, "z", 2, draining)


def full_set(count=6):
    servers = ServerSet()
    servers.replace_all([record(f"s{number}") for number in range(count)], 0.0)
    return servers


def test_one_record_that_goes_is_believed_also_after_a_store_failure():
    """A single removed record was kept for a grace period that exceeded the drain bound."""
    servers = full_set()
    servers.note_store_failure(1000.0)
    servers.remove("s1", 1500.0)
    assert "s1" not in servers.records


def test_most_records_gone_after_a_store_failure_are_kept_for_a_while():
    servers = full_set()
    servers.note_store_failure(1000.0)
    servers.replace_all([record("s0")], 1500.0)
    assert len(servers.records) == 6
    servers.put(record("s1"), 2000.0)
    assert servers.expire(1500.0 + VANISH_GRACE_MS + 1)
    assert set(servers.records) == {"s0", "s1"}


def test_most_records_gone_without_a_store_failure_are_dropped():
    servers = full_set()
    servers.replace_all([record("s0")], 90_000.0)
    assert set(servers.records) == {"s0"}


def test_a_draining_record_is_never_kept():
    servers = full_set(2)
    servers.put(record("s1", draining=True), 900.0)
    assert servers.leaving_since == {"s1": 900.0}
    servers.note_store_failure(1000.0)
    servers.replace_all([], 1100.0)
    assert set(servers.records) <= {"s0"}
    assert servers.leaving_since == {}


def load(name, **changes):
    values = {
        "server_id": name,
        "slots": 2,
        "in_flight": 0,
        "mean_ms": 100.0,
        "oldest_ms": 0.0,
        "same_zone": True,
        "cold": False,
        "failing": False,
    }
    return ServerLoad(**{**values, **changes})


@pytest.mark.parametrize(
    "worse",
    [
        {"in_flight": 1},
        {"mean_ms": 150.0},
        {"oldest_ms": 900.0, "in_flight": 1},
        {"same_zone": False},
        {"cold": True},
        {"failing": True},
    ],
)
def test_the_better_server_is_chosen(worse):
    assert choose([load("worse", **worse), load("better")], {}) == "better"


def test_a_far_server_helps_a_busy_zone():
    near = [load("n", in_flight=3)]
    assert choose([*near, load("far", same_zone=False)], {}) == "far"


def test_no_servers_no_choice():
    assert choose([], {}) is None


R = AttemptResult
STEPS = [
    # result, repeatable, earlier results, step
    (R.NOT_CONNECTED, False, (), NextStep.RETRY),
    (R.DECLINED, False, (), NextStep.RETRY),
    (R.NOT_HOLDER, False, (), NextStep.RETRY),
    (R.WRONG_INSTANCE, False, (), NextStep.RETRY),
    (R.LOST, False, (), NextStep.FAIL),
    (R.TIMED_OUT, False, (), NextStep.FAIL),
    (R.SERVER_ERROR, False, (), NextStep.FAIL),
    (R.LOST, True, (), NextStep.RETRY),
    (R.SERVER_ERROR, True, (), NextStep.RETRY),
    (R.TIMED_OUT, True, (), NextStep.FAIL),
    (R.DECLINED, True, (R.LOST,), NextStep.FAIL),  # two attempts are spent
    (R.DECLINED, False, (R.DECLINED,), NextStep.REFUSE),
    (R.NOT_CONNECTED, True, (R.LOST,), NextStep.RETRY),
    (R.NOT_CONNECTED, False, (R.DECLINED,), NextStep.RETRY),
]


@pytest.mark.parametrize(("result", "repeatable", "earlier", "step"), STEPS)
def test_next_step(result, repeatable, earlier, step):
    history = AttemptHistory()
    for past in (*earlier, result):
        history = history.after(past)
    assert next_step(history, result, repeatable, 2, 1000.0, 50.0) is step


@pytest.mark.parametrize("result", [R.NOT_CONNECTED, R.DECLINED, R.LOST])
def test_no_retry_without_time(result):
    history = AttemptHistory().after(result)
    expected = NextStep.FAIL if result is R.LOST else NextStep.REFUSE
    assert next_step(history, result, True, 5, 40.0, 50.0) is expected


def test_a_request_that_may_have_run_is_never_refused_as_not_run():
    history = AttemptHistory().after(R.LOST).after(R.DECLINED)
    assert next_step(history, R.DECLINED, False, 9, 1000.0, 1.0) is NextStep.FAIL


def test_typical_time_hardly_follows_a_queue():
    time = AnswerTime()
    for _ in range(40):
        time.add(100.0)
    for _ in range(30):
        time.add(900.0)
    assert time.typical_ms < 150
    assert time.mean_ms > 700


def test_service_times_are_compared_by_typical_times():
    times = AnswerTimes()
    for name, fast, slow in (("a", 100, 140), ("b", 110, 150), ("c", 60, 1700)):
        times.add(name, [fast, slow] * 10, 0.0)
    times.add("few", [1, 1], 0.0)
    service_ms = times.service_ms(["a", "b", "c", "new", "few"])
    assert service_ms["c"] < service_ms["a"] < service_ms["b"]
    assert service_ms["a"] <= service_ms["new"] <= service_ms["b"]
    assert service_ms["few"] == service_ms["new"]
    times.keep_only(["a"])
    assert set(times.service_ms(["a"])) == {"a"}


def test_a_server_that_becomes_slow_is_judged_by_its_latest_answers():
    times = AnswerTimes()
    for name in ("a", "b", "c"):
        times.add(name, [100] * 100, 0.0)
    before = times.service_ms(["a", "b", "c"])
    times.add("a", [500] * MAX_SAMPLES, 0.0)
    after = times.service_ms(["a", "b", "c"])
    assert after["a"] == pytest.approx(5 * before["a"])
    assert after["b"] == pytest.approx(before["b"])


def test_what_a_server_completes_bounds_its_work():
    """Under overload, time in the queue counted as service time, and the server as slow."""
    times = AnswerTimes()
    for report in range(10):
        times.add("busy", [400] * 15, report * 150.0)
    assert times.max_service_ms("busy", 4, 1350.0) == pytest.approx(40.0)
    assert times.max_service_ms("busy", 4, 9000.0) == float("inf")
    assert times.max_service_ms("new", 4, 1350.0) == float("inf")


def test_a_key_that_became_busy_counts_at_its_latest_rate():
    keys = KeyLoad()
    for number in range(10):
        hot = 20 if number >= 8 else 0
        keys.add(number * 500.0, [7] * hot + [9, 9])
    rates = keys.rates(4500.0)
    assert rates[7] == pytest.approx(40.0)
    assert rates[9] == pytest.approx(4.0, rel=0.3)


def test_a_key_that_became_idle_counts_at_its_latest_rate():
    keys = KeyLoad()
    for number in range(10):
        hot = 20 if number < 8 else 0
        keys.add(number * 500.0, [7] * hot + [9, 9])
    assert keys.rates(4500.0)[7] == 0.0


def test_keys_leave_the_window_for_good():
    keys = KeyLoad()
    keys.add(0.0, [7, 7])
    keys.add(WINDOW_MS + 1, [9])
    assert keys.rates(WINDOW_MS + 2).keys() == {9}


def test_key_rates_cover_a_sliding_window():
    keys = KeyLoad()
    for number in range(10):
        keys.add(number * 500.0, [7, 7, 9])
    rates = keys.rates(4500.0)
    assert rates[7] == pytest.approx(2 * rates[9])
    assert rates[9] == pytest.approx(7 / 3, rel=0.2)
    assert keys.rates(60_000.0) == {}
