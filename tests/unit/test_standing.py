"""Notices of servers about themselves: how they are read, and how long they are in force."""

import pytest
from hypothesis import example, given
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


def backoff(seconds):
    return ServerNotice(backoff_ms=seconds * 1000.0)


def limit(per_s):
    return ServerNotice(limit_per_s=per_s)


def record(number=0, draining=False):
    return ServerRecord(f"s{number}", "svc", "10.0.0.1", 9000 + number, "z1", 2, draining)


def servers(*records):
    known = ServerSet()
    for item in records or [record()]:
        known.put(item, 0.0)
    return known


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
    (503, [OWN, (b"Retry-After", b"3")], backoff(3)),
    (503, [OWN, (b"Retry-After", b"0.25")], backoff(0.25)),
    (503, [OWN, (b"retry-after", b"1"), (b"Retry-After", b"4")], backoff(4)),
    (503, [OWN, (b"Retry-After", b"soon"), (b"Retry-After", b"2")], backoff(2)),
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
def test_notice_is_read_from_an_answer(status, headers, notice):
    assert PlatformDialect().notice(b"r1", "me", WireAnswer(status, headers)) == notice


@given(st.binary(max_size=30), st.binary(max_size=30))
def test_any_header_bytes_are_read_without_error(leaving, after):
    headers = [OWN, (b"Server-Leaving", leaving), (b"Retry-After", after)]
    notice = PlatformDialect().notice(b"r1", "me", WireAnswer(503, headers))
    assert 0.0 <= notice.backoff_ms < float("inf")


# ---- how long a notice is in force -----------------------------------------------------------


def test_a_backoff_ends_when_its_time_is_over():
    known = ServerNotices()
    assert known.note("s0", backoff(3), 100.0) == backoff(3)
    assert known.backoff_left_ms("s0", 100.0) == 3000.0
    assert known.backoff_left_ms("s0", 3099.0) == 1.0
    assert known.backoff_left_ms("s0", 3100.0) == 0.0
    assert known.backoff_left_ms("s1", 200.0) == 0.0


def test_the_longest_of_several_backoffs_counts_and_only_the_first_is_new():
    known = ServerNotices()
    known.note("s0", backoff(3), 0.0)
    assert known.note("s0", backoff(1), 500.0) == NO_NOTICE
    assert known.backoff_left_ms("s0", 500.0) == 2500.0
    assert known.note("s0", backoff(3), 1000.0) == NO_NOTICE
    assert known.backoff_left_ms("s0", 1000.0) == 3000.0
    assert known.note("s0", backoff(2), 4000.0) == backoff(2)


@given(st.floats(min_value=0.0, max_value=1e300), st.floats(min_value=0.0, max_value=1e9))
@example(300.0, 133917728.27732418)  # rounding gave 300000.0000000149 ms
def test_a_backoff_is_bounded(seconds, now_ms):
    known = ServerNotices()
    known.note("s0", ServerNotice(backoff_ms=seconds * 1000.0), now_ms)
    assert known.backoff_left_ms("s0", now_ms) <= MAX_BACKOFF_MS
    assert all(left_ms <= MAX_BACKOFF_MS for left_ms in known.backing_off(now_ms).values())


def test_a_server_that_announced_leaving_and_stays_is_used_again_later():
    known = servers()
    known.apply_notice("s0", LEAVES, 0.0)
    assert known.records["s0"].leaving
    assert not known.expire(LEAVING_MEMORY_MS)
    assert known.expire(LEAVING_MEMORY_MS + 1.0)
    assert not known.records["s0"].leaving


def test_a_record_does_not_revoke_an_announced_leaving():
    """The store's record may follow the server's own announcement by seconds."""
    known = servers()
    known.apply_notice("s0", LEAVES, 0.0)
    known.put(record(), 500.0)
    known.replace_all([record()], 900.0)
    assert known.records["s0"].leaving
    assert known.leaving_since["s0"] == 0.0


def test_notices_of_a_removed_server_are_dropped():
    known = servers()
    known.apply_notice("s0", ServerNotice(True, 9000.0), 0.0)
    known.remove("s0", 100.0)
    known.put(record(), 200.0)
    assert not known.records["s0"].leaving
    assert known.notices.backoff_left_ms("s0", 200.0) == 0.0


def test_a_notice_of_an_unknown_server_is_dropped():
    known = servers()
    assert known.apply_notice("other", LEAVES, 0.0) == NO_NOTICE
    assert not known.note_reported_leaving("other", 0.0, 0.0)


def test_a_reported_leaving_keeps_the_time_of_its_announcement():
    known = servers()
    assert known.note_reported_leaving("s0", -400.0, 100.0)
    assert not known.note_reported_leaving("s0", -300.0, 200.0)
    assert known.notices.leaving_ms == {"s0": -400.0}
    assert known.expire(LEAVING_MEMORY_MS)
    assert not known.note_reported_leaving("s0", -400.0, LEAVING_MEMORY_MS)


# ---- backoffs that are reported to the leader ------------------------------------------------

NEVER = float("-inf")


def shedding(reports, now_ms, answered_ms=NEVER):
    return reports.shedding(lambda server_id: answered_ms, now_ms)


def test_the_keys_of_a_server_that_answers_no_node_are_to_move():
    reports = BackoffReports()
    reports.add({"s0": 3000.0}, 0.0)
    assert shedding(reports, SHEDDING_MS - 1.0) == set()
    assert shedding(reports, SHEDDING_MS) == {"s0"}
    assert shedding(reports, SHEDDING_MS, answered_ms=REPORT_DELAY_MS) == set()


def test_keys_stay_where_the_backoff_ends_sooner_than_a_move():
    reports = BackoffReports()
    reports.add({"s0": 1500.0}, 0.0)
    assert shedding(reports, 1500.0 - MIN_REMAINING_MS + 1.0) == set()


def test_successive_backoffs_count_as_one():
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


def test_an_answer_that_shows_nothing_of_a_limit_does_not_change_it():
    known = ServerNotices()
    known.note("s0", limit(2.5), 0.0)
    known.note("s0", ServerNotice(leaving=True), 100.0)
    assert known.limit_per_s == {"s0": 2.5}


def test_nothing_is_kept_of_servers_that_never_named_a_limit():
    known = ServerNotices()
    assert known.note("s0", limit(NO_LIMIT), 0.0) == NO_NOTICE
    assert known.limits == {}


def test_a_limit_that_was_not_repeated_for_long_is_dropped():
    known = ServerNotices()
    known.note("s0", limit(2.5), 0.0)
    known.expire(LIMIT_MEMORY_MS)
    assert known.limit_per_s == {"s0": 2.5}
    known.expire(LIMIT_MEMORY_MS + 1)
    assert known.limits == {}


def test_a_limit_is_dropped_with_its_server():
    known = servers()
    known.apply_notice("s0", limit(2.5), 0.0)
    known.remove("s0", 10.0)
    assert known.notices.limits == known.notices.limit_per_s == {}
