"""Slots of one server as one node uses them, and the requests that wait for them."""

import heapq
import itertools
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import gevent
from gevent.event import AsyncResult

WAITING_PER_SLOT = 32  # requests that may wait for a slot on this node, per slot


class NoSlotError(Exception):
    """No slot came free within the time given."""


class QueueFullError(NoSlotError):
    """So many requests wait already that another one would hardly get a slot."""


@dataclass(order=True, slots=True)
class _Waiter:
    priority: int
    ticket: int
    wake: AsyncResult = field(compare=False)


class SlotQueue:
    """Gives slots by priority, then in order of arrival.

    A slot that comes free belongs to the waiter from the moment it is woken,
    so that no later request takes it before the waiter's task runs.

    :param limit: most slots in use, read each time one may be given.
    :param slots: of the server; bounds how many requests may wait.
    :param clock: elapsed milliseconds.
    """

    def __init__(self, limit: Callable[[], float], slots: int, clock: Callable[[], float]) -> None:
        self._limit = limit
        self._capacity = WAITING_PER_SLOT * slots
        self._clock = clock
        self._started_ms: dict[int, float] = {}  # ticket -> when its slot was given
        self._waiters: list[_Waiter] = []
        self._tickets = itertools.count()

    @property
    def in_use(self) -> int:
        """Slots that are given."""
        return len(self._started_ms)

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return len(self._waiters)

    @property
    def oldest_ms(self) -> float:
        """How long the slot that is longest in use has been so; 0 without any."""
        return self._clock() - min(self._started_ms.values()) if self._started_ms else 0.0

    @contextmanager
    def hold(self, priority: int, wait_s: float) -> Iterator[None]:
        """Hold a slot.

        :param priority: 0 goes first.
        :raises NoSlotError: when none came free in time.
        :raises QueueFullError: when too many wait already.
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
        """Count a slot that was given elsewhere, whatever the limit here."""
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
        """Take a waiter out, or give back the slot that it was just given."""
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
