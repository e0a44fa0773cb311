"""Admission of requests to one server's slots, as seen by one router. Pure.

A group whose running requests are below its share of the slots goes first,
by priority; then slots that others leave idle are lent, by priority and by
running requests over share. The number of slots in use adapts: it halves when
the server sheds and grows by one slot per window of answers, so several
routers settle on the server's real slots without talking to each other.
"""

import math
from collections import defaultdict, deque
from dataclasses import dataclass, field

DECAY = 0.1
MIN_SLOTS = 1.0
RETRY_FLOOR_MS = 50.0


@dataclass
class Ticket:
    """A request that waits for or holds a slot."""

    group: str
    priority: int
    share: float
    enqueued_ms: float
    started: bool = False


@dataclass
class ServerQueue:
    """Slots and waiting requests of one server."""

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
        """Requests that wait."""
        return sum(len(tickets) for tickets in self.waiting.values())

    @property
    def running_count(self) -> int:
        """Requests that hold a slot."""
        return sum(self.running.values())

    def offer(self, ticket: Ticket) -> bool:
        """Queue a ticket; false when the queue is full."""
        if self.waiting_count >= self.capacity:
            return False
        self.waiting[ticket.group].append(ticket)
        return True

    def start_next(self) -> Ticket | None:
        """Give a free slot to the ticket whose turn it is."""
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
        """Take a waiting ticket out of the queue."""
        tickets = self.waiting[ticket.group]
        if ticket in tickets:
            tickets.remove(ticket)

    def finish(self, ticket: Ticket, service_ms: float, shed: bool) -> None:
        """Free a slot and learn from how the server answered."""
        self.running[ticket.group] -= 1
        if shed:
            self.limit = max(MIN_SLOTS, self.limit / 2)
            return
        self.service_ms += DECAY * (service_ms - self.service_ms)
        self.limit = min(float(self.slots), self.limit + 1 / self.limit)

    def expected_wait_ms(self) -> float:
        """Estimate how long a request that comes now would wait."""
        ahead = self.waiting_count + 1
        return max(RETRY_FLOOR_MS, ahead * self.service_ms / max(self.limit, MIN_SLOTS))
