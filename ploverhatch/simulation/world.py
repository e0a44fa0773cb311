"""Virtual time, and a simulated network that delays, loses, duplicates and blocks messages.

All random draws of a run come from one seeded generator, so a run can be replayed exactly by its
seed. Times are in milliseconds of virtual time, which the clocks of processes only approximate.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

Task = Callable[[], None]


@dataclass
class NetworkFaults:
    """Probabilities of message faults, and blocked pairs of zones."""

    loss: float = 0.0
    duplication: float = 0.0
    # Probability of an extra delay of up to ``max_extra_delay_ms``, as by a frozen sender.
    extra_delay: float = 0.0
    max_extra_delay_ms: float = 4000.0
    blocked_links: set[tuple[str, str]] = field(default_factory=set)  # (from zone, to zone)


class World:
    """The event queue, the network and the random generator of one run."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now_ms = 0.0
        self._queue: list[tuple[float, int, Task]] = []
        self._sequence = 0
        self.faults = NetworkFaults()
        self.messages = 0
        self.zone_delay_ms = 1.5
        self.local_delay_ms = 0.1

    def after(self, delay_ms: float, task: Task) -> None:
        """Run a task after a delay in virtual time."""
        self._sequence += 1
        heapq.heappush(self._queue, (self.now_ms + delay_ms, self._sequence, task))

    def run_until(self, end_ms: float) -> None:
        """Run all tasks that are due by ``end_ms``."""
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, task = heapq.heappop(self._queue)
            task()
        self.now_ms = end_ms

    def transmit(
        self, source_zone: str, target_zone: str, deliver: Task, repeatable: bool = True
    ) -> None:
        """Deliver a message between zones, subject to the faults.

        :param repeatable: false for a message on a stream of its own, which can be lost or
            delayed, but never arrives twice.
        """
        self.messages += 1
        if (source_zone, target_zone) in self.faults.blocked_links:
            return
        if self.random.random() < self.faults.loss:
            return
        self.after(self._delay(source_zone, target_zone), deliver)
        if repeatable and self.random.random() < self.faults.duplication:
            self.after(self._delay(source_zone, target_zone) * 3, deliver)

    def _delay(self, source_zone: str, target_zone: str) -> float:
        base = self.local_delay_ms if source_zone == target_zone else self.zone_delay_ms
        delay = base * (0.8 + 0.6 * self.random.random())
        if self.random.random() < self.faults.extra_delay:
            delay += self.random.random() * self.faults.max_extra_delay_ms
        return delay


class Clock:
    """The elapsed clock of a process, with a random offset and a rate within the drift bound."""

    def __init__(self, world: World, rate_error: float) -> None:
        self._world = world
        self._rate = 1.0 + world.random.uniform(-rate_error, rate_error)
        self._offset = world.random.uniform(1e5, 1e7)

    def read(self) -> float:
        """Return the clock's value in milliseconds, including the time of suspensions."""
        return self._world.now_ms * self._rate + self._offset


class Process:
    """A simulated process that can be killed, frozen and thawed.

    The tasks of a frozen process are queued and run when it is thawed. A process whose machine
    is suspended is frozen too, and its timers stop: each fires late by the length of the
    suspension.
    """

    def __init__(self, world: World, zone: str, rate_error: float) -> None:
        self.world = world
        self.zone = zone
        self.clock = Clock(world, rate_error)
        self.alive = True
        self.frozen = False
        self._backlog: list[Task] = []
        self._suspended_at_ms: float | None = None
        self._past_suspensions_ms = 0.0  # total of the suspensions that are over

    def do(self, task: Task) -> None:
        """Run a task in this process: at once, when it is thawed, or never if it was killed."""
        if not self.alive:
            return
        if self.frozen:
            self._backlog.append(task)
        else:
            task()

    def later(self, delay_ms: float, task: Task) -> None:
        """Run a task in this process after a delay by its timers, which stop in suspensions."""
        self._run_after(delay_ms, self.suspended_ms, task)

    def _run_after(self, delay_ms: float, counted_ms: float, task: Task) -> None:
        def due() -> None:
            suspended_ms = self.suspended_ms
            if suspended_ms > counted_ms:
                self._run_after(suspended_ms - counted_ms, suspended_ms, task)
            else:
                self.do(task)

        self.world.after(delay_ms, due)

    @property
    def suspended_ms(self) -> float:
        """Total time for which the machine has been suspended."""
        since_ms = self._suspended_at_ms
        return self._past_suspensions_ms + (
            0.0 if since_ms is None else self.world.now_ms - since_ms
        )

    def kill(self) -> None:
        """End the process; its queued tasks are dropped."""
        self.alive = False
        self._backlog.clear()

    def freeze(self) -> None:
        """Queue the tasks of the process instead of running them, until it is thawed."""
        self.frozen = True

    def suspend(self) -> None:
        """Freeze the process by a suspension of its machine, which stops its timers too."""
        self.freeze()
        if self._suspended_at_ms is None:
            self._suspended_at_ms = self.world.now_ms

    def thaw(self) -> None:
        """End a freeze or a suspension, and run the queued tasks."""
        self._past_suspensions_ms, self._suspended_at_ms = self.suspended_ms, None
        self.frozen = False
        backlog, self._backlog = self._backlog, []
        for task in backlog:
            self.do(task)
