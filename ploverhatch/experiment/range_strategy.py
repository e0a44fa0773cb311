"""The placement of key ranges by gateways, behind the interface of the experiments."""

import numpy
from typing_extensions import override

from ploverhatch.experiment.baselines import Strategy
from ploverhatch.sharding.keymap import (
    KEY_COUNT,
    Holder,
    KeyMap,
    begin_moves,
    first_assignment,
    merge_neighbours,
    settle,
)
from ploverhatch.sharding.planner import Candidate, initial_pieces, plan_moves

DROPPED_BITS = 48  # lower bits of the 64-bit hash: the upper 16 are the key
ROUNDS = 2  # plans per second of virtual time
UTILISATION = 0.5  # of all servers together; the service time per request follows from it


class KeyRanges(Strategy):
    """Plans moves of ranges by utilisation; every move is complete at once."""

    name = "key ranges (gateways)"

    def __init__(self, hashes: numpy.ndarray, servers: list[str], slots: int, rate: float) -> None:
        super().__init__(hashes, servers)
        self._service_ms = UTILISATION * len(servers) * slots / rate * 1000
        self._keys = (hashes >> numpy.uint64(DROPPED_BITS)).astype(numpy.int64)
        self._slots = slots
        pieces = initial_pieces(self._candidates())
        self._map = settle(first_assignment(KeyMap("experiment"), pieces), lambda item: True)

    def _candidates(self) -> list[Candidate]:
        return [
            Candidate(Holder(name, "127.0.0.1", 1), self._slots, self._service_ms)
            for name in self.servers
        ]

    @override
    def round(self, rates: numpy.ndarray, now_ms: float) -> numpy.ndarray:
        totals = numpy.bincount(self._keys, weights=rates, minlength=KEY_COUNT)
        by_key = {int(key): float(totals[key]) for key in numpy.flatnonzero(totals)}
        for _ in range(ROUNDS):
            moves = plan_moves(self._map, self._candidates(), by_key)
            moved = begin_moves(self._map, moves)
            self._map = merge_neighbours(settle(moved, lambda item: True))
        bounds = numpy.array([item.first for item in self._map.ranges])
        holders = numpy.array([item.holder.server_id for item in self._map.ranges])
        return holders[numpy.searchsorted(bounds, self._keys, side="right") - 1]
