"""Claims by key in virtual time: noisy servers, hot keys, lost servers, and the real decisions.

Requests name keys. The product's leader deals and moves ranges of keys by what its
reports say; the product's dispatcher gives the slots of each holder. Servers share
their machines: in each span of ``noise_ms`` one works ``noise_factor`` times slower with
chance ``noise_share``. An answer within the objective earns 1, a later one 0.1.
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
    Requester,
    SlotGranted,
    SlotRejected,
    SlotRequest,
    SlotResult,
)
from ploverhatch.gateway.forwarder import (
    LEASE_MARGIN_MS,
    MOVE_FRACTION,
    USEFUL_FRACTION,
    WAIT_FRACTION,
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
from ploverhatch.state.servers import ServerRecord

SERVICE = "claims"
NODE = ("10.0.0.1", 7000)
LATE_CREDIT = 0.1
TAIL_SHARE, TAIL_FACTOR = 0.01, 5.0  # of the requests take so much longer
TICK_MS = 50.0
REPORT_MS = 300.0
READ_MS = 150.0
STORE_MS = 8.0  # to write a map
CALL_MS = 4.0  # to call a server, both ways
TELL_MS = 35.0  # until nodes know of a grant
WARM_UP_MS = 3000.0  # for the first deal and the first grants
TIMEOUT_MS = 600.0  # of a call to a server that says nothing


@dataclass(frozen=True, slots=True)
class HotKeys:
    """For a while, some keys that lie together take a share of the requests."""

    at_ms: float
    for_ms: float
    share: float
    count: int = 1


@dataclass(frozen=True, slots=True)
class SlowServers:
    """For a while, a share of the servers works so much slower; infinite: not at all."""

    at_ms: float
    for_ms: float
    share: float
    factor: float


@dataclass(frozen=True, slots=True)
class KeyScenario:
    """One run; times in milliseconds. The defaults are claims of the shifted deployment.

    ``load`` is the requests over what all servers can complete, their noise counted.
    """

    servers: int = 62
    load: float = 0.55
    slots: int = 3
    speeds: tuple[float, ...] = (0.7, 0.7, 1.6)
    work_ms: float = 160.0
    spread: float = 0.8
    most_ms: float = 1200.0
    objective_ms: float = 619.0
    deadline_ms: float = 1200.0
    noise_share: float = 0.2
    noise_factor: float = 3.0
    noise_ms: float = 400.0
    skew: float = 0.42
    things: int = 60_000
    duration_ms: float = 30_000.0
    hot: tuple[HotKeys, ...] = ()
    slow: tuple[SlowServers, ...] = ()
    limits: PlanLimits = PlanLimits()
    window_ms: float = WINDOW_MS
    seed: int = 1

    @property
    def rate_per_ms(self) -> float:
        """Requests a millisecond."""
        speed = sum(self.speeds[number % len(self.speeds)] for number in range(self.servers))
        noise = 1 + self.noise_share * (self.noise_factor - 1)
        return self.load * speed * self.slots / (self.work_ms * noise)


@dataclass(slots=True)
class KeyTally:
    """What became of the requests, and of the keys."""

    asked: int = 0
    credit: float = 0.0
    late: int = 0
    turned_away: int = 0
    unanswered: int = 0
    moves: int = 0
    keys_moved: int = 0
    by_second: dict[int, list[float]] = field(default_factory=lambda: defaultdict(list))

    def ended(self, after_ms: float, credit: float) -> None:
        """A request ended that came so long after the first one."""
        self.credit += credit
        self.by_second[int(after_ms // 1000)].append(credit)


@dataclass(slots=True)
class _Request:
    number: int
    key: int
    arrived_ms: float
    work_ms: float


@dataclass(slots=True)
class _Server:
    record: ServerRecord
    speed: float
    rank: float  # decides which share of the servers it belongs to
    group: Group
    running: Counter[int] = field(default_factory=Counter)  # keys of requests
    busy: int = 0
    queue: list[_Request] = field(default_factory=list)
    releases: list[SendRelease] = field(default_factory=list)
    times: list[int] = field(default_factory=list)  # since the last report


class KeyWorld:
    """Clock, servers, callers and the leader."""

    def __init__(self, scenario: KeyScenario) -> None:
        self.scenario = scenario
        self.now_ms = 0.0
        self.tally = KeyTally()
        self._rng = random.Random(scenario.seed)
        self._noise = random.Random(scenario.seed + 1)
        self._noisy: dict[tuple[str, int], bool] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._tickets = itertools.count()
        self._sigma = math.sqrt(math.log(1 + scenario.spread**2))
        servers = [self._server(number) for number in range(scenario.servers)]
        self._servers = {server.record.server_id: server for server in servers}
        self._weights = self._draw_weights()
        self._core = LeaderCore(limits=scenario.limits)
        self._load = KeyLoad(scenario.window_ms)
        self._times = AnswerTimes()
        self._reading: LoadEstimate | None = None
        self._revision = 0
        self._sampled: list[int] = []
        self._told = KeyMap(SERVICE)  # as nodes know it
        self._granted: frozenset[int] = frozenset()
        self._waiting: list[_Request] = []  # for keys that change hands
        self._asked: dict[int, _Request] = {}  # for a slot, by number

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
        """Return the things' keys and their cumulated weights."""
        scenario = self.scenario
        keys = [self._rng.randrange(KEY_COUNT) for _ in range(scenario.things)]
        weights = ((rank + 1) ** -scenario.skew for rank in range(scenario.things))
        return keys, list(itertools.accumulate(weights))

    # ---- life ---------------------------------------------------------------------------

    def run(self) -> KeyTally:
        """Play the scenario; the first deal and the first grants come before the callers."""
        self._every(TICK_MS, self._tick)
        self._every(REPORT_MS, self._report)
        self._play_until(WARM_UP_MS)
        self.tally = KeyTally()
        start_ms = self.now_ms
        self._later(0.0, self._arrive)
        self._every(25.0, self._expire)
        self._play_until(start_ms + self.scenario.duration_ms)
        return self.tally

    def _play_until(self, end_ms: float) -> None:
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, event = heapq.heappop(self._events)
            event()
        self.now_ms = end_ms

    def _later(self, delay_ms: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.now_ms + delay_ms, next(self._tickets), event))

    def _every(self, period_ms: float, event: Callable[[], None]) -> None:
        def run() -> None:
            event()
            self._later(period_ms, run)

        self._later(period_ms, run)

    @property
    def _played_ms(self) -> float:
        return self.now_ms - WARM_UP_MS

    # ---- callers ------------------------------------------------------------------------

    def _arrive(self) -> None:
        self._later(self._rng.expovariate(self.scenario.rate_per_ms), self._arrive)
        self.tally.asked += 1
        request = _Request(self.tally.asked, self._draw_key(), self.now_ms, self._draw_work())
        self._sampled.append(request.key)
        self._place(request)

    def _draw_key(self) -> int:
        for hot in self.scenario.hot:
            is_on = hot.at_ms <= self._played_ms < hot.at_ms + hot.for_ms
            if is_on and self._rng.random() < hot.share:
                first = int(hot.at_ms * 37) % KEY_COUNT
                return (first + self._rng.randrange(hot.count) * 3) % KEY_COUNT
        keys, sums = self._weights
        return keys[bisect_right(sums, self._rng.random() * sums[-1])]

    def _draw_work(self) -> float:
        scenario = self.scenario
        mean = math.log(scenario.work_ms) - self._sigma**2 / 2
        work_ms = self._rng.lognormvariate(mean, self._sigma)
        slow = self._rng.random() < TAIL_SHARE
        return min(work_ms * (TAIL_FACTOR if slow else 1.0), scenario.most_ms)

    def _place(self, request: _Request) -> None:
        """Ask for a slot of the key's holder, or wait while it changes hands."""
        item = self._told.find(request.key)
        if item is None or not (item.settled or item.token in self._granted):
            self._waiting.append(request)
            return
        scenario = self.scenario
        server = self._servers[item.holder.server_id]
        start_ms = request.arrived_ms
        wish = SlotRequest(
            Requester(NODE, request.number),
            1,
            start_ms + scenario.objective_ms * USEFUL_FRACTION,
            start_ms + scenario.deadline_ms * WAIT_FRACTION,
            start_ms + scenario.deadline_ms - self.now_ms + LEASE_MARGIN_MS,
            zone="zone",
        )
        self._asked[request.number] = request
        self._take(server, server.group.request_slot(wish, self.now_ms))

    def _take(self, server: _Server, answers: list[SlotResult]) -> None:
        for answer in answers:
            if isinstance(answer, SlotGranted):
                request = self._asked.pop(answer.requester.number)
                self._later(CALL_MS / 2, partial(self._reach, request, server))
            elif isinstance(answer, SlotRejected):
                request = self._asked.pop(answer.requester.number)
                self.tally.turned_away += 1
                self.tally.ended(request.arrived_ms - WARM_UP_MS, 0.0)

    def _expire(self) -> None:
        for server in self._servers.values():
            if server.group.waiting:
                self._take(server, server.group.expire(self.now_ms))
        limit_ms = self.scenario.objective_ms * MOVE_FRACTION
        for request in [r for r in self._waiting if self.now_ms - r.arrived_ms > limit_ms]:
            self._waiting.remove(request)
            self.tally.turned_away += 1
            self.tally.ended(request.arrived_ms - WARM_UP_MS, 0.0)

    # ---- servers ------------------------------------------------------------------------

    def _pace(self, server: _Server) -> float:
        """Return how much longer work takes on a server now."""
        scenario = self.scenario
        span = (server.record.server_id, int(self.now_ms // scenario.noise_ms))
        if span not in self._noisy:
            self._noisy[span] = self._noise.random() < scenario.noise_share
        pace = scenario.noise_factor if self._noisy[span] else 1.0
        for slow in scenario.slow:
            is_on = slow.at_ms <= self._played_ms < slow.at_ms + slow.for_ms
            if is_on and server.rank < slow.share:
                pace *= slow.factor
        return pace / server.speed

    def _is_silent(self, server: _Server) -> bool:
        return math.isinf(self._pace(server))

    def _reach(self, request: _Request, server: _Server) -> None:
        """A request arrives; one for keys that the server gave up goes back to its node."""
        if self._is_silent(server):
            left_ms = request.arrived_ms + self.scenario.deadline_ms - self.now_ms
            self._later(left_ms, lambda: self._lose(request, server))
        elif self._released(server, request.key):
            self._give_back(request, server, 0.0)
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
        self._work(request, server, request.work_ms)

    def _work(self, request: _Request, server: _Server, left_ms: float) -> None:
        """Work until the next change of pace, or to the end."""
        pace = self._pace(server)
        span_ms = self.scenario.noise_ms - self.now_ms % self.scenario.noise_ms
        if left_ms * pace <= span_ms:
            self._later(left_ms * pace, lambda: self._finish(request, server))
        else:
            done_ms = 0.0 if math.isinf(pace) else span_ms / pace
            self._later(span_ms, lambda: self._work(request, server, left_ms - done_ms))

    def _finish(self, request: _Request, server: _Server) -> None:
        server.busy -= 1
        server.running[request.key] -= 1
        if server.queue:
            self._start(server.queue.pop(0), server)
        self._end_releases(server)
        took_ms = self.now_ms - request.arrived_ms + CALL_MS
        if took_ms > self.scenario.deadline_ms:
            self._lose(request, server)
            return
        in_time = took_ms <= self.scenario.objective_ms
        self.tally.late += not in_time
        self.tally.ended(request.arrived_ms - WARM_UP_MS, 1.0 if in_time else LATE_CREDIT)
        server.times.append(round(took_ms))
        self._give_back(request, server, took_ms)

    def _lose(self, request: _Request, server: _Server) -> None:
        """A request ran out of time at a server."""
        self.tally.unanswered += 1
        self.tally.ended(request.arrived_ms - WARM_UP_MS, 0.0)
        self._give_back(request, server, 0.0, unanswered=True)

    def _give_back(
        self, request: _Request, server: _Server, took_ms: float, unanswered: bool = False
    ) -> None:
        asker = Requester(NODE, request.number)
        answers = server.group.release(asker, took_ms, unanswered, self.now_ms, unanswered)
        self._take(server, answers)

    # ---- the leader ---------------------------------------------------------------------

    def _report(self) -> None:
        self._load.add(self.now_ms, self._sampled)
        self._sampled = []
        for name, server in self._servers.items():
            if server.times:
                self._times.add(name, server.times, self.now_ms)
                server.times = []

    def _tick(self) -> None:
        records = [server.record for server in self._servers.values()]
        known = self._reading
        if known is None or self.now_ms - known.taken_ms >= READ_MS:
            known = load_estimate.estimate(
                SERVICE, records, self._core, self._load, self._times, self.now_ms
            )
            self._reading = known
        view = ServiceView(records, known.rates, known.service_ms, unresponsive=known.unresponsive)
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
        self._later(CALL_MS / 2, self._tell)

    def _grant(self, call: SendGrant) -> None:
        self._core.grant_sent(call.holder, self.now_ms)
        server = self._servers[call.holder.server_id]
        silent = self._is_silent(server)
        outcome = CallOutcome.NO_ANSWER if silent else CallOutcome.DONE

        def answered() -> None:
            if not silent:
                span = call.range_id.first, call.range_id.last
                server.releases = [
                    item
                    for item in server.releases
                    if not span[0] <= item.range_id.first <= span[1]
                ]
            self._execute(self._core.grant_ended(call, outcome, self.now_ms))
            if not call.renewal:
                self._later(TELL_MS, self._tell)

        self._later(TIMEOUT_MS if silent else CALL_MS, answered)

    def _release(self, call: SendRelease) -> None:
        server = self._servers[call.holder.server_id]
        if self._is_silent(server):
            self._later(TIMEOUT_MS, lambda: self._released_now(call, CallOutcome.NO_ANSWER))
        else:
            self._later(CALL_MS, lambda: self._begin_release(call, server))

    def _begin_release(self, call: SendRelease, server: _Server) -> None:
        server.releases.append(call)
        self._end_releases(server)

    def _end_releases(self, server: _Server) -> None:
        """Answer the releases of keys on which nothing runs any more."""
        ended = [call for call in server.releases if not _runs(server, call)]
        for call in ended:
            self._released_now(call, CallOutcome.DONE)

    def _released_now(self, call: SendRelease, outcome: CallOutcome) -> None:
        self._execute(self._core.release_ended(call, outcome, "", self.now_ms))

    def _tell(self) -> None:
        """Nodes learn the map; what waited for keys goes on."""
        self._told = self._core.keymap(SERVICE)
        self._granted = self._core.granted(SERVICE)
        waiting, self._waiting = self._waiting, []
        for request in waiting:
            self._place(request)


def _runs(server: _Server, call: SendRelease) -> bool:
    first, last = call.range_id.first, call.range_id.last
    return any(count and first <= key <= last for key, count in server.running.items())
