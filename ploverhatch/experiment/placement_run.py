"""Compares the placement of the product with baselines under events in virtual time.

In this fluid model each key has a Poisson number of requests every second, and loads are smoothed
as by routers. The strategy of the product runs ``ownership.placement.plan`` with the limits of the
product; handovers take effect within the second.
"""

from dataclasses import dataclass, field

import numpy

from ploverhatch.common.keyspace import hash_key
from ploverhatch.experiment.baselines import (
    GreedyWithoutCost,
    HashRing,
    Rendezvous,
    Strategy,
)
from ploverhatch.experiment.range_strategy import KeyRanges
from ploverhatch.ownership.placement import (
    Condition,
    PlacementLimits,
    PlacementView,
    plan,
)
from ploverhatch.policy.compiler import compile_policy
from ploverhatch.routing.load_meter import HOT_KEYS_REPORTED, smoothing_weight
from ploverhatch.state.assignment import AssignmentTable, Slice
from ploverhatch.state.configuration import ServerSpec

GROUP = "stock"
WINDOW_S = 10


@dataclass(frozen=True)
class Scenario:
    """The parameters of a run: sizes, skew, and the times of its events in seconds."""

    name: str
    servers: int
    slots: int
    slices: int
    keys: int
    skew: float
    rate: float
    seed: int = 1
    duration_s: int = 240
    settle_s: int = 30
    hot_key_s: int = 60  # when the rate of the key at ``hot_key_rank`` rises by ``hot_key_factor``
    hot_key_factor: float = 10.0
    hot_key_rank: int = 20
    loss_s: int = 120
    join_s: int = 180


@dataclass
class Outcome:
    """Results of one strategy in one scenario."""

    strategy: str
    imbalance: list[float] = field(default_factory=list)  # busiest server over mean, per window
    floor: list[float] = field(default_factory=list)  # least possible imbalance, per window
    moved: list[float] = field(default_factory=list)  # fraction of keys that moved, per second

    def between(self, values: list[float], start_s: int, end_s: int, step: int) -> list[float]:
        """Return the values between two times; ``values`` has one value per ``step`` seconds."""
        return values[start_s // step : end_s // step]


class ProductPlacement(Strategy):
    """The placement of the product."""

    name = "ploverhatch"

    def __init__(self, hashes: numpy.ndarray, servers: list[str], scenario: Scenario) -> None:
        super().__init__(hashes, servers)
        source = f"group {GROUP} {{ slices {scenario.slices}; draw share 1.0 from servers; }}"
        self._policy = compile_policy(source).table
        self._slots = scenario.slots
        self._table = AssignmentTable()
        self._limits = PlacementLimits()
        self._token = 0
        self._moved_ms: dict = {}
        self._smooth = numpy.zeros(len(hashes))
        self._lost: set[str] = set()

    def lose(self, server: str) -> None:
        """Remove a server without notice."""
        self._lost.add(server)

    def round(self, rates: numpy.ndarray, now_ms: float) -> numpy.ndarray:
        """Plan one round and return the owner of each key."""
        self._smooth += smoothing_weight(1000.0) * (rates - self._smooth)
        for target in plan(self._view(), self._limits, now_ms):
            owners = self._table.overlapping(target.range)
            if owners:
                self._moved_ms[target.range] = now_ms
            self._token += 1
            self._table.put(Slice(target.range, target.server, self._token))
        return self._owners()

    def _owners(self) -> numpy.ndarray:
        slices = self._table.group(GROUP)
        firsts = numpy.array([item.range.first for item in slices], dtype=numpy.uint64)
        names = numpy.array([item.server for item in slices])
        return names[numpy.searchsorted(firsts, self.hashes, side="right") - 1]

    def _view(self) -> PlacementView:
        specs = {
            name: ServerSpec(name, "", 1, "", self._slots, 1, {}, False) for name in self.servers
        }
        conditions = {
            name: Condition.LOST if name in self._lost else Condition.UP for name in self.servers
        }
        return PlacementView(
            policy=self._policy,
            servers=specs,
            conditions=conditions,
            assignments=self._table,
            loads=self._slice_loads(),
            key_loads=self._hot_keys(),
            moved_ms=self._moved_ms,
        )

    def _slice_loads(self) -> dict[tuple[str, int], float]:
        slices = self._table.group(GROUP)
        if not slices:
            return {}
        firsts = numpy.array([item.range.first for item in slices], dtype=numpy.uint64)
        position = numpy.searchsorted(firsts, self.hashes, side="right") - 1
        load = numpy.bincount(position, weights=self._smooth, minlength=len(slices))
        return {
            (GROUP, item.range.first): float(load[number]) for number, item in enumerate(slices)
        }

    def _hot_keys(self) -> dict[tuple[str, int], float]:
        hottest = numpy.argsort(-self._smooth)[:HOT_KEYS_REPORTED]
        return {
            (GROUP, int(self.hashes[number])): float(self._smooth[number]) for number in hottest
        }


def run_scenario(scenario: Scenario) -> list[Outcome]:
    """Run all strategies on the same traffic."""
    hashes = numpy.array(
        [hash_key(GROUP, f"k{number}") for number in range(scenario.keys)], dtype=numpy.uint64
    )
    servers = [f"s{number:03d}" for number in range(scenario.servers)]
    strategies: list[Strategy] = [
        ProductPlacement(hashes, servers, scenario),
        KeyRanges(hashes, servers, scenario.slots, scenario.rate),
        HashRing(hashes, servers),
        Rendezvous(hashes, servers),
        GreedyWithoutCost(hashes, servers),
    ]
    return [_run(scenario, strategy) for strategy in strategies]


def _traffic(scenario: Scenario, second: int) -> numpy.ndarray:
    """Return the expected requests per second of each key at a time."""
    weights = 1.0 / numpy.arange(1, scenario.keys + 1) ** scenario.skew
    rates = scenario.rate * weights / weights.sum()
    if second >= scenario.hot_key_s:
        rates[scenario.hot_key_rank] *= scenario.hot_key_factor
    return rates


def _run(scenario: Scenario, strategy: Strategy) -> Outcome:
    outcome = Outcome(strategy.name)
    rng = numpy.random.default_rng(scenario.seed)
    live = list(strategy.servers)
    previous: numpy.ndarray | None = None
    window = dict.fromkeys(live, 0.0)
    window_keys = numpy.zeros(scenario.keys)
    rates = numpy.zeros(scenario.keys)
    for second in range(scenario.duration_s):
        if second == scenario.loss_s:
            strategy.lose(live[0])
            live = live[1:]
        if second == scenario.join_s:
            strategy.join("joined")
            live = [*live, "joined"]
        owners = strategy.round(rates, second * 1000.0)
        if previous is not None:
            outcome.moved.append(float((owners != previous).mean()))
        previous = owners
        rates = rng.poisson(_traffic(scenario, second)).astype(float)
        window_keys += rates
        for name in live:
            window[name] = window.get(name, 0.0) + float(rates[owners == name].sum())
        if second % WINDOW_S == WINDOW_S - 1:
            loads = [window.get(name, 0.0) for name in live]
            mean = sum(loads) / len(loads)
            outcome.imbalance.append(max(loads) / mean)
            outcome.floor.append(max(1.0, float(window_keys.max()) / mean))
            window = dict.fromkeys(live, 0.0)
            window_keys = numpy.zeros(scenario.keys)
    return outcome
