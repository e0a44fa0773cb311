"""Planning of moves: which keys should be held by which server.

A server's *utilisation* is its requests per second times its service time, divided by its slots.
The keys of servers that leave go to the least utilised servers. A server that is much busier than
the idlest one gives up the narrowest range that balances them, since a hot range is usually narrow
and requests have to wait while their keys move.

This module does no I/O and reads no clock.
"""

import math
from bisect import bisect_left, bisect_right
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from ploverhatch.sharding.keymap import KEY_COUNT, Holder, KeyMap, KeyRange, Move
from ploverhatch.sharding.load import WINDOW_MS

MAX_RANGES = 400  # a map with this many ranges is not divided further
MERGE_ABOVE_RANGES = 100  # a map with more ranges is merged
MAX_MERGE_MOVES = 4  # in one round
NARROW_KEYS = 512  # an idle range of at most this width returns to its neighbours' holder
IDLE_UTILISATION = 0.02
MAX_LOST_PIECES = 4  # pieces into which the range of a lost holder is divided
DOMINANT_UTILISATION = 0.6  # a key that uses more of a server is *dominant* and gets it alone
FULL_UTILISATION = 0.9  # a move fills its target no further, unless all servers are as busy
OVERLOADED_UTILISATION = 1.5  # requests in excess of it wait in vain, chance variation included
FASTER_FRACTION = 0.8  # a clearly faster server has less than this part of another's cost
DEFAULT_SERVICE_MS = 100.0  # service time of a server without answers so far
# Part of a server's speed that counts twice. At the same utilisation, a slow server answers late
# more often, since each answer takes longer.
SPEED_EXPONENT = 0.4
KEY_WEIGHT = 0.2  # utilisation that holding all keys counts as, so that idle keys are spread


@dataclass(frozen=True, slots=True)
class PlanLimits:
    """Thresholds for moves that balance servers.

    Keys move away only from a server of at least ``high_utilisation``. The utilisations of the
    busiest and the idlest server must differ by at least ``min_gap``, and by ``gap_deviations``
    standard deviations of the chance variation of counts over ``window_s`` seconds: each move makes
    callers wait while the keys move, and between equally busy servers it gains nothing. A round
    has at most ``max_moves`` such moves.

    On 62 servers of three speeds with noise, in simulated time, a ``gap_deviations`` of 0 with
    rates over 3 s makes 300 moves in 30 s at a load of 0.45, and the defaults make 160 with the
    same mean credit (1 for a request answered in time, less for a late answer). A
    ``gap_deviations`` of 4.0 makes 77 moves, but loses 0.008 of the credit at a load of 0.9.
    Twice or four times ``max_moves`` changes the credit by at most 0.005.
    """

    high_utilisation: float = 0.55
    min_gap: float = 0.25
    gap_deviations: float = 2.5
    window_s: float = WINDOW_MS / 1000
    max_moves: int = 6


@dataclass(frozen=True, slots=True)
class Candidate:
    """A server that may hold keys."""

    holder: Holder
    slots: int
    service_ms: float
    limited: bool = False  # it announced a rate limit, from which ``service_ms`` follows
    speed: float = 1.0  # relative to the usual server, where it surely differs

    @property
    def cost_ms(self) -> float:
        """Milliseconds of the whole server that one request uses, more on a slow server."""
        return self.service_ms / self.slots / self.speed**SPEED_EXPONENT

    @property
    def initial_weight(self) -> float:
        """Part of the keys that it is assigned first, relative to other servers."""
        return self.slots * self.speed ** (1 + SPEED_EXPONENT)

    def utilisation(self, rate: float) -> float:
        """Return the utilisation at ``rate`` requests per second."""
        return rate * self.cost_ms / 1000

    def utilisation_deviation(self, rate: float, window_s: float) -> float:
        """Return the standard deviation of the utilisation, by chance, at a counted rate."""
        return self.utilisation(math.sqrt(rate / window_s))


@dataclass(slots=True)
class _Share:
    """The load and the number of keys of one candidate, after the moves planned so far."""

    candidate: Candidate
    rate: float = 0.0
    keys: int = 0

    @property
    def utilisation(self) -> float:
        return self.candidate.utilisation(self.rate)

    @property
    def pressure(self) -> float:
        """Utilisation plus a small share for the number of keys."""
        return self.utilisation + KEY_WEIGHT * self.keys / KEY_COUNT


def initial_pieces(candidates: Sequence[Candidate]) -> list[Move]:
    """Return an assignment of all keys, by slots and by speed where that is known."""
    total = sum(candidate.initial_weight for candidate in candidates)
    pieces = []
    start = 0
    weight_placed = 0.0
    for candidate in candidates:
        weight_placed += candidate.initial_weight
        end = int(KEY_COUNT * weight_placed // total)
        if candidate is candidates[-1]:
            end = KEY_COUNT  # whatever the rounding of the sums
        if end > start:
            pieces.append(Move(start, end - 1, candidate.holder))
        start = end
    return pieces


class _Plan:
    """The shares of candidates and the moves of the round that is planned."""

    def __init__(
        self,
        keymap: KeyMap,
        candidates: Sequence[Candidate],
        rates: Mapping[int, float],
        limits: PlanLimits,
    ) -> None:
        self.limits = limits
        self.keys = sorted(rates)
        self.rates = rates
        self.shares = {item.holder.server_id: _Share(item) for item in candidates}
        self.moves: list[Move] = []
        self.handled: set[int] = set()  # keys that this round has decided on
        self.dominated: set[str] = set()  # servers that a dominant key has for itself
        for item in keymap.ranges:
            share = self.shares.get(item.holder.server_id)
            if share is not None:
                share.rate += self.rate_of(item.first, item.last)
                share.keys += item.width

    def unlimited_shares(self) -> list[_Share]:
        """Return the shares of servers without a dominant key and without a rate limit."""
        return [
            share
            for name, share in self.shares.items()
            if name not in self.dominated and not share.candidate.limited
        ]

    def keys_within(self, first: int, last: int) -> list[int]:
        return self.keys[bisect_left(self.keys, first) : bisect_right(self.keys, last)]

    def rate_of(self, first: int, last: int) -> float:
        return sum(self.rates[key] for key in self.keys_within(first, last))

    def least_loaded_with(self, first: int, last: int) -> _Share:
        """Return the share that has the least pressure once it has these keys too."""
        rate = self.rate_of(first, last)
        return min(
            self.shares.values(),
            key=lambda share: share.pressure + share.candidate.utilisation(rate),
        )

    def assign(self, first: int, last: int, target: _Share, source: _Share | None = None) -> None:
        rate = self.rate_of(first, last)
        target.rate += rate
        target.keys += last - first + 1
        if source is not None:
            source.rate -= rate
            source.keys -= last - first + 1
        self.moves.append(Move(first, last, target.candidate.holder))


def plan_moves(
    keymap: KeyMap,
    candidates: Sequence[Candidate],
    rates: Mapping[int, float],
    pinned: Collection[int] = (),
    limits: PlanLimits | None = None,
) -> list[Move]:
    """Return the moves of one round.

    :param candidates: servers that may hold keys; other holders lose their keys.
    :param rates: requests per second by key.
    :param pinned: dominant keys that moved recently and stay where they are.
    """
    if not candidates:
        return []
    plan = _Plan(keymap, candidates, rates, limits or PlanLimits())
    _reassign_lost(plan, keymap)
    if not plan.moves and len(keymap.ranges) < MAX_RANGES:
        _relieve_limited(plan, keymap, pinned)
        _isolate_dominant(plan, keymap, pinned)
        _balance(plan, keymap)
    if not plan.moves and len(keymap.ranges) > MERGE_ABOVE_RANGES:
        _merge_ranges(plan, keymap)
    return plan.moves


def has_overloaded(
    keymap: KeyMap, candidates: Sequence[Candidate], rates: Mapping[int, float]
) -> bool:
    """Whether a server is asked for far more than it can run, by keys that others could take.

    A dominant key doesn't count: it overloads whichever server holds it.
    """
    known = {candidate.holder.server_id: candidate for candidate in candidates}
    used = dict.fromkeys(known, 0.0)
    for key, rate in rates.items():
        item = keymap.find(key)
        candidate = known.get(item.holder.server_id) if item else None
        if candidate is None:
            continue
        utilisation = candidate.utilisation(rate)
        if utilisation < DOMINANT_UTILISATION:
            used[candidate.holder.server_id] += utilisation
    return max(used.values(), default=0.0) >= OVERLOADED_UTILISATION


def _reassign_lost(plan: _Plan, keymap: KeyMap) -> None:
    """Assign the keys of holders that are no candidates."""
    lost = [item for item in keymap.ranges if item.holder.server_id not in plan.shares]
    for item in sorted(lost, key=lambda item: -plan.rate_of(item.first, item.last)):
        for first, last in _split_lost(plan, item):
            plan.assign(first, last, plan.least_loaded_with(first, last))


def _split_lost(plan: _Plan, item: KeyRange) -> list[tuple[int, int]]:
    """Return a range in at most ``MAX_LOST_PIECES`` pieces of about equal load."""
    keys = plan.keys_within(item.first, item.last)
    count = min(MAX_LOST_PIECES, len(plan.shares), item.width)
    total = plan.rate_of(item.first, item.last)
    if count < 2 or total <= 0 or len(keys) < count:
        return [(item.first, item.last)]
    pieces: list[tuple[int, int]] = []
    first = item.first
    gathered = 0.0
    for key in keys:
        gathered += plan.rates[key]
        done = len(pieces) + 1
        if done < count and gathered >= total * done / count and key < item.last:
            pieces.append((first, key))
            first = key + 1
    pieces.append((first, item.last))
    return pieces


def _relieve_limited(plan: _Plan, keymap: KeyMap, pinned: Collection[int]) -> None:
    """Move keys that are too much for a server with a rate limit to servers without one.

    ``_balance`` does not move such a key, since the move would make the other server the busier
    one.
    """
    free = [share for share in plan.shares.values() if not share.candidate.limited]
    if not free:
        return
    limited = [share for share in plan.shares.values() if share.candidate.limited]
    for share in limited:
        keys = [
            key
            for item in keymap.held_by(share.candidate.holder.server_id)
            if item.settled
            for key in plan.keys_within(item.first, item.last)
            if share.candidate.utilisation(plan.rates[key]) >= DOMINANT_UTILISATION
            and key not in pinned
        ]
        for key in sorted(keys, key=lambda key: -plan.rates[key]):
            if len(plan.moves) >= plan.limits.max_moves:
                return
            rate = plan.rates[key]
            target = min(free, key=lambda other: other.pressure + _added_utilisation(other, rate))
            if (
                target.utilisation + _added_utilisation(target, rate)
                < FASTER_FRACTION * share.utilisation
            ):
                plan.assign(key, key, target, share)
                plan.handled.add(key)


def _added_utilisation(share: _Share, rate: float) -> float:
    return share.candidate.utilisation(rate)


def _isolate_dominant(plan: _Plan, keymap: KeyMap, pinned: Collection[int]) -> None:
    """Give each dominant key a fast server of its own."""
    for key in sorted(plan.rates, key=lambda key: -plan.rates[key])[: plan.limits.max_moves]:
        item = keymap.find(key)
        share = plan.shares.get(item.holder.server_id) if item else None
        if item is None or share is None or share.candidate.limited:
            continue
        if share.candidate.utilisation(plan.rates[key]) < DOMINANT_UTILISATION:
            return  # the remaining keys are less busy
        plan.handled.add(key)
        plan.dominated.add(item.holder.server_id)
        if item.settled:
            _place_dominant(plan, keymap, key, item, share, key not in pinned)


def _place_dominant(
    plan: _Plan, keymap: KeyMap, key: int, item: KeyRange, share: _Share, movable: bool
) -> None:
    fastest = min(plan.unlimited_shares(), key=lambda other: other.candidate.cost_ms, default=None)
    if (
        movable
        and fastest
        and fastest.candidate.cost_ms < FASTER_FRACTION * share.candidate.cost_ms
    ):
        plan.assign(key, key, fastest, share)
        plan.dominated.add(fastest.candidate.holder.server_id)
        return
    for other in keymap.held_by(item.holder.server_id):
        if other.settled:
            _move_others_off(plan, key, other, share)


def _move_others_off(plan: _Plan, key: int, item: KeyRange, share: _Share) -> None:
    """Move the other busy keys of a range away from the server of a dominant key."""
    parts = [(item.first, item.last)]
    if item.first <= key <= item.last:
        parts = [(item.first, key - 1), (key + 1, item.last)]
    for first, last in parts:
        free = plan.unlimited_shares()
        if free and first <= last and plan.keys_within(first, last):
            plan.assign(first, last, min(free, key=lambda other: other.pressure), share)


def _balance(plan: _Plan, keymap: KeyMap) -> None:
    """Move narrow ranges from the busiest server to the idlest one."""
    limits = plan.limits
    while len(plan.moves) < limits.max_moves:
        shares = [share for name, share in plan.shares.items() if name not in plan.dominated]
        if not shares:
            return
        busiest = max(shares, key=lambda share: share.utilisation)
        idlest = min(shares, key=lambda share: share.pressure)
        gap = busiest.utilisation - idlest.utilisation
        if busiest.utilisation < limits.high_utilisation or gap < _required_gap(
            limits, busiest, idlest
        ):
            return
        mean = sum(share.utilisation for share in shares) / len(shares)
        room = max(FULL_UTILISATION, mean) - idlest.utilisation
        window = _narrowest_window(plan, keymap, busiest, idlest, gap, room)
        if window is None:
            return
        plan.handled.update(plan.keys_within(*window))
        plan.assign(window[0], window[1], idlest, busiest)


def _required_gap(limits: PlanLimits, busiest: _Share, idlest: _Share) -> float:
    """Return the least gap that is worth a move and significantly more than chance."""
    spread = math.hypot(
        busiest.candidate.utilisation_deviation(busiest.rate, limits.window_s),
        idlest.candidate.utilisation_deviation(idlest.rate, limits.window_s),
    )
    return max(limits.min_gap, limits.gap_deviations * spread)


def _narrowest_window(
    plan: _Plan, keymap: KeyMap, source: _Share, target: _Share, gap: float, room: float
) -> tuple[int, int] | None:
    """Return the narrowest range whose move closes at least half of the gap.

    Where the gap is larger than the target's room, the range fills at least half of the room: keys
    that a full target would have to pass on would move twice.

    If there is none, since the busy keys are divided into many ranges, return the range that
    closes most of the gap.
    """
    per_request = source.candidate.utilisation(1.0) + target.candidate.utilisation(1.0)
    # The rate whose move makes both utilisations equal, or the target full.
    wanted = min(gap / per_request, room / target.candidate.utilisation(1.0))
    runs = [
        keys
        for item in keymap.held_by(source.candidate.holder.server_id)
        if item.settled
        for keys in _untouched_runs(plan, item)
    ]
    windows = [window for keys in runs if (window := _window(plan, keys, wanted))]
    good = [window for window in windows if window.rate >= wanted / 2]
    if not windows:
        return None
    if good:
        chosen = min(good, key=lambda window: window.last - window.first)
    else:
        chosen = max(windows, key=lambda window: window.rate)
    return chosen.first, chosen.last


def _untouched_runs(plan: _Plan, item: KeyRange) -> list[list[int]]:
    """Return the busy keys of a range, divided at the keys that the round has decided on."""
    runs: list[list[int]] = [[]]
    for key in plan.keys_within(item.first, item.last):
        if key in plan.handled:
            runs.append([])
        else:
            runs[-1].append(key)
    return runs


@dataclass(frozen=True, slots=True)
class _Window:
    """A run of busy keys and its total of requests per second."""

    first: int
    last: int
    rate: float


def _window(plan: _Plan, keys: list[int], wanted: float) -> _Window | None:
    """Return the narrowest run of keys whose rate is between half of ``wanted`` and ``wanted``.

    If there is none, return the busiest run below that.
    """
    narrowest: _Window | None = None
    busiest: _Window | None = None
    start = 0
    gathered = 0.0
    for end, key in enumerate(keys):
        gathered += plan.rates[key]
        while gathered > wanted and start < end:
            gathered -= plan.rates[keys[start]]
            start += 1
        if gathered > wanted:
            continue
        window = _Window(keys[start], key, gathered)
        if busiest is None or gathered > busiest.rate:
            busiest = window
        width = window.last - window.first
        narrower = narrowest is None or width < narrowest.last - narrowest.first
        if gathered >= wanted / 2 and narrower:
            narrowest = window
    return narrowest or busiest


def _merge_ranges(plan: _Plan, keymap: KeyMap) -> None:
    """Merge ranges, so that a map that was divided often stays small.

    Adjacent ranges of one holder are granted to it as one range, which takes no release. A narrow
    range that has become idle returns to the holder of the ranges on both sides of it.
    """
    _return_idle(plan, keymap)
    if not plan.moves:
        _merge_runs(plan, keymap)


def _return_idle(plan: _Plan, keymap: KeyMap) -> None:
    triples = zip(keymap.ranges, keymap.ranges[1:], keymap.ranges[2:], strict=False)
    last_assigned = -1
    for before, item, after in triples:
        if len(plan.moves) >= MAX_MERGE_MOVES:
            return
        share = plan.shares.get(before.holder.server_id)
        embedded = before.holder == after.holder != item.holder and item.width <= NARROW_KEYS
        settled = before.settled and item.settled and after.settled and before.first > last_assigned
        if not embedded or not settled or share is None:
            continue
        if share.candidate.utilisation(plan.rate_of(item.first, item.last)) <= IDLE_UTILISATION:
            plan.assign(item.first, item.last, share, plan.shares.get(item.holder.server_id))
            last_assigned = item.last


def _merge_runs(plan: _Plan, keymap: KeyMap) -> None:
    run: list[KeyRange] = []
    for item in keymap.ranges:
        if run and item.settled and run[-1].holder == item.holder:
            run.append(item)
            continue
        _add_merge(plan, run)
        run = [item] if item.settled else []
        if len(plan.moves) >= MAX_MERGE_MOVES:
            return
    _add_merge(plan, run)


def _add_merge(plan: _Plan, run: list[KeyRange]) -> None:
    if len(run) > 1:
        plan.moves.append(Move(run[0].first, run[-1].last, run[0].holder))
