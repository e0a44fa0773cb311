"""Simulates a service under load in virtual time, with servers that have short queues.

Requests arrive as a Poisson process at nodes of several zones. A server runs as many requests as
it has slots, in order of arrival, queues a few more, and never answers further ones. An answer
within the objective earns a credit of 1, and a later one 0.1.

The load may change in phases, and requests may be of several kinds. Callers may return once after
a rejection: after the time that they were told, but after no more than ``MAX_PAUSE_FRACTION`` of
the time that they have left. Answer times count from the first attempt of a caller.
"""

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, fields, replace

from ploverhatch.state.servers import ServerRecord

SERVICE = "claims"
LATE_CREDIT = 0.1
TAIL_SHARE = 0.01  # fraction of requests that take `TAIL_FACTOR` times as long
TAIL_FACTOR = 5.0
ZONES = 5
MAX_PAUSE_FRACTION = 1 / 3  # of the time left
MIN_LEFT_MS = 50.0  # a caller with less time left doesn't return
HELD_FRACTION = 1 / 8  # of the objective; rejections that take longer count as held


@dataclass(frozen=True, slots=True)
class LoadPhase:
    """A span in which the load is multiplied by a factor; calls of some phases aren't counted."""

    duration_ms: float
    factor: float
    counted: bool = True


@dataclass(frozen=True, slots=True)
class RequestKind:
    """Requests that are alike; ``share`` is their fraction of all requests.

    Kinds of one ``route`` are the same to dispatchers; by default each has a route of its own.
    """

    name: str
    share: float
    objective_ms: float
    deadline_ms: float
    priority: int = 0
    repeating: float = 0.0  # fraction of the callers that return at once when rejected
    route: str = ""


@dataclass(frozen=True, slots=True)
class SlotScenario:
    """The parameters of a run, by default of the claims service in the large deployment.

    ``load`` is the request rate relative to the capacity of all servers. Without phases it lasts
    for ``duration_ms``; without kinds all requests have the scenario's objective and deadline.
    """

    nodes: int = 195
    servers: int = 67
    load: float = 0.5
    slots: int = 2
    queue: int = 8
    speeds: tuple[float, ...] = (0.5, 1.0, 1.0, 1.5)
    service_ms: float = 290.0
    spread: float = 0.8
    tail_share: float = TAIL_SHARE
    max_service_ms: float = 2200.0
    objective_ms: float = 1000.0
    deadline_ms: float = 1500.0
    duration_ms: float = 20_000.0
    hop_ms: float = 1.0  # one-way delay between any two machines
    zones: int = ZONES
    phases: tuple[LoadPhase, ...] = ()
    kinds: tuple[RequestKind, ...] = ()
    returning: bool = False  # whether rejected callers return
    seed: int = 1

    @property
    def rate_per_ms(self) -> float:
        """Requests per millisecond, at a factor of 1."""
        return self.load * self.capacity_per_ms

    @property
    def capacity_per_ms(self) -> float:
        """Requests per millisecond that all servers can run."""
        speed = sum(self.speed(number) for number in range(self.servers))
        return speed * self.slots / self.service_ms

    @property
    def all_phases(self) -> tuple[LoadPhase, ...]:
        """The phases, at least one."""
        return self.phases or (LoadPhase(self.duration_ms, 1.0),)

    @property
    def all_kinds(self) -> tuple[RequestKind, ...]:
        """The kinds of requests, at least one."""
        return self.kinds or (RequestKind("all", 1.0, self.objective_ms, self.deadline_ms),)

    def phase_at(self, at_ms: float) -> LoadPhase:
        """Return the phase at a time; the last one goes on."""
        for phase in self.all_phases:
            at_ms -= phase.duration_ms
            if at_ms < 0:
                break
        return phase

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
    kind: RequestKind
    arrived_ms: float
    service_ms: float
    first_ms: float  # arrival of the caller's first attempt
    counted: bool
    # Called with the request and its latency in ms, which is infinite without an answer.
    on_ended: Callable[["Request", float], None] | None = None

    @property
    def returned(self) -> bool:
        """Whether it is a caller's second attempt."""
        return self.first_ms < self.arrived_ms

    @property
    def deadline_ms(self) -> float:
        """When its caller stops waiting."""
        return self.first_ms + self.kind.deadline_ms


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
    """Counts of callers by their end, of their attempts, and the credit earned."""

    requests: int = 0  # first attempts
    credit: float = 0.0
    in_time: int = 0
    late: int = 0
    rejected: int = 0  # callers rejected at last
    never_answered: int = 0
    returned: int = 0
    returned_in_time: int = 0
    returned_late: int = 0
    rejections: int = 0  # rejected attempts
    held: int = 0  # of these: after more than `HELD_FRACTION` of the objective
    asked_ms: float = 0.0  # service time asked for, at speed 1

    def __add__(self, other: "Tally") -> "Tally":
        return Tally(*(getattr(self, f.name) + getattr(other, f.name) for f in fields(self)))


class World:
    """A simulation of the servers and the callers, with its virtual clock."""

    def __init__(self, scenario: SlotScenario) -> None:
        self.scenario = scenario
        self.now_ms = 0.0
        self.rng = random.Random(scenario.seed)
        self.tallies = {kind.name: Tally() for kind in scenario.all_kinds}
        self.servers = {
            f"s{number}": self._server(number, zone) for number, zone in self._numbered_zones()
        }
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._numbers = itertools.count(1)
        self._handle: Callable[[Request], None] = lambda request: None
        self._busy_ms = self._counted_ms = self._noted_ms = 0.0
        self._sigma = math.sqrt(math.log(1 + scenario.spread**2))

    @property
    def tally(self) -> Tally:
        """The counts of all kinds."""
        return sum(self.tallies.values(), Tally())

    @property
    def busy(self) -> float:
        """Fraction of the slots' time in the counted phases that was in use."""
        self._note_busy()
        slots = self.scenario.servers * self.scenario.slots
        return self._busy_ms / max(self._counted_ms * slots, 1.0)

    def _numbered_zones(self) -> list[tuple[int, str]]:
        return [(number, self.zone(number)) for number in range(self.scenario.servers)]

    def zone(self, number: int) -> str:
        """Return the zone of a node or server."""
        return f"zone-{number % self.scenario.zones}"

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
        scenario = self.scenario
        self._handle = handle

        def arrive() -> None:
            phase = scenario.phase_at(self.now_ms)
            self.later(self.rng.expovariate(scenario.rate_per_ms * phase.factor), arrive)
            node, service_ms = self.rng.randrange(scenario.nodes), self._draw_work()
            number, kind = next(self._numbers), self._draw_kind()
            request = Request(
                number, node, kind, self.now_ms, service_ms, self.now_ms, phase.counted
            )
            if request.counted:
                self.tallies[kind.name].requests += 1
                self.tallies[kind.name].asked_ms += service_ms
            handle(request)

        self.later(0.0, arrive)
        end_ms = sum(phase.duration_ms for phase in scenario.all_phases)
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, event = heapq.heappop(self._events)
            event()
        return self.tally

    def _draw_work(self) -> float:
        scenario = self.scenario
        service_ms = self.rng.lognormvariate(
            math.log(scenario.service_ms) - self._sigma**2 / 2, self._sigma
        )
        slow = self.rng.random() < scenario.tail_share
        return min(service_ms * (TAIL_FACTOR if slow else 1.0), scenario.max_service_ms)

    def _draw_kind(self) -> RequestKind:
        kinds = self.scenario.all_kinds
        if len(kinds) == 1:
            return kinds[0]
        return self.rng.choices(kinds, [kind.share for kind in kinds])[0]

    def reject(self, request: Request, retry_after_ms: float) -> None:
        """Answer a request that no server received; its caller may return."""
        kind, tally = request.kind, self._tally_of(request)
        left_ms = request.deadline_ms - self.now_ms
        tally.rejections += 1
        tally.held += self.now_ms - request.arrived_ms > kind.objective_ms * HELD_FRACTION
        if request.returned or left_ms < MIN_LEFT_MS or not self.scenario.returning:
            tally.rejected += 1
            return
        tally.returned += 1
        at_once = kind.repeating > 0 and self.rng.random() < kind.repeating
        # A second attempt arrives later than the first one, also at once.
        pause_ms = self.scenario.hop_ms
        if not at_once:
            pause_ms = max(pause_ms, min(retry_after_ms, left_ms * MAX_PAUSE_FRACTION))
        self.later(pause_ms, lambda: self._return(request))

    def _return(self, request: Request) -> None:
        node, number = self.rng.randrange(self.scenario.nodes), next(self._numbers)
        again = replace(request, number=number, node=node, arrived_ms=self.now_ms, on_ended=None)
        self._handle(again)

    def _tally_of(self, request: Request) -> Tally:
        """Return the counts that a request belongs to."""
        return self.tallies[request.kind.name] if request.counted else Tally()

    def _note_busy(self) -> None:
        """Count the slots in use since the last change."""
        passed_ms, self._noted_ms = self.now_ms - self._noted_ms, self.now_ms
        if passed_ms and self.scenario.phase_at(self.now_ms - passed_ms / 2).counted:
            self._counted_ms += passed_ms
            self._busy_ms += passed_ms * sum(server.busy for server in self.servers.values())

    def send(self, request: Request, server_id: str) -> None:
        """Send a request to a server."""
        self.later(self.scenario.hop_ms, lambda: self._reach(request, self.servers[server_id]))

    def _reach(self, request: Request, server: Server) -> None:
        if server.busy < self.scenario.slots:
            self._start(request, server)
        elif len(server.queue) < self.scenario.queue:
            server.queue.append(request)
        else:
            self._tally_of(request).never_answered += 1
            remaining_ms = request.deadline_ms - self.now_ms
            self.later(max(remaining_ms, 0.0), lambda: self._notify(request, math.inf))

    def _start(self, request: Request, server: Server) -> None:
        self._note_busy()
        server.busy += 1
        self.later(request.service_ms / server.speed, lambda: self._finish(request, server))

    def _finish(self, request: Request, server: Server) -> None:
        self._note_busy()
        server.busy -= 1
        if server.queue:
            self._start(server.queue.popleft(), server)
        arrives_ms = self.now_ms + self.scenario.hop_ms
        self._count_answer(request, arrives_ms - request.first_ms)
        took_ms = arrives_ms - request.arrived_ms
        self.later(self.scenario.hop_ms, lambda: self._notify(request, took_ms))

    def _count_answer(self, request: Request, took_ms: float) -> None:
        kind, tally = request.kind, self._tally_of(request)
        if took_ms <= kind.objective_ms:
            tally.credit += 1.0
            tally.in_time += 1
            tally.returned_in_time += request.returned
        elif took_ms <= kind.deadline_ms:
            tally.credit += LATE_CREDIT
            tally.late += 1
            tally.returned_late += request.returned

    def _notify(self, request: Request, took_ms: float) -> None:
        if request.on_ended is not None:
            request.on_ended(request, took_ms)
