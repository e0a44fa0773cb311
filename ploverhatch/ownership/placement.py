"""Placement: decides which server should own each slice.

The result depends only on the servers, the slices with their measured load and the
compiled policy; this module does no I/O and reads no clock. Loads are in requests per
second; utilization is load divided by the slots that a group may use on a server. A
move must reduce the highest utilization by a minimum, moves of one slice are separated
by a minimum interval, and the number of moves per round is bounded.
"""

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from ploverhatch.common.keyspace import SliceRange, even_ranges, hash_key
from ploverhatch.policy.syntax import Draw, Group, matches
from ploverhatch.policy.table import PolicyTable
from ploverhatch.state.assignment import AssignmentTable, Slice
from ploverhatch.state.configuration import ServerSpec

MAX_SOURCES_TRIED = 4
PIECE_FRACTION = 0.06  # of the mean load per server
MAX_PIECES = 8
MAX_SLICES_PER_SERVER = 16


class Condition(Enum):
    """Condition of a server as the control leader knows it."""

    UP = "up"
    DRAINING = "draining"
    UNCERTAIN = "uncertain"  # unresponsive, and its lease may still be valid
    LOST = "lost"  # unresponsive, and its lease has expired


@dataclass(frozen=True)
class PlacementLimits:
    """Bounds on the number and frequency of moves."""

    moves_per_round: int = 8
    move_interval_ms: float = 10_000.0
    imbalance_target: float = 1.08
    min_gain_fraction: float = 0.02  # cut of the highest utilization, relative to the mean
    noise_deviations: float = 3.5  # standard deviations; a smaller excess may be random
    smoothing_ms: float = 8000.0  # time constant of the measured rates
    hot_key_fraction: float = 0.25  # of the mean load per server


@dataclass(frozen=True)
class PlacementView:
    """Input of a placement round.

    ``moved_ms`` holds the time of the last move of each range, and ``moving`` the ranges
    whose move is not complete.
    """

    policy: PolicyTable
    servers: dict[str, ServerSpec]
    conditions: dict[str, Condition]
    assignments: AssignmentTable
    loads: dict[tuple[str, int], float] = field(default_factory=dict)  # by (group, first hash)
    key_loads: dict[tuple[str, int], float] = field(default_factory=dict)  # by (group, hash)
    key_labels: dict[str, dict[str, dict[str, str]]] = field(default_factory=dict)
    moved_ms: dict[SliceRange, float] = field(default_factory=dict)
    moving: frozenset[SliceRange] = frozenset()


@dataclass(frozen=True)
class Target:
    """A planned assignment of ``range`` to ``server``; ``reason`` is shown to operators."""

    range: SliceRange
    server: str
    reason: str


class _GroupPlan:
    """Loads and capacities of one group while a round is planned."""

    def __init__(self, view: PlacementView, group: Group) -> None:
        self.view = view
        self.group = group
        self.general_draws = tuple(draw for draw in group.draws if draw.keys is None)
        self.slices = view.assignments.group(group.name)
        known = sum(view.loads.get((group.name, item.range.first), 0.0) for item in self.slices)
        # A small base load per slice spreads the slices without measured load as well.
        self.base_load = max(known, 1.0) * 0.02 / max(len(self.slices), group.slices, 1)
        self.capacity = self.capacities(self.general_draws)
        self.load: dict[str, float] = defaultdict(float)
        for item in self.slices:
            if item.server:
                self.load[item.server] += self.slice_load(item.range)

    def capacities(self, draws: tuple[Draw, ...]) -> dict[str, float]:
        result: dict[str, float] = {}
        for name, spec in self.view.servers.items():
            if self.view.conditions.get(name) is not Condition.UP:
                continue
            shares = [d.share for d in draws if matches(d.servers, spec.selector_labels)]
            if shares:
                result[name] = spec.slots * max(shares)
        return result

    def slice_load(self, span: SliceRange) -> float:
        measured = self.view.loads.get((span.group, span.first), 0.0)
        return measured + self.base_load

    def utilization(self, server: str, extra: float = 0.0) -> float:
        return (self.load[server] + extra) / self.capacity[server]

    def least_utilized(self, extra: float, among: dict[str, float] | None = None) -> str | None:
        candidates = among if among is not None else self.capacity
        if not candidates:
            return None
        return min(
            candidates,
            key=lambda name: ((self.load[name] + extra) / candidates[name], name),
        )

    def mean_utilization(self) -> float:
        total = sum(self.load[name] for name in self.capacity)
        return total / max(sum(self.capacity.values()), 1e-9)

    def move_load(self, amount: float, source: str, target: str) -> None:
        if source:
            self.load[source] -= amount
        self.load[target] += amount


def plan(view: PlacementView, limits: PlacementLimits, now_ms: float) -> list[Target]:
    """Return the planned changes of ownership.

    While a group has urgent changes (a lost or draining owner, a labelled key on the
    wrong server), it is not rebalanced.
    """
    targets: list[Target] = []
    for group in view.policy.groups.values():
        targets += _plan_group(_GroupPlan(view, group), limits, now_ms)
    return targets


def _plan_group(plan_: _GroupPlan, limits: PlacementLimits, now_ms: float) -> list[Target]:
    if not plan_.slices:
        return _first_placement(plan_)
    urgent = _reassign_lost(plan_)
    urgent += _move_from_drained(plan_)
    urgent += _move_labelled_keys(plan_)
    if urgent:
        return urgent
    return _rebalance(plan_, limits, now_ms)


def _first_placement(plan_: _GroupPlan) -> list[Target]:
    targets = []
    for span in even_ranges(plan_.group.name, plan_.group.slices):
        server = plan_.least_utilized(plan_.base_load)
        if server is None:
            return []
        plan_.move_load(plan_.base_load, "", server)
        targets.append(Target(span, server, "first placement"))
    return targets


def _eligible(plan_: _GroupPlan, span: SliceRange) -> dict[str, float]:
    """Return the capacities of the servers that may own a range.

    Only a range of a single key may be restricted, by the labels of that key.
    """
    if span.first != span.last:
        return plan_.capacity
    for draws, key_hash in _selected_keys(plan_):
        if key_hash == span.first:
            return plan_.capacities(draws) or plan_.capacity
    return plan_.capacity


def _pieces(plan_: _GroupPlan, item: Slice) -> list[SliceRange]:
    """Split a slice that has to move, so that its load can be spread evenly.

    Moving the slices of a lost server whole would overload a few other servers, and
    rebalancing these would move the keys a second time.
    """
    span, servers = item.range, len(plan_.capacity)
    crowded = len(plan_.slices) >= MAX_SLICES_PER_SERVER * max(servers, 1)
    mean_load = sum(plan_.load[name] for name in plan_.capacity) / max(servers, 1)
    if crowded or mean_load <= 0 or span.last - span.first < MAX_PIECES:
        return [span]
    unit = PIECE_FRACTION * mean_load
    count = min(MAX_PIECES, math.ceil(plan_.slice_load(span) / unit))
    width = (span.last - span.first + 1) // count
    firsts = [span.first + number * width for number in range(count)]
    lasts = [*(first - 1 for first in firsts[1:]), span.last]
    return [SliceRange(span.group, first, last) for first, last in zip(firsts, lasts, strict=True)]


def _reassign_pieces(plan_: _GroupPlan, item: Slice, reason: str) -> list[Target]:
    """Assign the pieces of a slice to the least utilized servers."""
    pieces = _pieces(plan_, item)
    if len(pieces) == 1:
        target = _reassign(plan_, item, reason)
        return [target] if target else []
    amount = plan_.slice_load(item.range) / len(pieces)
    targets = []
    for piece in pieces:
        server = plan_.least_utilized(amount)
        if server is not None:
            plan_.move_load(amount, item.server, server)
            targets.append(Target(piece, server, reason))
    return targets


def _reassign(plan_: _GroupPlan, item: Slice, reason: str) -> Target | None:
    amount = plan_.slice_load(item.range)
    server = plan_.least_utilized(amount, _eligible(plan_, item.range))
    if server is None or server == item.server:
        return None
    plan_.move_load(amount, item.server, server)
    return Target(item.range, server, reason)


def _largest_first(plan_: _GroupPlan) -> list[Slice]:
    """Return the slices by descending load; placing small ones last evens out the load."""
    return sorted(plan_.slices, key=lambda item: -plan_.slice_load(item.range))


def _reassign_lost(plan_: _GroupPlan) -> list[Target]:
    conditions = plan_.view.conditions
    found: list[Target] = []
    for item in _largest_first(plan_):
        if overlaps_any(item.range, plan_.view.moving):
            continue
        orphan = not item.server or conditions.get(item.server) is Condition.LOST
        if orphan:
            found += _reassign_pieces(plan_, item, "owner lost")
    return found


def _move_from_drained(plan_: _GroupPlan) -> list[Target]:
    conditions = plan_.view.conditions
    found = []
    for item in _largest_first(plan_):
        if item.range in plan_.view.moving:
            continue
        condition = conditions.get(item.server)
        allowed = condition is not Condition.UP or item.server in _eligible(plan_, item.range)
        if condition is Condition.DRAINING or not allowed and condition is Condition.UP:
            found.append(_reassign(plan_, item, "owner leaves or is not selected"))
    return [target for target in found if target]


def _selected_keys(plan_: _GroupPlan) -> list[tuple[tuple[Draw, ...], int]]:
    """Return the hashes of the keys that draws with a key selector match, with these draws."""
    selecting = [draw for draw in plan_.group.draws if draw.keys is not None]
    if not selecting:
        return []
    result = []
    for key, labels in plan_.view.key_labels.get(plan_.group.name, {}).items():
        draws = tuple(draw for draw in selecting if matches(draw.keys, labels))
        if draws:
            result.append((draws, hash_key(plan_.group.name, key)))
    return result


def _move_labelled_keys(plan_: _GroupPlan) -> list[Target]:
    targets = []
    for draws, key_hash in _selected_keys(plan_):
        span = SliceRange(plan_.group.name, key_hash, key_hash)
        owner = plan_.view.assignments.find(plan_.group.name, key_hash)
        among = plan_.capacities(draws)
        if owner is None or not among or owner.server in among:
            continue
        if any(moving.contains(key_hash) for moving in plan_.view.moving):
            continue
        server = plan_.least_utilized(plan_.base_load, among)
        if server is not None:
            plan_.move_load(plan_.base_load, owner.server, server)
            targets.append(Target(span, server, "key label selects other servers"))
    return targets


def _rebalance(plan_: _GroupPlan, limits: PlacementLimits, now_ms: float) -> list[Target]:
    targets: list[Target] = []
    moving: set[SliceRange] = set(plan_.view.moving)
    while len(targets) < limits.moves_per_round and len(plan_.capacity) > 1:
        target = _best_move(plan_, limits, now_ms, moving)
        if target is None:
            break
        moving.add(target.range)
        targets.append(target)
    return targets


def _best_move(
    plan_: _GroupPlan, limits: PlacementLimits, now_ms: float, moving: set[SliceRange]
) -> Target | None:
    """Return the best move away from one of the busiest servers, or ``None``.

    A server whose load comes from a single hot key cannot be relieved by a move, so
    the next busiest servers are tried as well.
    """
    mean = plan_.mean_utilization()
    if mean <= 0:
        return None
    threshold = max(limits.imbalance_target, 1 + limits.noise_deviations * _noise(plan_, limits))
    idlest = min(plan_.capacity, key=lambda name: (plan_.utilization(name), name))
    by_load = sorted(plan_.capacity, key=lambda name: (-plan_.utilization(name), name))
    for source in by_load[:MAX_SOURCES_TRIED]:
        if plan_.utilization(source) < threshold * mean:
            return None
        target = _relieve(plan_, limits, source, idlest, now_ms, moving)
        if target is not None:
            return target
    return None


def _noise(plan_: _GroupPlan, limits: PlacementLimits) -> float:
    """Return the relative standard deviation of the measured load of a server.

    The standard deviation of a count of independent requests is its square root;
    smoothing with time constant T averages over about 2 T.
    """
    mean_rate = sum(plan_.load[name] for name in plan_.capacity) / len(plan_.capacity)
    counted = mean_rate * 2 * limits.smoothing_ms / 1000
    return float(max(counted, 1.0) ** -0.5)


def _relieve(
    plan_: _GroupPlan,
    limits: PlacementLimits,
    source: str,
    idlest: str,
    now_ms: float,
    moving: set[SliceRange],
) -> Target | None:
    high, low = plan_.utilization(source), plan_.utilization(idlest)
    best: tuple[float, SliceRange, float, str] | None = None
    for span, amount, reason in _movable(plan_, limits, source, now_ms, moving):
        after = max(high - amount / plan_.capacity[source], low + amount / plan_.capacity[idlest])
        gain = high - after
        if best is None or gain > best[0]:
            best = (gain, span, amount, reason)
    if best is None or best[0] < limits.min_gain_fraction * plan_.mean_utilization():
        return None
    _, span, amount, reason = best
    plan_.move_load(amount, source, idlest)
    return Target(span, idlest, reason)


def _movable(
    plan_: _GroupPlan,
    limits: PlacementLimits,
    server: str,
    now_ms: float,
    moving: set[SliceRange],
) -> list[tuple[SliceRange, float, str]]:
    """Return the ranges that may move: whole slices, halves of slices and hot keys.

    Each range comes with its load in requests per second and the reason for the move.
    """
    view = plan_.view
    hot = _hot_keys(plan_, limits)
    found: list[tuple[SliceRange, float, str]] = []
    for item in plan_.slices:
        span = item.range
        moved_recently = now_ms - view.moved_ms.get(span, float("-inf")) < limits.move_interval_ms
        if item.server != server or moved_recently or overlaps_any(span, moving):
            continue
        amount = plan_.slice_load(span)
        found.append((span, amount, "balance"))
        inside = [(key, rate) for key, rate in hot if span.contains(key) and span.first < span.last]
        for key, rate in inside:
            point = SliceRange(span.group, key, key)
            found.append((point, min(rate, amount), "hot key"))
        rest = amount - sum(rate for _, rate in inside)
        if not inside and span.last > span.first:
            middle = (span.first + span.last) // 2
            found.append((SliceRange(span.group, span.first, middle), rest / 2, "split"))
    return found


def overlaps_any(span: SliceRange, others: Iterable[SliceRange]) -> bool:
    """Tell whether a range overlaps one of ``others``."""
    return any(
        other.group == span.group and other.first <= span.last and span.first <= other.last
        for other in others
    )


def _hot_keys(plan_: _GroupPlan, limits: PlacementLimits) -> list[tuple[int, float]]:
    mean_load = sum(plan_.load[name] for name in plan_.capacity) / max(len(plan_.capacity), 1)
    floor = limits.hot_key_fraction * mean_load
    return [
        (key_hash, rate)
        for (group, key_hash), rate in plan_.view.key_loads.items()
        if group == plan_.group.name and rate >= floor
    ]
