"""Decides which keys should go to which server. Pure.

A server's *utilisation* is its requests per second times its answer time over
its slots. Keys of servers that leave go to the least utilised ones; a server
that is far busier than the idlest gives up the narrowest range that evens
them out, since a hot range is usually narrow and keys that change hands cost.
"""

import math
from bisect import bisect_left, bisect_right
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from ploverhatch.sharding.keymap import KEY_COUNT, Holder, KeyMap, KeyRange, Move
from ploverhatch.sharding.load import WINDOW_MS

MAX_RANGES = 400  # of one map
MERGE_ABOVE_RANGES = 100  # beyond it, neighbours are joined
TIDY_MOVES = 4  # in one round
NARROW = 512  # keys: a range that is narrower and idle goes back to its neighbours' holder
IDLE = 0.02  # utilisation
PIECES_OF_LOST = 4  # a lost range is dealt out in at most so many pieces
DOMINANT = 0.6  # of a server: a key that takes more is *dominant* and gets it alone
FASTER = 0.8  # a server whose work takes this part of another's is clearly faster
DEFAULT_SERVICE_MS = 100.0  # of a server that has answered nothing yet
KEY_WEIGHT = 0.2  # utilisation that holding all keys counts for, to spread idle keys


@dataclass(frozen=True, slots=True)
class PlanLimits:
    """When servers are evened out.

    A server below ``high_utilisation`` is not worth relieving. The busiest and the
    idlest differ by ``min_gap`` at least, and by ``gap_deviations`` standard deviations of
    what chance makes of counts over ``window_s`` seconds: each move makes callers wait
    while the keys change hands, and between servers that are equally busy it gains
    nothing. A round has ``max_moves`` of these at most.

    Measured on 62 noisy servers of three speeds in virtual time: without ``gap_deviations``
    and with rates of 3 s, 300 moves in 30 s at a load of 0.45 instead of 160, for the
    same credit; at a ``gap_deviations`` of 4.0, 77 moves, and 0.008 of the credit is lost at
    a load of 0.9. Twice or four times the moves of a round change it by 0.005 at most.
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
    limited: bool = False  # it named a limit, from which its answer time is reckoned

    @property
    def cost_ms(self) -> float:
        """Time of the whole server that one request takes."""
        return self.service_ms / self.slots

    def utilisation(self, rate: float) -> float:
        """Return the part of the server that ``rate`` requests a second take."""
        return rate * self.cost_ms / 1000

    def chance(self, rate: float, window_s: float) -> float:
        """Return the standard deviation of the utilisation that a measured rate shows."""
        return self.utilisation(math.sqrt(rate / window_s))


@dataclass(slots=True)
class _Share:
    """What one candidate holds while a plan is being made."""

    candidate: Candidate
    rate: float = 0.0
    keys: int = 0

    @property
    def utilisation(self) -> float:
        return self.candidate.utilisation(self.rate)

    @property
    def pressure(self) -> float:
        """Utilisation, with idle keys counted a little."""
        return self.utilisation + KEY_WEIGHT * self.keys / KEY_COUNT


def initial_pieces(candidates: Sequence[Candidate]) -> list[Move]:
    """Deal all keys out in equal parts per slot."""
    total = sum(candidate.slots for candidate in candidates)
    pieces = []
    start = 0
    dealt = 0
    for candidate in candidates:
        dealt += candidate.slots
        end = KEY_COUNT * dealt // total
        if end > start:
            pieces.append(Move(start, end - 1, candidate.holder))
        start = end
    return pieces


class _Plan:
    """Shares and moves while one round is planned."""

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
        self.taken: set[int] = set()  # keys that this round has dealt with
        self.dominated: set[str] = set()  # servers that one key fills
        for item in keymap.ranges:
            share = self.shares.get(item.holder.server_id)
            if share is not None:
                share.rate += self.rate_of(item.first, item.last)
                share.keys += item.width

    def free_shares(self) -> list[_Share]:
        """Return the shares of servers that no key fills, and that name no limit."""
        return [
            share
            for name, share in self.shares.items()
            if name not in self.dominated and not share.candidate.limited
        ]

    def keys_within(self, first: int, last: int) -> list[int]:
        return self.keys[bisect_left(self.keys, first) : bisect_right(self.keys, last)]

    def rate_of(self, first: int, last: int) -> float:
        return sum(self.rates[key] for key in self.keys_within(first, last))

    def idlest_with(self, first: int, last: int) -> _Share:
        """Return the server that is the least loaded once it holds some more keys."""
        rate = self.rate_of(first, last)
        return min(
            self.shares.values(),
            key=lambda share: share.pressure + share.candidate.utilisation(rate),
        )

    def give(self, first: int, last: int, target: _Share, source: _Share | None = None) -> None:
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
    resting: Collection[int] = (),
    limits: PlanLimits | None = None,
) -> list[Move]:
    """Return the moves of one round.

    :param candidates: servers that may hold keys; holders that are not among
        them lose their keys.
    :param rates: requests per second by key.
    :param resting: keys that were moved by themselves lately, and stay.
    """
    if not candidates:
        return []
    plan = _Plan(keymap, candidates, rates, limits or PlanLimits())
    _rehome(plan, keymap)
    if not plan.moves and len(keymap.ranges) < MAX_RANGES:
        _relieve_limited(plan, keymap, resting)
        _isolate_dominant(plan, keymap, resting)
        _even_out(plan, keymap)
    if not plan.moves and len(keymap.ranges) > MERGE_ABOVE_RANGES:
        _tidy(plan, keymap)
    return plan.moves


def _rehome(plan: _Plan, keymap: KeyMap) -> None:
    """Deal out the keys of holders that may hold none."""
    lost = [item for item in keymap.ranges if item.holder.server_id not in plan.shares]
    for item in sorted(lost, key=lambda item: -plan.rate_of(item.first, item.last)):
        for first, last in _pieces(plan, item):
            plan.give(first, last, plan.idlest_with(first, last))


def _pieces(plan: _Plan, item: KeyRange) -> list[tuple[int, int]]:
    """Cut a range into pieces of about equal load, a few at most."""
    keys = plan.keys_within(item.first, item.last)
    count = min(PIECES_OF_LOST, len(plan.shares), item.width)
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


def _relieve_limited(plan: _Plan, keymap: KeyMap, resting: Collection[int]) -> None:
    """Give keys that are too much for a limited server to those that name no limit.

    Evening out passes such a key over: its move makes the other server the busier one.
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
            if share.candidate.utilisation(plan.rates[key]) >= DOMINANT and key not in resting
        ]
        for key in sorted(keys, key=lambda key: -plan.rates[key]):
            if len(plan.moves) >= plan.limits.max_moves:
                return
            rate = plan.rates[key]
            target = min(free, key=lambda other: other.pressure + _added(other, rate))
            if target.utilisation + _added(target, rate) < FASTER * share.utilisation:
                plan.give(key, key, target, share)
                plan.taken.add(key)


def _added(share: _Share, rate: float) -> float:
    return share.candidate.utilisation(rate)


def _isolate_dominant(plan: _Plan, keymap: KeyMap, resting: Collection[int]) -> None:
    """Give a key that fills a server by itself a fast server of its own."""
    for key in sorted(plan.rates, key=lambda key: -plan.rates[key])[: plan.limits.max_moves]:
        item = keymap.find(key)
        share = plan.shares.get(item.holder.server_id) if item else None
        if item is None or share is None or share.candidate.limited:
            continue
        if share.candidate.utilisation(plan.rates[key]) < DOMINANT:
            return  # the keys that follow are less busy
        plan.taken.add(key)
        plan.dominated.add(item.holder.server_id)
        if item.settled:
            _give_dominant(plan, keymap, key, item, share, key not in resting)


def _give_dominant(
    plan: _Plan, keymap: KeyMap, key: int, item: KeyRange, share: _Share, movable: bool
) -> None:
    fastest = min(plan.free_shares(), key=lambda other: other.candidate.cost_ms, default=None)
    if movable and fastest and fastest.candidate.cost_ms < FASTER * share.candidate.cost_ms:
        plan.give(key, key, fastest, share)
        plan.dominated.add(fastest.candidate.holder.server_id)
        return
    for other in keymap.held_by(item.holder.server_id):
        if other.settled:
            _clear_around(plan, key, other, share)


def _clear_around(plan: _Plan, key: int, item: KeyRange, share: _Share) -> None:
    """Move the other busy keys of a range off a server that one key fills."""
    parts = [(item.first, item.last)]
    if item.first <= key <= item.last:
        parts = [(item.first, key - 1), (key + 1, item.last)]
    for first, last in parts:
        free = plan.free_shares()
        if free and first <= last and plan.keys_within(first, last):
            plan.give(first, last, min(free, key=lambda other: other.pressure), share)


def _even_out(plan: _Plan, keymap: KeyMap) -> None:
    """Move narrow ranges from the busiest server to the idlest."""
    limits = plan.limits
    while len(plan.moves) < limits.max_moves:
        shares = [share for name, share in plan.shares.items() if name not in plan.dominated]
        if not shares:
            return
        busiest = max(shares, key=lambda share: share.utilisation)
        idlest = min(shares, key=lambda share: share.pressure)
        gap = busiest.utilisation - idlest.utilisation
        if busiest.utilisation < limits.high_utilisation or gap < _gap(limits, busiest, idlest):
            return
        window = _narrowest_window(plan, keymap, busiest, idlest, gap)
        if window is None:
            return
        plan.taken.update(plan.keys_within(*window))
        plan.give(window[0], window[1], idlest, busiest)


def _gap(limits: PlanLimits, busiest: _Share, idlest: _Share) -> float:
    """Return the least gap that is worth a move and surely more than chance."""
    spread = math.hypot(
        busiest.candidate.chance(busiest.rate, limits.window_s),
        idlest.candidate.chance(idlest.rate, limits.window_s),
    )
    return max(limits.min_gap, limits.gap_deviations * spread)


def _narrowest_window(
    plan: _Plan, keymap: KeyMap, source: _Share, target: _Share, gap: float
) -> tuple[int, int] | None:
    """Return the range whose move closes a good part of the gap, the narrowest of them.

    Where the busy keys are divided into so many ranges that none does, the one
    that closes most of it.
    """
    per_request = source.candidate.utilisation(1.0) + target.candidate.utilisation(1.0)
    wanted = gap / per_request  # the rate that would make both equal
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
    """Return the busy keys of a range, divided where a key was dealt with."""
    runs: list[list[int]] = [[]]
    for key in plan.keys_within(item.first, item.last):
        if key in plan.taken:
            runs.append([])
        else:
            runs[-1].append(key)
    return runs


@dataclass(frozen=True, slots=True)
class _Window:
    """A run of busy keys and its requests per second."""

    first: int
    last: int
    rate: float


def _window(plan: _Plan, keys: list[int], wanted: float) -> _Window | None:
    """Return the narrowest run of keys with between half and all of ``wanted``.

    Where there is none, the busiest one below that.
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


def _tidy(plan: _Plan, keymap: KeyMap) -> None:
    """Join ranges, so that a map that was divided often stays small.

    Neighbours of one holder are granted to it as one range; that takes no
    release. A narrow range that is idle by now goes back to the holder on both
    sides of it.
    """
    _give_back_idle(plan, keymap)
    if not plan.moves:
        _join_neighbours(plan, keymap)


def _give_back_idle(plan: _Plan, keymap: KeyMap) -> None:
    triples = zip(keymap.ranges, keymap.ranges[1:], keymap.ranges[2:], strict=False)
    last_given = -1
    for before, item, after in triples:
        if len(plan.moves) >= TIDY_MOVES:
            return
        share = plan.shares.get(before.holder.server_id)
        embedded = before.holder == after.holder != item.holder and item.width <= NARROW
        still = before.settled and item.settled and after.settled and before.first > last_given
        if not embedded or not still or share is None:
            continue
        if share.candidate.utilisation(plan.rate_of(item.first, item.last)) <= IDLE:
            plan.give(item.first, item.last, share, plan.shares.get(item.holder.server_id))
            last_given = item.last


def _join_neighbours(plan: _Plan, keymap: KeyMap) -> None:
    run: list[KeyRange] = []
    for item in keymap.ranges:
        if run and item.settled and run[-1].holder == item.holder:
            run.append(item)
            continue
        _join(plan, run)
        run = [item] if item.settled else []
        if len(plan.moves) >= TIDY_MOVES:
            return
    _join(plan, run)


def _join(plan: _Plan, run: list[KeyRange]) -> None:
    if len(run) > 1:
        plan.moves.append(Move(run[0].first, run[-1].last, run[0].holder))
