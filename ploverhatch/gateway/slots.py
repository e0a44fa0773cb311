"""The slots that one node uses at one server, and the requests that wait for them."""

import heapq
import itertools
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import gevent
from gevent.event import AsyncResult

WAITING_PER_SLOT = 32  # The number of requests that may wait on this node, per slot.


class NoSlotError(Exception):
    """No slot became free within the time limit."""


class QueueFullError(NoSlotError):
    """So many requests wait already that another one would hardly get a slot in time."""


@dataclass(order=True, slots=True)
class _Waiter:
    priority: int
    ticket: int
    wake: AsyncResult = field(compare=False)


class SlotQueue:
    """Grants slots by priority, then in order of arrival.

    A slot that becomes free is assigned to a waiter before the waiter's task runs, so that no
    later request can take it.

    :param limit: returns the greatest number of slots in use; called before each grant.
    :param slots: the number of the server's slots, which bounds how many requests may wait.
    :param clock: returns elapsed milliseconds.
    """

    def __init__(self, limit: Callable[[], float], slots: int, clock: Callable[[], float]) -> None:
        self._limit = limit
        self._capacity = WAITING_PER_SLOT * slots
        self._clock = clock
        self._started_ms: dict[int, float] = {}  # When the slot was granted, by ticket.
        self._waiters: list[_Waiter] = []
        self._tickets = itertools.count()

    @property
    def in_use(self) -> int:
        """The number of slots in use."""
        return len(self._started_ms)

    @property
    def waiting(self) -> int:
        """The number of requests that wait."""
        return len(self._waiters)

    @property
    def oldest_ms(self) -> float:
        """Milliseconds for which the oldest slot has been in use; 0 if none is in use."""
        return self._clock() - min(self._started_ms.values()) if self._started_ms else 0.0

    @contextmanager
    def hold(self, priority: int, wait_s: float) -> Iterator[None]:
        """Hold a slot.

        :param priority: 0 is the most urgent.
        :param wait_s: the longest time to wait for a slot.
        :raises NoSlotError: when no slot became free in time.
        :raises QueueFullError: when too many requests wait already.
        """
        ticket = next(self._tickets)
        if self._free and not self._waiters:
            self._started_ms[ticket] = self._clock()
        else:
            self._await(priority, ticket, wait_s)
        try:
            yield
        finally:
            self._release(ticket)

    @contextmanager
    def hold_granted(self) -> Iterator[None]:
        """Hold a slot that a dispatcher granted, even beyond the limit of this queue."""
        ticket = next(self._tickets)
        self._started_ms[ticket] = self._clock()
        try:
            yield
        finally:
            self._release(ticket)

    @property
    def _free(self) -> bool:
        return self.in_use < max(1, int(self._limit()))

    def _await(self, priority: int, ticket: int, wait_s: float) -> None:
        if len(self._waiters) >= self._capacity:
            raise QueueFullError
        waiter = _Waiter(priority, ticket, AsyncResult())
        heapq.heappush(self._waiters, waiter)
        self._wake()
        try:
            waiter.wake.get(timeout=max(wait_s, 0.0))
        except BaseException as error:
            self._withdraw(waiter)
            if isinstance(error, gevent.Timeout):
                raise NoSlotError from error
            raise

    def _withdraw(self, waiter: _Waiter) -> None:
        """Remove a waiter, or release the slot that it was just granted."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            heapq.heapify(self._waiters)
        else:
            self._release(waiter.ticket)

    def _release(self, ticket: int) -> None:
        del self._started_ms[ticket]
        self._wake()

    def _wake(self) -> None:
        while self._waiters and self._free:
            waiter = heapq.heappop(self._waiters)
            self._started_ms[waiter.ticket] = self._clock()
            waiter.wake.set(None)
