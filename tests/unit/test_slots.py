"""Slots of one server: order, bounds, and that no slot gets lost."""

import gevent
import pytest

from ploverhatch.gateway.slots import WAITING_PER_SLOT, NoSlotError, QueueFullError, SlotQueue


class Limit:
    """A limit that a test can change."""

    def __init__(self, value):
        self.value = value


class Requests:
    """Tasks that hold slots until their event is set."""

    def __init__(self, limit=1.0, slots=1):
        self.limit = Limit(limit)
        self.queue = SlotQueue(lambda: self.limit.value, slots, lambda: 0.0)
        self.started = []
        self.failed = []

    def spawn(self, name, priority=1, wait_s=5.0):
        end = gevent.event.Event()

        def run():
            try:
                with self.queue.hold(priority, wait_s):
                    self.started.append(name)
                    end.wait()
            except NoSlotError as error:
                self.failed.append((name, type(error)))

        task = gevent.spawn(run)
        gevent.sleep(0)
        return task, end


def settle():
    for _ in range(5):
        gevent.sleep(0)


def test_requests_are_served_by_priority_then_by_arrival():
    requests = Requests()
    _, end = requests.spawn("first")
    for name, priority in (("late", 2), ("urgent", 0), ("urgent-2", 0)):
        requests.spawn(name, priority)[1].set()
    end.set()
    settle()
    assert requests.started == ["first", "urgent", "urgent-2", "late"]


def test_a_raised_limit_is_used_when_the_next_slot_becomes_free():
    requests = Requests()
    _, end = requests.spawn("first")
    for number in range(3):
        requests.spawn(f"w{number}")
    requests.limit.value = 3.0
    end.set()
    settle()
    assert requests.started == ["first", "w0", "w1", "w2"]
    assert requests.queue.in_use == 3


def test_a_waiter_that_ends_while_it_is_woken_releases_the_slot():
    requests = Requests()
    _, end = requests.spawn("first")
    gone, _ = requests.spawn("gone")
    requests.spawn("next")
    end.set()
    gone.kill(block=False)  # Its wake-up is pending.
    settle()
    assert requests.started[-1] == "next"
    assert (requests.queue.in_use, requests.queue.waiting) == (1, 0)


def test_a_woken_waiter_is_not_overtaken():
    requests = Requests()
    first, end = requests.spawn("first")
    requests.spawn("waiter")
    end.set()
    first.join()  # The slot is free, but the waiter may not have run yet.
    requests.spawn("newcomer")
    settle()
    assert requests.started == ["first", "waiter"]


def test_no_request_waits_longer_than_its_limit():
    requests = Requests()
    requests.spawn("first")
    task, _ = requests.spawn("second", wait_s=0.0)
    task.join()
    assert requests.failed == [("second", NoSlotError)]
    assert requests.queue.waiting == 0


def test_the_number_of_waiting_requests_is_bounded():
    requests = Requests()
    requests.spawn("first")
    for number in range(WAITING_PER_SLOT):
        requests.spawn(f"w{number}")
    requests.spawn("one-too-many")
    assert requests.failed == [("one-too-many", QueueFullError)]


@pytest.mark.parametrize("limit", [0.2, 1.9])
def test_one_slot_is_always_granted(limit):
    requests = Requests(limit)
    requests.spawn("first")
    requests.spawn("second")
    assert requests.started == ["first"]
