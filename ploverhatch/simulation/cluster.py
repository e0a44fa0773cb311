"""A simulated deployment: the platform, nodes, servers and callers."""

import json
import random
from collections import Counter
from dataclasses import dataclass, field

from ploverhatch.common.keyspace import hash_key
from ploverhatch.common.results import Outcome
from ploverhatch.common.timing import ControlTiming
from ploverhatch.ownership.placement import PlacementLimits
from ploverhatch.simulation.checker import Checker
from ploverhatch.simulation.node import SimulatedNode
from ploverhatch.simulation.router import SimulatedRouter
from ploverhatch.simulation.server import SimulatedServer
from ploverhatch.simulation.world import World
from ploverhatch.state.configuration import KIND_POLICY, KIND_SERVER
from ploverhatch.transport import wire

ZONES = ("zone-a", "zone-b", "zone-c")
RATE_ERROR = 0.004
KEYS_PER_GROUP = 6
REQUEST_MS = 40.0
REPEAT_MS = 500.0
MAX_REPEATS = 4
REPEAT_WINDOW_MS = 6000.0
MAX_REQUEST_MS = 2600.0
POLICY = """
group reads { slices 4; draw share 0.6 from servers; }
group permits { priority 1; slices 4; draw share 0.4 from servers; }
"""


@dataclass
class SimulatedPlatform:
    """The platform's store with the cell object and the configuration; it is linearizable."""

    up: bool = True
    generation: int = 1
    cell_version: int = 0
    epoch: int = 0
    voter_ids: tuple[str, ...] = ()
    servers: dict[str, dict[str, object]] = field(default_factory=dict)

    def objects(self) -> list[wire.ObjectChange]:
        """Return all configuration objects."""
        policy = wire.ObjectChange(
            kind=KIND_POLICY, name="main", version=1, body=json.dumps({"source": POLICY})
        )
        servers = [
            wire.ObjectChange(kind=KIND_SERVER, name=name, version=1, body=json.dumps(body))
            for name, body in self.servers.items()
        ]
        return [policy, *servers]

    def found_epoch(self, expected: int, node_id: str) -> bool:
        """Start the next epoch with one voter if the cell object has version ``expected``.

        :returns: whether the epoch was started.
        """
        if self.cell_version != expected:
            return False
        self.cell_version += 1
        self.epoch += 1
        self.voter_ids = (node_id,)
        return True

    def record_voters(self, epoch: int, voter_ids: tuple[str, ...]) -> bool:
        """Store the voters of an epoch; false if the epoch is not the current one."""
        if epoch != self.epoch:
            return False
        if voter_ids != self.voter_ids:
            self.cell_version += 1
            self.voter_ids = voter_ids
        return True


class Cluster:
    """All simulated processes and the callers of one run."""

    def __init__(self, seed: int, nodes: int = 5, servers: int = 4) -> None:
        self.world = World(seed)
        self.checker = Checker()
        self.platform = SimulatedPlatform()
        self.timing = ControlTiming(repeat_window_ms=REPEAT_WINDOW_MS)
        self.limits = PlacementLimits(move_interval_ms=2000.0)
        self.nodes: dict[str, SimulatedNode] = {}
        self.routers: dict[str, SimulatedRouter] = {}
        self.servers: dict[str, SimulatedServer] = {}
        self.outcomes: Counter[str] = Counter()
        self.served: dict[tuple[str, int], float] = {}
        self._starts: Counter[str] = Counter()
        self._requests = 0
        self.cut_platform: set[str] = set()
        for number in range(servers):
            name, zone = f"server-{number}", ZONES[number % 3]
            self.platform.servers[name] = {"port": 1, "zone": zone, "slots": 4}
            self.start_server(name, zone)
        for number in range(nodes):
            self.start_node(f"node-{number}", ZONES[number % 3])
        self.world.after(0, self._next_request)

    # ---- processes ---------------------------------------------------------------------

    def start_node(self, name: str, zone: str) -> None:
        """Start a node process with no state."""
        self._starts[name] += 1
        node = SimulatedNode(
            self.world, name, zone, self._starts[name], self, self.timing, self.limits,
            RATE_ERROR,
        )  # fmt: skip
        self.nodes[name] = node
        self.routers[name] = SimulatedRouter(node, self)

    def start_server(self, name: str, zone: str) -> None:
        """Start a server process with no state."""
        self._starts[name] += 1
        self.servers[name] = SimulatedServer(
            self.world, name, zone, self._starts[name], self.checker, RATE_ERROR
        )

    def restart_node(self, name: str) -> None:
        """Kill a node and start it again immediately, with no state."""
        zone = self.nodes[name].zone
        self.nodes[name].kill()
        self.start_node(name, zone)

    def restart_server(self, name: str) -> None:
        """Kill a server and start it again immediately, with no state."""
        zone = self.servers[name].zone
        self.servers[name].kill()
        self.start_server(name, zone)

    def platform_reachable(self, zone: str) -> bool:
        """Return whether the nodes of a zone reach the platform."""
        return self.platform.up and zone not in self.cut_platform

    def change_configuration(self) -> None:
        """Change the configuration as an operator would: toggle the drain of a random server.

        At most one server is drained at a time.
        """
        name = self.world.random.choice(sorted(self.platform.servers))
        body = self.platform.servers[name]
        drained = sum(bool(item.get("drain")) for item in self.platform.servers.values())
        body["drain"] = not body.get("drain") and drained == 0
        self.platform.generation += 1

    # ---- lookups of routers ------------------------------------------------------------

    def supposed_leader(self, rng: random.Random) -> SimulatedNode | None:
        """Return a node that considers itself the leader, or sometimes any node."""
        leaders = [node for node in self.nodes.values() if node.core.replica.is_leader]
        if leaders and rng.random() < 0.9:
            return rng.choice(leaders)
        return rng.choice(list(self.nodes.values()))

    def look_up(self, key: tuple[str, int], rng: random.Random) -> tuple[str, int] | None:
        """Return the owner and token of a key as known to a random node."""
        node = rng.choice(list(self.nodes.values()))
        found = node.core.replica.state.assignments.find(*key)
        return (found.server, found.token) if found and found.server else None

    # ---- callers -----------------------------------------------------------------------

    def _next_request(self) -> None:
        self.world.after(REQUEST_MS, self._next_request)
        self._requests += 1
        rng = self.world.random
        once = rng.random() < 0.5
        group = "permits" if once else "reads"
        key = (group, hash_key(group, f"k{rng.randrange(KEYS_PER_GROUP)}"))
        self._send(key, f"once-{self._requests}" if once else "", MAX_REPEATS)

    def all_keys(self) -> list[tuple[str, int]]:
        """Return all keys that callers use."""
        return [
            (group, hash_key(group, f"k{number}"))
            for group in ("permits", "reads")
            for number in range(KEYS_PER_GROUP)
        ]

    def request_every_key(self) -> list[tuple[str, int]]:
        """Send a request for each key; return the keys."""
        keys = self.all_keys()
        for group, key_hash in keys:
            self._requests += 1
            once = f"once-{self._requests}" if group == "permits" else ""
            self._send((group, key_hash), once, MAX_REPEATS)
        return keys

    def _send(
        self,
        key: tuple[str, int],
        idempotency_key: str,
        repeats: int,
        until_ms: float = 0.0,
    ) -> None:
        """Send a request through a random node and repeat it under its idempotency key on failure.

        Callers may repeat a request only within ``REPEAT_WINDOW_MS``: after the loss of an epoch,
        claims are refused for that time, so that no repeated request runs twice.
        """
        until_ms = until_ms or self.world.now_ms + REPEAT_WINDOW_MS - MAX_REQUEST_MS
        name = self.world.random.choice(list(self.nodes))
        node, router = self.nodes[name], self.routers[name]

        def answered(result: str, outcome: Outcome) -> None:
            self.outcomes[result] += 1
            if outcome is Outcome.DONE:
                self.served[key] = self.world.now_ms
            elif idempotency_key and repeats and self.world.now_ms < until_ms:
                self.world.after(
                    REPEAT_MS * self.world.random.random(),
                    lambda: self._send(key, idempotency_key, repeats - 1, until_ms),
                )

        node.do(lambda: router.serve(key, idempotency_key, answered))
