"""Requests of callers who come back after a rejection, through the forwarder."""

import logging
import time
from contextlib import ExitStack, contextmanager
from dataclasses import replace

import gevent
import pytest

from ploverhatch.common.clock import elapsed_ms
from ploverhatch.gateway.shared_slots import TurnedAwayError
from tests.functional.test_forwarder import ROUTES, Bench
from tests.functional.test_shared_slots import Cluster, record, requirements
from tests.standin.upstream import Upstream

FIRST_MS = 550.0
READ_LATE_S = 0.018  # less than the time after which another node is asked
OBJECTIVE_MS = ROUTES[0].objective_ms


class RejectingSlots:
    """Shared slots that reject each request, and record what was asked for."""

    def __init__(self):
        self.asked = []

    @contextmanager
    def hold(self, requirements):
        self.asked.append(requirements)
        raise TurnedAwayError(100.0, "127.0.0.1:1")
        yield


@pytest.fixture
def bench():
    made = Bench()
    made.add(Upstream("u1"))
    made.forwarder._shared_slots = RejectingSlots()
    return made


def ask(bench, deadline_ms):
    """Send a request; return the requirements of the slot that was asked for."""
    bench.ask(b"/read/", headers=((b"Request-Deadline-Ms", b"%d" % deadline_ms),))
    return bench.forwarder._shared_slots.asked[-1]


def test_the_objective_counts_from_the_first_attempt_of_a_returning_caller(bench):
    for _ in range(40):
        first = ask(bench, FIRST_MS)
    assert first.objective_ms == OBJECTIVE_MS
    assert first.in_time_ms == pytest.approx(OBJECTIVE_MS, abs=20.0)
    assert ask(bench, FIRST_MS - 150).in_time_ms == pytest.approx(OBJECTIVE_MS - 150, abs=20.0)
    late = ask(bench, FIRST_MS - 500)
    assert late.in_time_ms == pytest.approx(OBJECTIVE_MS - 500, abs=20.0)


def test_without_usual_deadlines_the_objective_counts_from_the_request(bench):
    assert ask(bench, FIRST_MS - 150).in_time_ms == pytest.approx(OBJECTIVE_MS, abs=20.0)


def test_attempts_of_one_caller_are_recognized_by_content_and_deadline(bench):
    first, again = ask(bench, 500.0), ask(bench, 400.0)
    assert (first.stated_ms, again.stated_ms) == (500.0, 400.0)
    assert first.stated_left_ms == pytest.approx(500.0, abs=20.0)
    assert first.content == again.content
    bench.ask(b"/read/?other", headers=((b"Request-Deadline-Ms", b"500"),))
    assert bench.forwarder._shared_slots.asked[-1].content != first.content


def test_a_caller_without_a_deadline_is_not_recognized(bench):
    bench.ask(b"/read/")
    assert bench.forwarder._shared_slots.asked[-1].stated_ms == 0.0


def test_an_operator_sees_which_requests_are_returns(bench, caplog):
    for _ in range(40):
        ask(bench, FIRST_MS)
    with caplog.at_level(logging.INFO, "absl"):
        ask(bench, FIRST_MS - 150)
    (line,) = [row.getMessage() for row in caplog.records if "Request ended." in row.getMessage()]
    assert " stated_ms=400 before_ms=150 " in line
    assert bench.forwarder.metrics.returns == {2103: 1}
    assert b'ploverhatch_returns_total{result="2103"} 1\n' in bench.forwarder.metrics.text()


@pytest.fixture
def cluster():
    made = Cluster([record(0)], zones=("a", "a", "a"))
    yield made
    for node in made.nodes:
        node.stop()


class Caller:
    """A caller with one deadline for all its attempts, each of which reaches another node."""

    def __init__(self, cluster, content, stated_ms=900.0):
        self._nodes = list(cluster.nodes)
        self._content = content
        self._stated_ms = stated_ms
        self._deadline_ms = elapsed_ms() + stated_ms

    def attempt(self):
        """Ask for a slot; return the elapsed time at which to come back if rejected."""
        left_ms = self._deadline_ms - elapsed_ms()
        wanted = replace(
            requirements(wait_ms=left_ms, lease_ms=left_ms),
            objective_ms=100.0,
            in_time_ms=100.0,
            content=self._content,
            stated_ms=left_ms,
            stated_left_ms=left_ms,
        )
        try:
            with self._nodes.pop().slots.hold(wanted):
                return None
        except TurnedAwayError as error:
            return elapsed_ms() + error.retry_after_ms


def return_of_the_last(cluster, read_late_s=0.0):
    """Have callers rejected, and the one who is to come last come back early.

    :param read_late_s: for how long their requests for a slot wait to be read.
    :returns: when it was to come back, and when it is to come back now.
    """
    with ExitStack() as held:
        cluster.hold_all(held, 3, lease_ms=5000.0)
        callers = [Caller(cluster, content) for content in range(20)]
        tasks = [gevent.spawn(caller.attempt) for caller in callers]
        gevent.sleep(0)  # They send their requests.
        time.sleep(read_late_s)  # No task of this process runs meanwhile.
        gevent.joinall(tasks)
        due_ms = {
            caller: task.value for caller, task in zip(callers, tasks, strict=True) if task.value
        }
        assert len(due_ms) >= 10
        caller = max(due_ms, key=due_ms.__getitem__)
        assert due_ms[caller] > elapsed_ms() + 150.0
        gevent.sleep(0.1)
        return due_ms[caller], caller.attempt()


# Load: all slots are in use for longer than callers can wait.
def test_a_caller_is_recognized_at_whichever_node_it_returns(cluster):
    told_ms, told_again_ms = return_of_the_last(cluster)
    # It is told the time that it was told before; a new promise would be over 65 ms later.
    assert told_again_ms <= told_ms + 60.0


def test_a_caller_is_recognized_though_its_first_attempt_was_read_late(cluster):
    """It was told a later time: its deadline was counted from when its first attempt was read."""
    told_ms, told_again_ms = return_of_the_last(cluster, READ_LATE_S)
    assert told_again_ms <= told_ms + 60.0
