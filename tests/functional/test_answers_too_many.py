"""Requests to servers that send an answer a second time, where the next answer is due."""

import gevent
import pytest

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway.messages import CallerRequest
from tests.functional.test_forwarder import KEYED, PLAIN, Bench
from tests.standin.upstream import RepeatingUpstream


def answer(status, request_id, *fields):
    """Return the bytes of an answer; it names a request unless ``request_id`` is empty."""
    named = [b"Request-Id: " + request_id] if request_id else []
    rows = [b"HTTP/1.1 %d Answer" % status, *named, *fields, b"Content-Length: 0"]
    return b"\r\n".join(rows) + b"\r\n\r\n"


def whole(request_id):
    return answer(200, request_id, b"Response-Seal: s")


def rejection(request_id, status=429):
    return answer(status, request_id, b"Not-Executed: 1")


@pytest.fixture
def bench():
    return Bench()


def add_holder(bench, upstream):
    """Add a server that holds all keys, so that each attempt goes to it."""
    bench.own_keys(bench.add(upstream, "u1", service=KEYED))


def ask(bench, request_id, path=b"/keyonce/"):
    fields = [(b"Host", b"h.example"), (b"Shard-Key", b"7")]
    if request_id:
        fields.append((b"Request-Id", request_id))
    request = CallerRequest(b"POST", path, fields, b"x", elapsed_ms())
    with gevent.Timeout(3.0):
        return bench.forwarder.handle(request)


def ran(upstream, request_id, rejected):
    """Return whether a request ran; ``rejected`` holds the numbers of rejected ones."""
    return any(
        name == request_id and number not in rejected
        for number, name in enumerate(upstream.received)
    )


# A request was told "not run" and ran: the copy of its first rejection was read as the answer to
# its second attempt on the same connection.
def test_a_copy_of_a_rejection_is_not_the_answer_to_the_second_attempt(bench):
    upstream = RepeatingUpstream(
        lambda name, number: whole(name) if number else rejection(name),
        repeats=lambda number: number == 0,
    )
    add_holder(bench, upstream)
    assert ask(bench, b"r1").status == 200
    assert upstream.received == [b"r1", b"r1"]


def test_the_copy_may_come_after_another_connection_was_used(bench):
    upstream = RepeatingUpstream(
        lambda name, number: rejection(name) if number in {1, 2} else whole(name),
        repeats=lambda number: number in {1, 2},
    )
    add_holder(bench, upstream)
    statuses = [ask(bench, name).status for name in (b"r1", b"r2", b"r3")]
    assert statuses[0] == 200
    # The second request was rejected twice, and both copies belong to it.
    assert statuses[1:] == [503, 200]
    assert upstream.received == [b"r1", b"r2", b"r2", b"r3"]


# A request was told "not run" and ran: a rejection without an id, of the request before it, was
# read as its answer.
@pytest.mark.parametrize("status", [400, 421, 429, 503])
def test_a_rejection_without_an_id_rejects_no_later_request(bench, status):
    upstream = RepeatingUpstream(
        lambda name, number: whole(name) if number else rejection(b"", status),
        repeats=lambda number: number == 0,
    )
    bench.add(upstream, "u1", PLAIN)
    bench.budget.slack = 0.0  # Each request is sent once.
    assert ask(bench, b"r1", b"/once/").status == 503
    assert ask(bench, b"r2", b"/once/").status in {200, 502}
    assert ran(upstream, b"r2", rejected={0})


def test_a_request_without_an_id_shares_no_connection(bench):
    upstream = RepeatingUpstream(
        lambda name, number: rejection(b"", 400) if not name else whole(name),
        repeats=lambda number: True,
    )
    bench.add(upstream, "u1", PLAIN)
    bench.budget.slack = 0.0
    assert ask(bench, b"", b"/once/").status == 503
    assert ask(bench, b"r2", b"/once/").status == 200
    assert ask(bench, b"", b"/once/").status == 503
    assert upstream.copies == 0


def test_an_answer_with_a_foreign_id_promises_nothing(bench):
    upstream = RepeatingUpstream(
        lambda name, number: rejection(b"another") if number else whole(name),
        repeats=lambda number: False,
    )
    add_holder(bench, upstream)
    assert ask(bench, b"r1").status == 200
    assert ask(bench, b"r2").status == 502


# Requests that can't be repeated were answered 502: the copy of an earlier answer was read in
# place of theirs, which follows it.
@pytest.mark.parametrize("first", [whole, rejection])
def test_a_copy_of_an_earlier_answer_is_dropped(bench, first):
    upstream = RepeatingUpstream(
        lambda name, number: whole(name) if number else first(name),
        repeats=lambda number: number == 0,
    )
    add_holder(bench, upstream)
    bench.budget.slack = 0.0
    ask(bench, b"r1")
    assert ask(bench, b"r2").status == 200
    assert upstream.copies == 1
    assert ask(bench, b"r3").status == 200
