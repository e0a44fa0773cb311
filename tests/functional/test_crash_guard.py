"""Tests of the node program: copies of a request that crashed a back end are sent one by one.

Sent together, they would crash the next owner together, and after it a third.
"""

import gevent
import pytest

from ploverhatch.common import results
from ploverhatch.common.clock import elapsed_ms
from ploverhatch.common.results import RefusedError
from ploverhatch.node import crash_guard
from ploverhatch.node.crash_guard import CrashGuard, GuardedRequest


def copy(caller="a", target="/t"):
    return GuardedRequest(target, b"", ("GET", "g", "k"), (caller,))


@pytest.fixture
def guard():
    made = CrashGuard()
    request = copy()
    made.check(request, False)
    made.note_crash(request, "s1", elapsed_ms() - 10)
    made.note_finished(request)
    return made


def test_before_an_end_copies_are_not_looked_at():
    guard = CrashGuard()
    for caller in "abc":
        guard.check(copy(caller), False)


def test_a_copy_waits_for_the_answer_of_another_one(guard):
    first, others = copy("b"), [copy(caller) for caller in "cdef"]
    guard.check(first, False)
    waiting = [gevent.spawn(guard.check, other, False) for other in others]
    gevent.sleep(0.02)
    assert not any(task.ready() for task in waiting)
    guard.check(copy(target="/another"), False)
    guard.note_answer(first)
    gevent.joinall(waiting, timeout=0.1, raise_error=True)
    assert all(task.ready() for task in waiting)


def test_copies_go_on_one_after_the_other_while_none_is_answered(guard):
    first, second, third = (copy(caller) for caller in "bcd")
    guard.check(first, False)
    waiting = [gevent.spawn(guard.check, other, False) for other in (second, third)]
    gevent.sleep(0.01)
    guard.note_finished(first)  # Its caller disconnected, so it has no answer.
    gevent.sleep(0.01)
    assert [task.ready() for task in waiting] == [True, False]
    guard.note_finished(second)
    assert waiting[1].get(timeout=0.1) is None


def test_one_that_waits_too_long_is_refused_as_not_run(guard, monkeypatch):
    monkeypatch.setattr(crash_guard, "TRIAL_WAIT_MS", 30.0)
    guard.check(copy("b"), False)
    with pytest.raises(RefusedError) as caught:
        guard.check(copy("c"), False)
    assert caught.value.result is results.ON_TRIAL
    assert caught.value.retry_after_s > 0
    with pytest.raises(RefusedError) as caught:
        guard.check(copy("c"), True)
    assert caught.value.result is results.ANSWER_LOST


def test_one_that_waited_in_a_queue_is_not_sent_beside_another_copy(guard):
    first, queued = copy("b"), copy("c")
    assert guard.allows(first, False)
    assert not guard.allows(queued, False)
    guard.note_finished(first)
    assert guard.allows(queued, False)


def test_ends_one_after_the_other_hold_it(guard):
    for number, caller in enumerate("bc"):
        request = copy(caller)
        guard.check(request, False)
        gevent.sleep(0.002)
        guard.note_crash(request, f"s{number + 2}", elapsed_ms() - 1)
        guard.note_finished(request)
    with pytest.raises(RefusedError) as caught:
        guard.check(copy("z"), False)
    assert caught.value.result is results.QUARANTINED
