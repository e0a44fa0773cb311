"""What servers say of themselves: how long it binds, and what takes it back."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from ploverhatch.platform.dialect import PlatformDialect
from ploverhatch.sharding.backoff_reports import (
    MIN_REMAINING_MS,
    REPORT_DELAY_MS,
    SHEDDING_MS,
    BackoffReports,
)
from ploverhatch.state.server_notices import (
    LEAVING_MEMORY_MS,
    LIMIT_MEMORY_MS,
    MAX_BACKOFF_MS,
    NO_LIMIT,
    NO_NOTICE,
    ServerNotice,
    ServerNotices,
)
from ploverhatch.state.servers import ServerRecord, ServerSet
from ploverhatch.transport.http_connection import WireAnswer

LEAVES = ServerNotice(leaving=True)


def rest(seconds):
    return ServerNotice(backoff_ms=seconds * 1000.0)


def limit(per_s):
    return ServerNotice(limit_per_s=per_s)


def record(number=0, draining=False):
    return ServerRecord(f"s{number}", "svc", "10.0.0.1", 9000 + number, "z1", 2, draining)


def servers(*records):
    made = ServerSet()
    for item in records or [record()]:
        made.put(item, 0.0)
    return made


# ---- how an answer is read -----------------------------------------------------------------

OWN = (b"Request-Id", b"r1")
SEAL = (b"Response-Seal", b"s")
READINGS = [
    (200, [OWN, (b"Server-Leaving", b"1")], LEAVES),
    (200, [(b"server-leaving", b" 1 ")], LEAVES),
    (421, [OWN, (b"Server-Leaving", b"1"), (b"Instance-Id", b"me")], LEAVES),
    (421, [OWN, (b"Server-Leaving", b"1"), (b"Instance-Id", b"other")], NO_NOTICE),
    (200, [(b"Request-Id", b"r2"), (b"Server-Leaving", b"1")], NO_NOTICE),
    (200, [OWN, (b"Server-Leaving", b"0")], NO_NOTICE),
    (200, [OWN, (b"Server-Leaving", b"")], NO_NOTICE),
    (200, [OWN, (b"Server-Leaving", b"yes")], NO_NOTICE),
    (503, [OWN, (b"Retry-After", b"3")], rest(3)),
    (503, [OWN, (b"Retry-After", b"0.25")], rest(0.25)),
    (503, [OWN, (b"retry-after", b"1"), (b"Retry-After", b"4")], rest(4)),
    (503, [OWN, (b"Retry-After", b"soon"), (b"Retry-After", b"2")], rest(2)),
    (503, [OWN, (b"Server-Leaving", b"1"), (b"Retry-After", b"2")], ServerNotice(True, 2000.0)),
    (503, [OWN, (b"Retry-After", b"0")], NO_NOTICE),
    (503, [OWN, (b"Retry-After", b"-5")], NO_NOTICE),
    (503, [OWN, (b"Retry-After", b"inf")], NO_NOTICE),
    (503, [OWN, (b"Retry-After", b"nan")], NO_NOTICE),
    (503, [OWN, (b"Retry-After", b"Wed, 21 Oct 2026 07:28:00 GMT")], NO_NOTICE),
    (503, [OWN], NO_NOTICE),
    (429, [OWN, (b"Retry-After", b"3")], NO_NOTICE),
    (200, [OWN, (b"Server-Limit", b"2.5")], limit(2.5)),
    (
        503,
        [OWN, (b"server-limit", b" 0.4 "), (b"Retry-After", b"1")],
        ServerNotice(False, 1000, 0.4),
    ),
    (200, [OWN, SEAL, (b"Server-Limit", b"0")], limit(0.0)),
    (200, [OWN, SEAL, (b"Server-Limit", b"1e9")], limit(1e9)),
    (200, [OWN, (b"Server-Limit", b"6"), (b"Server-Limit", b"4")], limit(4.0)),
    (200, [OWN, (b"Server-Limit", b"6, 3,9")], limit(3.0)),
    (200, [OWN, (b"Server-Limit", b"soon"), (b"Server-Limit", b"4")], limit(4.0)),
    (200, [OWN, SEAL, (b"Server-Limit", b"")], NO_NOTICE),
    (200, [OWN, SEAL, (b"Server-Limit", b"-1")], NO_NOTICE),
    (200, [OWN, SEAL, (b"Server-Limit", b"nan")], NO_NOTICE),
    (200, [OWN, SEAL, (b"Server-Limit", b"inf")], NO_NOTICE),
    (200, [OWN, SEAL, (b"Server-Limit", b"fast")], NO_NOTICE),
    (200, [OWN, SEAL], limit(NO_LIMIT)),
    (500, [OWN, SEAL], limit(NO_LIMIT)),
    (200, [SEAL], NO_NOTICE),
    (200, [(b"Request-Id", b"r2"), SEAL], NO_NOTICE),
    (421, [OWN, (b"Server-Limit", b"2"), (b"Instance-Id", b"other")], NO_NOTICE),
    (200, [OWN, (b"Retry-After", b"3")], NO_NOTICE),
    (503, [(b"Request-Id", b"r2"), (b"Retry-After", b"3")], NO_NOTICE),
]


@pytest.mark.parametrize(("status", "headers", "notice"), READINGS)
def test_what_an_answer_says_of_its_server(status, headers, notice):
    assert PlatformDialect().notice(b"r1", "me", WireAnswer(status, headers)) == notice


@given(st.binary(max_size=30), st.binary(max_size=30))
def test_no_bytes_break_the_reading(leaving, after):
    headers = [OWN, (b"Server-Leaving", leaving), (b"Retry-After", after)]
    notice = PlatformDialect().notice(b"r1", "me", WireAnswer(503, headers))
    assert 0.0 <= notice.backoff_ms < float("inf")


# ---- how long a word binds -----------------------------------------------------------------


def test_a_rest_is_over_when_its_time_is():
    known = ServerNotices()
    assert known.note("s0", rest(3), 100.0) == rest(3)
    assert known.backoff_left_ms("s0", 100.0) == 3000.0
    assert known.backoff_left_ms("s0", 3099.0) == 1.0
    assert known.backoff_left_ms("s0", 3100.0) == 0.0
    assert known.backoff_left_ms("s1", 200.0) == 0.0


def test_the_longest_of_several_rests_counts_and_only_the_first_is_news():
    known = ServerNotices()
    known.note("s0", rest(3), 0.0)
    assert known.note("s0", rest(1), 500.0) == NO_NOTICE
    assert known.backoff_left_ms("s0", 500.0) == 2500.0
    assert known.note("s0", rest(3), 1000.0) == NO_NOTICE
    assert known.backoff_left_ms("s0", 1000.0) == 3000.0
    assert known.note("s0", rest(2), 4000.0) == rest(2)


@given(st.floats(min_value=0.0, max_value=1e300), st.floats(min_value=0.0, max_value=1e9))
def test_no_server_shuts_itself_out_for_longer_than_the_bound(seconds, now_ms):
    known = ServerNotices()
    known.note("s0", ServerNotice(backoff_ms=seconds * 1000.0), now_ms)
    assert known.backoff_left_ms("s0", now_ms) <= MAX_BACKOFF_MS


def test_a_server_that_stays_is_asked_again_after_a_while():
    known = servers()
    known.apply_notice("s0", LEAVES, 0.0)
    assert known.records["s0"].leaving
    assert not known.expire(LEAVING_MEMORY_MS)
    assert known.expire(LEAVING_MEMORY_MS + 1.0)
    assert not known.records["s0"].leaving


def test_its_record_does_not_take_the_word_back_that_it_leaves():
    """The store may take seconds to say what the server says of itself."""
    known = servers()
    known.apply_notice("s0", LEAVES, 0.0)
    known.put(record(), 500.0)
    known.replace_all([record()], 900.0)
    assert known.records["s0"].leaving
    assert known.leaving_since["s0"] == 0.0


def test_a_server_that_is_gone_leaves_no_word_behind():
    known = servers()
    known.apply_notice("s0", ServerNotice(True, 9000.0), 0.0)
    known.remove("s0", 100.0)
    known.put(record(), 200.0)
    assert not known.records["s0"].leaving
    assert known.notices.backoff_left_ms("s0", 200.0) == 0.0


def test_a_word_of_a_server_that_is_not_known_is_dropped():
    known = servers()
    assert known.apply_notice("other", LEAVES, 0.0) == NO_NOTICE
    assert not known.note_reported_leaving("other", 0.0, 0.0)


def test_a_word_that_another_node_passes_on_is_as_old_as_it_is():
    known = servers()
    assert known.note_reported_leaving("s0", -400.0, 100.0)
    assert not known.note_reported_leaving("s0", -300.0, 200.0)
    assert known.notices.leaving_ms == {"s0": -400.0}
    assert known.expire(LEAVING_MEMORY_MS)
    assert not known.note_reported_leaving("s0", -400.0, LEAVING_MEMORY_MS)


# ---- rests that the leader is told of --------------------------------------------------------

NEVER = float("-inf")


def shedding(reports, now_ms, answered_ms=NEVER):
    return reports.shedding(lambda server_id: answered_ms, now_ms)


def test_the_keys_of_a_server_that_answers_nobody_are_to_move():
    reports = BackoffReports()
    reports.add({"s0": 3000.0}, 0.0)
    assert shedding(reports, SHEDDING_MS - 1.0) == set()
    assert shedding(reports, SHEDDING_MS) == {"s0"}
    assert shedding(reports, SHEDDING_MS, answered_ms=REPORT_DELAY_MS) == set()


def test_not_for_a_rest_that_is_over_sooner_than_a_move():
    reports = BackoffReports()
    reports.add({"s0": 1500.0}, 0.0)
    assert shedding(reports, 1500.0 - MIN_REMAINING_MS + 1.0) == set()


def test_rests_that_follow_each_other_count_as_one():
    reports = BackoffReports()
    reports.add({"s0": 3000.0}, 0.0)
    reports.expire(3500.0)
    reports.add({"s0": 3000.0}, 3500.0)
    assert shedding(reports, 3501.0) == {"s0"}
    reports.expire(9000.0)
    reports.add({"s0": 3000.0}, 9000.0)
    assert shedding(reports, 9001.0) == set()


# ---- limits --------------------------------------------------------------------------------


def test_a_limit_holds_until_an_answer_to_a_later_request_names_none():
    known = ServerNotices()
    assert known.note("s0", limit(2.5), 1000.0, 900.0) == limit(2.5)
    assert known.note("s0", limit(NO_LIMIT), 1010.0, 950.0) == NO_NOTICE
    assert known.limit_per_s == {"s0": 2.5}
    assert known.note("s0", limit(NO_LIMIT), 1200.0, 1001.0) == limit(NO_LIMIT)
    assert known.limit_per_s == {}


def test_the_latest_of_several_limits_holds():
    known = ServerNotices()
    for per_s in (2.0, 5.0, 0.0, 7.0):
        known.note("s0", limit(per_s), 100.0 + per_s)
    assert known.limit_per_s == {"s0": 7.0}


def test_an_answer_that_tells_nothing_of_a_limit_leaves_it():
    known = ServerNotices()
    known.note("s0", limit(2.5), 0.0)
    known.note("s0", ServerNotice(leaving=True), 100.0)
    assert known.limit_per_s == {"s0": 2.5}


def test_nothing_is_kept_of_servers_that_never_named_a_limit():
    known = ServerNotices()
    assert known.note("s0", limit(NO_LIMIT), 0.0) == NO_NOTICE
    assert known.limits == {}


def test_a_limit_of_which_nothing_was_heard_for_long_is_forgotten():
    known = ServerNotices()
    known.note("s0", limit(2.5), 0.0)
    known.expire(LIMIT_MEMORY_MS)
    assert known.limit_per_s == {"s0": 2.5}
    known.expire(LIMIT_MEMORY_MS + 1)
    assert known.limits == {}


def test_a_limit_goes_with_the_life_that_named_it():
    known = servers()
    known.apply_notice("s0", limit(2.5), 0.0)
    known.remove("s0", 10.0)
    assert known.notices.limits == known.notices.limit_per_s == {}
