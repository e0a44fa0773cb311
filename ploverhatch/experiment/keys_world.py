"""Simulates requests with keys in virtual time, with noisy servers, hot keys and slow servers.

The decisions are those of the product: its leader assigns and moves ranges of keys by load reports,
and its dispatcher grants the slots of each holder. Servers share their machines: in each span of
``noise_ms``, a server is ``noise_factor`` times slower with probability ``noise_share``. An answer
within the objective earns a credit of 1, and a later one 0.1.
"""

import heapq
import itertools
import math
import random
from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from ploverhatch.admission.dispatcher import (
    Group,
)
from ploverhatch.admission.slot_requests import (
    Requester,
    SlotGranted,
    SlotRejected,
    SlotRequest,
    SlotResult,
)
from ploverhatch.gateway.forwarder import MOVE_FRACTION, USEFUL_FRACTION, WAIT_FRACTION
from ploverhatch.gateway.slot_dispatch import (
    LEASE_MARGIN_MS,
)
from ploverhatch.sharding import load_estimate
from ploverhatch.sharding.keymap import KEY_COUNT, KeyMap
from ploverhatch.sharding.leader_core import LeaderCore
from ploverhatch.sharding.load import WINDOW_MS, AnswerTimes, KeyLoad
from ploverhatch.sharding.load_estimate import LoadEstimate
from ploverhatch.sharding.messages import (
    Action,
    CallOutcome,
    SendGrant,
    SendRelease,
    ServiceView,
    StoreMap,
)
from ploverhatch.sharding.planner import PlanLimits
from ploverhatch.sharding.server_speeds import ServerSpeeds
from ploverhatch.state.servers import ServerRecord

SERVICE = "claims"
NODE = ("10.0.0.1", 7000)
LATE_CREDIT = 0.1
TAIL_SHARE, TAIL_FACTOR = 0.01, 5.0  # a fraction of requests takes `TAIL_FACTOR` times as long
TICK_MS = 50.0
REPORT_MS = 300.0  # interval between load reports
ESTIMATE_MS = 150.0  # interval between load estimates of the leader
STORE_MS = 8.0  # time to write a map
CALL_MS = 4.0  # round trip of a call to a server
RELAY_MS = 35.0  # delay until nodes know of a grant
WARM_UP_MS = 3000.0  # for the first assignment and the first grants
TIMEOUT_MS = 600.0  # of a call to an unresponsive server
LEARN_EVERY_MS = 1000.0
ELECTION_MS = 400.0  # from the end of a leader until the next one acts


@dataclass(frozen=True, slots=True)
class HotKeys:
    """A period in which some nearby keys receive a fraction ``share`` of the requests."""

    at_ms: float
    for_ms: float
    share: float
    count: int = 1


@dataclass(frozen=True, slots=True)
class SlowServers:
    """A period in which a fraction of the servers is slower by a factor.

    Servers with an infinite factor don't answer.
    """

    at_ms: float
    for_ms: float
    share: float
    factor: float


@dataclass(frozen=True, slots=True)
class KeyScenario:
    """The parameters of a run, by default of the claims service in the shifted deployment.

    ``load`` is the request rate relative to the capacity of all servers, including their noise.
    """

    servers: int = 62
    load: float = 0.55
    slots: int = 3
    speeds: tuple[float, ...] = (0.7, 0.7, 1.6)
    service_ms: float = 160.0
    spread: float = 0.8
    max_service_ms: float = 1200.0
    objective_ms: float = 619.0
    deadline_ms: float = 1200.0
    noise_share: float = 0.2
    noise_factor: float = 3.0
    noise_ms: float = 400.0
    skew: float = 0.42
    distinct_keys: int = 60_000
    duration_ms: float = 30_000.0
    hot: tuple[HotKeys, ...] = ()
    slow: tuple[SlowServers, ...] = ()
    leader_change_ms: float = math.inf
    learns_speeds: bool = True
    keeps_speeds: bool = True  # over a change of leader
    knows_speeds: bool = False  # before the first assignment, as after the loss of a map
    limits: PlanLimits = PlanLimits()
    window_ms: float = WINDOW_MS
    seed: int = 1

    @property
    def rate_per_ms(self) -> float:
        """Requests per millisecond."""
        speed = sum(self.speeds[number % len(self.speeds)] for number in range(self.servers))
        noise = 1 + self.noise_share * (self.noise_factor - 1)
        return self.load * speed * self.slots / (self.service_ms * noise)


@dataclass(slots=True)
class KeyTally:
    """Counts of requests by their end, and of moves of keys."""

    requests: int = 0
    credit: float = 0.0
    late: int = 0
    rejected: int = 0
    unanswered: int = 0
    moves: int = 0
    keys_moved: int = 0
    by_second: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))

    def record_end(self, after_ms: float, credit: float) -> None:
        """Record the end of a request.

        :param after_ms: time from the end of the warm-up to the arrival of the request.
        """
        self.credit += credit
        self.by_second[int(after_ms // 1000)].append(credit)


@dataclass(slots=True)
class _Request:
    number: int
    key: int
    arrived_ms: float
    service_ms: float


@dataclass(slots=True)
class _Server:
    record: ServerRecord
    speed: float
    rank: float  # in [0, 1): the server is slow where this is below the share of slow servers
    group: Group
    running: Counter[int] = field(default_factory=Counter)  # number of running requests by key
    busy: int = 0
    queue: list[_Request] = field(default_factory=list)
    releases: list[SendRelease] = field(default_factory=list)
    times: list[int] = field(default_factory=list)  # answer times in ms since the last report


class KeyWorld:
    """A simulation of the servers, the callers and the leader, with its virtual clock."""

    def __init__(self, scenario: KeyScenario) -> None:
        self.scenario = scenario
        self.now_ms = 0.0
        self.tally = KeyTally()
        self._rng = random.Random(scenario.seed)
        self._noise = random.Random(scenario.seed + 1)
        self._noisy: dict[tuple[str, int], bool] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._sigma = math.sqrt(math.log(1 + scenario.spread**2))
        servers = [self._server(number) for number in range(scenario.servers)]
        self._servers = {server.record.server_id: server for server in servers}
        self._weights = self._draw_weights()
        self._core = LeaderCore(limits=scenario.limits)
        self._load = KeyLoad(scenario.window_ms)
        self._times = AnswerTimes()
        self._estimate: LoadEstimate | None = None
        self._speeds = ServerSpeeds(scenario.learns_speeds)
        if scenario.knows_speeds:
            told = {name: server.speed for name, server in self._servers.items()}
            self._speeds.note_told(told, told)
        self._leading = True
        self._revision = 0
        self._sampled: list[int] = []
        self._relayed = KeyMap(SERVICE)  # the map as nodes know it
        self._granted: frozenset[int] = frozenset()
        self._waiting: list[_Request] = []  # for keys that move to another holder
        self._requested: dict[int, _Request] = {}  # requests waiting for a slot, by number

    def _server(self, number: int) -> _Server:
        scenario = self.scenario
        record = ServerRecord(
            f"s{number:03d}", SERVICE, "10.0.0.1", 9000 + number, "zone", scenario.slots, False
        )
        group = Group()
        group.set_members([record], 0.0)
        speed = scenario.speeds[number % len(scenario.speeds)]
        return _Server(record, speed, self._rng.random(), group)

    def _draw_weights(self) -> tuple[list[int], list[float]]:
        """Return the key of each popularity rank, and the cumulative weights."""
        scenario = self.scenario
        keys = [self._rng.randrange(KEY_COUNT) for _ in range(scenario.distinct_keys)]
        weights = ((rank + 1) ** -scenario.skew for rank in range(scenario.distinct_keys))
        return keys, list(itertools.accumulate(weights))

    # ---- event loop ---------------------------------------------------------------------

    def run(self) -> KeyTally:
        """Run the scenario and return its tally.

        The callers start after a warm-up, in which the first assignment and grants happen.
        """
        self._every(TICK_MS, self._tick)
        self._every(REPORT_MS, self._report)
        self._every(LEARN_EVERY_MS, self._learn_speeds)
        self._run_until(WARM_UP_MS)
        self._later(self.scenario.leader_change_ms, self._end_leader)
        self.tally = KeyTally()
        start_ms = self.now_ms
        self._later(0.0, self._arrive)
        self._every(25.0, self._expire)
        self._run_until(start_ms + self.scenario.duration_ms)
        return self.tally

    def _run_until(self, end_ms: float) -> None:
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, event = heapq.heappop(self._events)
            event()
        self.now_ms = end_ms

    def _later(self, delay_ms: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now_ms + delay_ms, next(self._sequence), event))

    def _every(self, period_ms: float, event: Callable[[], None]) -> None:
        def run() -> None:
            event()
            self._later(period_ms, run)

        self._later(period_ms, run)

    @property
    def _measured_ms(self) -> float:
        return self.now_ms - WARM_UP_MS

    # ---- callers ------------------------------------------------------------------------

    def _arrive(self) -> None:
        self._later(self._rng.expovariate(self.scenario.rate_per_ms), self._arrive)
        self.tally.requests += 1
        request = _Request(self.tally.requests, self._draw_key(), self.now_ms, self._draw_work())
        self._sampled.append(request.key)
        self._place(request)

    def _draw_key(self) -> int:
        for hot in self.scenario.hot:
            is_on = hot.at_ms <= self._measured_ms < hot.at_ms + hot.for_ms
            if is_on and self._rng.random() < hot.share:
                first = int(hot.at_ms * 37) % KEY_COUNT
                return (first + self._rng.randrange(hot.count) * 3) % KEY_COUNT
        keys, sums = self._weights
        return keys[bisect_right(sums, self._rng.random() * sums[-1])]

    def _draw_work(self) -> float:
        scenario = self.scenario
        mean = math.log(scenario.service_ms) - self._sigma**2 / 2
        service_ms = self._rng.lognormvariate(mean, self._sigma)
        slow = self._rng.random() < TAIL_SHARE
        return min(service_ms * (TAIL_FACTOR if slow else 1.0), scenario.max_service_ms)

    def _place(self, request: _Request) -> None:
        """Request a slot of the key's holder, or wait while the key moves."""
        item = self._relayed.find(request.key)
        if item is None or not (item.settled or item.token in self._granted):
            self._waiting.append(request)
            return
        scenario = self.scenario
        server = self._servers[item.holder.server_id]
        start_ms = request.arrived_ms
        slot_request = SlotRequest(
            Requester(NODE, request.number),
            1,
            start_ms + scenario.objective_ms * USEFUL_FRACTION,
            start_ms + scenario.deadline_ms * WAIT_FRACTION,
            start_ms + scenario.deadline_ms - self.now_ms + LEASE_MARGIN_MS,
            zone="zone",
            deadline_ms=start_ms + scenario.deadline_ms,
        )
        self._requested[request.number] = request
        self._handle_results(server, server.group.request_slot(slot_request, self.now_ms))

    def _handle_results(self, server: _Server, results: list[SlotResult]) -> None:
        for result in results:
            if isinstance(result, SlotGranted):
                request = self._requested.pop(result.requester.number)
                self._later(CALL_MS / 2, partial(self._reach, request, server))
            elif isinstance(result, SlotRejected):
                request = self._requested.pop(result.requester.number)
                self.tally.rejected += 1
                self.tally.record_end(request.arrived_ms - WARM_UP_MS, 0.0)

    def _expire(self) -> None:
        for server in self._servers.values():
            if server.group.waiting:
                self._handle_results(server, server.group.expire(self.now_ms))
        limit_ms = self.scenario.objective_ms * MOVE_FRACTION
        for request in [r for r in self._waiting if self.now_ms - r.arrived_ms > limit_ms]:
            self._waiting.remove(request)
            self.tally.rejected += 1
            self.tally.record_end(request.arrived_ms - WARM_UP_MS, 0.0)

    # ---- servers ------------------------------------------------------------------------

    def _pace(self, server: _Server) -> float:
        """Return the factor by which work takes longer on a server now."""
        scenario = self.scenario
        span = (server.record.server_id, int(self.now_ms // scenario.noise_ms))
        if span not in self._noisy:
            self._noisy[span] = self._noise.random() < scenario.noise_share
        pace = scenario.noise_factor if self._noisy[span] else 1.0
        for slow in scenario.slow:
            is_on = slow.at_ms <= self._measured_ms < slow.at_ms + slow.for_ms
            if is_on and server.rank < slow.share:
                pace *= slow.factor
        return pace / server.speed

    def _is_unresponsive(self, server: _Server) -> bool:
        return math.isinf(self._pace(server))

    def _reach(self, request: _Request, server: _Server) -> None:
        """Handle the arrival of a request, which returns to its node if its key was released."""
        if self._is_unresponsive(server):
            remaining_ms = request.arrived_ms + self.scenario.deadline_ms - self.now_ms
            self._later(remaining_ms, lambda: self._lose(request, server))
        elif self._released(server, request.key):
            self._release_slot(request, server, 0.0)
            self._place(request)
        elif server.busy < self.scenario.slots:
            self._start(request, server)
        else:
            server.queue.append(request)

    def _released(self, server: _Server, key: int) -> bool:
        return any(call.range_id.first <= key <= call.range_id.last for call in server.releases)

    def _start(self, request: _Request, server: _Server) -> None:
        server.busy += 1
        server.running[request.key] += 1
        self._work(request, server, request.service_ms)

    def _work(self, request: _Request, server: _Server, remaining_ms: float) -> None:
        """Run a request until the server's pace may change, or to its end."""
        pace = self._pace(server)
        span_ms = self.scenario.noise_ms - self.now_ms % self.scenario.noise_ms
        if remaining_ms * pace <= span_ms:
            self._later(remaining_ms * pace, lambda: self._finish(request, server))
        else:
            done_ms = 0.0 if math.isinf(pace) else span_ms / pace
            self._later(span_ms, lambda: self._work(request, server, remaining_ms - done_ms))

    def _finish(self, request: _Request, server: _Server) -> None:
        server.busy -= 1
        server.running[request.key] -= 1
        if server.queue:
            self._start(server.queue.pop(0), server)
        self._answer_releases(server)
        took_ms = self.now_ms - request.arrived_ms + CALL_MS
        if took_ms > self.scenario.deadline_ms:
            self._lose(request, server)
            return
        in_time = took_ms <= self.scenario.objective_ms
        self.tally.late += not in_time
        self.tally.record_end(request.arrived_ms - WARM_UP_MS, 1.0 if in_time else LATE_CREDIT)
        server.times.append(round(took_ms))
        self._release_slot(request, server, took_ms)

    def _lose(self, request: _Request, server: _Server) -> None:
        """Handle a request whose deadline passed at a server."""
        self.tally.unanswered += 1
        self.tally.record_end(request.arrived_ms - WARM_UP_MS, 0.0)
        self._release_slot(request, server, 0.0, unanswered=True)

    def _release_slot(
        self, request: _Request, server: _Server, took_ms: float, unanswered: bool = False
    ) -> None:
        requester = Requester(NODE, request.number)
        results = server.group.release(requester, took_ms, unanswered, self.now_ms, unanswered)
        self._handle_results(server, results)

    # ---- the leader ---------------------------------------------------------------------

    def _end_leader(self) -> None:
        self._leading = False
        self._later(ELECTION_MS, self._begin_leader)

    def _begin_leader(self) -> None:
        """Start the next leader, with the map in the store and without measurements."""
        stored, self._core = self._core, LeaderCore(limits=self.scenario.limits)
        self._core.inherit(stored.keymap(SERVICE), self.now_ms, self.now_ms, False)
        self._load = KeyLoad(self.scenario.window_ms)
        self._times = AnswerTimes()
        told = self._speeds.sure if self.scenario.keeps_speeds else {}
        self._speeds = ServerSpeeds(self.scenario.learns_speeds)
        self._speeds.note_told(told, self._servers)
        self._estimate = None
        self._leading = True

    def _report(self) -> None:
        if not self._leading:
            self._sampled = []
            for server in self._servers.values():
                server.times = []
            return
        self._load.add(self.now_ms, self._sampled)
        self._sampled = []
        for name, server in self._servers.items():
            if server.times:
                self._times.add(name, server.times, self.now_ms)
                self._speeds.add(name, server.times)
                server.times = []

    def _learn_speeds(self) -> None:
        self._speeds.learn(self._servers)

    def _tick(self) -> None:
        if not self._leading:
            return
        records = [server.record for server in self._servers.values()]
        estimate = self._estimate
        if estimate is None or self.now_ms - estimate.taken_ms >= ESTIMATE_MS:
            estimate = load_estimate.estimate(
                SERVICE,
                records,
                self._core,
                self._load,
                self._times,
                self.now_ms,
                speeds=self._speeds.sure,
            )
            self._estimate = estimate
        view = ServiceView(
            records,
            estimate.rates,
            estimate.service_ms,
            unresponsive=estimate.unresponsive,
            speeds=self._speeds.sure,
        )
        self._execute(self._core.tick(self.now_ms, {SERVICE: view}, True))

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, StoreMap):
                self._later(STORE_MS, partial(self._stored, action))
            elif isinstance(action, SendGrant):
                self._grant(action)
            elif isinstance(action, SendRelease):
                self._release(action)

    def _stored(self, action: StoreMap) -> None:
        self._revision += 1
        self.tally.moves += sum(
            item.token > self._core.keymap(SERVICE).token for item in action.keymap.moving
        )
        self._core.map_stored(action.keymap, self._revision, self.now_ms)
        self._later(CALL_MS / 2, self._relay_map)

    def _grant(self, call: SendGrant) -> None:
        self._core.grant_sent(call.holder, self.now_ms)
        server = self._servers[call.holder.server_id]
        unresponsive = self._is_unresponsive(server)
        outcome = CallOutcome.NO_ANSWER if unresponsive else CallOutcome.DONE

        def answered() -> None:
            if not unresponsive:
                span = call.range_id.first, call.range_id.last
                server.releases = [
                    item
                    for item in server.releases
                    if not span[0] <= item.range_id.first <= span[1]
                ]
            self._execute(self._core.grant_ended(call, outcome, self.now_ms))
            if not call.renewal:
                self._later(RELAY_MS, self._relay_map)

        self._later(TIMEOUT_MS if unresponsive else CALL_MS, answered)

    def _release(self, call: SendRelease) -> None:
        server = self._servers[call.holder.server_id]
        if self._is_unresponsive(server):
            self._later(TIMEOUT_MS, lambda: self._finish_release(call, CallOutcome.NO_ANSWER))
        else:
            self._later(CALL_MS, lambda: self._begin_release(call, server))

    def _begin_release(self, call: SendRelease, server: _Server) -> None:
        server.releases.append(call)
        self._answer_releases(server)

    def _answer_releases(self, server: _Server) -> None:
        """Answer the releases of key ranges for which no request runs any more."""
        ended = [call for call in server.releases if not _runs(server, call)]
        for call in ended:
            self._finish_release(call, CallOutcome.DONE)

    def _finish_release(self, call: SendRelease, outcome: CallOutcome) -> None:
        self._execute(self._core.release_ended(call, outcome, "", self.now_ms))

    def _relay_map(self) -> None:
        """Update the map that nodes know, and place the requests that waited for keys."""
        self._relayed = self._core.keymap(SERVICE)
        self._granted = self._core.granted(SERVICE)
        waiting, self._waiting = self._waiting, []
        for request in waiting:
            self._place(request)


def _runs(server: _Server, call: SendRelease) -> bool:
    first, last = call.range_id.first, call.range_id.last
    return any(count and first <= key <= last for key, count in server.running.items())
