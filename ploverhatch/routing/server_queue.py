"""Admission of requests to the slots of one server, as seen by one router.

Groups that run fewer requests than their share of the slots come first,
ordered by priority. Slots that these groups leave idle go to the other groups,
ordered by priority and then by the ratio of running requests to share. The
limit of slots in use adapts: it is halved when the server sheds a request and
grows by one slot per window of answers, so that several routers converge on
the real number of slots without exchanging messages.

This module does no I/O and reads no clock.
"""

import math
from collections import defaultdict, deque
from dataclasses import dataclass, field

SERVICE_TIME_WEIGHT = 0.1
MIN_SLOTS = 1.0
MIN_EXPECTED_WAIT_MS = 50.0


@dataclass
class Ticket:
    """A request that waits for a slot or holds one."""

    group: str
    priority: int
    share: float
    enqueued_ms: float
    started: bool = False


@dataclass
class ServerQueue:
    """Slots and waiting requests of one server.

    ``limit`` is the adaptive number of usable slots; ``capacity`` bounds the waiting requests.
    """

    slots: int
    capacity: int
    limit: float = 0.0
    service_ms: float = 5.0
    waiting: dict[str, deque[Ticket]] = field(default_factory=lambda: defaultdict(deque))
    running: dict[str, int] = field(default_factory=lambda: defaultdict(int))

    def __post_init__(self) -> None:
        self.limit = self.limit or float(self.slots)

    @property
    def waiting_count(self) -> int:
        """The number of waiting requests."""
        return sum(len(tickets) for tickets in self.waiting.values())

    @property
    def running_count(self) -> int:
        """The number of requests that hold a slot."""
        return sum(self.running.values())

    def offer(self, ticket: Ticket) -> bool:
        """Queue a ticket and return whether the queue had space for it."""
        if self.waiting_count >= self.capacity:
            return False
        self.waiting[ticket.group].append(ticket)
        return True

    def start_next(self) -> Ticket | None:
        """Grant a free slot to the next ticket; return ``None`` without a free slot or ticket."""
        if self.running_count >= max(1, math.floor(self.limit)):
            return None
        heads = [tickets[0] for tickets in self.waiting.values() if tickets]
        if not heads:
            return None
        chosen = min(heads, key=self._rank)
        self.waiting[chosen.group].popleft()
        chosen.started = True
        self.running[chosen.group] += 1
        return chosen

    def _rank(self, ticket: Ticket) -> tuple[bool, float, float, float]:
        running = self.running[ticket.group]
        entitled = ticket.share * self.limit
        over_share = running >= entitled
        usage = running / max(ticket.share, 1e-6)
        return (over_share, float(ticket.priority), usage, ticket.enqueued_ms)

    def withdraw(self, ticket: Ticket) -> None:
        """Remove a waiting ticket from the queue; a ticket that isn't queued is ignored."""
        tickets = self.waiting[ticket.group]
        if ticket in tickets:
            tickets.remove(ticket)

    def finish(self, ticket: Ticket, service_ms: float, shed: bool) -> None:
        """Release a slot and adapt the limit and the service time to the answer.

        :param shed: whether the server rejected the request because of overload.
        """
        self.running[ticket.group] -= 1
        if shed:
            self.limit = max(MIN_SLOTS, self.limit / 2)
            return
        self.service_ms += SERVICE_TIME_WEIGHT * (service_ms - self.service_ms)
        self.limit = min(float(self.slots), self.limit + 1 / self.limit)

    def expected_wait_ms(self) -> float:
        """Estimate how long a request that arrives now would wait for a slot."""
        ahead = self.waiting_count + 1
        return max(MIN_EXPECTED_WAIT_MS, ahead * self.service_ms / max(self.limit, MIN_SLOTS))
