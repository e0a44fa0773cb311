"""Registries of situations and of variants of key placement for `keys_world`, both by name."""

import math
from collections.abc import Callable
from dataclasses import replace

from ploverhatch.experiment.keys_world import HotKeys, KeyScenario, SlowServers
from ploverhatch.sharding.planner import PlanLimits

# Short objectives on servers of few slots and of two speeds.
UNEVEN = KeyScenario(
    servers=78,
    slots=2,
    service_ms=110.0,
    objective_ms=257.0,
    deadline_ms=1029.0,
    duration_ms=20_000.0,
)

SITUATIONS: dict[str, KeyScenario] = {
    **{f"load {load}": KeyScenario(load=load) for load in (0.45, 0.6, 0.8, 0.95)},
    "10 servers": KeyScenario(servers=10, load=0.6),
    "200 servers": KeyScenario(servers=200, load=0.6, duration_ms=12_000.0),
    "one hot key": KeyScenario(hot=(HotKeys(5000.0, 10_000.0, 0.24),)),
    "200 hot keys": KeyScenario(hot=(HotKeys(5000.0, 10_000.0, 0.35, count=200),)),
    "slow servers": KeyScenario(slow=(SlowServers(10_000.0, 9000.0, 0.4, 12.0),)),
    "silent servers": KeyScenario(slow=(SlowServers(10_000.0, 30_000.0, 0.3, math.inf),)),
    "uneven, load 0.55": replace(UNEVEN, load=0.55),
    "uneven, load 0.7": replace(UNEVEN, load=0.7),
    "uneven, new leader": replace(UNEVEN, load=0.7, leader_change_ms=10_000.0),
    "uneven, new map": replace(UNEVEN, load=0.7, knows_speeds=True),
    "equal, load 0.7": replace(UNEVEN, load=0.7, speeds=(1.0,)),
}

Variant = Callable[[KeyScenario, int], KeyScenario]
VARIANTS: dict[str, Variant] = {}


def variant(name: str) -> Callable[[Variant], Variant]:
    """Return a decorator that registers a variant under a name."""

    def add(change: Variant) -> Variant:
        VARIANTS[name] = change
        return change

    return add


@variant("as it is")
def as_it_is(scenario: KeyScenario, seed: int) -> KeyScenario:
    """Use the limits of the product."""
    return replace(scenario, seed=seed)


@variant("window of 3 s, any gap")
def any_gap(scenario: KeyScenario, seed: int) -> KeyScenario:
    """Use rates over 3 s, and don't test whether a gap in load exceeds chance variation."""
    limits = PlanLimits(gap_deviations=0.0, window_s=3.0)
    return replace(scenario, seed=seed, limits=limits, window_ms=3000.0)


@variant("surer gap")
def surer_gap(scenario: KeyScenario, seed: int) -> KeyScenario:
    """Require a gap in load of four standard deviations."""
    return replace(scenario, seed=seed, limits=PlanLimits(gap_deviations=4.0))


@variant("dealt once")
def dealt_once(scenario: KeyScenario, seed: int) -> KeyScenario:
    """Assign equal ranges per slot once, and never rebalance."""
    return replace(scenario, seed=seed, limits=PlanLimits(high_utilisation=math.inf))


@variant("speeds not learned")
def no_speeds(scenario: KeyScenario, seed: int) -> KeyScenario:
    """Place keys by the answer times of the last seconds alone."""
    return replace(scenario, seed=seed, learns_speeds=False)


@variant("speeds lost with the leader")
def lost_speeds(scenario: KeyScenario, seed: int) -> KeyScenario:
    """Have each leader learn the speeds anew."""
    return replace(scenario, seed=seed, keeps_speeds=False)
