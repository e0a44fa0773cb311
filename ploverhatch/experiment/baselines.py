"""Baselines that the placement of the product is compared with, behind one interface.

Each strategy maps keys to servers. ``round`` is called once a second with the measured rate of
every key, and returns an array of server names.
"""

from abc import ABC, abstractmethod

import numpy
import xxhash

VIRTUAL_NODES = 100


class Strategy(ABC):
    """Decides the owner of every key."""

    name = ""

    def __init__(self, hashes: numpy.ndarray, servers: list[str]) -> None:
        self.hashes = hashes
        self.servers = list(servers)

    @abstractmethod
    def round(self, rates: numpy.ndarray, now_ms: float) -> numpy.ndarray:
        """Return the name of the owner of each key.

        :param rates: requests per second of each key in the last second.
        """

    def lose(self, server: str) -> None:
        """Remove a server."""
        self.servers.remove(server)

    def join(self, server: str) -> None:
        """Add a server."""
        self.servers.append(server)


def _hash(text: str) -> int:
    return int(xxhash.xxh3_64_intdigest(text.encode()))


class StaticStrategy(Strategy):
    """A strategy that depends on the set of servers only."""

    _known: tuple[tuple[str, ...], numpy.ndarray] | None = None

    def round(self, rates: numpy.ndarray, now_ms: float) -> numpy.ndarray:
        """Return the name of the owner of each key, computed anew when the servers change."""
        servers = tuple(self.servers)
        if self._known is None or self._known[0] != servers:
            self._known = (servers, self.owners())
        return self._known[1]

    @abstractmethod
    def owners(self) -> numpy.ndarray:
        """Compute the owner of each key."""


class HashRing(StaticStrategy):
    """Consistent hashing with virtual nodes, which ignores load."""

    name = "hash ring"

    def owners(self) -> numpy.ndarray:
        """Return the server of the next virtual node on the ring for each key."""
        points = sorted(
            (_hash(f"{server}#{number}"), server)
            for server in self.servers
            for number in range(VIRTUAL_NODES)
        )
        bounds = numpy.array([point for point, _ in points], dtype=numpy.uint64)
        owners = numpy.array([server for _, server in points])
        return owners[numpy.searchsorted(bounds, self.hashes) % len(points)]


class Rendezvous(StaticStrategy):
    """Rendezvous hashing (highest random weight), which ignores load."""

    name = "rendezvous"

    def owners(self) -> numpy.ndarray:
        """Return the server with the highest weight for each key."""
        names = numpy.array(self.servers)
        salts = numpy.array([_hash(server) for server in self.servers], dtype=numpy.uint64)
        best = numpy.zeros(len(self.hashes), dtype=numpy.uint64)
        owner = numpy.zeros(len(self.hashes), dtype=numpy.int64)
        for position, salt in enumerate(salts):
            weight = _mix(self.hashes ^ salt)
            better = weight > best
            best[better] = weight[better]
            owner[better] = position
        return names[owner]


def _mix(values: numpy.ndarray) -> numpy.ndarray:
    """Mix 64-bit values (the finalizer of SplitMix64)."""
    mixed = (values ^ (values >> numpy.uint64(30))) * numpy.uint64(0xBF58476D1CE4E5B9)
    mixed = (mixed ^ (mixed >> numpy.uint64(27))) * numpy.uint64(0x94D049BB133111EB)
    return mixed ^ (mixed >> numpy.uint64(31))


class GreedyWithoutCost(Strategy):
    """Places all slices anew each round, largest first, without regard to the cost of moves."""

    name = "greedy, moves free"
    slices = 80

    def round(self, rates: numpy.ndarray, now_ms: float) -> numpy.ndarray:
        """Return the owner of each key's slice after a full new placement."""
        width = (1 << 64) // self.slices
        number = (self.hashes // numpy.uint64(width)).astype(numpy.int64)
        number = numpy.minimum(number, self.slices - 1)
        load = numpy.bincount(number, weights=rates, minlength=self.slices)
        used = dict.fromkeys(self.servers, 0.0)
        owner: list[str] = [""] * self.slices
        for position in numpy.argsort(-load):
            server = min(used, key=lambda name: (used[name], name))
            owner[position] = server
            used[server] += load[position]
        return numpy.array(owner)[number]
