"""Admission to the slots of a server: shares, priority, idle slots and shedding."""

from ploverhatch.routing.server_queue import ServerQueue, Ticket


def ticket(group, priority=5, share=0.5, now_ms=0.0):
    return Ticket(group, priority, share, now_ms)


def start_all(queue):
    started = []
    while (chosen := queue.start_next()) is not None:
        started.append(chosen.group)
    return started


def test_idle_slots_go_to_other_groups():
    queue = ServerQueue(slots=4, capacity=100)
    for _ in range(6):
        assert queue.offer(ticket("a"))
    assert start_all(queue) == ["a"] * 4


def test_shares_hold_when_both_groups_wait():
    queue = ServerQueue(slots=4, capacity=100)
    for _ in range(6):
        queue.offer(ticket("flood", priority=1))
        queue.offer(ticket("other", priority=9))
    assert sorted(start_all(queue)) == ["flood", "flood", "other", "other"]


def test_priority_decides_beyond_shares():
    queue = ServerQueue(slots=1, capacity=100)
    queue.offer(ticket("low", priority=6, share=0.5, now_ms=0))
    queue.offer(ticket("high", priority=1, share=0.5, now_ms=5))
    assert start_all(queue) == ["high"]


def test_full_queue_refuses_at_once():
    queue = ServerQueue(slots=1, capacity=2)
    assert queue.offer(ticket("a"))
    assert queue.offer(ticket("a"))
    assert not queue.offer(ticket("a"))


def test_shedding_halves_slots_and_answers_restore_them():
    queue = ServerQueue(slots=8, capacity=100)
    for _ in range(8):
        queue.offer(ticket("a"))
    running = [queue.start_next() for _ in range(8)]
    queue.finish(running.pop(), 5.0, shed=True)
    assert queue.limit == 4
    while running:
        queue.finish(running.pop(), 5.0, shed=False)
    assert 4 < queue.limit <= 8


def test_withdrawn_ticket_is_not_started():
    queue = ServerQueue(slots=1, capacity=10)
    waiting = ticket("a")
    queue.offer(waiting)
    queue.withdraw(waiting)
    assert queue.start_next() is None
