"""Simulates a service under load in virtual time, with servers that have short queues.

Requests arrive as a Poisson process at nodes of several zones. A server runs as many requests as
it has slots, in order of arrival, queues a few more, and never answers further ones. An answer
within the objective earns a credit of 1, and a later one 0.1.
"""

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ploverhatch.state.servers import ServerRecord

SERVICE = "claims"
LATE_CREDIT = 0.1
TAIL_SHARE = 0.01  # fraction of requests that take `TAIL_FACTOR` times as long
TAIL_FACTOR = 5.0
ZONES = 5


@dataclass(frozen=True, slots=True)
class SlotScenario:
    """The parameters of a run, by default of the claims service in the large deployment.

    ``load`` is the request rate relative to the capacity of all servers.
    """

    nodes: int = 195
    servers: int = 67
    load: float = 0.5
    slots: int = 2
    queue: int = 8
    speeds: tuple[float, ...] = (0.5, 1.0, 1.0, 1.5)
    service_ms: float = 290.0
    spread: float = 0.8
    max_service_ms: float = 2200.0
    objective_ms: float = 1000.0
    deadline_ms: float = 1500.0
    duration_ms: float = 20_000.0
    hop_ms: float = 1.0  # one-way delay between any two machines
    seed: int = 1

    @property
    def rate_per_ms(self) -> float:
        """Requests per millisecond."""
        speed = sum(self.speed(number) for number in range(self.servers))
        return self.load * speed * self.slots / self.service_ms

    def speed(self, number: int) -> float:
        """Return the speed of a server.

        Zones and speeds repeat with different periods, so that each zone has all speeds.
        """
        return self.speeds[(number + number // ZONES) % len(self.speeds)]


@dataclass(slots=True)
class Request:
    """A request at a node; ``service_ms`` is its service time on a server of speed 1."""

    number: int
    node: int
    arrived_ms: float
    service_ms: float
    # Called with the request and its latency in ms, which is infinite without an answer.
    on_ended: Callable[["Request", float], None] | None = None


@dataclass(slots=True)
class Server:
    """A server, with its running and queued requests."""

    record: ServerRecord
    speed: float
    busy: int = 0
    queue: deque[Request] = field(default_factory=deque)

    @property
    def present(self) -> int:
        """Number of requests that run or wait at the server."""
        return self.busy + len(self.queue)


@dataclass(slots=True)
class Tally:
    """Counts of requests by their end, and the credit earned."""

    requests: int = 0
    credit: float = 0.0
    rejected: int = 0
    never_answered: int = 0


class World:
    """A simulation of the servers and the callers, with its virtual clock."""

    def __init__(self, scenario: SlotScenario) -> None:
        self.scenario = scenario
        self.now_ms = 0.0
        self.rng = random.Random(scenario.seed)
        self.tally = Tally()
        self.servers = {
            f"s{number}": self._server(number, zone) for number, zone in self._numbered_zones()
        }
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._sigma = math.sqrt(math.log(1 + scenario.spread**2))

    def _numbered_zones(self) -> list[tuple[int, str]]:
        return [(number, self.zone(number)) for number in range(self.scenario.servers)]

    def zone(self, number: int) -> str:
        """Return the zone of a node or server."""
        return f"zone-{number % ZONES}"

    def _server(self, number: int, zone: str) -> Server:
        slots = self.scenario.slots
        record = ServerRecord(f"s{number}", SERVICE, "10.0.0.1", 1, zone, slots, False)
        return Server(record, self.scenario.speed(number))

    def later(self, delay_ms: float, event: Callable[[], None]) -> None:
        """Schedule an event after a delay."""
        heapq.heappush(self._events, (self.now_ms + delay_ms, next(self._sequence), event))

    def run(self, handle: Callable[[Request], None]) -> Tally:
        """Run the scenario and return its tally.

        :param handle: called with each request when it arrives at its node.
        """

        def arrive() -> None:
            self.later(self.rng.expovariate(self.scenario.rate_per_ms), arrive)
            self.tally.requests += 1
            node = self.rng.randrange(self.scenario.nodes)
            handle(Request(self.tally.requests, node, self.now_ms, self._draw_work()))

        self.later(0.0, arrive)
        while self._events and self._events[0][0] <= self.scenario.duration_ms:
            self.now_ms, _, event = heapq.heappop(self._events)
            event()
        return self.tally

    def _draw_work(self) -> float:
        scenario = self.scenario
        service_ms = self.rng.lognormvariate(
            math.log(scenario.service_ms) - self._sigma**2 / 2, self._sigma
        )
        slow = self.rng.random() < TAIL_SHARE
        return min(service_ms * (TAIL_FACTOR if slow else 1.0), scenario.max_service_ms)

    def send(self, request: Request, server_id: str) -> None:
        """Send a request to a server."""
        self.later(self.scenario.hop_ms, lambda: self._reach(request, self.servers[server_id]))

    def _reach(self, request: Request, server: Server) -> None:
        if server.busy < self.scenario.slots:
            self._start(request, server)
        elif len(server.queue) < self.scenario.queue:
            server.queue.append(request)
        else:
            self.tally.never_answered += 1
            remaining_ms = request.arrived_ms + self.scenario.deadline_ms - self.now_ms
            self.later(max(remaining_ms, 0.0), lambda: self._notify(request, math.inf))

    def _start(self, request: Request, server: Server) -> None:
        server.busy += 1
        self.later(request.service_ms / server.speed, lambda: self._finish(request, server))

    def _finish(self, request: Request, server: Server) -> None:
        server.busy -= 1
        if server.queue:
            self._start(server.queue.popleft(), server)
        took_ms = self.now_ms - request.arrived_ms + self.scenario.hop_ms
        if took_ms <= self.scenario.objective_ms:
            self.tally.credit += 1.0
        elif took_ms <= self.scenario.deadline_ms:
            self.tally.credit += LATE_CREDIT
        self.later(self.scenario.hop_ms, lambda: self._notify(request, took_ms))

    def _notify(self, request: Request, took_ms: float) -> None:
        if request.on_ended is not None:
            request.on_ended(request, took_ms)
