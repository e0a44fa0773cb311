"""Tests of the grants of a back end: which calls and requests it must refuse."""

import pytest

from ploverhatch.common.keyspace import SliceRange
from ploverhatch.ownership.grant_book import GrantBook, Verdict
from ploverhatch.ownership.messages import Grant, SyncRequest

WHOLE = SliceRange("g", 0, 99)


def request(**changes):
    values = {
        "epoch": 1, "term": 3, "sequence": 5, "boot_id": "b", "expires_clock_ms": 1000.0,
        "full": True, "grants": (Grant(WHOLE, 7),),
    }  # fmt: skip
    return SyncRequest(**(values | changes))


def granted():
    book = GrantBook("b")
    assert book.sync(request(), 0).accepted
    return book


@pytest.mark.parametrize(
    ("changes", "accepted"),
    [
        ({"sequence": 6}, True),
        ({"sequence": 5}, False),  # repeated
        ({"sequence": 4}, False),  # older than the last one
        ({"term": 2, "sequence": 9}, False),  # earlier leader
        ({"epoch": 0, "term": 9, "sequence": 9}, False),  # earlier epoch
        ({"boot_id": "other", "sequence": 6}, False),  # for another process
        ({"term": 4, "sequence": 1}, True),
        ({"term": 4, "sequence": 1, "full": False}, False),  # new leader without all grants
    ],
)
def test_call_is_admitted(changes, accepted):
    assert granted().sync(request(**changes), 0).accepted is accepted


@pytest.mark.parametrize(
    ("key_hash", "token", "now_ms", "not_after_ms", "verdict"),
    [
        (5, 7, 10, 999, Verdict.EXECUTE),
        (5, 7, 1000, 9999, Verdict.LAPSED),
        (5, 6, 10, 999, Verdict.STALE_TOKEN),
        (5, 8, 10, 999, Verdict.STALE_TOKEN),
        (100, 7, 10, 999, Verdict.NOT_OWNER),
        (5, 7, 11, 10, Verdict.TOO_LATE),
    ],
)
def test_request_is_judged(key_hash, token, now_ms, not_after_ms, verdict):
    assert granted().check_start("g", key_hash, token, now_ms, not_after_ms) is verdict


def test_revoked_range_is_busy_until_its_request_ends():
    book = granted()
    book.begin("g", 5)
    revoked = SliceRange("g", 5, 5)
    revoke = {"full": False, "grants": (), "revokes": (revoked,)}
    assert book.sync(request(sequence=6, **revoke), 0).busy == (revoked,)
    assert book.check_start("g", 5, 7, 0, 99) is Verdict.NOT_OWNER
    assert book.check_start("g", 6, 7, 0, 99) is Verdict.EXECUTE
    book.end("g", 5)
    assert book.sync(request(sequence=7, **revoke), 0).busy == ()


def test_late_renewal_does_not_shorten_a_lease():
    book = granted()
    late = request(sequence=6, expires_clock_ms=500.0, full=False, grants=())
    assert book.sync(late, 0).accepted
    assert book.expires_ms == 1000.0
