"""Which requests may wait for a slot: those whose answer can still come in time, and who else.

The load that this answers: more is asked of servers than they can run. Served first come, first
served, everybody then waits the objective away. Here a request waits only while its answer is
likely to be in time, and a request that would be late waits only where servers are likely to have
room beyond the arrivals that can be in time. All others are rejected at once.

Chances are relative to what the same request would have with a slot at once, since servers may be
so slow, or objectives so tight, that no request is likely to be in time. Times are elapsed
milliseconds. This module does no I/O and reads no clock.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ploverhatch.admission.arrival_rate import ArrivalRates
from ploverhatch.admission.expected_wait import ServerPace, WaitForecast
from ploverhatch.admission.service_times import ServiceTimes
from ploverhatch.admission.slot_requests import SlotRequest, Standing

# The least chance after the expected wait, as a share of the chance without a wait, with which a
# request is queued behind others while more is asked than servers can run.
QUEUED_SHARE = 0.92
# Where less is asked than that, a queue is short and a wait costs nobody a slot, so that a lower
# chance will do: by the load that can be in time, relative to the servers' pace.
ROOM_LOAD = 0.93
NO_ROOM_LOAD = 1.1
# The least chance, as a share of that of a new request, with which one goes before late requests.
IN_TIME_SHARE = 0.5
DEADLINE_CHANCE = 0.5  # the least chance of an answer by the deadline with which one is served
WAY_WEIGHT = 0.1  # of a new measurement in the moving average
MAX_WAY_MS = 100.0  # a longer one is a suspension of a process
LIMITS_KEPT_MS = 50.0  # how long computed limits are used
# Of the service time. A longer way would leave slots idle, so a request is sent before one is free.
HIDDEN_WAY_FRACTION = 0.05
# The least chance that a slot is left for a late request with which it waits, and for one whose
# caller came back when it was told to: it has waited for this already.
DRAIN_CHANCE = 0.85
KEPT_DRAIN_CHANCE = 0.35
SERVICE_VARIANCE = 0.3  # of service times, relative to the square of their mean
MAX_EXPONENT = 50.0  # keeps the exponential finite


@dataclass(slots=True)
class ServersView:
    """What a group's servers are expected to do.

    :param mean_ms: mean service time.
    :param paces: returns what to expect of each server; called when a wait is to be forecast.
    """

    now_ms: float
    mean_ms: float
    paces: Callable[[], Iterable[ServerPace]]
    _forecast: WaitForecast | None = None

    @property
    def forecast(self) -> WaitForecast:
        """The expected waits, if no other requests arrive."""
        if self._forecast is None:
            self._forecast = WaitForecast.of(self.paces())
        return self._forecast


@dataclass(slots=True)
class ObjectiveRule:
    """Decides who may wait, from what one group's requests have shown."""

    service_times: ServiceTimes = field(default_factory=ServiceTimes)
    arrivals: ArrivalRates = field(default_factory=ArrivalRates)
    way_ms: float = 0.0  # that requests spend on messages beside their service time
    _limits_ms: dict[tuple[float, float, bool], float] = field(default_factory=dict)
    _limits_taken_ms: float = -math.inf
    _limits_mean_ms: float = 0.0

    def note_way(self, way_ms: float) -> None:
        """Record how much longer a slot was in use than its server worked."""
        way_ms = min(max(way_ms, 0.0), MAX_WAY_MS)
        self.way_ms += WAY_WEIGHT * (way_ms - self.way_ms)

    def places_per_server(self, servers: int, mean_ms: float) -> int:
        """Return how many requests may wait at a server to hide the way there.

        :param servers: the number of servers of the group. Where there is only one, a request
            loses no other slot by waiting there.
        """
        return 1 if servers == 1 or self.way_ms > HIDDEN_WAY_FRACTION * mean_ms else 0

    def is_in_time(self, request: SlotRequest, servers: ServersView) -> bool:
        """Return whether a request's answer is likely enough to be in time to go first."""
        if not request.objective_ms:
            return request.useful_until_ms > servers.now_ms
        needed_ms = self._needed_ms(request.objective_ms, IN_TIME_SHARE, True, servers)
        # Servers that seem too slow for any request get new ones all the same: only their answers
        # show whether they still are.
        needed_ms = min(needed_ms, IN_TIME_SHARE * request.objective_ms)
        return servers.now_ms + needed_ms <= request.in_time_until_ms

    def has_room(self, request: SlotRequest, servers: ServersView) -> bool:
        """Return whether a late request may use a slot that is free while nobody waits."""
        if request.standing is Standing.EARLY:
            return False
        arrivals_per_ms = self.arrivals.per_ms(servers.now_ms)
        return arrivals_per_ms < ROOM_LOAD * servers.forecast.per_ms()

    def may_queue(self, request: SlotRequest, ahead: int, servers: ServersView) -> bool:
        """Return whether a request that can be in time may wait behind so many others."""
        if not ahead:  # Somebody has to wait, so that no server is idle.
            return True
        left_ms = request.in_time_until_ms - servers.now_ms
        needed_ms = self._needed_ms(left_ms, self._queued_share(servers), False, servers)
        return self._wait_ms(request, ahead, servers) + needed_ms <= left_ms

    def _queued_share(self, servers: ServersView) -> float:
        """Return the least share of its chance with which a request is queued at this load."""
        pace_per_ms = servers.forecast.per_ms()
        load = self.arrivals.per_ms(servers.now_ms) / pace_per_ms if pace_per_ms else math.inf
        excess = min(max((load - ROOM_LOAD) / (NO_ROOM_LOAD - ROOM_LOAD), 0.0), 1.0)
        return IN_TIME_SHARE + (QUEUED_SHARE - IN_TIME_SHARE) * excess

    def _wait_ms(self, request: SlotRequest, ahead: int, servers: ServersView) -> float:
        """Return the expected wait of a request while more urgent ones arrive."""
        pace_per_ms = servers.forecast.per_ms()
        spare_per_ms = pace_per_ms - self.arrivals.per_ms(servers.now_ms, request.priority)
        if spare_per_ms <= 0:
            return math.inf
        return servers.forecast.wait_ms(ahead) * pace_per_ms / spare_per_ms

    def may_be_late(self, request: SlotRequest, ahead: int, servers: ServersView) -> bool:
        """Return whether a request may be served late, behind so many others.

        It may if it is likely that all that may go first are served in time for its deadline.
        """
        needed_ms = servers.mean_ms * self.service_times.quantile(DEADLINE_CHANCE) + self.way_ms
        left_ms = min(
            request.deadline_ms - needed_ms - servers.now_ms, request.expires_ms - servers.now_ms
        )
        kept = request.standing is Standing.KEPT
        least = KEPT_DRAIN_CHANCE if kept else DRAIN_CHANCE
        return self._drain_chance(ahead, left_ms, servers) >= least

    def _drain_chance(self, ahead: int, left_ms: float, servers: ServersView) -> float:
        """Return the chance that a slot is left for a late request within some time.

        All that wait and all that arrive meanwhile and can be in time go first. The queue is taken
        for a Brownian motion with the drift and the variance of arrivals and ends; the chance is
        that of its first passage to an empty queue.
        """
        pace_per_ms = servers.forecast.per_ms(left_ms / 2)
        left_ms -= servers.forecast.starts_ms
        if left_ms <= 0 or pace_per_ms <= 0:
            return 0.0
        arrivals_per_ms = self.arrivals.per_ms(servers.now_ms)
        level = ahead + 1.0
        drift = (pace_per_ms - arrivals_per_ms) * left_ms
        variance = (arrivals_per_ms + pace_per_ms * SERVICE_VARIANCE) * left_ms
        deviation = math.sqrt(variance)
        exponent = min(2 * drift * level / variance, MAX_EXPONENT)
        return _normal((drift - level) / deviation) + math.exp(exponent) * _normal(
            -(drift + level) / deviation
        )

    def _needed_ms(
        self, available_ms: float, share: float, kept: bool, servers: ServersView
    ) -> float:
        """Return the time within which this share of the requests is answered.

        :param available_ms: only requests that are answered within this time count.
        :param kept: whether the result is used for some time.
        """
        if (
            servers.now_ms - self._limits_taken_ms > LIMITS_KEPT_MS
            or servers.mean_ms != self._limits_mean_ms
        ):
            self._limits_ms.clear()
            self._limits_taken_ms, self._limits_mean_ms = servers.now_ms, servers.mean_ms
        name = (available_ms, share, kept)
        known_ms = self._limits_ms.get(name)
        if known_ms is None:
            relative = (available_ms - self.way_ms) / servers.mean_ms
            chance = share * self.service_times.chance_within(relative)
            known_ms = servers.mean_ms * self.service_times.quantile(chance) + self.way_ms
            if kept:
                self._limits_ms[name] = known_ms
        return known_ms


def _normal(deviations: float) -> float:
    """Return the standard normal distribution."""
    return 0.5 * math.erfc(-deviations / math.sqrt(2))
