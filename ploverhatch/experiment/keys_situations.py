"""Registries of situations and of variants of key placement for `keys_world`, both by name."""

import math
from collections.abc import Callable
from dataclasses import replace

from ploverhatch.experiment.keys_world import HotKeys, KeyScenario, SlowServers
from ploverhatch.sharding.planner import PlanLimits

SITUATIONS: dict[str, KeyScenario] = {
    **{f"load {load}": KeyScenario(load=load) for load in (0.45, 0.6, 0.8, 0.95)},
    "10 servers": KeyScenario(servers=10, load=0.6),
    "200 servers": KeyScenario(servers=200, load=0.6, duration_ms=12_000.0),
    "one hot key": KeyScenario(hot=(HotKeys(5000.0, 10_000.0, 0.24),)),
    "200 hot keys": KeyScenario(hot=(HotKeys(5000.0, 10_000.0, 0.35, count=200),)),
    "slow servers": KeyScenario(slow=(SlowServers(10_000.0, 9000.0, 0.4, 12.0),)),
    "silent servers": KeyScenario(slow=(SlowServers(10_000.0, 30_000.0, 0.3, math.inf),)),
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
