"""A whole simulated cell, and the independent judgement of what it did."""

from collections.abc import Callable

from ploverhatch.sharding.keymap import Holder
from ploverhatch.sharding.messages import CallOutcome, SendRelease
from ploverhatch.simulation.keys.judge import judge
from ploverhatch.simulation.keys.node import CALL_TIMEOUT_MS, LATE_ORDER_MS, SimKeyNode
from ploverhatch.simulation.keys.server import SAMPLE_KEYS, Journal, SimKeyServer
from ploverhatch.simulation.keys.store import SimStore
from ploverhatch.simulation.world import World
from ploverhatch.state.servers import ServerRecord

HOT_RATE = 60.0
MAX_DRIFT = 1.02


class KeyCell:
    """Nodes, servers and a store under one seed."""

    def __init__(self, seed: int, nodes: int = 4, servers: int = 5) -> None:
        self.world = World(seed)
        self.store = SimStore(self.world)
        self.journal = Journal()
        self.servers: dict[str, SimKeyServer] = {}
        self.nodes: dict[str, SimKeyNode] = {}
        self.cuts: set[tuple[str, str]] = set()  # (node, server's life)
        self.evacuated: set[str] = set()  # lives of servers that are to get nothing
        self.silent: set[str] = set()  # lives that are taken to answer no callers
        self.hot_key: int | None = None
        self.late_share = 0.0
        self._lives = 0
        self._last_served: dict[int, float] = {}
        for number in range(servers):
            self.start_server(port=9000 + number)
        for number in range(nodes):
            self.start_node(f"node-{number}")

    # ---- members ------------------------------------------------------------------------

    def start_server(self, port: int) -> SimKeyServer:
        """Start a server: a new life with a new name."""
        self._lives += 1
        drift = self.world.random.uniform(1.0, MAX_DRIFT)
        server = SimKeyServer(self.world, self.journal, f"life-{self._lives}", port, drift)
        self.servers[server.life] = server
        return server

    def server_starter(self, port: int) -> Callable[[], None]:
        """Return a task that starts a server at a port."""
        return lambda: _discard(self.start_server(port))

    def start_node(self, name: str) -> SimKeyNode:
        """Start a node, or start it again."""
        self._lives += 1
        node = SimKeyNode(self, name, self._lives)
        self.nodes[name] = node
        return node

    def kill_node(self, name: str, down_ms: float) -> None:
        """Kill a node; it starts again, with nothing, after a while."""
        if not self.nodes[name].alive:
            return  # it is down already, and will start again
        self.nodes[name].kill()
        self.world.after(down_ms, lambda: _discard(self.start_node(name)))

    def records(self) -> list[ServerRecord]:
        """Return what servers have registered; a crashed one is gone after a while."""
        return [
            ServerRecord(
                server.life,
                "service",
                "10.0.0.1",
                server.port,
                "zone",
                2,
                server.draining,
                evacuated=server.life in self.evacuated,
            )
            for server in self.servers.values()
            if server.up
        ]

    def rates(self) -> dict[int, float]:
        """Return requests a second by key, with a hot one if there is one."""
        rates = dict.fromkeys(SAMPLE_KEYS, 1.0)
        if self.hot_key is not None:
            rates[self.hot_key] = HOT_RATE
        return rates

    def leader(self) -> str | None:
        """Return the name of a node that leads."""
        return next((name for name, node in self.nodes.items() if node.has_authority), None)

    # ---- calls to servers -----------------------------------------------------------------

    def _reach(self, node: SimKeyNode, holder: Holder) -> SimKeyServer | CallOutcome:
        if node.cut_from_servers or (node.name, holder.server_id) in self.cuts:
            return CallOutcome.NO_ANSWER
        for server in self.servers.values():
            if server.up and server.port == holder.port:
                return server if server.life == holder.server_id else CallOutcome.OTHER_INSTANCE
        return CallOutcome.NO_ANSWER

    def can_connect(self, node: SimKeyNode, holder: Holder) -> bool:
        """Whether something answers at a holder's address."""
        return self._reach(node, holder) is not CallOutcome.NO_ANSWER

    def deliver(
        self,
        node: SimKeyNode,
        holder: Holder,
        apply: Callable[[SimKeyServer, bool], CallOutcome],
        answer: Callable[[CallOutcome], None],
    ) -> None:
        """Carry a grant to a server; some are carried out late and not answered."""

        def arrive() -> None:
            reached = self._reach(node, holder)
            if isinstance(reached, CallOutcome):
                delay = CALL_TIMEOUT_MS if reached is CallOutcome.NO_ANSWER else 1.0
                self.world.after(delay, lambda: answer(reached))
            elif self.world.random.random() < self.late_share:
                self.world.after(
                    self.world.random.uniform(*LATE_ORDER_MS),
                    lambda: _discard(reached.up and apply(reached, True)),
                )
                self.world.after(CALL_TIMEOUT_MS, lambda: answer(CallOutcome.NO_ANSWER))
            else:
                outcome = apply(reached, False)
                self.world.after(1.0, lambda: answer(outcome))

        self.world.after(self.world.random.uniform(0.2, 2.0), arrive)

    def deliver_release(
        self, node: SimKeyNode, action: SendRelease, answer: Callable[[CallOutcome], None]
    ) -> None:
        """Carry a release to a server."""
        name = action.range_id
        answered: list[CallOutcome] = []

        def reply(outcome: CallOutcome) -> None:
            if not answered:
                answered.append(outcome)
                answer(outcome)

        def arrive() -> None:
            reached = self._reach(node, action.holder)
            if isinstance(reached, CallOutcome):
                delay = CALL_TIMEOUT_MS if reached is CallOutcome.NO_ANSWER else 1.0
                self.world.after(delay, lambda: reply(reached))
                return
            lost = self.world.random.random() < self.late_share
            done = (lambda: None) if lost else (lambda: reply(CallOutcome.DONE))
            reached.release(name.first, name.last, name.token, done)
            self.world.after(2000.0, lambda: reply(CallOutcome.NO_ANSWER))

        self.world.after(self.world.random.uniform(0.2, 2.0), arrive)

    # ---- judgement ------------------------------------------------------------------------

    def served(self, key: int) -> None:
        """A server started a request."""
        self._last_served[key] = self.world.now_ms

    def unserved(self, since_ms: float) -> list[int]:
        """Return the keys on which no request was started lately."""
        return [key for key in SAMPLE_KEYS if self._last_served.get(key, -1.0) < since_ms]

    def violations(self) -> list[str]:
        """Judge from the servers' own records alone."""
        return judge(self.journal.holds)


def _discard(_: object) -> None:
    """Make a task of a call whose value nobody needs."""
