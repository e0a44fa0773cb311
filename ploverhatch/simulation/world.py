"""Virtual time, and a network that delays, loses, repeats and cuts.

Everything random comes from one generator seeded per run, so a seed replays
exactly. Times are milliseconds of true time.
"""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

Task = Callable[[], None]


@dataclass
class NetworkFaults:
    """Probabilities and cuts in force."""

    loss: float = 0.0
    repeat: float = 0.0
    late: float = 0.0  # message held back for long, as by a paused sender
    late_ms: float = 4000.0
    cuts: set[tuple[str, str]] = field(default_factory=set)  # (from zone, to zone)


class World:
    """The event queue."""

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
        """Run a task later."""
        self._sequence += 1
        heapq.heappush(self._queue, (self.now_ms + delay_ms, self._sequence, task))

    def run_until(self, end_ms: float) -> None:
        """Run all tasks due before ``end_ms``."""
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, task = heapq.heappop(self._queue)
            task()
        self.now_ms = end_ms

    def transmit(
        self, source_zone: str, target_zone: str, deliver: Task, repeatable: bool = True
    ) -> None:
        """Carry a message between zones, subject to the faults.

        :param repeatable: false for what travels on one stream of its own and
            so can be lost or late, but not arrive twice.
        """
        self.messages += 1
        if (source_zone, target_zone) in self.faults.cuts:
            return
        if self.random.random() < self.faults.loss:
            return
        self.after(self._delay(source_zone, target_zone), deliver)
        if repeatable and self.random.random() < self.faults.repeat:
            self.after(self._delay(source_zone, target_zone) * 3, deliver)

    def _delay(self, source_zone: str, target_zone: str) -> float:
        base = self.local_delay_ms if source_zone == target_zone else self.zone_delay_ms
        delay = base * (0.8 + 0.6 * self.random.random())
        if self.random.random() < self.faults.late:
            delay += self.random.random() * self.faults.late_ms
        return delay


class Clock:
    """A process's elapsed clock: own offset, and a rate within the drift bound."""

    def __init__(self, world: World, rate_error: float) -> None:
        self._world = world
        self._rate = 1.0 + world.random.uniform(-rate_error, rate_error)
        self._offset = world.random.uniform(1e5, 1e7)

    def read(self) -> float:
        """Return the clock's value; the time of a suspension counts."""
        return self._world.now_ms * self._rate + self._offset


class Process:
    """Something that can be killed, frozen and thawed.

    While frozen, what happens to it waits; thawed, it goes on as if nothing
    had happened. A process whose machine is suspended is frozen, and its timers
    stand still too: thawed, each is late by as long as it stood.
    """

    def __init__(self, world: World, zone: str, rate_error: float) -> None:
        self.world = world
        self.zone = zone
        self.clock = Clock(world, rate_error)
        self.alive = True
        self.frozen = False
        self._backlog: list[Task] = []
        self._suspended_at_ms: float | None = None
        self._past_suspensions_ms = 0.0  # in suspensions that are over

    def do(self, task: Task) -> None:
        """Run a task in this process, when it runs at all."""
        if not self.alive:
            return
        if self.frozen:
            self._backlog.append(task)
        else:
            task()

    def later(self, delay_ms: float, task: Task) -> None:
        """Run a task in this process after a delay by its timers."""
        self._wait_awake(delay_ms, self.suspended_ms, task)

    def _wait_awake(self, delay_ms: float, known_ms: float, task: Task) -> None:
        def due() -> None:
            suspended_ms = self.suspended_ms
            if suspended_ms > known_ms:
                self._wait_awake(suspended_ms - known_ms, suspended_ms, task)
            else:
                self.do(task)

        self.world.after(delay_ms, due)

    @property
    def suspended_ms(self) -> float:
        """For how long its machine was suspended so far."""
        since_ms = self._suspended_at_ms
        return self._past_suspensions_ms + (
            0.0 if since_ms is None else self.world.now_ms - since_ms
        )

    def kill(self) -> None:
        """End the process with all its memory."""
        self.alive = False
        self._backlog.clear()

    def freeze(self) -> None:
        """Pause the process."""
        self.frozen = True

    def suspend(self) -> None:
        """Pause the process with its machine."""
        self.freeze()
        if self._suspended_at_ms is None:
            self._suspended_at_ms = self.world.now_ms

    def thaw(self) -> None:
        """Continue the process."""
        self._past_suspensions_ms, self._suspended_at_ms = self.suspended_ms, None
        self.frozen = False
        backlog, self._backlog = self._backlog, []
        for task in backlog:
            self.do(task)
