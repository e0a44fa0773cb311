"""A simulated cell of nodes, servers and a store, with an independent check of its invariants."""

import random
from collections.abc import Callable, Collection

from ploverhatch.sharding.keymap import Holder
from ploverhatch.sharding.messages import CallOutcome, SendRelease
from ploverhatch.simulation.keys.node import (
    CALL_TIMEOUT_MS,
    LATE_ORDER_MS,
    LEASE,
    SERVICE,
    SimKeyNode,
    UnansweredGrant,
)
from ploverhatch.simulation.keys.server import SAMPLE_KEYS, Journal, SimKeyServer
from ploverhatch.simulation.keys.store import SimStore
from ploverhatch.simulation.keys.violations import find_violations
from ploverhatch.simulation.world import World
from ploverhatch.state.incarnations import incarnation_id, registered_name
from ploverhatch.state.servers import ServerRecord

HOT_RATE = 60.0
FIRST_BORN_MS = 1_764_700_000_000
MAX_DRIFT = 1.02
RETRANSMISSION_MS = (200.0, 1600.0)


class KeyCell:
    """Nodes, servers and a store of one run; all random draws depend on the seed."""

    def __init__(self, seed: int, nodes: int = 4, servers: int = 5) -> None:
        self.world = World(seed)
        self.store = SimStore(self.world)
        self.journal = Journal()
        self.servers: dict[str, SimKeyServer] = {}
        self.nodes: dict[str, SimKeyNode] = {}
        # What a call from a node to an incarnation of a server meets while their link is cut.
        self.cuts: dict[tuple[str, str], CallOutcome] = {}
        self.evacuated: set[str] = set()  # incarnations that must not hold keys
        self.unresponsive: set[str] = set()  # incarnations reported as unresponsive
        self.hot_key: int | None = None
        self.late_fraction = 0.0
        self._starts = 0
        self._stale: dict[str, ServerRecord] = {}  # entries of ended incarnations, by name
        self._last_served: dict[tuple[int, str], float] = {}  # by key and node
        self._unknown_holders: dict[tuple[int, str, str], str] = {}  # by key, holder and leader
        for number in range(servers):
            self.start_server(port=9000 + number)
        for number in range(nodes):
            self.start_node(f"node-{number}")

    # ---- members ------------------------------------------------------------------------

    def start_server(self, port: int, name: str = "") -> SimKeyServer:
        """Start a server under a new name, or a new incarnation of the server ``name``."""
        self._starts += 1
        drift = self.world.random.uniform(1.0, MAX_DRIFT)
        incarnation = (
            incarnation_id(name, FIRST_BORN_MS + self._starts) if name else f"life-{self._starts}"
        )
        server = SimKeyServer(self.world, self.journal, incarnation, port, drift)
        self.servers[server.incarnation] = server
        return server

    def restart_under_same_name(
        self, server: SimKeyServer, port: int, down_ms: float, entry_ms: float
    ) -> None:
        """Crash a server and start it again under its name after ``down_ms``.

        Its entry in the store shows the ended incarnation for ``entry_ms`` longer.
        """
        name = registered_name(server.incarnation)
        self._stale[name] = self._record(server)
        server.crash()

        def start() -> None:
            fresh = self.start_server(port, name)
            fresh.recorded = False
            self.world.after(entry_ms, lambda: update_entry(fresh))

        def update_entry(fresh: SimKeyServer) -> None:
            self._stale.pop(name, None)
            fresh.recorded = True

        self.world.after(down_ms, start)

    def server_starter(self, port: int) -> Callable[[], None]:
        """Return a task that starts a server at a port."""
        return lambda: _discard(self.start_server(port))

    def start_node(self, name: str) -> SimKeyNode:
        """Start a node with no state, for the first time or again."""
        self._starts += 1
        node = SimKeyNode(self, name, self._starts)
        self.nodes[name] = node
        return node

    def kill_node(self, name: str, down_ms: float) -> None:
        """Kill a node and start it again with no state after ``down_ms``."""
        if not self.nodes[name].alive:
            return  # it is down already, and will start again
        self.nodes[name].kill()
        self.world.after(down_ms, lambda: _discard(self.start_node(name)))

    def records(self) -> list[ServerRecord]:
        """Return the entries of servers in the store, some of them of ended incarnations."""
        present = [
            self._record(server)
            for server in self.servers.values()
            if server.up and server.recorded
        ]
        return [*present, *self._stale.values()]

    def _record(self, server: SimKeyServer) -> ServerRecord:
        return ServerRecord(
            server.incarnation,
            "service",
            "10.0.0.1",
            server.port,
            "zone",
            2,
            server.draining,
            evacuated=server.incarnation in self.evacuated,
        )

    def rates(self) -> dict[int, float]:
        """Return requests per second by key; the hot key, if any, has ``HOT_RATE``."""
        rates = dict.fromkeys(SAMPLE_KEYS, 1.0)
        if self.hot_key is not None:
            rates[self.hot_key] = HOT_RATE
        return rates

    def leader(self) -> str | None:
        """Return the name of a node with a leader's authority, or ``None``."""
        return next((name for name, node in self.nodes.items() if node.has_authority), None)

    def reaches_servers(self, node: SimKeyNode) -> bool:
        """Return whether a node's links to any servers are up."""
        return node.cut_from_servers is None and any(
            server.up and (node.name, incarnation) not in self.cuts
            for incarnation, server in self.servers.items()
        )

    def only_others_reach_servers(self, node: SimKeyNode) -> bool:
        """Return whether a node reaches no server, although another running node does."""
        return not self.reaches_servers(node) and any(
            other.alive and not other.frozen and self.reaches_servers(other)
            for other in self.nodes.values()
        )

    # ---- calls to servers -----------------------------------------------------------------

    def _reach(self, node: SimKeyNode, holder: Holder) -> SimKeyServer | CallOutcome:
        cut = node.cut_from_servers or self.cuts.get((node.name, holder.server_id))
        if cut is not None:
            return cut
        found = self._listening(holder)
        if found is None:
            return CallOutcome.NOT_LISTENING
        # A call names the server, not its incarnation, so any incarnation of it accepts the call.
        same = registered_name(found.incarnation) == registered_name(holder.server_id)
        return found if same else CallOutcome.OTHER_INSTANCE

    def _listening(self, holder: Holder) -> SimKeyServer | None:
        """Return the server at a holder's address."""
        up = (server for server in self.servers.values() if server.up)
        return next((server for server in up if server.port == holder.port), None)

    def incarnation_at(self, holder: Holder) -> str:
        """Return the incarnation that listens at a holder's address; empty if none does."""
        found = self._listening(holder)
        return found.incarnation if found is not None else ""

    def server_for_requests(self, holder: Holder) -> SimKeyServer | None:
        """Return the server that requests for a holder reach, possibly a later incarnation."""
        if holder.server_id not in self.servers:
            return None
        found = self._listening(holder)
        same = found is not None and registered_name(found.incarnation) == registered_name(
            holder.server_id
        )
        return found if same else self.servers[holder.server_id]

    def can_connect(self, node: SimKeyNode, holder: Holder) -> bool:
        """Return whether a server accepts connections at a holder's address."""
        reached = self._reach(node, holder)
        return reached not in {CallOutcome.NO_ANSWER, CallOutcome.NOT_LISTENING}

    def refuses(self, node: SimKeyNode, holder: Holder) -> bool:
        """Return whether connections to a holder are refused, by a dead port or by the link."""
        return self._reach(node, holder) is CallOutcome.NOT_LISTENING

    def deliver(
        self,
        node: SimKeyNode,
        holder: Holder,
        apply: Callable[[SimKeyServer, bool, bool], CallOutcome],
        answer: Callable[[CallOutcome], None],
        unanswered: UnansweredGrant,
    ) -> None:
        """Deliver a grant to a server.

        A fraction ``late_fraction`` of the grants is applied late and not answered. A silent link
        holds a grant up until it heals, unless its sender discards the grant first.

        :param apply: has a server apply the grant; takes whether that is late, and whether the
            grant was held up.
        """

        def arrive() -> None:
            reached = self._reach(node, holder)
            if reached is CallOutcome.NO_ANSWER:
                self._hold_up(node, holder, lambda server: apply(server, False, True), unanswered)
            if isinstance(reached, CallOutcome):
                delay = CALL_TIMEOUT_MS if reached is CallOutcome.NO_ANSWER else 1.0
                self.world.after(delay, lambda: answer(reached))
            elif self.world.random.random() < self.late_fraction:
                unanswered.acknowledged = True
                self.world.after(
                    self.world.random.uniform(*LATE_ORDER_MS),
                    lambda: _discard(reached.up and apply(reached, True, False)),
                )
                self.world.after(CALL_TIMEOUT_MS, lambda: answer(CallOutcome.NO_ANSWER))
            else:
                outcome = apply(reached, False, False)
                self.world.after(1.0, lambda: answer(outcome))

        self.world.after(self.world.random.uniform(0.2, 2.0), arrive)

    def _hold_up(
        self,
        node: SimKeyNode,
        holder: Holder,
        apply: Callable[[SimKeyServer], CallOutcome],
        unanswered: UnansweredGrant,
    ) -> None:
        """Deliver a grant once the link is up, to the incarnation that it was sent to."""
        addressee = self._listening(holder)
        rng = random.Random(f"{holder.server_id} {self.world.now_ms}")

        def retransmit() -> None:
            if addressee is None or not addressee.up or not unanswered.is_open:
                return
            if self._reach(node, holder) is addressee:
                unanswered.acknowledged = True
                apply(addressee)
            else:
                self.world.after(rng.uniform(*RETRANSMISSION_MS), retransmit)

        self.world.after(rng.uniform(*RETRANSMISSION_MS), retransmit)

    def deliver_release(
        self, node: SimKeyNode, action: SendRelease, answer: Callable[[CallOutcome], None]
    ) -> None:
        """Deliver a release to a server; a fraction ``late_fraction`` gets no answer in time."""
        span = action.range_id
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
            lost = self.world.random.random() < self.late_fraction
            done = (lambda: None) if lost else (lambda: reply(CallOutcome.DONE))
            reached.release(span.first, span.last, span.token, done)
            self.world.after(2000.0, lambda: reply(CallOutcome.NO_ANSWER))

        self.world.after(self.world.random.uniform(0.2, 2.0), arrive)

    # ---- checks ---------------------------------------------------------------------------

    def served(self, key: int, node: str) -> None:
        """Note that a server started a node's request on a key."""
        self._last_served[key, node] = self.world.now_ms

    def unserved(self, since_ms: float, through: Collection[str] = ()) -> list[int]:
        """Return the keys on which no request was started since a time.

        :param through: nodes whose requests count; all if empty.
        """
        served = {
            key
            for (key, node), at_ms in self._last_served.items()
            if at_ms >= since_ms and (not through or node in through)
        }
        return [key for key in SAMPLE_KEYS if key not in served]

    def check_known_holders(self, node: SimKeyNode) -> None:
        """Note the servers that hold keys, but that the leader of the latest map doesn't know of.

        Nothing is noted for another node, nor for a leader that has not read the latest map yet.
        """
        lease, stored = self.store.items.get(LEASE), self.store.items.get(SERVICE)
        if lease is None or stored is None or node.core is None:
            return
        keymap = node.core.keymap(SERVICE)
        identity = lease.value.node, lease.value.incarnation
        if identity != node.state.identity or keymap.revision != stored.revision:
            return
        for item in keymap.ranges:
            known = {registered_name(holder.server_id) for holder in item.possible_holders}
            for key in SAMPLE_KEYS:
                if item.first <= key <= item.last:
                    for server in self._proven_holders(key):
                        if registered_name(server) not in known:
                            self._unknown_holders.setdefault(
                                (key, server, node.name),
                                f"key {key}: {node.name} leads and doesn't know that {server} "
                                f"may hold it",
                            )

    def _proven_holders(self, key: int) -> list[str]:
        """Return the servers that hold a key by a grant that arrived in time."""
        found = []
        for server in self.servers.values():
            hold = server.holding(key)
            if hold is None or hold.late or hold.held_up:
                continue
            if hold.proven_until_ms > self.world.now_ms:
                found.append(server.incarnation)
        return found

    def violations(self) -> list[str]:
        """Return the violations that the servers' own records show."""
        return find_violations(self.journal.holds) + list(self._unknown_holders.values())


def _discard(_: object) -> None:
    """Discard a value, so that a call with a result can serve as a task."""
